//! What the store holds of a job, as far as the leader knows, and the writes that change it.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::storage::done_set::DoneSet;
use crate::storage::records::JobRecord;

/// A write of a job's record that is under way: what holds once it is committed.
#[derive(Debug)]
pub struct RecordWriteInFlight {
    /// The record will say that the job is cancelled.
    pub cancelled: bool,
    /// The record will say that all tasks are done.
    pub completed: bool,
    /// The done tasks that will be in the store.
    pub done: DoneSet,
    /// The bound on started tasks that the record will have.
    pub started_high_water: u32,
    /// Which keys it changes.
    pub scope: WriteScope,
}

/// Which of a job's keys a write changes.
#[derive(Debug)]
pub enum WriteScope {
    /// The record, and blocks of done tasks beside it.
    Record {
        /// The numbers of these blocks.
        blocks: Vec<u32>,
    },
    /// The record without its done tasks.
    WithoutDoneTasks,
    /// Further blocks of a conversion; the record does not name them yet.
    NewBlocks {
        /// How many.
        count: u32,
    },
    /// The record that names a conversion's blocks.
    SwitchLayout,
}

impl RecordWriteInFlight {
    /// A write after which the record says this.
    pub fn new(record: &JobRecord, done: DoneSet, scope: WriteScope) -> Self {
        let JobRecord { cancelled, completed, started_high_water, .. } = *record;
        RecordWriteInFlight { cancelled, completed, done, started_high_water, scope }
    }

    /// Whether the job is terminal once it is committed.
    pub fn is_terminal(&self) -> bool {
        self.cancelled || self.completed
    }
}

/// Done tasks that are being copied into smaller blocks.
#[derive(Debug)]
pub struct BlockConversion {
    /// Tasks in each new block.
    pub block_tasks: u32,
    /// The done tasks as they were when it began.
    pub done: DoneSet,
    /// Versions of the blocks that are written.
    pub versions: Vec<u64>,
}

impl BlockConversion {
    /// A conversion of which nothing is written yet.
    pub fn new(block_tasks: u32, done: DoneSet) -> Self {
        BlockConversion { block_tasks, done, versions: Vec::new() }
    }
}

/// Where a terminal job's row is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowState {
    /// Among the live jobs' rows.
    Live,
    /// On its way to the archive.
    Archiving,
    /// In the archive; the job stays in memory for tasks that machines have shown since.
    Archived,
}

/// A job's record, blocks of done tasks and row as they are in the store.
#[derive(Debug)]
pub struct RecordState {
    /// Done tasks as committed.
    pub done: DoneSet,
    /// The bound on started tasks as committed.
    pub started_high_water: u32,
    /// The record's version.
    pub version: u64,
    /// The versions of the blocks of done tasks; 0 for one that does not exist.
    pub block_versions: Vec<u64>,
    /// The version of its row among the live jobs.
    pub live_row_version: u64,
    /// Blocks that have changed since they were written.
    pub dirty_blocks: BTreeSet<u32>,
    /// When the first task was done that is not written yet.
    pub dirty_since: Option<Instant>,
    /// The write under way; there is one at most.
    pub write_in_flight: Option<RecordWriteInFlight>,
    /// Its done tasks are being copied into smaller blocks.
    pub conversion: Option<BlockConversion>,
    /// It was rejected for its size: once terminal, it is written without done tasks.
    pub is_too_large: bool,
    /// It was rejected in every size, and is not written for a while.
    pub is_rejected: bool,
    /// Where its row is.
    pub row: RowState,
}

impl RecordState {
    /// A record that was just read, or written for the first time.
    pub fn new(record: &JobRecord, version: u64, live_row_version: u64, blocks: u32) -> Self {
        RecordState {
            done: record.done.clone(),
            started_high_water: record.started_high_water,
            version,
            block_versions: vec![0; blocks as usize],
            live_row_version,
            dirty_blocks: BTreeSet::new(),
            dirty_since: None,
            write_in_flight: None,
            conversion: None,
            is_too_large: false,
            is_rejected: false,
            row: RowState::Live,
        }
    }

    /// A write of the record was committed at this version. Returns the conversion that it has
    /// ended, if it named the conversion's blocks.
    #[must_use]
    pub fn apply_commit(&mut self, write: RecordWriteInFlight, version: u64) -> Option<BlockConversion> {
        self.version = version;
        self.done = write.done;
        self.started_high_water = write.started_high_water;
        match write.scope {
            WriteScope::Record { blocks } => {
                for block in blocks {
                    if let Some(known) = self.block_versions.get_mut(block as usize) {
                        *known = version;
                    }
                }
                None
            }
            WriteScope::SwitchLayout => self.conversion.take(),
            WriteScope::WithoutDoneTasks | WriteScope::NewBlocks { .. } => None,
        }
    }

    /// The done tasks are in new blocks, which the record names.
    pub fn adopt_blocks(&mut self, record: &JobRecord, conversion: BlockConversion, value_kb: f64) {
        self.block_versions = conversion.versions;
        let layout = record.layout(value_kb);
        let is_unwritten = |task: &u32| record.done.contains(*task) && !self.done.contains(*task);
        let unwritten = (0..record.spec.task_count).filter(is_unwritten);
        self.dirty_blocks =
            unwritten.filter_map(|task| layout.block_tasks().map(|size| task / size)).collect();
    }
}
