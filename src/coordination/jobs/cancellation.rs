//! Cancellation of jobs by their users, and of the dependents of cancelled jobs.

use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::jobs::dependency_graph::Cancellation;
use crate::coordination::jobs::job::{Job, ReplyId};
use crate::coordination::leader::Leader;
use crate::protocol::jobs::JobId;

/// Who answers the request to cancel a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum CancelOutcome {
    /// The leader answers the request, now or once the outcome is committed.
    Accepted,
    /// The job is not in memory: the caller answers from its record.
    NotInMemory,
}

impl Leader {
    /// Handles a user's request to cancel a job.
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
            // A completion that is being written precedes the cancellation, and is kept.
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
        // Its running tasks are useless from now on, whether or not the write is committed. A
        // task whose image is still being fetched does not start.
        self.stop_remaining_tasks(now, job_id);
    }

    /// Answers the users who have requested the cancellation with the job's terminal state.
    pub(crate) fn answer_cancel_waiters(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let waiters = std::mem::take(&mut job.cancellation.waiters);
        let status = job.status();
        for reply in waiters {
            self.reply(reply, Answer::terminal_state(status.clone()));
        }
    }

    /// Cancels the dependents of a job once its cancellation is committed. They count as
    /// cancelled from then on, even before their own records say so. None of them has ever
    /// started.
    pub(crate) fn cancel_dependents(&mut self, now: Instant, job_id: &JobId) {
        for dependent in self.dependencies.cancel(job_id) {
            self.cancel_by_dependency(now, &dependent);
        }
    }

    /// Cancels a job because a job that it depends on is cancelled.
    pub(crate) fn cancel_by_dependency(&mut self, now: Instant, job_id: &JobId) {
        // A job that is being admitted is cancelled as soon as it is admitted.
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

    /// Cancels restored jobs that depend on a cancelled job and that an earlier leader had not
    /// cancelled yet.
    pub(crate) fn cancel_restored_dependents(&mut self, now: Instant) {
        let ids = self.jobs.values().map(Job::id);
        let is_cancelled = |id: &&JobId| self.dependencies.cancellation(id) == Cancellation::Cancelled;
        let cancelled: Vec<JobId> = ids.filter(is_cancelled).cloned().collect();
        for job_id in cancelled {
            self.cancel_by_dependency(now, &job_id);
        }
    }
}
