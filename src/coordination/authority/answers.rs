//! Answers to users, how long each is valid, and the terminal states that were served.
//!
//! A state that is not terminal is true when it is decided; before it is sent another
//! controller may have become leader and served the terminal one. Such an answer therefore
//! carries the time until which it may leave. A terminal state stays true, and replaces every
//! other answer about its job. Every answer about a job passes through
//! [`TerminalStates::resolve`], whatever way it came: this gives monotonic reads.

use thiserror::Error;
use tokio::time::Instant;

use crate::maps::HashMap;
use crate::protocol::cbor::{decode, encode};
use crate::protocol::jobs::{JobId, JobStatus, encode_error};
use crate::transport::peer::{PeerReply, RemainingLease};

/// Bounds of the advice to come back, in seconds.
const RETRY_AFTER_BOUNDS_S: (u32, u32) = (1, 30);

/// An answer to a user or a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body: CBOR, or empty.
    pub body: Vec<u8>,
    /// Seconds after which to come back, if that is of use.
    pub retry_after_s: Option<u32>,
    /// The job's state in the body, if the answer is about one.
    pub job_status: Option<JobStatus>,
    /// Until when it may be sent; `None`: for good.
    pub validity: Option<Validity>,
}

/// Until when an answer that is not terminal may leave this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Validity {
    /// The epoch under which it was decided; 0 where it was read from a record.
    pub epoch: u64,
    /// The end of that epoch's lease, as far as it was known then; or the end of the time for
    /// which a read of a record counts as fresh.
    pub valid_until: Instant,
}

impl Answer {
    /// An answer that stays valid.
    pub fn new(status: u16, body: &ciborium::value::Value) -> Self {
        Answer { status, body: encode(body), retry_after_s: None, job_status: None, validity: None }
    }

    /// A refusal with its reason.
    pub fn error(status: u16, reason: &str) -> Self {
        Answer::new(status, &encode_error(reason))
    }

    /// A request that cannot be taken now: refused at once, with a time to come back.
    pub fn retry_later(status: u16, reason: &str, after_s: u32) -> Self {
        let (least, most) = RETRY_AFTER_BOUNDS_S;
        Answer { retry_after_s: Some(after_s.clamp(least, most)), ..Answer::error(status, reason) }
    }

    /// A job's state. One that is not terminal is valid for a bounded time.
    pub fn job_state(status: u16, job: JobStatus, validity: Validity) -> Self {
        let validity = (!job.state.is_terminal()).then_some(validity);
        let answer = Answer::new(status, &job.encode());
        Answer { job_status: Some(job), validity, ..answer }
    }

    /// A job's terminal state: true whoever leads, and whenever it is sent.
    pub fn terminal_state(job: JobStatus) -> Self {
        let answer = Answer::new(200, &job.encode());
        Answer { job_status: Some(job), ..answer }
    }

    /// The last step before it is sent: an answer that is not valid any more is replaced.
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

    /// The answer as another controller gets it, which learns how long it is valid.
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
    /// A status that no answer to a user has.
    #[error("no status that a user's request can have")]
    Status,
    /// The body is no job's state.
    #[error("no readable state of a job")]
    Malformed,
    /// The body is about a job that was not asked about.
    #[error("it is about another job")]
    OtherJob,
    /// A cancellation was answered with a state that is not terminal.
    #[error("it answers a cancellation with a state that is not terminal")]
    NotTerminal,
    /// A newer epoch is known than the one under which it was decided.
    #[error("it was decided in an epoch that is over")]
    Stale,
}

/// The answer in another controller's reply about a job.
///
/// `asked`: when the request was forwarded. The lease behind the reply had the remaining time
/// that the reply names when it was sent, which was later, so counting from `asked` never
/// makes it longer. A reply that names none is of a build before leases were named, or rests
/// on a record; it is valid until `fresh_until`.
///
/// # Errors
///
/// The reply must not be forwarded, for the reason given.
pub fn from_peer_reply(
    reply: PeerReply,
    job: &JobId,
    asked: Instant,
    fresh_until: Instant,
    newest_epoch: u64,
) -> Result<Answer, UnusableReply> {
    let PeerReply { status, body, retry_after_s, lease } = reply;
    match status {
        200 | 201 => {}
        400 | 404 | 422 | 429 | 503 | 504 => {
            return Ok(Answer { status, body, retry_after_s, job_status: None, validity: None });
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
        Some(lease) => Validity { epoch: lease.epoch, valid_until: asked + lease.remaining },
        None => Validity { epoch: 0, valid_until: fresh_until },
    };
    if validity.epoch > 0 && validity.epoch < newest_epoch {
        return Err(UnusableReply::Stale);
    }
    Ok(Answer::job_state(status, job_status, validity))
}

/// Terminal states that were served, or learned from records. Bounded: two generations, the
/// older dropped when the younger is full. What is dropped is in the records.
#[derive(Debug)]
pub struct TerminalStates {
    recent: HashMap<JobId, JobStatus>,
    older: HashMap<JobId, JobStatus>,
    capacity: usize,
}

impl TerminalStates {
    /// `capacity`: how many are remembered at most.
    pub fn new(capacity: usize) -> Self {
        TerminalStates { recent: HashMap::default(), older: HashMap::default(), capacity }
    }

    /// Remembers a terminal state, unless one is known for the job already.
    pub fn insert(&mut self, status: JobStatus) {
        if self.get(&status.id).is_some() {
            return;
        }
        if self.recent.len() >= self.capacity / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(status.id.clone(), status);
    }

    /// The terminal state of a job, if it is remembered.
    pub fn get(&self, job: &JobId) -> Option<&JobStatus> {
        self.recent.get(job).or_else(|| self.older.get(job))
    }

    /// The answer that a user gets: the job's terminal state if one is known, else the answer
    /// itself, whose state is remembered if it is terminal.
    #[must_use]
    pub fn resolve(&mut self, job: &JobId, answer: Answer) -> Answer {
        let answered = answer.job_status.as_ref().filter(|status| status.state.is_terminal());
        if let Some(known) = self.get(job) {
            if answered.is_some_and(|status| status.state != known.state) {
                tracing::error!(%job, known = known.state.as_str(), "conflicting terminal states; the first is served");
            }
            return Answer::terminal_state(known.clone());
        }
        if let Some(status) = answered {
            self.insert(status.clone());
        }
        answer
    }
}

#[cfg(test)]
mod tests;
