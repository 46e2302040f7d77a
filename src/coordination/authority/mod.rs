//! The right to act in an epoch's name.
//!
//! One place decides it, from the leadership at that moment and the evidence for the act.
//! What it returns nothing else can make: a start command comes from a [`StartPermit`], a
//! request to the cloud that changes anything takes a [`LeaderPermit`], and an answer carries
//! the [`Validity`] that is checked once more as it leaves
//! ([`answers::Answer::checked_at_sending`]). A path without the check does not compile.
//!
//! Writes to the store take no permit: each carries the epoch as a condition, which the
//! key-value store itself compares.

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

/// What is known for and against starting a task.
#[derive(Debug, Clone, Copy)]
pub struct StartEvidence {
    /// The job is neither cancelled nor completed, and no cancellation is under way.
    pub job_is_live: bool,
    /// It depends on nothing, or all its dependencies are known to be done by commits.
    pub dependencies_are_done: bool,
    /// The committed record says that this task may have started.
    pub start_is_recorded: bool,
    /// The task is done by its record.
    pub task_is_done: bool,
    /// The task has a slot on no machine, and cannot be on one that is not reconciled.
    pub is_on_no_machine: bool,
    /// The committed record of the node pool says that the machine may hold tasks.
    pub machine_use_is_recorded: bool,
    /// The last attempt number that was given out in this epoch.
    pub last_attempt: u64,
}

/// Why an act is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Another controller leads, or will.
    #[error("the epoch is over")]
    Fenced,
    /// The lease was not renewed in time.
    #[error("the lease has expired")]
    LeaseExpired,
    /// See [`StartEvidence::job_is_live`].
    #[error("the job is terminal, or being cancelled")]
    JobNotLive,
    /// See [`StartEvidence::dependencies_are_done`].
    #[error("a dependency is not known to be done")]
    DependenciesNotDone,
    /// See [`StartEvidence::start_is_recorded`].
    #[error("the record does not say that the task may have started")]
    StartNotRecorded,
    /// See [`StartEvidence::task_is_done`].
    #[error("the task is done")]
    TaskDone,
    /// See [`StartEvidence::is_on_no_machine`].
    #[error("the task may be on a machine")]
    MayBeRunning,
    /// See [`StartEvidence::machine_use_is_recorded`].
    #[error("the node pool's record does not say that the machine may hold tasks")]
    MachineUseNotRecorded,
    /// See [`StartEvidence::last_attempt`].
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

    /// Until when an answer to a user that is not terminal may leave.
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

    /// The right to start a task as this attempt.
    ///
    /// # Errors
    ///
    /// There is no right to decide, or the first piece of evidence that speaks against it.
    pub fn start_permit(
        &self,
        now: Instant,
        task: TaskId,
        attempt: u64,
        evidence: StartEvidence,
    ) -> Result<StartPermit, Refusal> {
        self.leader_permit(now)?;
        let conditions = [
            (evidence.job_is_live, Refusal::JobNotLive),
            (evidence.dependencies_are_done, Refusal::DependenciesNotDone),
            (evidence.start_is_recorded, Refusal::StartNotRecorded),
            (!evidence.task_is_done, Refusal::TaskDone),
            (evidence.is_on_no_machine, Refusal::MayBeRunning),
            (evidence.machine_use_is_recorded, Refusal::MachineUseNotRecorded),
            (attempt > evidence.last_attempt, Refusal::AttemptReused),
        ];
        match conditions.into_iter().find(|(is_met, _)| !is_met) {
            Some((_, refusal)) => Err(refusal),
            None => Ok(StartPermit { task, attempt }),
        }
    }

    /// Until when the reply to a heartbeat may leave. One that decides something is valid as
    /// long as the lease. One that only stops tasks of terminal jobs renews the worker's lease
    /// and decides nothing: it is valid through the post-lease grace.
    pub fn heartbeat_reply_validity(&self, commands: &[Command]) -> Validity {
        let decides = commands.iter().any(|command| !matches!(command, Command::Stop { .. }));
        let valid_until = if decides { self.lease_expiry } else { self.grace_expiry() };
        Validity { epoch: self.epoch, valid_until }
    }
}

impl StartPermit {
    /// The command, for the reply to the heartbeat of the machine that was asked about.
    pub fn into_command(self) -> Command {
        Command::Start { task: self.task, attempt: self.attempt }
    }
}

/// An invariant that would have been broken. They hold whatever the controllers decide, and
/// are checked where they could be broken: the act is refused, counted and logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Violation {
    /// A start that had been decided has no permit.
    #[error("a decided start was refused: {0}")]
    Start(Refusal),
    /// A job would have left memory while tasks of it are on machines.
    #[error("a job with tasks on machines would have been evicted")]
    JobEvictedWithTasks,
    /// A record says that a job has started whose dependencies are not done.
    #[error("a record says that a job has started before its dependencies were done")]
    StartedBeforeDependencies,
    /// A leader would have begun a second time in one epoch.
    #[error("a leader would have begun a second time in an epoch")]
    EpochReused,
}

#[cfg(test)]
mod tests;
