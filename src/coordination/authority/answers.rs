//! Answers to users, how long each is valid, and the terminal states that were served.
//!
//! Three words are kept apart throughout the source: a response is an HTTP message as it is
//! received or sent; a reply is what the leader decides on a heartbeat, or what one controller
//! sends to another; an answer is what a user or a worker finally gets, with the time for which
//! it is valid ([`Answer`]).
//!
//! A non-terminal state is correct when it is decided, but before it is sent, another
//! controller may have become leader and served a terminal state. Such an answer therefore
//! carries the time until which it may be sent. A terminal state never changes, and replaces
//! every other answer about its job. Every answer about a job passes through
//! [`TerminalStates::resolve`], whatever its source: this makes reads monotonic.

use thiserror::Error;
use tokio::time::Instant;

use crate::maps::HashMap;
use crate::protocol::cbor::{decode, encode};
use crate::protocol::jobs::{JobId, JobStatus, encode_error};
use crate::transport::peer::{PeerReply, RemainingLease};

/// Minimum and maximum number of seconds that a client is told to wait before a retry.
const RETRY_AFTER_BOUNDS_S: (u32, u32) = (1, 30);

/// The reason in the metrics for a refusal of another controller that is passed on.
const REFUSED_BY_PEER: &str = "refused by another controller";

/// An answer to a user or a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body: CBOR, or empty.
    pub body: Vec<u8>,
    /// Seconds after which the client should retry; `None` if a retry does not help.
    pub retry_after_s: Option<u32>,
    /// Why the request is refused now, for the metrics; `None` if it is answered.
    pub refusal: Option<&'static str>,
    /// The job status that the body holds, if any.
    pub job_status: Option<JobStatus>,
    /// Until when the answer may be sent; `None` if it stays valid.
    pub validity: Option<Validity>,
}

/// Until when a non-terminal answer may be sent by this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Validity {
    /// The epoch under which the answer was decided; 0 if it was read from a record.
    pub epoch: u64,
    /// When that epoch's lease expires, as known when the answer was decided; for a heartbeat
    /// reply that makes no decision, when the post-lease grace period ends. For an answer read
    /// from a record: until when the read counts as fresh.
    pub valid_until: Instant,
}

impl Answer {
    /// An answer that stays valid.
    pub fn new(status: u16, body: &ciborium::value::Value) -> Self {
        Answer {
            status,
            body: encode(body),
            retry_after_s: None,
            refusal: None,
            job_status: None,
            validity: None,
        }
    }

    /// An error with its reason.
    pub fn error(status: u16, reason: &str) -> Self {
        Answer::new(status, &encode_error(reason))
    }

    /// Refuses a request that cannot be handled now, and tells the client when to retry.
    pub fn retry_later(status: u16, reason: &'static str, after_s: u32) -> Self {
        let (min, max) = RETRY_AFTER_BOUNDS_S;
        let retry_after_s = Some(after_s.clamp(min, max));
        Answer { retry_after_s, refusal: Some(reason), ..Answer::error(status, reason) }
    }

    /// A job's state. A terminal state stays valid; any other is valid as `validity` says.
    pub fn job_state(status: u16, job: JobStatus, validity: Validity) -> Self {
        let validity = (!job.state.is_terminal()).then_some(validity);
        let answer = Answer::new(status, &job.encode());
        Answer { job_status: Some(job), validity, ..answer }
    }

    /// A job's terminal state, which is correct whichever controller leads and whenever it is
    /// sent.
    pub fn terminal_state(job: JobStatus) -> Self {
        let answer = Answer::new(200, &job.encode());
        Answer { job_status: Some(job), ..answer }
    }

    /// The last step before the answer is sent: replaces an answer that is no longer valid by
    /// one that asks the client to retry.
    #[must_use]
    pub fn checked_at_sending(self, now: Instant) -> Self {
        match self.validity {
            Some(validity) if now >= validity.valid_until => {
                tracing::info!(epoch = validity.epoch, "expired answer not sent");
                Answer::retry_later(503, "leadership may have changed", 1)
            }
            _ => self,
        }
    }

    /// The answer as a reply to another controller, with the time for which it stays valid.
    pub fn into_reply(self, now: Instant) -> PeerReply {
        let Answer { status, body, retry_after_s, validity, .. } = self.checked_at_sending(now);
        let lease = validity
            .map(|validity| RemainingLease { epoch: validity.epoch, remaining: validity.valid_until - now });
        PeerReply { status, body, retry_after_s, lease }
    }
}

/// Why another controller's reply is not forwarded to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UnusableReply {
    /// No answer to a user has this status.
    #[error("unexpected status for an answer to a user")]
    Status,
    /// The body cannot be decoded as a job status.
    #[error("no readable state of a job")]
    Malformed,
    /// The body is about another job than the request.
    #[error("it is about another job")]
    OtherJob,
    /// A cancellation was answered with a state that is not terminal.
    #[error("it answers a cancellation with a state that is not terminal")]
    NotTerminal,
    /// The reply was decided under an older epoch than the newest one known.
    #[error("it was decided in an epoch that is over")]
    Stale,
}

/// Decodes another controller's reply about a job into the answer for the user.
///
/// `forwarded_at` is when the request was forwarded. The reply states how long its lease
/// remained valid when the reply was sent. That was after `forwarded_at`, so counting the
/// remaining time from `forwarded_at` never makes the lease longer. A reply that states no lease
/// comes from an earlier build, which did not send one; it is valid until `fresh_until`.
///
/// # Errors
///
/// The reason why the reply must not be forwarded to the user.
pub fn from_peer_reply(
    reply: PeerReply,
    job: &JobId,
    forwarded_at: Instant,
    fresh_until: Instant,
    newest_epoch: u64,
) -> Result<Answer, UnusableReply> {
    let PeerReply { status, body, retry_after_s, lease } = reply;
    match status {
        200 | 201 => {}
        400 | 404 | 422 | 429 | 503 | 504 => {
            let refusal = matches!(status, 429 | 503 | 504).then_some(REFUSED_BY_PEER);
            return Ok(Answer { status, body, retry_after_s, refusal, job_status: None, validity: None });
        }
        _ => return Err(UnusableReply::Status),
    }
    let job_status = decode(&body).and_then(|value| JobStatus::decode(&value));
    let job_status = job_status.map_err(|_| UnusableReply::Malformed)?;
    if job_status.id != *job {
        return Err(UnusableReply::OtherJob);
    }
    if job_status.state.is_terminal() {
        return Ok(Answer { status, ..Answer::terminal_state(job_status) });
    }
    let validity = match lease {
        Some(lease) => Validity { epoch: lease.epoch, valid_until: forwarded_at + lease.remaining },
        None => Validity { epoch: 0, valid_until: fresh_until },
    };
    if validity.epoch > 0 && validity.epoch < newest_epoch {
        return Err(UnusableReply::Stale);
    }
    Ok(Answer::job_state(status, job_status, validity))
}

/// A bounded cache of terminal states that were served or read from records. It has two
/// generations; when the recent one is full, the older one is dropped. Dropped states can be
/// read from the records again.
#[derive(Debug)]
pub struct TerminalStates {
    recent: HashMap<JobId, JobStatus>,
    older: HashMap<JobId, JobStatus>,
    capacity: usize,
}

impl TerminalStates {
    /// An empty cache of at most `capacity` states.
    pub fn new(capacity: usize) -> Self {
        TerminalStates { recent: HashMap::default(), older: HashMap::default(), capacity }
    }

    /// Caches a terminal state, unless one is cached for the job already.
    pub fn insert(&mut self, status: JobStatus) {
        if self.get(&status.id).is_some() {
            return;
        }
        if self.recent.len() >= self.capacity / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(status.id.clone(), status);
    }

    /// The terminal state of a job, if it is cached.
    pub fn get(&self, job: &JobId) -> Option<&JobStatus> {
        self.recent.get(job).or_else(|| self.older.get(job))
    }

    /// The answer to send to the user: the job's terminal state if one is cached, else the
    /// given answer. If the state in that answer is terminal, it is cached.
    #[must_use]
    pub fn resolve(&mut self, job: &JobId, answer: Answer) -> Answer {
        let terminal = answer.job_status.as_ref().filter(|status| status.state.is_terminal());
        if let Some(known) = self.get(job) {
            if terminal.is_some_and(|status| status.state != known.state) {
                tracing::error!(%job, known = known.state.as_str(), "conflicting terminal states; the first is served");
            }
            return Answer::terminal_state(known.clone());
        }
        if let Some(status) = terminal {
            self.insert(status.clone());
        }
        answer
    }
}

#[cfg(test)]
mod tests;
