//! The gRPC link between controllers: a server for calls from other controllers, and a client
//! for one other controller.
//!
//! Only this module uses the names of `proto/peer.proto` (`withdraw`, `report`, `lead`). The
//! rest of the program calls them cancellation, heartbeat and leader query.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

/// Code generated from `proto/peer.proto`.
mod wire {
    // Generated code follows neither the lints nor the documentation rules of this crate.
    #![allow(clippy::all, clippy::pedantic, clippy::unwrap_used, missing_docs, rust_2018_idioms)]
    tonic::include_proto!("shedtally.peer.v1");
}

pub use super::peer_message::{PeerCall, PeerReply, RemainingLease};
use wire::peer_client::PeerClient;
use wire::peer_server::{Peer, PeerServer};
use wire::{JobRequest, LeadRequest, Reply, ReportRequest, SubmitRequest};

/// Handles calls from other controllers. All connections share one handler.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// Handles one call. With `relay` set, a controller that does not lead relays the call to
    /// the leader, on behalf of a caller that cannot reach the leader.
    fn handle(&self, call: PeerCall, relay: bool) -> impl Future<Output = PeerReply> + Send;
}

/// Connects the generated gRPC service to a handler.
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
            lease_left_ms: reply.lease.map_or(0, |lease| remaining_ms(lease.remaining)),
        }
    }
}

/// Decodes a reply; `None` if its status is not an HTTP status from 200 to 599.
fn decode_reply(reply: Reply) -> Option<PeerReply> {
    let status = u16::try_from(reply.status).ok().filter(|s| (200..600).contains(s))?;
    let retry_after_s = Some(reply.retry_after_s).filter(|&s| s > 0);
    let remaining = Duration::from_millis(u64::from(reply.lease_left_ms));
    let lease = (!remaining.is_zero()).then_some(RemainingLease { epoch: reply.epoch, remaining });
    Some(PeerReply { status, body: reply.body, retry_after_s, lease })
}

/// Converts the remaining time of a lease to milliseconds. Rounds down, so that sending it
/// cannot extend the lease, but returns at least 1, since 0 on the wire means that the reply
/// has no lease.
fn remaining_ms(remaining: Duration) -> u32 {
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX).max(1)
}

/// Serves other controllers until the listener fails. `body_limit` is the maximum body size in
/// bytes of a relayed request; a whole message with its framing may be twice as large.
///
/// # Errors
///
/// The transport's error if the server cannot listen on the address or the listener fails.
pub async fn serve<H: PeerHandler>(
    address: SocketAddr,
    body_limit: usize,
    handler: H,
) -> Result<(), tonic::transport::Error> {
    let service = PeerServer::new(Service(handler)).max_decoding_message_size(2 * body_limit);
    Server::builder().tcp_nodelay(true).add_service(service).serve(address).await
}

/// A client for one other controller. Connects on the first call, and reconnects after the
/// connection is lost. Clones share the connection.
#[derive(Debug, Clone)]
pub struct PeerLink {
    client: PeerClient<Channel>,
    #[cfg(test)]
    address: SocketAddr,
}

impl PeerLink {
    /// Creates a link to the controller at an address without connecting yet. `timeout` limits
    /// the time to connect, and the wait for the acknowledgement of a keep-alive on an open
    /// connection.
    ///
    /// # Errors
    ///
    /// The transport's error if the address does not form a valid URI.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, tonic::transport::Error> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(timeout)
            .tcp_nodelay(true)
            // A network partition drops packets without closing the connection. Without
            // keep-alives every later call would wait on the dead connection.
            .http2_keep_alive_interval(timeout * 2)
            .keep_alive_timeout(timeout)
            .keep_alive_while_idle(false);
        Ok(PeerLink {
            client: PeerClient::new(endpoint.connect_lazy()),
            #[cfg(test)]
            address,
        })
    }

    /// Calls the other controller. Returns `None` if the controller could not be reached,
    /// returned a gRPC error, such as for a malformed call, or gave no valid reply within the
    /// timeout; the outcome is then unknown.
    pub async fn call(&self, call: PeerCall, relay: bool, timeout: Duration) -> Option<PeerReply> {
        #[cfg(test)]
        match tokio::time::timeout(timeout, super::simulated_network::peer(self.address, &call, relay)).await
        {
            Ok(None) => {}
            reply => return reply.ok().flatten(),
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
        let reply = tokio::time::timeout(timeout, exchange).await.ok()?.ok()?.into_inner();
        decode_reply(reply)
    }
}

#[cfg(test)]
mod tests;
