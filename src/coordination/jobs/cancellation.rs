//! Cancellation of jobs by their users, and of those that depend on a cancelled job.

use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::jobs::dependency_graph::Cancellation;
use crate::coordination::jobs::job::{Job, ReplyId};
use crate::coordination::leader::Leader;
use crate::protocol::jobs::JobId;

/// Where the answer to a cancellation comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum CancelOutcome {
    /// The leader answers the request, now or once the outcome is committed.
    Accepted,
    /// The job is not in memory: its record decides.
    NotInMemory,
}

impl Leader {
    /// A user cancels a job.
    pub fn cancel(&mut self, now: Instant, reply: ReplyId, job_id: &JobId) -> CancelOutcome {
        let holds_lease = self.holds_lease(now);
        let Some(job) = self.jobs.get_mut(job_id) else {
            if !self.admissions.contains(job_id) {
                return CancelOutcome::NotInMemory;
            }
            self.reply(reply, Answer::retry_later(503, "being accepted", 1));
            return CancelOutcome::Accepted;
        };
        let status = job.status();
        if status.state.is_terminal() {
            self.reply(reply, Answer::terminal_state(status));
        } else if !holds_lease {
            self.reply(reply, Answer::retry_later(503, "not leading now", 1));
        } else {
            job.cancellation.waiters.push(reply);
            // A completion on its way to the store comes first, and stays.
            let is_completing = job.stored.write_in_flight.as_ref().is_some_and(|write| write.completed);
            if !is_completing {
                job.cancellation.is_requested = true;
                self.begin_cancellation(now, job_id);
            }
        }
        CancelOutcome::Accepted
    }

    fn begin_cancellation(&mut self, now: Instant, job_id: &JobId) {
        self.dependencies.mark_cancellation_pending(job_id);
        self.write_record(now, job_id);
        // What it runs is of no use from now on, whatever becomes of the write; and an image
        // that arrives meanwhile starts nothing.
        self.stop_remaining_tasks(now, job_id);
    }

    /// Answers those who have asked to cancel a job with its terminal state.
    pub(crate) fn answer_cancel_waiters(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let waiters = std::mem::take(&mut job.cancellation.waiters);
        let status = job.status();
        for reply in waiters {
            self.reply(reply, Answer::terminal_state(status.clone()));
        }
    }

    /// A job is cancelled, and that is committed: so are its dependents, whatever becomes of
    /// the writes of their own records. None of them has ever started.
    pub(crate) fn cancel_dependents(&mut self, now: Instant, job_id: &JobId) {
        for dependent in self.dependencies.cancel(job_id) {
            self.cancel_by_dependency(now, &dependent);
        }
    }

    /// Cancels a job since one that it depends on is cancelled.
    pub(crate) fn cancel_by_dependency(&mut self, now: Instant, job_id: &JobId) {
        // One that is being admitted is cancelled as soon as it is.
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if job.record.terminal_state().is_some() {
            return;
        }
        tracing::debug!(job = %job_id, "job cancelled by dependency");
        job.cancellation.by_dependency = true;
        job.cancellation.is_requested = true;
        self.answer_cancel_waiters(job_id);
        self.write_record(now, job_id);
    }

    /// Finishes what an earlier leader has left: dependents of cancelled jobs.
    pub(crate) fn cancel_restored_dependents(&mut self, now: Instant) {
        let ids = self.jobs.values().map(Job::id);
        let is_cancelled = |id: &&JobId| self.dependencies.cancellation(id) == Cancellation::Cancelled;
        let cancelled: Vec<JobId> = ids.filter(is_cancelled).cloned().collect();
        for job_id in cancelled {
            self.cancel_by_dependency(now, &job_id);
        }
    }
}
