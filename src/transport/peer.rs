//! The gRPC link between controllers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

mod wire {
    #![allow(clippy::all, clippy::unwrap_used, missing_docs)]
    tonic::include_proto!("shedtally.peer.v1");
}

use wire::peer_client::PeerClient;
use wire::peer_server::{Peer, PeerServer};
use wire::{JobRequest, LeadRequest, Reply, ReportRequest, SubmitRequest};

/// What a controller asks of another.
#[derive(Debug, Clone)]
pub enum PeerCall {
    Submit(Vec<u8>),
    Poll(String),
    Cancel(String),
    /// A worker's report.
    Heartbeat(Vec<u8>),
    /// Whether it leads.
    LeaderQuery,
}

/// What stood behind an answer that is not final when it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingLease {
    /// The epoch under which it was decided; 0 where it was read from a record.
    pub epoch: u64,
    /// How much of the lease was left, or of the time that it counts as fresh.
    pub remaining: Duration,
}

/// The leading controller's answer, to be handed on while it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReply {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    pub lease: Option<RemainingLease>,
}

/// Answers other controllers' calls.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// `relay`: to be handed on to the leader if that is another.
    fn handle(&self, call: PeerCall, relay: bool) -> impl Future<Output = PeerReply> + Send;
}

struct Service<H>(H);

impl<H: PeerHandler> Service<H> {
    async fn answer(&self, call: PeerCall, relay: bool) -> Result<Response<Reply>, Status> {
        Ok(Response::new(self.0.handle(call, relay).await.into()))
    }
}

#[tonic::async_trait]
impl<H: PeerHandler> Peer for Service<H> {
    async fn submit(&self, request: Request<SubmitRequest>) -> Result<Response<Reply>, Status> {
        let SubmitRequest { body, relay } = request.into_inner();
        self.answer(PeerCall::Submit(body), relay).await
    }

    async fn poll(&self, request: Request<JobRequest>) -> Result<Response<Reply>, Status> {
        let JobRequest { job, relay } = request.into_inner();
        self.answer(PeerCall::Poll(job), relay).await
    }

    async fn withdraw(&self, request: Request<JobRequest>) -> Result<Response<Reply>, Status> {
        let JobRequest { job, relay } = request.into_inner();
        self.answer(PeerCall::Cancel(job), relay).await
    }

    async fn report(&self, request: Request<ReportRequest>) -> Result<Response<Reply>, Status> {
        self.answer(PeerCall::Heartbeat(request.into_inner().body), false).await
    }

    async fn lead(&self, _: Request<LeadRequest>) -> Result<Response<Reply>, Status> {
        self.answer(PeerCall::LeaderQuery, false).await
    }
}

impl From<PeerReply> for Reply {
    fn from(reply: PeerReply) -> Self {
        Reply {
            status: u32::from(reply.status),
            body: reply.body,
            retry_after_s: reply.retry_after_s.unwrap_or(0),
            epoch: reply.lease.map_or(0, |lease| lease.epoch),
            lease_left_ms: reply.lease.map_or(0, |lease| milliseconds(lease.remaining)),
        }
    }
}

/// The reply as it came; `None` if its status is none of HTTP.
fn decode_reply(reply: Reply) -> Option<PeerReply> {
    let status = u16::try_from(reply.status).ok().filter(|s| (200..600).contains(s))?;
    let retry_after_s = Some(reply.retry_after_s).filter(|&s| s > 0);
    let left = Duration::from_millis(u64::from(reply.lease_left_ms));
    let lease = (!left.is_zero()).then_some(RemainingLease { epoch: reply.epoch, remaining: left });
    Some(PeerReply { status, body: reply.body, retry_after_s, lease })
}

/// Rounded down, so that nothing holds for longer on the way; at least one, since none
/// means that nothing was said of a lease.
fn milliseconds(left: Duration) -> u32 {
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1)
}

/// Serves other controllers until the listener fails.
pub async fn serve<H: PeerHandler>(
    address: SocketAddr,
    body_limit: usize,
    handler: H,
) -> Result<(), tonic::transport::Error> {
    let service = PeerServer::new(Service(handler)).max_decoding_message_size(2 * body_limit);
    Server::builder().tcp_nodelay(true).add_service(service).serve(address).await
}

/// A link to one other controller, connected when first used.
#[derive(Debug, Clone)]
pub struct PeerLink {
    client: PeerClient<Channel>,
    #[cfg(test)]
    address: SocketAddr,
}

impl PeerLink {
    pub fn new(address: SocketAddr, deadline: Duration) -> Result<Self, tonic::transport::Error> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(deadline)
            .tcp_nodelay(true)
            // A cut swallows packets without closing the connection; without
            // this every later call would hang on the dead link.
            .http2_keep_alive_interval(deadline * 2)
            .keep_alive_timeout(deadline)
            .keep_alive_while_idle(false);
        Ok(PeerLink {
            client: PeerClient::new(endpoint.connect_lazy()),
            #[cfg(test)]
            address,
        })
    }

    /// Asks the other controller; `None` if it gave no answer in time.
    pub async fn call(&self, call: PeerCall, relay: bool, patience: Duration) -> Option<PeerReply> {
        #[cfg(test)]
        match tokio::time::timeout(patience, super::scripted::peer(self.address, &call, relay)).await {
            Ok(None) => {}
            answer => return answer.ok().flatten(),
        }
        let mut client = self.client.clone();
        let exchange = async {
            match call {
                PeerCall::Submit(body) => client.submit(SubmitRequest { body, relay }).await,
                PeerCall::Poll(job) => client.poll(JobRequest { job, relay }).await,
                PeerCall::Cancel(job) => client.withdraw(JobRequest { job, relay }).await,
                PeerCall::Heartbeat(body) => client.report(ReportRequest { body }).await,
                PeerCall::LeaderQuery => client.lead(LeadRequest {}).await,
            }
        };
        let reply = tokio::time::timeout(patience, exchange).await.ok()?.ok()?.into_inner();
        decode_reply(reply)
    }
}

#[cfg(test)]
mod tests;
