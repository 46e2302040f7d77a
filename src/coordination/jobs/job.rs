//! What the leader holds in memory of jobs, their tasks on machines, and teams.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState, JobStatus};
use crate::protocol::workers::MachineId;
use crate::storage::done_set::DoneSet;
use crate::storage::records::JobRecord;

/// Where an answer goes; given out by the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplyId(pub u64);

/// What a write of a job's record contains, to be taken over once committed.
#[derive(Debug)]
pub struct RecordWriteInFlight {
    pub cancelled: bool,
    pub completed: bool,
    /// Done tasks that are committed once this is.
    pub done: DoneSet,
    pub started_high_water: u32,
    pub scope: WriteScope,
}

/// Which of a job's keys a write changes.
#[derive(Debug)]
pub enum WriteScope {
    /// The record, and blocks of done tasks beside it.
    Record { blocks: Vec<u32> },
    /// The record without its done tasks.
    WithoutDoneTasks,
    /// So many further blocks of a conversion; the record does not name them yet.
    NewBlocks { count: u32 },
    /// The record that names a conversion's blocks.
    SwitchLayout,
}

impl RecordWriteInFlight {
    /// What the record will say.
    pub fn new(record: &JobRecord, done: DoneSet, part: WriteScope) -> Self {
        let JobRecord { cancelled, completed: settled, started_high_water: begun, .. } = *record;
        RecordWriteInFlight { cancelled, completed: settled, done, started_high_water: begun, scope: part }
    }
}

/// Done tasks that are being copied into smaller blocks.
#[derive(Debug)]
pub struct BlockConversion {
    pub block_tasks: u32,
    /// The done tasks as they were when it began.
    pub done: DoneSet,
    /// Versions of the blocks that are written.
    pub versions: Vec<u64>,
}

impl BlockConversion {
    pub fn new(block_tasks: u32, done: DoneSet) -> Self {
        BlockConversion { block_tasks, done, versions: Vec::new() }
    }
}

#[derive(Debug)]
pub struct Job {
    /// The record as it should be. `cancelled` and `settled` are set only
    /// once they are committed.
    pub record: JobRecord,
    /// Done tasks as committed.
    pub committed_done: DoneSet,
    /// The bound on started tasks as committed.
    pub committed_high_water: u32,
    /// Tasks below may be on a machine that this epoch has not heard yet; 0 for
    /// a job accepted in this epoch.
    pub unreconciled_below: u32,
    pub record_version: u64,
    pub block_versions: Vec<u64>,
    pub live_row_version: u64,
    pub dirty_blocks: BTreeSet<u32>,
    pub dirty_since: Option<Instant>,
    pub write_in_flight: Option<RecordWriteInFlight>,
    pub conversion: Option<BlockConversion>,
    /// Its record was refused for its size: once final, it is written without done tasks.
    pub record_too_large: bool,
    /// Its record was refused in every size, and is not written for a while.
    pub record_rejected: bool,
    pub archiving: bool,
    /// Its row is among those of finished jobs; it stays in memory for tasks shown since.
    pub archived: bool,
    /// Users who wait for a cancellation.
    pub cancel_waiters: Vec<ReplyId>,
    pub cancel_requested: bool,
    /// A job that it needs is cancelled, which is committed: so is this one, whatever its
    /// own record says yet.
    pub cancelled_by_dependency: bool,
    /// When its cancellation was committed, or read by a new leader.
    pub cancelled_at: Option<Instant>,
    pub team: Option<QuotaId>,
    pub submitted_at: Instant,
    /// When the last job that it needs was done, or its submission if that was later;
    /// `None` while it waits for others.
    pub ready_at: Option<Instant>,
    pub placements: HashMap<u32, MachineId>,
    /// Tasks that came back from a machine and wait again.
    pub requeued: BTreeSet<u32>,
    /// Tasks from here on have not been looked at yet.
    next_task: u32,
    /// The same among those that need not wait for unheard machines.
    next_reconciled_task: u32,
    /// Slots on any machine, also such that should not be there.
    pub slot_count: u32,
    pub running_count: u32,
    /// Failures on different machines since a task last succeeded.
    pub failed_on: BTreeSet<MachineId>,
    pub backoff_until: Option<Instant>,
    /// Brought back by the reconciler: tasks of it may be on machines that
    /// took them for another job's until now.
    pub not_before: Option<Instant>,
    /// The room that all its tasks asked for at once, when it entered the
    /// measured demand.
    pub offered_load: Option<f64>,
    /// Run times of its tasks that have ended: how many, and in all.
    completed_runs: (u32, f64),
}

impl Job {
    pub fn new(record: JobRecord, version: u64, live_version: u64, submitted: Instant, blocks: u32) -> Self {
        let recorded = record.done.clone();
        Job {
            committed_done: recorded,
            committed_high_water: record.started_high_water,
            unreconciled_below: 0,
            record_version: version,
            block_versions: vec![0; blocks as usize],
            live_row_version: live_version,
            dirty_blocks: BTreeSet::new(),
            dirty_since: None,
            write_in_flight: None,
            conversion: None,
            record_too_large: false,
            record_rejected: false,
            archiving: false,
            archived: false,
            cancel_waiters: Vec::new(),
            cancel_requested: false,
            cancelled_by_dependency: false,
            cancelled_at: None,
            team: None,
            submitted_at: submitted,
            ready_at: Some(submitted),
            placements: HashMap::default(),
            requeued: BTreeSet::new(),
            next_task: 0,
            next_reconciled_task: 0,
            slot_count: 0,
            running_count: 0,
            failed_on: BTreeSet::new(),
            backoff_until: None,
            not_before: None,
            offered_load: None,
            completed_runs: (0, 0.0),
            record,
        }
    }

    pub fn id(&self) -> &JobId {
        &self.record.spec.id
    }

    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// A write that makes the job final is under way: it may have been carried out, and
    /// others may have read it, before its outcome is heard here. Until then memory does
    /// not say what the job is; the record does.
    pub fn has_terminal_write_in_flight(&self) -> bool {
        if self.cancelled_by_dependency {
            return false;
        }
        let is_final = |write: &RecordWriteInFlight| write.cancelled || write.completed;
        // One that was refused may have been carried out by an earlier try without an answer.
        let refused = self.record_rejected && (self.cancel_requested || self.record.all_tasks_done());
        refused || self.write_in_flight.as_ref().is_some_and(is_final)
    }

    /// Whether tasks may still be started. A wanted cancellation ends that at
    /// once; whether it is committed only matters for what users are told.
    pub fn is_startable(&self) -> bool {
        self.record.terminal_state().is_none() && !self.cancel_requested
    }

    /// Whether a job that it needs is not done yet.
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
        self.block_versions = conversion.versions;
        let layout = self.record.layout(value_kb);
        let tasks = self.spec().tasks;
        let unwritten =
            (0..tasks).filter(|&n| self.record.done.contains(n) && !self.committed_done.contains(n));
        self.dirty_blocks = unwritten.filter_map(|n| layout.block_tasks().map(|size| n / size)).collect();
    }

    pub fn status(&self) -> JobStatus {
        let mut status = self.record.status();
        if self.cancelled_by_dependency {
            return JobStatus { state: JobState::Cancelled, ..status };
        }
        if status.state == JobState::Queued && self.running_count > 0 {
            status.state = JobState::Running;
            status.running = self.running_count;
        }
        status
    }

    /// Tasks neither done nor on a machine.
    pub fn pending(&self) -> u32 {
        if !self.is_startable() || self.waits_for_dependencies() {
            return 0;
        }
        (self.spec().tasks - self.record.done.len()).saturating_sub(self.placements.len() as u32)
    }

    /// Tasks not done yet.
    pub fn unfinished(&self) -> u32 {
        self.spec().tasks - self.record.done.len()
    }

    fn is_free(&self, task: u32) -> bool {
        !self.record.done.contains(task) && !self.placements.contains_key(&task)
    }

    /// The next task from `least` on that may be started.
    pub fn next_pending(&mut self, least: u32) -> Option<u32> {
        while let Some(&task) = self.requeued.range(least..).next() {
            if self.is_free(task) {
                return Some(task);
            }
            self.requeued.remove(&task);
        }
        let mut at = if least == 0 { self.next_task } else { self.next_reconciled_task.max(least) };
        while at < self.spec().tasks && !self.is_free(at) {
            at += 1;
        }
        *(if least == 0 { &mut self.next_task } else { &mut self.next_reconciled_task }) = at;
        (at < self.spec().tasks).then_some(at)
    }

    pub fn record_run(&mut self, seconds: f64) {
        self.completed_runs = (self.completed_runs.0.saturating_add(1), self.completed_runs.1 + seconds);
    }

    /// How long its tasks have run so far, if any has ended.
    pub fn mean_run_s(&self) -> Option<f64> {
        (self.completed_runs.0 > 0).then(|| self.completed_runs.1 / f64::from(self.completed_runs.0))
    }

    pub fn is_service(&self) -> bool {
        self.spec().kind == JobKind::Service
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotState {
    /// The start went out in the answer to the report with this number.
    StartSent {
        sequence: u64,
    },
    Fetching,
    Running,
    Saving,
}

/// Room on a machine that a task takes, or may take.
#[derive(Debug, Clone)]
pub struct Slot {
    pub attempt: u64,
    pub state: SlotState,
    pub resources: Resources,
    pub team: Option<QuotaId>,
    /// Since when it has been in this state.
    pub since: Instant,
    /// Seconds of grace with which it is to stop.
    pub stop_grace_s: Option<f64>,
    /// The job counts on this slot; otherwise the task should not be here.
    pub assigned: bool,
}

pub type SlotKey = (JobId, u32);
