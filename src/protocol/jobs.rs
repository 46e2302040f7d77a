//! What users send and are told.

use std::fmt;
use std::sync::Arc;

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder, texts};
use crate::maps::HashSet;

/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Longest name taken from a user. Keeps a record well inside one value.
const MAX_NAME: usize = 128;
/// Most machine types a job may list.
const MAX_TYPES: usize = 16;
const ID_PREFIX: &str = "job-";

/// A job's id, in the one form that the platform allows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(Arc<str>);

impl JobId {
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(ID_PREFIX)?;
        let valid = (1..=64).contains(&rest.len())
            && rest.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        valid.then(|| JobId(text.into()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        let index = index.parse().ok().filter(|&i| i < MAX_TASKS)?;
        Some(TaskId { job: JobId::parse(job)?, index })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Independent tasks, each of which runs to its end.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    BestEffort,
    Standard,
    High,
    Critical,
}

/// What a user asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    pub id: JobId,
    pub class: String,
    pub team: String,
    pub kind: JobKind,
    pub priority: Priority,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimated_run_s: f64,
    pub checkpoint_interval_s: f64,
    pub checkpoint_save_s: f64,
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each named once.
    pub dependencies: Vec<JobId>,
}

/// Reads the jobs that a job waits for. Absent, null and empty mean the same.
fn decode_dependencies(fields: &Fields<'_>) -> Result<Vec<JobId>, Malformed> {
    let names = fields.opt_texts("awaits")?.unwrap_or_default();
    let mut jobs = Vec::with_capacity(names.len());
    let mut seen: HashSet<JobId> = HashSet::default();
    for name in &names {
        let job = JobId::parse(name).ok_or(Malformed::Invalid("awaits"))?;
        if seen.insert(job.clone()) {
            jobs.push(job);
        }
    }
    Ok(jobs)
}

fn decode_name(fields: &Fields<'_>, key: &'static str) -> Result<String, Malformed> {
    validate_name(fields.text(key)?, key)
}

fn validate_name(text: &str, key: &'static str) -> Result<String, Malformed> {
    let valid = !text.is_empty() && text.len() <= MAX_NAME && !text.chars().any(char::is_control);
    if valid { Ok(text.to_owned()) } else { Err(Malformed::Invalid(key)) }
}

impl JobSpec {
    /// Reads and checks a submission.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let f = Fields::of(value)?;
        let types = f.opt_texts("builds")?;
        if let Some(types) = &types {
            if types.is_empty() || types.len() > MAX_TYPES {
                return Err(Malformed::Invalid("builds"));
            }
            types.iter().try_for_each(|t| validate_name(t, "builds").map(drop))?;
        }
        let tasks = u32::try_from(f.count("sheets")?).map_err(|_| Malformed::Invalid("sheets"))?;
        if tasks == 0 || tasks > MAX_TASKS {
            return Err(Malformed::Invalid("sheets"));
        }
        Ok(JobSpec {
            id: JobId::parse(f.text("nameId")?).ok_or(Malformed::Invalid("nameId"))?,
            class: decode_name(&f, "docket")?,
            team: decode_name(&f, "crew")?,
            kind: match f.text("form")? {
                "array" => JobKind::Array,
                "daemon" => JobKind::Service,
                _ => return Err(Malformed::Invalid("form")),
            },
            priority: match f.text("urgency")? {
                "critical" => Priority::Critical,
                "high" => Priority::High,
                "standard" => Priority::Standard,
                "best_effort" => Priority::BestEffort,
                _ => return Err(Malformed::Invalid("urgency")),
            },
            tasks,
            cpus: f.amount("cores")?,
            gpus: f.amount("accelerators")?,
            memory_gb: f.amount("ramGb")?,
            image: decode_name(&f, "bundle")?,
            image_gb: f.amount("pullGb")?,
            machine_types: types,
            zone: f.opt_text("hall")?.map(|z| validate_name(z, "hall")).transpose()?,
            one_zone: f.bool("together")?,
            spread: f.bool("scatter")?,
            spot: f.bool("loaners")?,
            estimated_run_s: f.amount("reckonS")?,
            checkpoint_interval_s: f.amount("bookmarkS")?,
            checkpoint_save_s: f.amount("stashS")?,
            deadline_s: f.opt_amount("dueS")?,
            dependencies: decode_dependencies(&f)?,
        })
    }

    /// The same fields as in a submission; used for the record.
    pub fn encode(&self) -> MapBuilder {
        MapBuilder::new()
            .set("nameId", self.id.as_str())
            .set("docket", self.class.as_str())
            .set("crew", self.team.as_str())
            .set("form", if self.kind == JobKind::Array { "array" } else { "daemon" })
            .set(
                "urgency",
                match self.priority {
                    Priority::Critical => "critical",
                    Priority::High => "high",
                    Priority::Standard => "standard",
                    Priority::BestEffort => "best_effort",
                },
            )
            .set("sheets", self.tasks)
            .set("cores", self.cpus)
            .set("accelerators", self.gpus)
            .set("ramGb", self.memory_gb)
            .set("bundle", self.image.as_str())
            .set("pullGb", self.image_gb)
            .set_some("builds", self.machine_types.as_ref().map(|t| texts(t.iter().map(String::as_str))))
            .set_some("hall", self.zone.as_deref())
            .set("together", self.one_zone)
            .set("scatter", self.spread)
            .set("loaners", self.spot)
            .set("reckonS", self.estimated_run_s)
            .set("bookmarkS", self.checkpoint_interval_s)
            .set("stashS", self.checkpoint_save_s)
            .set_some("dueS", self.deadline_s)
            .set_some(
                "awaits",
                (!self.dependencies.is_empty()).then(|| texts(self.dependencies.iter().map(JobId::as_str))),
            )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl JobState {
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "cancelled",
        }
    }

    /// The standing that a word stands for.
    pub fn parse(word: &str) -> Option<Self> {
        let all = [JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled];
        all.into_iter().find(|standing| standing.as_str() == word)
    }

    /// Whether it can never change again.
    pub fn is_terminal(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// What a user is told of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStatus {
    pub id: JobId,
    pub state: JobState,
    pub done: u32,
    pub running: u32,
}

impl JobStatus {
    /// Reads what [`JobStatus::encode`] wrote.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let f = Fields::of(value)?;
        let count = |key| u32::try_from(f.count(key)?).map_err(|_| Malformed::Invalid(key));
        Ok(JobStatus {
            id: JobId::parse(f.text("nameId")?).ok_or(Malformed::Invalid("nameId"))?,
            state: JobState::parse(f.text("standing")?).ok_or(Malformed::Invalid("standing"))?,
            done: count("done")?,
            running: count("running")?,
        })
    }

    pub fn encode(&self) -> Value {
        MapBuilder::new()
            .set("nameId", self.id.as_str())
            .set("standing", self.state.as_str())
            .set("done", self.done)
            .set("running", self.running)
            .build()
    }
}

/// The body of a refusal: a short reason.
pub fn encode_error(reason: &str) -> Value {
    MapBuilder::new().set("error", reason).build()
}

#[cfg(test)]
pub mod tests;
