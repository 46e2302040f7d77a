//! In-memory state of a job on the leader.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::record_state::{BlockConversion, RecordState, RecordWriteInFlight};
use crate::coordination::jobs::task_placements::TaskPlacements;
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState, JobStatus};
use crate::protocol::workers::MachineId;
use crate::storage::records::JobRecord;

/// Identifies a user's request that waits for an answer; assigned by the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplyId(pub u64);

/// State of a job's cancellation.
#[derive(Debug, Default)]
pub struct JobCancellation {
    /// Requests that wait for its outcome.
    pub waiters: Vec<ReplyId>,
    /// The job is to be cancelled: none of its tasks is started any more.
    pub is_requested: bool,
    /// The cancellation of a job that it depends on is committed, so this job is cancelled
    /// too, even if its own record does not say so yet.
    pub by_dependency: bool,
    /// When the cancellation was committed, or read by a new leader.
    pub committed_at: Option<Instant>,
}

/// Failures of a job's tasks.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// Machines on which tasks have failed since a task last succeeded.
    pub machines: BTreeSet<MachineId>,
    /// End of the job's backoff, which begins when its tasks have failed on several machines:
    /// until then, only one of its tasks runs at a time.
    pub backoff_until: Option<Instant>,
}

/// Run times of a job's tasks that have ended.
#[derive(Debug, Default, Clone, Copy)]
struct RunTimes {
    count: u32,
    total_s: f64,
}

/// A job in the leader's memory.
#[derive(Debug)]
pub struct Job {
    /// The desired content of the record; `cancelled` and `completed` are set only once they
    /// are committed.
    pub record: JobRecord,
    /// The record and the row as stored, and their writes.
    pub stored: RecordState,
    /// The placements of its tasks.
    pub tasks: TaskPlacements,
    /// Its cancellation.
    pub cancellation: JobCancellation,
    /// Failures of its tasks.
    pub failures: JobFailures,
    /// Its team's quota; `None` if the settings do not name the team any more.
    pub team: Option<QuotaId>,
    /// When it was submitted.
    pub submitted_at: Instant,
    /// When the last job that it depends on was done, or its submission if that was later;
    /// `None` while it waits for its dependencies.
    pub ready_at: Option<Instant>,
    /// No task of the job starts before this time. Set for a job that was restored after the
    /// failover: machines may still hold tasks of it that they had reported when the leader did
    /// not know the job.
    pub not_before: Option<Instant>,
    /// The CPUs (GPUs if it needs any) that its unfinished tasks would use if all ran at once, at
    /// most its team's limit, as of when it was first added to the measured demand; `None`
    /// before.
    pub offered_load: Option<f64>,
    run_times: RunTimes,
}

impl Job {
    /// A job with this record and `blocks` separate blocks of done tasks.
    pub fn new(
        record: JobRecord,
        record_version: u64,
        live_row_version: u64,
        submitted_at: Instant,
        blocks: u32,
    ) -> Self {
        Job {
            stored: RecordState::new(&record, record_version, live_row_version, blocks),
            tasks: TaskPlacements::default(),
            cancellation: JobCancellation::default(),
            failures: JobFailures::default(),
            team: None,
            submitted_at,
            ready_at: Some(submitted_at),
            not_before: None,
            offered_load: None,
            run_times: RunTimes::default(),
            record,
        }
    }

    /// Its id.
    pub fn id(&self) -> &JobId {
        &self.record.spec.id
    }

    /// Its description as submitted by its user.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Whether a write that makes the job terminal is in flight. The write may be committed,
    /// and read by others, before its outcome arrives here. Until then only the record, and
    /// not the state in memory, says whether the job is terminal.
    pub fn has_terminal_write_in_flight(&self) -> bool {
        if self.cancellation.by_dependency {
            return false;
        }
        // An earlier attempt at a rejected write may have been committed without a response.
        let is_rejected =
            self.stored.is_rejected && (self.cancellation.is_requested || self.record.all_tasks_done());
        is_rejected || self.stored.write_in_flight.as_ref().is_some_and(RecordWriteInFlight::is_terminal)
    }

    /// Whether tasks may still be started. No task starts once a cancellation is requested;
    /// only the answers to users depend on whether it is committed.
    pub fn is_startable(&self) -> bool {
        self.record.terminal_state().is_none() && !self.cancellation.is_requested
    }

    /// Whether a job that it depends on is not done yet.
    pub fn waits_for_dependencies(&self) -> bool {
        self.ready_at.is_none()
    }

    /// Time from which the job's age and waiting time are measured; `now` while it waits for its
    /// dependencies.
    pub fn waiting_since(&self, now: Instant) -> Instant {
        self.ready_at.unwrap_or(now)
    }

    /// Switches to the new blocks of a conversion, which the stored record now names.
    pub fn adopt_blocks(&mut self, conversion: BlockConversion, value_kb: f64) {
        self.record.block_tasks = Some(conversion.block_tasks);
        self.stored.adopt_blocks(&self.record, conversion, value_kb);
    }

    /// Its state as reported to users.
    pub fn status(&self) -> JobStatus {
        let mut status = self.record.status();
        if self.cancellation.by_dependency {
            return JobStatus { state: JobState::Cancelled, ..status };
        }
        if status.state == JobState::Queued && self.tasks.running_count > 0 {
            status.state = JobState::Running;
            status.running_tasks = self.tasks.running_count;
        }
        status
    }

    /// The number of tasks that are neither done nor assigned to a machine; 0 while no task of
    /// the job may start.
    pub fn pending(&self) -> u32 {
        if !self.is_startable() || self.waits_for_dependencies() {
            return 0;
        }
        self.unfinished().saturating_sub(self.tasks.assigned_count())
    }

    /// Whether the task is neither done nor assigned to a machine.
    pub fn is_task_pending(&self, index: u32) -> bool {
        self.tasks.is_pending(&self.record, index)
    }

    /// The number of tasks that are not done yet.
    pub fn unfinished(&self) -> u32 {
        self.spec().task_count - self.record.done.len()
    }

    /// Whether its tasks have failed on several machines and one is on a machine now: during the
    /// backoff only one task runs at a time.
    pub fn must_back_off(&self, now: Instant) -> bool {
        let backs_off = self.failures.backoff_until.is_some_and(|until| now < until);
        backs_off && !self.tasks.assigned.is_empty()
    }

    /// The next task at or above `first` that is neither done nor assigned.
    pub fn next_pending(&mut self, first: u32) -> Option<u32> {
        self.tasks.next_pending(&self.record, first)
    }

    /// Records the run time, in seconds, of a task that has ended.
    pub fn record_run(&mut self, run_s: f64) {
        self.run_times.count = self.run_times.count.saturating_add(1);
        self.run_times.total_s += run_s;
    }

    /// Mean run time of its ended tasks in seconds; `None` if no task has ended.
    pub fn mean_run_s(&self) -> Option<f64> {
        let RunTimes { count, total_s } = self.run_times;
        (count > 0).then(|| total_s / f64::from(count))
    }

    /// Whether it is a service, whose replicas run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec().kind == JobKind::Service
    }
}
