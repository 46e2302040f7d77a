//! What speaks to the actor: takes HTTP requests and other controllers' calls, and makes
//! the last check of an answer before it leaves.

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::{HeartbeatMessage, Reply, RequestOrigin, UserMessage};
use crate::coordination::authority::answers::Answer;
use crate::protocol::cbor::decode;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::Heartbeat;
use crate::transport::codec::{Request, Response};
use crate::transport::peer::{PeerCall, PeerHandler, PeerReply};
use crate::transport::server::Handler;

/// Speaks to the actor; answers HTTP requests and other controllers.
#[derive(Clone)]
pub struct ControllerHandle {
    pub(super) requests: mpsc::Sender<UserMessage>,
    pub(super) heartbeats: mpsc::Sender<HeartbeatMessage>,
    pub(super) ready: watch::Receiver<bool>,
}

impl ControllerHandle {
    async fn request(&self, call: PeerCall, origin: RequestOrigin) -> Answer {
        self.ask(|reply| UserMessage::Call { call, reply, origin, arrived: Instant::now() }).await
    }

    async fn ask(&self, message: impl FnOnce(Reply) -> UserMessage) -> Answer {
        let (reply, answer) = oneshot::channel();
        // A full buffer holds nobody: the edge refuses at once.
        if self.requests.try_send(message(reply)).is_err() {
            return Answer::retry_later(429, "too many requests at once", 1);
        }
        answer.await.unwrap_or_else(|_| Answer::retry_later(503, "try again", 1))
    }

    async fn heartbeat(&self, body: Vec<u8>, relayed: bool) -> Answer {
        let report = match decode(&body).and_then(|value| Heartbeat::decode(&value)) {
            Ok(report) => report,
            Err(error) => return Answer::error(400, &error.to_string()),
        };
        let (reply, answer) = oneshot::channel();
        let body = (!relayed).then_some(body);
        let message = HeartbeatMessage { heartbeat: report, body, reply, arrived: Instant::now() };
        if self.heartbeats.try_send(message).is_err() {
            return Answer::retry_later(503, "too many reports at once", 1);
        }
        answer.await.unwrap_or_else(|_| Answer::retry_later(503, "try again", 1))
    }

    pub(super) async fn route(&self, request: Request) -> Answer {
        let target = request.target.as_str();
        let path = target.split('?').next().unwrap_or_default();
        let post = request.method == "POST";
        let get = request.method == "GET";
        match path {
            "/agent/beat" if post => self.heartbeat(request.body, false).await,
            "/agent/beat" | "/api/jobs" if !post => Answer::error(405, "POST only"),
            "/api/jobs" => self.request(PeerCall::Submit(request.body), RequestOrigin::User).await,
            "/status" if get => self.ask(|reply| UserMessage::Status { reply }).await,
            "/ready" if get => {
                if *self.ready.borrow() {
                    Answer { body: Vec::new(), ..Answer::new(200, &ciborium::value::Value::Null) }
                } else {
                    Answer::retry_later(503, "not ready", 1)
                }
            }
            _ => {
                let Some(rest) = path.strip_prefix("/api/jobs/") else {
                    return Answer::error(404, "no such path");
                };
                let (id, withdraw) = match rest.strip_suffix("/withdraw") {
                    Some(id) => (id, true),
                    None => (rest, false),
                };
                if JobId::parse(id).is_none() {
                    return Answer::error(404, "no such job");
                }
                match (withdraw, post, get) {
                    (true, true, _) => {
                        self.request(PeerCall::Cancel(id.to_owned()), RequestOrigin::User).await
                    }
                    (false, _, true) => {
                        self.request(PeerCall::Poll(id.to_owned()), RequestOrigin::User).await
                    }
                    _ => Answer::error(405, "method not allowed here"),
                }
            }
        }
    }
}

impl Handler for ControllerHandle {
    async fn handle(&self, request: Request) -> Response {
        let answer = self.route(request).await.checked_at_sending(Instant::now());
        let Answer { status, body, retry_after_s, .. } = answer;
        Response { status, body, retry_after_s, close: false }
    }
}

impl PeerHandler for ControllerHandle {
    async fn handle(&self, call: PeerCall, relay: bool) -> PeerReply {
        let origin = if relay { RequestOrigin::Relay } else { RequestOrigin::Peer };
        let answer = match call {
            PeerCall::Heartbeat(body) => self.heartbeat(body, true).await,
            call => self.request(call, origin).await,
        };
        answer.into_reply(Instant::now())
    }
}
