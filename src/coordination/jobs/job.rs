//! What the leader holds in memory of a job.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::record_state::{BlockConversion, RecordState, RecordWriteInFlight};
use crate::coordination::jobs::task_placements::TaskPlacements;
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState, JobStatus};
use crate::protocol::workers::MachineId;
use crate::storage::records::JobRecord;

/// Names a user's request that waits for an answer; given out by the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplyId(pub u64);

/// A job's cancellation.
#[derive(Debug, Default)]
pub struct JobCancellation {
    /// Users who wait for its outcome.
    pub waiters: Vec<ReplyId>,
    /// It is to be cancelled: nothing of it is started any more.
    pub is_requested: bool,
    /// A job that it depends on is cancelled, which is committed: so is this one, whatever
    /// its own record says yet.
    pub by_dependency: bool,
    /// When its cancellation was committed, or read by a new leader.
    pub committed_at: Option<Instant>,
}

/// Failures of a job's tasks.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// Machines on which tasks have failed since one last succeeded.
    pub machines: BTreeSet<MachineId>,
    /// While it fails everywhere, only one task at a time starts until then.
    pub backoff_until: Option<Instant>,
}

/// Run times of a job's tasks that have ended.
#[derive(Debug, Default, Clone, Copy)]
struct RunTimes {
    count: u32,
    total_s: f64,
}

/// A job that the leader knows.
#[derive(Debug)]
pub struct Job {
    /// The record as it should be. `cancelled` and `completed` are set only once they are
    /// committed.
    pub record: JobRecord,
    /// The record and the row as they are in the store, and their writes.
    pub stored: RecordState,
    /// Which of its tasks are on machines, and which are next.
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
    /// `None` while it waits for others.
    pub ready_at: Option<Instant>,
    /// Brought back by the reconciler: before then tasks of it may be on machines that took
    /// them for another job's.
    pub not_before: Option<Instant>,
    /// What all its tasks asked for at once, in units of its demand group, when it entered
    /// the measured demand.
    pub offered_load: Option<f64>,
    run_times: RunTimes,
}

impl Job {
    /// A job with this record. `blocks`: how many blocks of done tasks it has beside it.
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

    /// What its user asked for.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Whether a write that makes the job terminal is under way: it may have been carried
    /// out, and others may have read it, before its outcome is heard here. Until then memory
    /// does not say what the job is; the record does.
    pub fn has_terminal_write_in_flight(&self) -> bool {
        if self.cancellation.by_dependency {
            return false;
        }
        // A rejected write may have been carried out by an earlier try without an answer.
        let is_rejected =
            self.stored.is_rejected && (self.cancellation.is_requested || self.record.all_tasks_done());
        is_rejected || self.stored.write_in_flight.as_ref().is_some_and(RecordWriteInFlight::is_terminal)
    }

    /// Whether tasks may still be started. A requested cancellation ends that at once;
    /// whether it is committed only matters for what users are answered.
    pub fn is_startable(&self) -> bool {
        self.record.terminal_state().is_none() && !self.cancellation.is_requested
    }

    /// Whether a job that it depends on is not done yet.
    pub fn waits_for_dependencies(&self) -> bool {
        self.ready_at.is_none()
    }

    /// From when its age and its waits count; now, while it waits for others.
    pub fn waiting_since(&self, now: Instant) -> Instant {
        self.ready_at.unwrap_or(now)
    }

    /// Its done tasks are in new blocks, which its record names.
    pub fn adopt_blocks(&mut self, conversion: BlockConversion, value_kb: f64) {
        self.record.block_tasks = Some(conversion.block_tasks);
        self.stored.adopt_blocks(&self.record, conversion, value_kb);
    }

    /// Its state as users are answered.
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

    /// Tasks neither done nor on a machine.
    pub fn pending(&self) -> u32 {
        if !self.is_startable() || self.waits_for_dependencies() {
            return 0;
        }
        self.unfinished().saturating_sub(self.tasks.assigned_count())
    }

    /// Tasks not done yet.
    pub fn unfinished(&self) -> u32 {
        self.spec().task_count - self.record.done.len()
    }

    /// The next task from `least` on that may be started.
    pub fn next_pending(&mut self, least: u32) -> Option<u32> {
        self.tasks.next_pending(&self.record, least)
    }

    /// A task of it has run to its end, for so many seconds.
    pub fn record_run(&mut self, run_s: f64) {
        self.run_times.count = self.run_times.count.saturating_add(1);
        self.run_times.total_s += run_s;
    }

    /// How long its tasks have run so far on average, in seconds, if any has ended.
    pub fn mean_run_s(&self) -> Option<f64> {
        let RunTimes { count, total_s } = self.run_times;
        (count > 0).then(|| total_s / f64::from(count))
    }

    /// Whether it is a service, whose replicas run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec().kind == JobKind::Service
    }
}
