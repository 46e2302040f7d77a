//! A job's record and its blocks of done tasks.

use ciborium::value::Value;
use thiserror::Error;

use super::layout::Layout;
use crate::protocol::cbor::{Fields, Malformed, MapBuilder};
use crate::protocol::jobs::{JobKind, JobSpec, JobState, JobStatus};
use crate::storage::done_set::{DoneSet, InvalidDoneSet};

/// Why a job record or a block of done tasks cannot be decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// A field is missing or has another type, or the job's description is invalid.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The set of done tasks cannot be decoded.
    #[error(transparent)]
    Set(#[from] InvalidDoneSet),
}

/// The stored state of a job: everything that a new leader needs to continue the job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    /// The job's description as its owner submitted it.
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the job completed.
    pub completed: bool,
    /// Tasks that are done.
    pub done: DoneSet,
    /// Started high-water mark: no task with this number or a higher one has ever been
    /// started. It is raised before the first start beyond it, so a new leader knows that
    /// these tasks are on no machine and does not wait for heartbeats that might report them.
    pub started_high_water: u32,
    /// Tasks in each block of done tasks, if the record names the size.
    pub block_tasks: Option<u32>,
    /// Time of day when the last of the job's dependencies completed, in milliseconds since
    /// the Unix epoch; written together with the first raise of `started_high_water`.
    pub ready_ms: Option<u64>,
    /// Time of day of the job's completion, in milliseconds since the Unix epoch.
    pub completed_ms: Option<u64>,
}

impl JobRecord {
    /// Creates the record of a newly submitted job; `submitted_ms` is the time of day in
    /// milliseconds since the Unix epoch.
    pub fn new(spec: JobSpec, submitted_ms: u64) -> Self {
        let done = DoneSet::new(spec.task_count);
        JobRecord {
            spec,
            submitted_ms,
            cancelled: false,
            completed: false,
            done,
            started_high_water: 0,
            block_tasks: None,
            ready_ms: None,
            completed_ms: None,
        }
    }

    /// How the job's done tasks are stored if no value may exceed `value_kb` KiB.
    pub fn layout(&self, value_kb: f64) -> Layout {
        self.block_tasks.map_or_else(|| Layout::derived(self.spec.task_count, value_kb), Layout::NamedBlocks)
    }

    /// Number of blocks in which its done tasks are stored; 0 if the record itself holds them.
    pub fn block_count(&self, value_kb: f64) -> u32 {
        self.layout(value_kb).blocks(self.spec.task_count)
    }

    /// Encodes the record for a store whose values are at most `value_kb` KiB. Done tasks are
    /// included if the layout keeps them in the record.
    pub fn encode(&self, value_kb: f64) -> Value {
        let inline = self.layout(value_kb) == Layout::Inline;
        let done = inline.then(|| self.done.encode(0, self.spec.task_count));
        self.encode_fields().set_some("done", done).build()
    }

    /// Encodes the record without its done tasks.
    pub fn encode_without_done_tasks(&self) -> Value {
        self.encode_fields().build()
    }

    /// Encodes all fields except the done tasks.
    fn encode_fields(&self) -> MapBuilder {
        MapBuilder::new()
            .set("spec", self.spec.encode().build())
            .set("at", self.submitted_ms)
            .set("cancelled", self.cancelled)
            .set("settled", self.completed)
            .set("begun", self.started_high_water)
            .set_some("block", self.block_tasks)
            .set_some("releasedAt", self.ready_ms)
            .set_some("settledAt", self.completed_ms)
    }

    /// Encodes one block of done tasks for a store whose values are at most `value_kb` KiB.
    pub fn encode_block(&self, block: u32, value_kb: f64) -> Value {
        let (start, end) = self.layout(value_kb).range(block);
        MapBuilder::new().set("from", start).set("done", self.done.encode(start, end)).build()
    }

    /// Decodes a record. Done tasks that are stored in blocks must be added with
    /// [`JobRecord::add_block`].
    ///
    /// # Errors
    ///
    /// [`RecordError`] if a field is missing or invalid, or the done tasks cannot be decoded.
    pub fn decode(value: &Value) -> Result<Self, RecordError> {
        let fields = Fields::of(value)?;
        let spec = JobSpec::decode(fields.get("spec").ok_or(Malformed::Missing("spec"))?)?;
        let mut done = DoneSet::new(spec.task_count);
        let started_high_water = decode_started_high_water(&fields, &spec)?;
        let block_tasks = decode_block_tasks(&fields)?;
        if let Some(text) = fields.opt_text("done")? {
            done.decode_into(0, text)?;
        }
        Ok(JobRecord {
            spec,
            submitted_ms: fields.count("at")?,
            cancelled: fields.bool("cancelled")?,
            completed: fields.bool("settled")?,
            done,
            started_high_water,
            block_tasks,
            ready_ms: fields.opt_count("releasedAt")?,
            completed_ms: fields.opt_count("settledAt")?,
        })
    }

    /// Adds the done tasks of a stored block.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if a field is missing or invalid, or the done tasks cannot be decoded.
    pub fn add_block(&mut self, value: &Value) -> Result<(), RecordError> {
        let fields = Fields::of(value)?;
        let start = u32::try_from(fields.count("from")?).map_err(|_| InvalidDoneSet)?;
        Ok(self.done.decode_into(start, fields.text("done")?)?)
    }

    /// The job's terminal state, if the record has one. A write makes a record either completed
    /// or cancelled: a cancellation that arrives while the completion is being written has no
    /// effect, and one that arrives before that is written instead of the completion. If a
    /// record nevertheless says both, the completion came first.
    pub fn terminal_state(&self) -> Option<JobState> {
        match (self.completed, self.cancelled) {
            (true, _) => Some(JobState::Done),
            (false, true) => Some(JobState::Cancelled),
            (false, false) => None,
        }
    }

    /// Whether the job may still have to wait for its dependencies. A job starts only once
    /// its dependencies are done, so a job that has started does not wait.
    pub fn may_wait_for_dependencies(&self) -> bool {
        !self.spec.dependencies.is_empty() && self.started_high_water == 0 && self.terminal_state().is_none()
    }

    /// The job's status as far as the record alone shows it.
    pub fn status(&self) -> JobStatus {
        let state = self.terminal_state().unwrap_or(JobState::Queued);
        let done = if self.completed { self.spec.task_count } else { self.done.len() };
        JobStatus { id: self.spec.id.clone(), state, done_tasks: done, running_tasks: 0 }
    }

    /// Whether every task is done. Services never complete.
    pub fn all_tasks_done(&self) -> bool {
        self.spec.kind == JobKind::Array && self.done.is_full()
    }
}

/// Decodes the started high-water mark. Records of builds that did not write it say nothing
/// about starts, so any of the job's tasks may have started.
pub(super) fn decode_started_high_water(fields: &Fields<'_>, spec: &JobSpec) -> Result<u32, Malformed> {
    let mark = fields.opt_count("begun")?;
    Ok(mark.and_then(|mark| u32::try_from(mark).ok()).unwrap_or(spec.task_count))
}

/// Decodes the block size, if the record names one.
pub(super) fn decode_block_tasks(fields: &Fields<'_>) -> Result<Option<u32>, Malformed> {
    let Some(size) = fields.opt_count("block")? else { return Ok(None) };
    match u32::try_from(size) {
        Ok(size) if size > 0 => Ok(Some(size)),
        _ => Err(Malformed::Invalid("block")),
    }
}
