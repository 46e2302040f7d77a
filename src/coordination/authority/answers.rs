//! What users are told: answers, how long each may be told, and what has been told.
//!
//! A state that is not final is true when it is decided; until it is sent another
//! controller may lead and tell the final one. Such an answer therefore carries the time
//! until which it may leave. A final state stays true, and wins over every other answer
//! about its job. Every answer about a job passes through [`ToldStates::settle`], whatever
//! way it came.

use thiserror::Error;
use tokio::time::Instant;

use crate::maps::HashMap;
use crate::protocol::cbor::{decode, encode};
use crate::protocol::jobs::{JobId, JobStatus, encode_error};
use crate::transport::peer::{PeerReply, RemainingLease};

/// An answer to a user.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    /// The state of a job that it tells, if it tells one.
    pub job_status: Option<JobStatus>,
    /// Until when it may be told; `None`: for good.
    pub validity: Option<Validity>,
}

/// What an answer that is not final rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Validity {
    /// The epoch under which it was decided; 0 where it was read from a record.
    pub epoch: u64,
    /// The end of that epoch's lease, as far as it was known then; or of the time that
    /// a read of a record counts as fresh.
    pub valid_until: Instant,
}

impl Answer {
    pub fn new(status: u16, body: &ciborium::value::Value) -> Self {
        Answer { status, body: encode(body), retry_after_s: None, job_status: None, validity: None }
    }

    pub fn error(status: u16, reason: &str) -> Self {
        Answer::new(status, &encode_error(reason))
    }

    /// Can't be taken now: said at once, with a time to come back.
    pub fn retry_later(status: u16, reason: &str, after_s: u32) -> Self {
        Answer { retry_after_s: Some(after_s.clamp(1, 30)), ..Answer::error(status, reason) }
    }

    /// A job's state. One that is not final holds as long as its basis.
    pub fn job_state(status: u16, job: JobStatus, basis: Validity) -> Self {
        let basis = (!job.state.is_terminal()).then_some(basis);
        Answer { job_status: Some(job.clone()), validity: basis, ..Answer::new(status, &job.encode()) }
    }

    /// A job's final state: true whoever leads, and whenever it is sent.
    pub fn terminal_state(job: JobStatus) -> Self {
        Answer { job_status: Some(job.clone()), ..Answer::new(200, &job.encode()) }
    }

    /// The last step before it is sent: one that has outlived its basis is not told.
    pub fn checked_at_sending(self, now: Instant) -> Self {
        match self.validity {
            Some(basis) if now >= basis.valid_until => {
                tracing::info!(
                    epoch = basis.epoch,
                    "an answer has outlived what it rested on; it is not sent"
                );
                Answer::retry_later(503, "leadership may have changed", 1)
            }
            _ => self,
        }
    }

    /// The answer as another controller gets it, which learns how long it holds.
    pub fn into_reply(self, now: Instant) -> PeerReply {
        let Answer { status, body, retry_after_s, validity: basis, .. } = self.checked_at_sending(now);
        let lease =
            basis.map(|basis| RemainingLease { epoch: basis.epoch, remaining: basis.valid_until - now });
        PeerReply { status, body, retry_after_s, lease }
    }
}

/// Why another controller's answer is not passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UnusableReply {
    #[error("no status that a user's request can have")]
    Status,
    #[error("no readable state of a job")]
    Malformed,
    #[error("it is about another job")]
    OtherJob,
    #[error("it answers a cancellation with a state that is not final")]
    NotTerminal,
    #[error("it was decided in an epoch that is over")]
    Stale,
}

/// The answer in another controller's reply about a job.
///
/// `asked`: when the request was handed on. The lease that stood behind the answer had the
/// time that the reply names left when it was sent, which was later, so counting from
/// `asked` never makes it longer. A reply that names none is of a build before leases were
/// named, or rests on a record; it counts until `fresh_until`.
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
    let told = decode(&body).and_then(|value| JobStatus::decode(&value));
    let told = told.map_err(|_| UnusableReply::Malformed)?;
    if told.id != *job {
        return Err(UnusableReply::OtherJob);
    }
    if told.state.is_terminal() {
        return Ok(Answer { status, ..Answer::terminal_state(told) });
    }
    let basis = match lease {
        Some(lease) => Validity { epoch: lease.epoch, valid_until: asked + lease.remaining },
        None => Validity { epoch: 0, valid_until: fresh_until },
    };
    if basis.epoch > 0 && basis.epoch < newest_epoch {
        return Err(UnusableReply::Stale);
    }
    Ok(Answer::job_state(status, told, basis))
}

/// Final states that were told, or learnt from records. Bounded: two generations, the
/// older dropped when the younger is full. What is dropped is in the records.
#[derive(Debug)]
pub struct TerminalStates {
    recent: HashMap<JobId, JobStatus>,
    older: HashMap<JobId, JobStatus>,
    capacity: usize,
}

impl TerminalStates {
    pub fn new(most: usize) -> Self {
        TerminalStates { recent: HashMap::default(), older: HashMap::default(), capacity: most }
    }

    pub fn insert(&mut self, status: JobStatus) {
        if self.get(&status.id).is_some() {
            return;
        }
        if self.recent.len() >= self.capacity / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(status.id.clone(), status);
    }

    pub fn get(&self, job: &JobId) -> Option<&JobStatus> {
        self.recent.get(job).or_else(|| self.older.get(job))
    }

    /// What is told of a job: the final state if one is known, else the answer, which
    /// is remembered if it tells one.
    pub fn resolve(&mut self, job: &JobId, answer: Answer) -> Answer {
        if let Some(known) = self.get(job) {
            let differs = |told: &JobStatus| told.state != known.state;
            if answer.job_status.as_ref().is_some_and(|told| told.state.is_terminal() && differs(told)) {
                tracing::error!(%job, known = known.state.as_str(), "two final states; the first is told");
            }
            return Answer::terminal_state(known.clone());
        }
        if let Some(told) = answer.job_status.as_ref().filter(|told| told.state.is_terminal()) {
            self.insert(told.clone());
        }
        answer
    }
}

#[cfg(test)]
mod tests;
