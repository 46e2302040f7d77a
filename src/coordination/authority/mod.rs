//! Authorization of everything that is done under an epoch.
//!
//! [`LeadershipTerm`] decides it in one place, from the current state of the leadership and
//! the evidence for the action. Only this module can construct the permits that it returns: a
//! start command is made from a [`StartPermit`], a request that changes anything in the cloud
//! takes a [`LeaderPermit`], and an answer carries a [`Validity`] that is checked again when
//! the answer is sent ([`answers::Answer::checked_at_sending`]). A code path that skips the
//! check does not compile.
//!
//! Writes to the key-value store take no permit: each carries the epoch as a condition, which
//! the store itself checks.

pub mod answers;
pub(crate) mod attempts;

use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::coordination::authority::answers::Validity;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::Command;

/// A controller's leadership for one epoch. It alone decides what the controller may do under
/// that epoch.
#[derive(Debug, Clone, Copy)]
pub struct LeadershipTerm {
    epoch: u64,
    /// When the lease expires by the local clock, counted from when the renewal was sent.
    lease_expiry: Instant,
    /// How long after the lease expires workers may still be replied to, with stop commands only.
    post_lease_grace: Duration,
    /// Another controller leads or is about to: no state of this epoch may be used any more.
    is_fenced: bool,
}

/// The facts that decide whether a task may be started.
#[derive(Debug, Clone, Copy)]
pub struct StartEvidence {
    /// The job is not terminal, and is not being cancelled.
    pub job_is_live: bool,
    /// The job has no dependencies, or commits have shown that all of them are done.
    pub dependencies_are_done: bool,
    /// The committed record of the job says that the task may have started.
    pub start_is_recorded: bool,
    /// The record of the job says that the task is done.
    pub task_is_done: bool,
    /// The task occupies no slot of a machine, and it cannot be on a machine that is not
    /// reconciled yet.
    pub is_on_no_machine: bool,
    /// The committed record of the node pool says that the machine may hold tasks.
    pub machine_use_is_recorded: bool,
    /// The last attempt number assigned in this epoch.
    pub last_attempt: u64,
}

/// Why an action is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Another controller leads or is about to.
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

/// Permission to start one attempt of a task.
#[derive(Debug)]
pub struct StartPermit {
    task: TaskId,
    attempt: u64,
}

/// Permission for an action that only a leader with a valid lease may take.
#[derive(Debug, Clone, Copy)]
pub struct LeaderPermit(());

impl LeadershipTerm {
    /// A term whose lease has not been extended yet: it grants no permits.
    pub fn new(epoch: u64, now: Instant, post_lease_grace: Duration) -> Self {
        LeadershipTerm { epoch, lease_expiry: now, post_lease_grace, is_fenced: false }
    }

    /// The epoch, which is also the fencing token that workers see.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// When the lease expires, unless it is extended.
    pub fn lease_expiry(&self) -> Instant {
        self.lease_expiry
    }

    /// When the post-lease grace period ends, in which workers may still be replied to, but
    /// only with stops of terminal jobs.
    pub fn grace_expiry(&self) -> Instant {
        self.lease_expiry + self.post_lease_grace
    }

    /// Whether the epoch is known to be over.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Ends the term permanently.
    pub fn fence(&mut self) {
        self.is_fenced = true;
    }

    /// Sets the new expiry of the lease after a renewal.
    pub fn extend(&mut self, lease_expiry: Instant) {
        self.lease_expiry = lease_expiry;
    }

    /// Whether the controller may make decisions under this epoch now.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.leader_permit(now).is_ok()
    }

    /// Until when a non-terminal answer to a user may be sent.
    pub fn validity(&self) -> Validity {
        Validity { epoch: self.epoch, valid_until: self.lease_expiry }
    }

    /// Permission to make decisions under this epoch.
    ///
    /// # Errors
    ///
    /// [`Refusal::Fenced`] if the epoch is over, [`Refusal::LeaseExpired`] if its lease has
    /// expired.
    pub fn leader_permit(&self, now: Instant) -> Result<LeaderPermit, Refusal> {
        if self.is_fenced {
            return Err(Refusal::Fenced);
        }
        if now >= self.lease_expiry {
            return Err(Refusal::LeaseExpired);
        }
        Ok(LeaderPermit(()))
    }

    /// Permission to start a task with this attempt number.
    ///
    /// # Errors
    ///
    /// The refusal of [`Self::leader_permit`], or the first condition that the evidence does
    /// not meet.
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

    /// Until when the reply to a heartbeat may be sent. A reply that makes a decision is valid
    /// until the lease expires. A reply that only stops tasks of terminal jobs renews the
    /// worker's lease and decides nothing: it is valid until the post-lease grace period ends.
    pub fn heartbeat_reply_validity(&self, commands: &[Command]) -> Validity {
        let decides = commands.iter().any(|command| !matches!(command, Command::Stop { .. }));
        let valid_until = if decides { self.lease_expiry } else { self.grace_expiry() };
        Validity { epoch: self.epoch, valid_until }
    }
}

impl StartPermit {
    /// The start command, to be sent in the reply to the heartbeat of the machine that the
    /// evidence was about.
    pub fn into_command(self) -> Command {
        Command::Start { task: self.task, attempt: self.attempt }
    }
}

/// A prevented violation of an invariant. The invariants hold whatever the controllers decide.
/// They are checked wherever they could be violated; the action is refused, counted and
/// logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Violation {
    /// The scheduler decided to start a task, but the start was not permitted.
    #[error("a decided start was refused: {0}")]
    Start(Refusal),
    /// A job would have been evicted from memory while machines still had tasks of it.
    #[error("a job with tasks on machines would have been evicted")]
    JobEvictedWithTasks,
    /// The record of a job says that it has started although its dependencies are not done.
    #[error("a record says that a job has started before its dependencies were done")]
    StartedBeforeDependencies,
    /// A second leader state machine would have been started in the same epoch.
    #[error("a leader would have begun a second time in an epoch")]
    EpochReused,
}

#[cfg(test)]
mod tests;
