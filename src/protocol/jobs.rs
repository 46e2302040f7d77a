//! Messages to and from users: jobs, their tasks and their status.

use std::fmt;
use std::sync::Arc;

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder, text_array};
use super::wire_words::{field, value as word};
use crate::maps::HashSet;

/// Maximum number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of a name in a submission, in bytes. Keeps a record well below the maximum
/// size of a value in the key-value store.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 16;
/// Prefix of every job's identifier.
const ID_PREFIX: &str = "job-";
/// Maximum length of a job's identifier after the prefix, in bytes.
const MAX_ID_BYTES: usize = 64;

/// A job's identifier, in the only form that the platform allows: `job-` and 1 to 64 ASCII
/// letters, digits, hyphens and underscores.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(Arc<str>);

impl JobId {
    /// Parses an identifier; `None` if it is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(ID_PREFIX)?;
        let valid = (1..=MAX_ID_BYTES).contains(&rest.len())
            && rest.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        valid.then(|| JobId(text.into()))
    }

    /// The identifier as text, prefix included.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One task of a job, written `JOB/INDEX`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the task within the job, from 0; below [`MAX_TASKS`].
    pub index: u32,
}

impl TaskId {
    /// Parses `JOB/INDEX`; `None` if either part is invalid.
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

/// Kind of a job, which determines when its tasks end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to its end.
    Array,
    /// A service: replicas that run until the job is cancelled.
    Service,
}

impl JobKind {
    fn decode(fields: &Fields<'_>) -> Result<Self, Malformed> {
        match fields.text(field::JOB_KIND)? {
            word::KIND_ARRAY => Ok(JobKind::Array),
            word::KIND_SERVICE => Ok(JobKind::Service),
            _ => Err(Malformed::Invalid(field::JOB_KIND)),
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            JobKind::Array => word::KIND_ARRAY,
            JobKind::Service => word::KIND_SERVICE,
        }
    }
}

/// Priority of a job, from lowest to highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Uses only resources that the other priorities leave free.
    BestEffort,
    /// The usual priority.
    Standard,
    /// Above the usual priority.
    High,
    /// The highest priority.
    Critical,
}

impl Priority {
    fn decode(fields: &Fields<'_>) -> Result<Self, Malformed> {
        match fields.text(field::PRIORITY)? {
            word::PRIORITY_CRITICAL => Ok(Priority::Critical),
            word::PRIORITY_HIGH => Ok(Priority::High),
            word::PRIORITY_STANDARD => Ok(Priority::Standard),
            word::PRIORITY_BEST_EFFORT => Ok(Priority::BestEffort),
            _ => Err(Malformed::Invalid(field::PRIORITY)),
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Priority::Critical => word::PRIORITY_CRITICAL,
            Priority::High => word::PRIORITY_HIGH,
            Priority::Standard => word::PRIORITY_STANDARD,
            Priority::BestEffort => word::PRIORITY_BEST_EFFORT,
        }
    }
}

/// A job as its user submitted it. Does not change after the submission.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Identifier, chosen by the user. It makes a submission idempotent.
    pub id: JobId,
    /// Class of the job: a name that its owner gives to similar jobs.
    pub class: String,
    /// Team that the job's use of machines is accounted to.
    pub team: String,
    /// Whether the tasks run to completion or until the job is cancelled.
    pub kind: JobKind,
    /// Priority relative to other jobs.
    pub priority: Priority,
    /// Number of tasks, or of replicas of a service; 1 to [`MAX_TASKS`].
    pub task_count: u32,
    /// CPUs that one task needs; may be fractional.
    pub cpus: f64,
    /// GPUs that one task needs.
    pub gpus: f64,
    /// Memory in GB that one task needs.
    pub memory_gb: f64,
    /// Name of the image that the tasks run.
    pub image: String,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Names of the machine types that the tasks may run on; never empty. `None` allows all.
    pub machine_types: Option<Vec<String>>,
    /// The only zone that the tasks may run in; `None` allows all.
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    pub one_zone: bool,
    /// Whether the tasks should be spread over machines.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// The owner's estimate of one task's run time, in seconds.
    pub estimated_run_s: f64,
    /// Time between two checkpoints of a task, in seconds; 0 if it saves none.
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint, in seconds.
    pub checkpoint_save_s: f64,
    /// Time from the submission to the deadline, in seconds; `None` without a deadline.
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts, without duplicates.
    pub dependencies: Vec<JobId>,
}

/// Decodes the jobs that a job depends on. An absent, null or empty list means no
/// dependencies; duplicates are dropped.
fn decode_dependencies(fields: &Fields<'_>) -> Result<Vec<JobId>, Malformed> {
    let names = fields.opt_texts(field::DEPENDENCIES)?.unwrap_or_default();
    let mut jobs = Vec::with_capacity(names.len());
    let mut seen: HashSet<JobId> = HashSet::default();
    for name in &names {
        let job = JobId::parse(name).ok_or(Malformed::Invalid(field::DEPENDENCIES))?;
        if seen.insert(job.clone()) {
            jobs.push(job);
        }
    }
    Ok(jobs)
}

/// Decodes the machine types that a job may run on. An empty list would allow no type and is
/// invalid.
fn decode_machine_types(fields: &Fields<'_>) -> Result<Option<Vec<String>>, Malformed> {
    let Some(types) = fields.opt_texts(field::MACHINE_TYPES)? else { return Ok(None) };
    if types.is_empty() || types.len() > MAX_MACHINE_TYPES {
        return Err(Malformed::Invalid(field::MACHINE_TYPES));
    }
    for name in &types {
        validate_name(name, field::MACHINE_TYPES)?;
    }
    Ok(Some(types))
}

fn decode_task_count(fields: &Fields<'_>) -> Result<u32, Malformed> {
    let count = u32::try_from(fields.count(field::TASKS)?).ok();
    count.filter(|count| (1..=MAX_TASKS).contains(count)).ok_or(Malformed::Invalid(field::TASKS))
}

fn decode_name(fields: &Fields<'_>, key: &'static str) -> Result<String, Malformed> {
    validate_name(fields.text(key)?, key)
}

fn validate_name(text: &str, key: &'static str) -> Result<String, Malformed> {
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control);
    if valid { Ok(text.to_owned()) } else { Err(Malformed::Invalid(key)) }
}

impl JobSpec {
    /// Decodes and validates a submission, or the same fields of a stored record.
    ///
    /// # Errors
    ///
    /// [`Malformed::NotAMap`] if the value is not a map; otherwise an error that names a field
    /// which is missing or invalid. An optional field may be absent or null; a required field
    /// has no default.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        let machine_types = decode_machine_types(&fields)?;
        let tasks = decode_task_count(&fields)?;
        let zone = |name| validate_name(name, field::ZONE);
        Ok(JobSpec {
            id: JobId::parse(fields.text(field::ID)?).ok_or(Malformed::Invalid(field::ID))?,
            class: decode_name(&fields, field::JOB_CLASS)?,
            team: decode_name(&fields, field::TEAM)?,
            kind: JobKind::decode(&fields)?,
            priority: Priority::decode(&fields)?,
            task_count: tasks,
            cpus: fields.amount(field::CPUS)?,
            gpus: fields.amount(field::GPUS)?,
            memory_gb: fields.amount(field::MEMORY_GB)?,
            image: decode_name(&fields, field::IMAGE)?,
            image_gb: fields.amount(field::IMAGE_GB)?,
            machine_types,
            zone: fields.opt_text(field::ZONE)?.map(zone).transpose()?,
            one_zone: fields.bool(field::ONE_ZONE)?,
            spread: fields.bool(field::SPREAD)?,
            spot: fields.bool(field::SPOT)?,
            estimated_run_s: fields.amount(field::ESTIMATED_RUN_S)?,
            checkpoint_interval_s: fields.amount(field::CHECKPOINT_INTERVAL_S)?,
            checkpoint_save_s: fields.amount(field::CHECKPOINT_SAVE_S)?,
            deadline_s: fields.opt_amount(field::DEADLINE_S)?,
            dependencies: decode_dependencies(&fields)?,
        })
    }

    /// Encodes the same fields as in a submission. Stored records hold them, and controllers of
    /// other versions read them, so neither the field names and values nor their order may
    /// change.
    pub fn encode(&self) -> MapBuilder {
        let machine_types =
            self.machine_types.as_ref().map(|types| text_array(types.iter().map(String::as_str)));
        let dependencies =
            (!self.dependencies.is_empty()).then(|| text_array(self.dependencies.iter().map(JobId::as_str)));
        MapBuilder::new()
            .set(field::ID, self.id.as_str())
            .set(field::JOB_CLASS, self.class.as_str())
            .set(field::TEAM, self.team.as_str())
            .set(field::JOB_KIND, self.kind.as_str())
            .set(field::PRIORITY, self.priority.as_str())
            .set(field::TASKS, self.task_count)
            .set(field::CPUS, self.cpus)
            .set(field::GPUS, self.gpus)
            .set(field::MEMORY_GB, self.memory_gb)
            .set(field::IMAGE, self.image.as_str())
            .set(field::IMAGE_GB, self.image_gb)
            .set_some(field::MACHINE_TYPES, machine_types)
            .set_some(field::ZONE, self.zone.as_deref())
            .set(field::ONE_ZONE, self.one_zone)
            .set(field::SPREAD, self.spread)
            .set(field::SPOT, self.spot)
            .set(field::ESTIMATED_RUN_S, self.estimated_run_s)
            .set(field::CHECKPOINT_INTERVAL_S, self.checkpoint_interval_s)
            .set(field::CHECKPOINT_SAVE_S, self.checkpoint_save_s)
            .set_some(field::DEADLINE_S, self.deadline_s)
            .set_some(field::DEPENDENCIES, dependencies)
    }
}

/// State of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// None of its tasks is running.
    Queued,
    /// Some of its tasks are running.
    Running,
    /// All its tasks are done. Terminal.
    Done,
    /// Its user cancelled it. Terminal.
    Cancelled,
}

impl JobState {
    const ALL: [JobState; 4] = [JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled];

    /// The word for the state on the wire and in stored rows.
    pub fn as_str(self) -> &'static str {
        match self {
            JobState::Queued => word::JOB_QUEUED,
            JobState::Running => word::JOB_RUNNING,
            JobState::Done => word::JOB_DONE,
            JobState::Cancelled => word::JOB_CANCELLED,
        }
    }

    /// Parses the word that [`JobState::as_str`] returns; `None` if it is not a state.
    pub fn parse(word: &str) -> Option<Self> {
        JobState::ALL.into_iter().find(|state| state.as_str() == word)
    }

    /// Whether the state is terminal: it can never change again.
    pub fn is_terminal(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// Status of a job, as given to its user.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobStatus {
    /// The job.
    pub id: JobId,
    /// Its state.
    pub state: JobState,
    /// Number of tasks that are done.
    pub done_tasks: u32,
    /// Number of running tasks.
    pub running_tasks: u32,
}

impl JobStatus {
    /// Decodes a status written by [`JobStatus::encode`].
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a field is missing or invalid.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        let count = |key| u32::try_from(fields.count(key)?).map_err(|_| Malformed::Invalid(key));
        Ok(JobStatus {
            id: JobId::parse(fields.text(field::ID)?).ok_or(Malformed::Invalid(field::ID))?,
            state: JobState::parse(fields.text(field::STATE)?).ok_or(Malformed::Invalid(field::STATE))?,
            done_tasks: count(field::DONE_TASKS)?,
            running_tasks: count(field::RUNNING_TASKS)?,
        })
    }

    /// Encodes the answer to a poll.
    pub fn encode(&self) -> Value {
        MapBuilder::new()
            .set(field::ID, self.id.as_str())
            .set(field::STATE, self.state.as_str())
            .set(field::DONE_TASKS, self.done_tasks)
            .set(field::RUNNING_TASKS, self.running_tasks)
            .build()
    }
}

/// Encodes the body of an error response: a short reason.
pub fn encode_error(reason: &str) -> Value {
    MapBuilder::new().set(field::ERROR, reason).build()
}

/// Tests, and the sample job that tests of other modules share.
#[cfg(test)]
pub mod tests;
