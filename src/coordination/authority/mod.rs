//! The right to act in an epoch's name.
//!
//! One place decides it, from the leadership at that moment and the evidence for the act.
//! What it returns only it can make: a start order comes from a [`StartPermit`], a request
//! to the cloud that changes anything takes a [`LeadPermit`], and an answer to a worker
//! carries the [`Basis`] until which it may leave, which is looked at once more at the last
//! step ([`crate::coordination::authority::answers::Answer::at_sending`]). A path without the check does not compile.
//!
//! Writes of the store take no permit: each carries the epoch as a condition, which the
//! state service itself compares.

pub mod answers;
pub(crate) mod attempts;

use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::coordination::authority::answers::Validity;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::Command;

/// A controller's leadership in one epoch: the one owner of what may be done in its name.
#[derive(Debug, Clone, Copy)]
pub struct LeadershipTerm {
    epoch: u64,
    /// The end of the lease, by the local clock and from the sending of the renewal.
    lease_expiry: Instant,
    /// How long after the lease workers may be answered with nothing but stops.
    post_lease_grace: Duration,
    /// Another controller leads, or will: nothing of this epoch may be used any more.
    is_fenced: bool,
}

/// What a start rests on.
#[derive(Debug, Clone, Copy)]
pub struct StartEvidence {
    /// Neither cancelled nor settled, and no cancellation is under way.
    pub job_is_live: bool,
    /// It awaits nothing, or all that it awaits is known to be done by commits.
    pub dependencies_are_done: bool,
    /// The committed record says that this task may have begun.
    pub start_is_recorded: bool,
    /// The task is done by its record.
    pub task_is_done: bool,
    /// The task is counted on no machine, and on none that was not heard.
    pub is_on_no_machine: bool,
    /// The committed fleet record says that the machine may hold tasks.
    pub machine_use_is_recorded: bool,
    /// The last attempt number that was given out in this epoch.
    pub last_attempt: u64,
}

/// Why an act is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error("the epoch is over")]
    Fenced,
    #[error("the lease has ended")]
    LeaseExpired,
    #[error("the job is over, or being cancelled")]
    JobNotLive,
    #[error("a job that it awaits is not known to be done")]
    DependenciesNotDone,
    #[error("the record does not say that it may have begun")]
    StartNotRecorded,
    #[error("the task is done")]
    TaskDone,
    #[error("the task may be on a machine")]
    MayBeRunning,
    #[error("the fleet record does not say that the machine may hold tasks")]
    MachineUseNotRecorded,
    #[error("the attempt number was used before")]
    AttemptReused,
}

/// The right to start one task once.
#[derive(Debug)]
pub struct StartPermit {
    task: TaskId,
    attempt: u64,
}

/// The right to have something done that only a leader under a valid lease may decide.
#[derive(Debug, Clone, Copy)]
pub struct LeaderPermit(());

impl LeadershipTerm {
    /// A term whose lease has not been extended yet: nothing may be done in it.
    pub fn new(epoch: u64, now: Instant, post_lease_grace: Duration) -> Self {
        LeadershipTerm { epoch, lease_expiry: now, post_lease_grace, is_fenced: false }
    }

    /// The epoch, which is also the fencing token that workers see.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The end of the lease as far as is known.
    pub fn lease_expiry(&self) -> Instant {
        self.lease_expiry
    }

    /// The end of the time after the lease in which workers may be answered with nothing
    /// but stops of terminal jobs.
    pub fn grace_expiry(&self) -> Instant {
        self.lease_expiry + self.post_lease_grace
    }

    /// Whether the epoch is over for certain.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Ends the term for good.
    pub fn fence(&mut self) {
        self.is_fenced = true;
    }

    /// The lease was renewed.
    pub fn extend(&mut self, lease_expiry: Instant) {
        self.lease_expiry = lease_expiry;
    }

    /// Whether anything may be decided in the epoch's name now.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.leader_permit(now).is_ok()
    }

    /// Until when an answer to a user that is not final may leave.
    pub fn validity(&self) -> Validity {
        Validity { epoch: self.epoch, valid_until: self.lease_expiry }
    }

    /// The right to decide in the epoch's name.
    ///
    /// # Errors
    ///
    /// The epoch is over, or its lease has expired.
    pub fn leader_permit(&self, now: Instant) -> Result<LeaderPermit, Refusal> {
        if self.is_fenced {
            return Err(Refusal::Fenced);
        }
        if now >= self.lease_expiry {
            return Err(Refusal::LeaseExpired);
        }
        Ok(LeaderPermit(()))
    }

    /// Whether a task may start as this attempt.
    pub fn start_permit(
        &self,
        now: Instant,
        task: TaskId,
        attempt: u64,
        evidence: StartEvidence,
    ) -> Result<StartPermit, Refusal> {
        self.leader_permit(now)?;
        let demands = [
            (evidence.job_is_live, Refusal::JobNotLive),
            (evidence.dependencies_are_done, Refusal::DependenciesNotDone),
            (evidence.start_is_recorded, Refusal::StartNotRecorded),
            (!evidence.task_is_done, Refusal::TaskDone),
            (evidence.is_on_no_machine, Refusal::MayBeRunning),
            (evidence.machine_use_is_recorded, Refusal::MachineUseNotRecorded),
            (attempt > evidence.last_attempt, Refusal::AttemptReused),
        ];
        match demands.into_iter().find(|(met, _)| !met) {
            Some((_, refusal)) => Err(refusal),
            None => Ok(StartPermit { task, attempt }),
        }
    }

    /// Until when an answer to a worker may leave. One that decides something holds as long
    /// as the lease; one that only stops what is over, and keeps the worker's lease, as long
    /// as a lapsed leader may give such answers.
    pub fn heartbeat_reply_validity(&self, orders: &[Command]) -> Validity {
        let decides = orders.iter().any(|order| !matches!(order, Command::Stop { .. }));
        let until = if decides { self.lease_expiry } else { self.grace_expiry() };
        Validity { epoch: self.epoch, valid_until: until }
    }
}

impl StartPermit {
    /// The order, for the answer to the report of the machine that was asked about.
    pub fn into_command(self) -> Command {
        Command::Start { task: self.task, attempt: self.attempt }
    }
}

/// What must hold whatever the controllers decide; looked at where it could be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Violation {
    #[error("a start was refused that had been decided: {0}")]
    Start(Refusal),
    #[error("a job with tasks on machines would have left memory")]
    JobEvictedWithTasks,
    #[error("a record says that a job has begun whose needs are not done")]
    StartedBeforeDependencies,
    #[error("a leader would have begun anew in an epoch that it had before")]
    EpochReused,
}

#[cfg(test)]
mod tests;
