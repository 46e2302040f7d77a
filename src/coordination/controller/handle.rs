//! The handle of the actor: receives HTTP requests and other controllers' calls, and makes the
//! last check of an answer's validity before it is sent.

use ciborium::value::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::controller::RETRY_AFTER_S;
use crate::coordination::controller::events::{HeartbeatMessage, ReplySender, RequestMessage, RequestOrigin};
use crate::protocol::cbor::decode;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::Heartbeat;
use crate::transport::codec::{Request, Response};
use crate::transport::peer::{PeerCall, PeerHandler, PeerReply};
use crate::transport::server::Handler;

/// Sends messages to the actor and awaits its answers. Refuses messages immediately when the
/// actor's queues are full.
#[derive(Clone)]
pub struct ControllerHandle {
    pub(super) requests: mpsc::Sender<RequestMessage>,
    pub(super) heartbeats: mpsc::Sender<HeartbeatMessage>,
    pub(super) ready: watch::Receiver<bool>,
}

impl ControllerHandle {
    /// Answers an HTTP request.
    pub(super) async fn route(&self, request: Request) -> Answer {
        let path = request.target.split('?').next().unwrap_or_default();
        let is_post = request.method == "POST";
        let is_get = request.method == "GET";
        match path {
            "/agent/beat" if is_post => self.heartbeat(request.body, false).await,
            "/agent/beat" | "/api/jobs" if !is_post => Answer::error(405, "POST only"),
            "/api/jobs" => self.request(PeerCall::Submit(request.body), RequestOrigin::User).await,
            "/status" if is_get => self.ask(|reply| RequestMessage::Status { reply }).await,
            "/ready" if is_get => self.readiness(),
            _ => match path.strip_prefix("/api/jobs/") {
                Some(job_path) => self.route_job(job_path, is_post, is_get).await,
                None => Answer::error(404, "no such path"),
            },
        }
    }

    /// Answers a request below `/api/jobs/`: `ID` or `ID/withdraw`.
    async fn route_job(&self, job_path: &str, is_post: bool, is_get: bool) -> Answer {
        let (id, is_cancellation) = match job_path.strip_suffix("/withdraw") {
            Some(id) => (id, true),
            None => (job_path, false),
        };
        if JobId::parse(id).is_none() {
            return Answer::error(404, "no such job");
        }
        let call = match (is_cancellation, is_post, is_get) {
            (true, true, _) => PeerCall::Cancel(id.to_owned()),
            (false, _, true) => PeerCall::Poll(id.to_owned()),
            _ => return Answer::error(405, "method not allowed here"),
        };
        self.request(call, RequestOrigin::User).await
    }

    fn readiness(&self) -> Answer {
        if *self.ready.borrow() {
            Answer { body: Vec::new(), ..Answer::new(200, &Value::Null) }
        } else {
            Answer::retry_later(503, "not ready", RETRY_AFTER_S)
        }
    }

    async fn request(&self, call: PeerCall, origin: RequestOrigin) -> Answer {
        self.ask(|reply| RequestMessage::Call { call, reply, origin, arrived: Instant::now() }).await
    }

    async fn ask(&self, message: impl FnOnce(ReplySender) -> RequestMessage) -> Answer {
        let (reply, answer) = oneshot::channel();
        // A full queue refuses the request immediately instead of blocking the caller.
        if self.requests.try_send(message(reply)).is_err() {
            return Answer::retry_later(429, "too many requests at once", RETRY_AFTER_S);
        }
        answer.await.unwrap_or_else(|_| Answer::retry_later(503, "try again", RETRY_AFTER_S))
    }

    async fn heartbeat(&self, body: Vec<u8>, was_relayed: bool) -> Answer {
        let heartbeat = match decode(&body).and_then(|value| Heartbeat::decode(&value)) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return Answer::error(400, &error.to_string()),
        };
        let (reply, answer) = oneshot::channel();
        let body = (!was_relayed).then_some(body);
        let message = HeartbeatMessage { heartbeat, body, reply, arrived: Instant::now() };
        if self.heartbeats.try_send(message).is_err() {
            return Answer::retry_later(503, "too many reports at once", RETRY_AFTER_S);
        }
        answer.await.unwrap_or_else(|_| Answer::retry_later(503, "try again", RETRY_AFTER_S))
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
