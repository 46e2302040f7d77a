//! The stored state of a job as the leader knows it, and the writes that change it.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::storage::done_set::DoneSet;
use crate::storage::records::JobRecord;

/// A write of a job's record that is in flight: the stored state once it is committed.
#[derive(Debug)]
pub struct RecordWriteInFlight {
    /// The record will say that the job is cancelled.
    pub cancelled: bool,
    /// The record will say that all tasks are done.
    pub completed: bool,
    /// The done tasks that the store will hold.
    pub done: DoneSet,
    /// The started high-water mark that the record will have.
    pub started_high_water: u32,
    /// Which keys it changes.
    pub scope: WriteScope,
}

/// Which of a job's keys a write changes.
#[derive(Debug)]
pub enum WriteScope {
    /// The record and some of its blocks of done tasks.
    Record {
        /// The numbers of the blocks.
        blocks: Vec<u32>,
    },
    /// The terminal record in its reduced form.
    Reduced,
    /// Further blocks of a conversion; the record does not name them yet.
    NewBlocks {
        /// The number of blocks.
        count: u32,
    },
    /// The record that names a conversion's blocks.
    SwitchLayout,
}

impl RecordWriteInFlight {
    /// A write after which the store holds this record and these done tasks.
    pub fn new(record: &JobRecord, done: DoneSet, scope: WriteScope) -> Self {
        let JobRecord { cancelled, completed, started_high_water, .. } = *record;
        RecordWriteInFlight { cancelled, completed, done, started_high_water, scope }
    }

    /// Whether the job is terminal once the write is committed.
    pub fn is_terminal(&self) -> bool {
        self.cancelled || self.completed
    }
}

/// Done tasks that are being copied into smaller blocks.
#[derive(Debug)]
pub struct BlockConversion {
    /// Tasks in each new block.
    pub block_tasks: u32,
    /// The done tasks at the beginning of the conversion.
    pub done: DoneSet,
    /// Versions of the new blocks that are already written.
    pub versions: Vec<u64>,
}

impl BlockConversion {
    /// A conversion without written blocks.
    pub fn new(block_tasks: u32, done: DoneSet) -> Self {
        BlockConversion { block_tasks, done, versions: Vec::new() }
    }
}

/// Where a terminal job's row is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowState {
    /// Among the rows of live jobs.
    Live,
    /// It is queued for the archive, or its move is in flight.
    Archiving,
    /// In the archive; the job stays in memory because machines have since reported tasks of it.
    Archived,
}

/// A job's record, blocks of done tasks and row as they are in the store.
#[derive(Debug)]
pub struct RecordState {
    /// Done tasks as committed.
    pub done: DoneSet,
    /// The started high-water mark as committed.
    pub started_high_water: u32,
    /// The record's version.
    pub version: u64,
    /// The versions of the blocks of done tasks; 0 for a block that does not exist.
    pub block_versions: Vec<u64>,
    /// The version of its row among the live jobs.
    pub live_row_version: u64,
    /// Blocks that have changed since they were written.
    pub dirty_blocks: BTreeSet<u32>,
    /// When the first done task that is not written yet was done.
    pub dirty_since: Option<Instant>,
    /// The write in flight; there is at most one.
    pub write_in_flight: Option<RecordWriteInFlight>,
    /// The conversion in progress, if its done tasks are being copied into smaller blocks.
    pub conversion: Option<BlockConversion>,
    /// The version of the key that holds the job's progress, 0 before its first write; `None` while
    /// the record holds the progress.
    pub progress_version: Option<u64>,
    /// The store rejected the job's terminal record for its size: a terminal record of the job
    /// is written in its reduced form from now on.
    pub is_too_large: bool,
    /// The store rejected the record in every size; it is not written until its next retry.
    pub is_rejected: bool,
    /// Where its row is.
    pub row: RowState,
}

impl RecordState {
    /// The state of a record that was just read, or written for the first time.
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
            progress_version: None,
            is_too_large: false,
            is_rejected: false,
            row: RowState::Live,
        }
    }

    /// Applies a write of the record that was committed at this version. Returns the
    /// conversion if the write has ended it by naming its blocks.
    #[must_use]
    pub fn apply_commit(&mut self, write: RecordWriteInFlight, version: u64) -> Option<BlockConversion> {
        match &mut self.progress_version {
            Some(progress_version) if !write.is_terminal() => *progress_version = version,
            _ => self.version = version,
        }
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
            WriteScope::Reduced | WriteScope::NewBlocks { .. } => None,
        }
    }

    /// Replaces the blocks after a conversion: the record now names the new ones. Tasks that
    /// were done during the conversion are not in them yet, so their blocks become dirty.
    pub fn adopt_blocks(&mut self, record: &JobRecord, conversion: BlockConversion, value_kb: f64) {
        self.block_versions = conversion.versions;
        let layout = record.layout(value_kb);
        let is_unwritten = |task: &u32| record.done.contains(*task) && !self.done.contains(*task);
        let unwritten = (0..record.spec.task_count).filter(is_unwritten);
        self.dirty_blocks =
            unwritten.filter_map(|task| layout.block_tasks().map(|size| task / size)).collect();
    }
}
