//! The shape of what is kept: job records, summary rows and fleet records.
//!
//! * `leader`: who leads; its version is the epoch.
//! * `rec/ID`: a job's record: what was asked for, its cancellation, its
//!   settle and, for jobs of moderate size, its done tasks.
//! * `set/ID/N`: the N-th block of done tasks of a larger job, of the size that follows
//!   from the state service's present limits.
//! * `set/ID/SIZE-N`: the same, of the size that the job's record names.
//! * `live/ID`, `over/ID`: a job's summary row; `live/` is what a takeover
//!   scans, `over/` is history.
//! * `catalog`: the machine types as last seen.
//! * `experience`: demand so far, and how estimates turned out.
//! * `hire/NAME`: a rental request and, once answered, its machines.

use std::collections::BTreeSet;

use ciborium::value::Value;
use thiserror::Error;

use super::done_set::{DoneSet, InvalidDoneSet};
use crate::protocol::cbor::{Fields, Malformed, MapBuilder, texts};
use crate::protocol::cloud::NodePoolRequest;
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState, JobStatus};
use crate::protocol::workers::MachineId;

pub const LEADER: &str = "leader";
pub const CATALOG: &str = "catalog";
/// What leaders have learnt; a convenience, nothing rests on it.
pub const LEARNED_STATISTICS: &str = "experience";
pub const LIVE_ROWS: &str = "live/";
pub const ARCHIVED_ROWS: &str = "over/";
pub const NODE_POOLS: &str = "hire/";
pub const JOB_RECORDS: &str = "rec/";

pub fn job_record_key(job: &JobId) -> String {
    format!("{JOB_RECORDS}{job}")
}

pub fn live_row_key(job: &JobId) -> String {
    format!("{LIVE_ROWS}{job}")
}

pub fn archived_row_key(job: &JobId) -> String {
    format!("{ARCHIVED_ROWS}{job}")
}

pub fn node_pool_key(name: &str) -> String {
    format!("{NODE_POOLS}{name}")
}

#[derive(Debug, Error)]
pub enum RecordError {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error(transparent)]
    Set(#[from] InvalidDoneSet),
}

/// How many tasks go into one block, so that even a bitmap of it takes at
/// most half a value: the rest is room for the description.
pub fn block_size(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 / 2.0) as u32).saturating_mul(6).max(6)
}

/// How a record keeps its done tasks.
///
/// The layouts without a name in the record are those of every build so far, which derive
/// them from the state service's present limits. A record that names its block size is
/// read wrongly by builds before it; it is written only once the service has refused a
/// value that its present limits allow, and so after the last of those builds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// Within the record.
    Inline,
    /// In blocks of so many tasks, by the present limits.
    Blocks(u32),
    /// In blocks of so many tasks, as the record says.
    NamedBlocks(u32),
}

impl Layout {
    /// The layout of a record that names none.
    pub fn derived(tasks: u32, value_kb: f64) -> Self {
        let size = block_size(value_kb);
        if tasks <= size { Layout::Inline } else { Layout::Blocks(size) }
    }

    /// Tasks in one block; `None` where there are no blocks.
    pub fn block_tasks(self) -> Option<u32> {
        match self {
            Layout::Inline => None,
            Layout::Blocks(size) | Layout::NamedBlocks(size) => Some(size),
        }
    }

    /// Blocks beside the record of a job of so many tasks.
    pub fn blocks(self, tasks: u32) -> u32 {
        self.block_tasks().map_or(0, |size| tasks.div_ceil(size))
    }

    /// The first task of a block and the one after its last.
    pub fn range(self, block: u32) -> (u32, u32) {
        let size = self.block_tasks().unwrap_or(u32::MAX);
        let start = block.saturating_mul(size);
        (start, start.saturating_add(size))
    }

    /// Where a block is kept.
    pub fn block_key(self, job: &JobId, block: u32) -> String {
        match self {
            Layout::Inline | Layout::Blocks(_) => format!("set/{job}/{block}"),
            Layout::NamedBlocks(size) => format!("set/{job}/{size}-{block}"),
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day of the submission, in milliseconds.
    pub submitted_ms: u64,
    pub cancelled: bool,
    pub completed: bool,
    pub done: DoneSet,
    /// No task from this number on was ever started. Raised before the first
    /// start beyond it, so a new leader knows which tasks can be on no machine
    /// and need not wait for any.
    pub started_high_water: u32,
    /// Tasks in each block of done tasks, if the record names it.
    pub block_tasks: Option<u32>,
    /// Time of day when the last job that it awaits was done; written with `begun`.
    pub ready_ms: Option<u64>,
    /// Time of day of its settle.
    pub completed_ms: Option<u64>,
}

impl JobRecord {
    pub fn new(spec: JobSpec, submitted_ms: u64) -> Self {
        let done = DoneSet::new(spec.tasks);
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

    /// How it keeps its done tasks, under the state service's present limits.
    pub fn layout(&self, value_kb: f64) -> Layout {
        self.block_tasks.map_or_else(|| Layout::derived(self.spec.tasks, value_kb), Layout::NamedBlocks)
    }

    pub fn encode(&self, value_kb: f64) -> Value {
        let inline = self.layout(value_kb) == Layout::Inline;
        let done = inline.then(|| self.done.encode(0, self.spec.tasks));
        self.fields().set_some("done", done).build()
    }

    /// The record without its done tasks: all that one needs that is final.
    pub fn encode_without_done_tasks(&self) -> Value {
        self.fields().build()
    }

    fn fields(&self) -> MapBuilder {
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

    pub fn encode_block(&self, block: u32, value_kb: f64) -> Value {
        let (start, end) = self.layout(value_kb).range(block);
        MapBuilder::new().set("from", start).set("done", self.done.encode(start, end)).build()
    }

    pub fn decode(value: &Value) -> Result<Self, RecordError> {
        let f = Fields::of(value)?;
        let spec = JobSpec::decode(f.get("spec").ok_or(Malformed::Missing("spec"))?)?;
        let mut done = DoneSet::new(spec.tasks);
        // A record of a version that did not say so: any task may have begun.
        let begun = f.opt_count("begun")?.and_then(|n| u32::try_from(n).ok()).unwrap_or(spec.tasks);
        let block_tasks = f.opt_count("block")?.map(u32::try_from).transpose();
        let block_tasks = block_tasks.map_err(|_| Malformed::Invalid("block"))?;
        if block_tasks == Some(0) {
            return Err(Malformed::Invalid("block").into());
        }
        if let Some(text) = f.opt_text("done")? {
            done.decode_into(0, text)?;
        }
        Ok(JobRecord {
            spec,
            submitted_ms: f.count("at")?,
            cancelled: f.bool("cancelled")?,
            completed: f.bool("settled")?,
            done,
            started_high_water: begun,
            block_tasks,
            ready_ms: f.opt_count("releasedAt")?,
            completed_ms: f.opt_count("settledAt")?,
        })
    }

    pub fn add_block(&mut self, value: &Value) -> Result<(), RecordError> {
        let f = Fields::of(value)?;
        let start = u32::try_from(f.count("from")?).map_err(|_| InvalidDoneSet)?;
        Ok(self.done.decode_into(start, f.text("done")?)?)
    }

    /// The final standing, if the record says so. A cancellation recorded
    /// after the last task ended is never written, so the two exclude each
    /// other; were both there, the settle came first.
    pub fn terminal_state(&self) -> Option<JobState> {
        match (self.completed, self.cancelled) {
            (true, _) => Some(JobState::Done),
            (false, true) => Some(JobState::Cancelled),
            (false, false) => None,
        }
    }

    /// Whether its tasks may have to wait for other jobs. One that has begun was released
    /// before, and its needs are done.
    pub fn may_wait_for_dependencies(&self) -> bool {
        !self.spec.dependencies.is_empty() && self.started_high_water == 0 && self.terminal_state().is_none()
    }

    /// What the record alone supports telling a user.
    pub fn status(&self) -> JobStatus {
        let standing = self.terminal_state().unwrap_or(JobState::Queued);
        let done = if self.completed { self.spec.tasks } else { self.done.len() };
        JobStatus { id: self.spec.id.clone(), state: standing, done, running: 0 }
    }

    /// Whether every task is done. Services never complete.
    pub fn all_tasks_done(&self) -> bool {
        self.spec.kind == JobKind::Array && self.done.is_full()
    }
}

/// A summary row.
pub fn encode_row(standing: JobState) -> Value {
    MapBuilder::new().set("standing", standing.as_str()).build()
}

pub fn decode_row(value: &Value) -> Result<JobState, Malformed> {
    JobState::parse(Fields::of(value)?.text("standing")?).ok_or(Malformed::Invalid("standing"))
}

/// A rental request. `machines` is `None` until the cloud has answered.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePoolRecord {
    pub request: NodePoolRequest,
    pub machines: Option<Vec<MachineId>>,
    /// Machines to which starts may have been sent. A machine is entered here
    /// before its first start, so a new leader knows that no other can hold
    /// tasks and need not wait for it.
    pub machines_used: BTreeSet<MachineId>,
}

impl NodePoolRecord {
    pub fn encode(&self) -> Value {
        let machines = self.machines.as_ref().map(|m| texts(m.iter().map(MachineId::as_str)));
        MapBuilder::new()
            .set("request", self.request.encode())
            .set_some("machines", machines)
            .set("used", texts(self.machines_used.iter().map(MachineId::as_str)))
            .build()
    }

    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let f = Fields::of(value)?;
        let request = NodePoolRequest::decode(f.get("request").ok_or(Malformed::Missing("request"))?)?;
        let parse = |name: &String| MachineId::parse(name).ok_or(Malformed::Invalid("machines"));
        let machines = f.opt_texts("machines")?.map(|names| names.iter().map(parse).collect());
        let used = f.opt_texts("used")?.unwrap_or_default();
        Ok(NodePoolRecord {
            request,
            machines: machines.transpose()?,
            machines_used: used.iter().map(parse).collect::<Result<_, _>>()?,
        })
    }
}

/// Demand of jobs that may use the same machines.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DemandStatistics {
    pub types: Vec<String>,
    pub zone: Option<String>,
    pub spot: bool,
    pub gpus: bool,
    pub delay_tolerant: bool,
    pub mean: f64,
    pub mean_size: f64,
    pub mean_square_size: f64,
    pub job_count: f64,
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct LearnedStatistics {
    pub groups: Vec<DemandStatistics>,
    /// By class, run time as a multiple of the owners' estimates.
    pub runtime_ratios: Vec<(String, f64)>,
}

impl LearnedStatistics {
    pub fn encode(&self) -> Value {
        let groups = self.groups.iter().map(|g| {
            MapBuilder::new()
                .set("types", texts(g.types.iter().map(String::as_str)))
                .set_some("zone", g.zone.as_deref())
                .set("spot", g.spot)
                .set("gpus", g.gpus)
                .set("patient", g.delay_tolerant)
                .set("mean", g.mean)
                .set("size", g.mean_size)
                .set("square", g.mean_square_size)
                .set("jobs", g.job_count)
                .set("age", g.age_s)
                .build()
        });
        let ratios = self
            .runtime_ratios
            .iter()
            .map(|(class, r)| MapBuilder::new().set("class", class.as_str()).set("ratio", *r).build());
        MapBuilder::new()
            .set("groups", Value::Array(groups.collect()))
            .set("ratios", Value::Array(ratios.collect()))
            .build()
    }

    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let f = Fields::of(value)?;
        let group = |value: &Value| {
            let g = Fields::of(value)?;
            Ok(DemandStatistics {
                types: g.opt_texts("types")?.unwrap_or_default(),
                zone: g.opt_text("zone")?.map(str::to_owned),
                spot: g.bool("spot")?,
                gpus: g.bool("gpus")?,
                delay_tolerant: g.bool("patient")?,
                mean: g.amount("mean")?,
                mean_size: g.amount("size")?,
                mean_square_size: g.amount("square")?,
                job_count: g.amount("jobs")?,
                age_s: g.amount("age")?,
            })
        };
        let ratio = |value: &Value| {
            let r = Fields::of(value)?;
            Ok((r.text("class")?.to_owned(), r.amount("ratio")?))
        };
        Ok(LearnedStatistics {
            groups: f.list("groups")?.iter().map(group).collect::<Result<_, Malformed>>()?,
            runtime_ratios: f.list("ratios")?.iter().map(ratio).collect::<Result<_, Malformed>>()?,
        })
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
pub mod production_tests;
