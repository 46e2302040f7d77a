//! The actor that owns all calls to the cloud, paced below its rate.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::protocol::cbor::{decode, encode};
use crate::protocol::cloud::{
    INVENTORY_PAGE, InventoryPage, MachineType, NodePoolRequest, decode_catalog, decode_inventory_page,
    decode_provisioned, encode_delete,
};
use crate::protocol::workers::MachineId;
use crate::storage::rate_limit::{LogThrottle, TokenBucket};
use crate::transport::client::{Call, ClientError, Connection, Pool};
use crate::transport::codec::{Limits, Response};

const LIMITS: Limits = Limits { head: 8 * 1024, body: 512 * 1024 };
/// Requests under way at once.
const IN_FLIGHT: usize = 4;

#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    Catalog,
    List { from: String },
    Provision(NodePoolRequest),
    Delete(Vec<MachineId>),
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    Catalog(Vec<MachineType>),
    List(InventoryPage),
    Provisioned(Vec<MachineId>),
    Deleted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// None of this type, zone and kind to be had.
    NoCapacity,
    /// Malformed in the cloud's eyes.
    Rejected,
    /// Refused for now, or the outcome is unknown.
    Failed,
}

pub type CloudResult = Result<CloudReply, CloudError>;

struct Request {
    call: CloudCall,
    reply: oneshot::Sender<CloudResult>,
}

/// Speaks to the actor.
#[derive(Debug, Clone)]
pub struct Cloud(mpsc::Sender<Request>);

impl Cloud {
    pub async fn call(&self, call: CloudCall) -> CloudResult {
        let (reply, answer) = oneshot::channel();
        if self.0.send(Request { call, reply }).await.is_err() {
            return Err(CloudError::Failed);
        }
        answer.await.unwrap_or(Err(CloudError::Failed))
    }
}

/// Starts the actor. `term`: until when this controller leads.
///
/// Requests wait here for their turn, and a process may stand still while they
/// do. What was decided under a lease that has ended since is not asked for: a
/// late deletion would take machines that the next leader uses.
pub fn start(address: SocketAddr, rate: f64, deadline: Duration, term: watch::Receiver<Instant>) -> Cloud {
    let (sender, mut inbox) = mpsc::channel::<Request>(32);
    let (done, mut finished) = mpsc::channel::<(Option<Connection>, Option<Option<u16>>)>(IN_FLIGHT);
    tokio::spawn(async move {
        // Others may have spent before a takeover: half a burst to begin with.
        let mut bucket = TokenBucket::new(rate * 0.9, (rate * 0.9).max(1.0), Instant::now());
        let mut pool = Pool::new(address, LIMITS, IN_FLIGHT);
        let mut waiting: VecDeque<Request> = VecDeque::new();
        let mut in_flight = 0;
        let mut complaints = LogThrottle::default();
        loop {
            let now = Instant::now();
            let mut wait = Duration::from_secs(3600);
            if now >= *term.borrow() {
                for request in waiting.drain(..) {
                    let _ = request.reply.send(Err(CloudError::Failed));
                }
            }
            while in_flight < IN_FLIGHT && !waiting.is_empty() {
                if !bucket.allows(now, 1.0, 0.0) {
                    wait = bucket.wait(1.0, 0.0).max(Duration::from_millis(5));
                    break;
                }
                bucket.spend(1.0);
                let Some(request) = waiting.pop_front() else { break };
                let prepared = pool.prepare(encode_call(&request.call, deadline));
                in_flight += 1;
                let done = done.clone();
                tokio::spawn(async move {
                    let (result, connection) = prepared.run().await;
                    let status = result.as_ref().map(|r| r.status).ok();
                    let reply = read_reply(&request.call, result);
                    let failed = (reply == Err(CloudError::Failed)).then_some(status);
                    let _ = request.reply.send(reply);
                    let _ = done.send((connection, failed)).await;
                });
            }
            tokio::select! {
                biased;
                request = inbox.recv(), if waiting.len() < 32 => match request {
                    // What costs or saves money goes before looking around.
                    Some(r) if matches!(r.call, CloudCall::Provision(_) | CloudCall::Delete(_)) => {
                        let at = waiting.iter().position(|w| matches!(w.call, CloudCall::List { .. } | CloudCall::Catalog));
                        waiting.insert(at.unwrap_or(waiting.len()), r);
                    }
                    Some(r) => waiting.push_back(r),
                    None => return,
                },
                Some((connection, failed)) = finished.recv() => {
                    in_flight -= 1;
                    pool.put_back(connection);
                    if let Some(status) = failed
                        && let Some(times) = complaints.should_log(Instant::now())
                    {
                        tracing::error!(times, ?status, "the cloud did not carry out a request");
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
        }
    });
    Cloud(sender)
}

fn encode_call(call: &CloudCall, deadline: Duration) -> Call {
    let (method, target, body) = match call {
        CloudCall::Catalog => ("GET", "/catalog".to_owned(), Vec::new()),
        CloudCall::List { from } if from.is_empty() => {
            ("GET", format!("/machines?page={INVENTORY_PAGE}"), Vec::new())
        }
        CloudCall::List { from } => {
            ("GET", format!("/machines?from={from}&page={INVENTORY_PAGE}"), Vec::new())
        }
        CloudCall::Provision(request) => ("POST", "/machines".to_owned(), encode(&request.encode())),
        CloudCall::Delete(machines) => {
            ("POST", "/machines/delete".to_owned(), encode(&encode_delete(machines)))
        }
    };
    Call { method, target, body, deadline }
}

fn read_reply(call: &CloudCall, result: Result<Response, ClientError>) -> CloudResult {
    let response = result.map_err(|_| CloudError::Failed)?;
    match response.status {
        200 if matches!(call, CloudCall::Delete(_)) => return Ok(CloudReply::Deleted),
        200 => {}
        400 => return Err(CloudError::Rejected),
        503 => {
            let refused = decode(&response.body).ok().is_some_and(|body| {
                crate::protocol::cbor::Fields::of(&body)
                    .is_ok_and(|f| matches!(f.opt_text("error"), Ok(Some("no capacity"))))
            });
            return Err(if refused { CloudError::NoCapacity } else { CloudError::Failed });
        }
        _ => return Err(CloudError::Failed),
    }
    let body = decode(&response.body).map_err(|_| CloudError::Failed)?;
    match call {
        CloudCall::Catalog => decode_catalog(&body).map(CloudReply::Catalog),
        CloudCall::List { .. } => decode_inventory_page(&body).map(CloudReply::List),
        CloudCall::Provision(_) => decode_provisioned(&body).map(CloudReply::Provisioned),
        CloudCall::Delete(_) => return Ok(CloudReply::Deleted),
    }
    .map_err(|_| CloudError::Failed)
}

#[cfg(test)]
mod tests;
