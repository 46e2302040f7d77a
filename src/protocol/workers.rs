//! Messages to and from the workers: heartbeats, their replies and pushed commands.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder};
use super::jobs::TaskId;
use super::wire_words::{field, value as word};

/// Time after which a worker stops waiting for the reply to a heartbeat and tries another
/// controller.
pub const HEARTBEAT_REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of tasks in one heartbeat; a body of 64 KiB cannot hold more.
const MAX_TASKS_PER_HEARTBEAT: usize = 4096;
/// Maximum length of a machine's identifier, in bytes.
const MAX_MACHINE_ID_BYTES: usize = 96;

/// A machine's identifier, assigned by the cloud: 1 to 96 ASCII letters, digits, hyphens,
/// underscores and dots.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineId(Arc<str>);

impl MachineId {
    /// Parses an identifier; `None` if it is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        let valid = (1..=MAX_MACHINE_ID_BYTES).contains(&text.len())
            && text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
        valid.then(|| MachineId(text.into()))
    }

    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Why a task is no longer running on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    /// The task is done.
    Done,
    /// It was stopped by a command or by the preemption of its machine.
    Stopped {
        /// Whether it saved a checkpoint that the next attempt can resume from.
        saved: bool,
    },
    /// It failed, or exited for a cause that this version does not recognize.
    Error,
    /// It was not started: the machine had too few free resources.
    InsufficientResources,
    /// It was not started: another attempt of it was still on the machine.
    AttemptPresent,
    /// It was not started: the worker could not determine what the task is.
    Unknown,
}

impl ExitCause {
    fn decode(fields: &Fields<'_>) -> Result<Self, Malformed> {
        Ok(match fields.text(field::EXIT_CAUSE)? {
            word::EXIT_DONE => ExitCause::Done,
            word::EXIT_STOPPED => {
                ExitCause::Stopped { saved: fields.opt_bool(field::CHECKPOINT_SAVED)?.unwrap_or(false) }
            }
            word::EXIT_INSUFFICIENT_RESOURCES => ExitCause::InsufficientResources,
            word::EXIT_ATTEMPT_PRESENT => ExitCause::AttemptPresent,
            word::EXIT_UNKNOWN => ExitCause::Unknown,
            // A cause that this version does not recognize is treated as a failure.
            _ => ExitCause::Error,
        })
    }
}

/// State of an attempt of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// It runs, or waits on the machine for other tasks of its job.
    Running,
    /// It is saving a checkpoint before it stops.
    Saving,
    /// It has exited. The worker lists it until a command tells the worker to reap it.
    Exited(ExitCause),
}

impl TaskState {
    /// Whether the attempt has exited; the worker lists it until it is reaped.
    pub fn has_exited(self) -> bool {
        matches!(self, TaskState::Exited(_))
    }

    fn decode(fields: &Fields<'_>) -> Result<Self, Malformed> {
        match fields.text(field::STATE)? {
            word::TASK_FETCHING => Ok(TaskState::Fetching),
            word::TASK_RUNNING | word::TASK_GATHERING => Ok(TaskState::Running),
            word::TASK_SAVING => Ok(TaskState::Saving),
            word::TASK_EXITED => ExitCause::decode(fields).map(TaskState::Exited),
            _ => Err(Malformed::Invalid(field::STATE)),
        }
    }
}

/// Status of one attempt of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt; each start of the same task has a higher one.
    pub attempt: u64,
    /// State of the attempt.
    pub state: TaskState,
}

impl TaskStatus {
    fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        let state = TaskState::decode(&fields)?;
        Ok(TaskStatus {
            task: TaskId::parse(fields.text(field::TASK)?).ok_or(Malformed::Invalid(field::TASK))?,
            attempt: fields.count(field::ATTEMPT)?,
            state,
        })
    }
}

/// A worker's heartbeat: describes its machine and the status of each task on it.
///
/// The pair (`incarnation`, `sequence`) orders the heartbeats of a machine, so that one which
/// arrives after a newer one can be recognized.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The machine that the worker runs on.
    pub machine: MachineId,
    /// Address at which the worker accepts pushed commands.
    pub address: String,
    /// Name of the machine's type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Incarnation of the worker: starts at 1, and increases each time the worker's lease expires,
    /// not at each start of its process.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Highest fencing token (epoch of a leader) that the worker has seen.
    pub fencing_token: u64,
    /// Seconds until the machine is preempted, once that has been announced.
    pub preemption_notice_s: Option<f64>,
    /// Every task on the machine, exited ones included until they are reaped.
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Decodes and validates a heartbeat.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a required field is missing, a field is invalid or more than 4,096
    /// tasks are listed. One invalid task makes the whole heartbeat invalid: a task missing
    /// from the list would count as proof that the task is not on the machine.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        let tasks = fields.opt_list(field::TASKS)?.unwrap_or_default();
        if tasks.len() > MAX_TASKS_PER_HEARTBEAT {
            return Err(Malformed::Invalid(field::TASKS));
        }
        Ok(Heartbeat {
            machine: MachineId::parse(fields.text(field::MACHINE)?)
                .ok_or(Malformed::Invalid(field::MACHINE))?,
            address: fields.text(field::ADDRESS)?.to_owned(),
            machine_type: fields.text(field::MACHINE_TYPE)?.to_owned(),
            zone: fields.text(field::ZONE)?.to_owned(),
            spot: fields.opt_bool(field::SPOT)?.unwrap_or(false),
            incarnation: fields.count(field::INCARNATION)?,
            sequence: fields.count(field::SEQUENCE)?,
            fencing_token: fields.count(field::FENCING_TOKEN)?,
            preemption_notice_s: fields.opt_amount(field::PREEMPTION_NOTICE_S)?,
            tasks: tasks.iter().map(TaskStatus::decode).collect::<Result<_, _>>()?,
        })
    }
}

/// A command to a worker for one attempt of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Start the attempt.
    Start {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u64,
    },
    /// Stop the attempt.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u64,
        /// Seconds that the attempt has to save a checkpoint; 0 stops it at once.
        grace_s: f64,
    },
    /// Remove the exited attempt from the worker's list.
    Reap {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u64,
    },
}

impl Command {
    fn encode(&self) -> Value {
        let (verb, task, attempt, grace_s) = match self {
            Command::Start { task, attempt } => (word::COMMAND_START, task, attempt, None),
            Command::Stop { task, attempt, grace_s } => (word::COMMAND_STOP, task, attempt, Some(*grace_s)),
            Command::Reap { task, attempt } => (word::COMMAND_REAP, task, attempt, None),
        };
        MapBuilder::new()
            .set(field::COMMAND_VERB, verb)
            .set(field::TASK, task.to_string())
            .set(field::ATTEMPT, *attempt)
            .set_some(field::GRACE_S, grace_s)
            .build()
    }
}

fn encode_commands(commands: &[Command]) -> Value {
    Value::Array(commands.iter().map(Command::encode).collect())
}

/// Encodes the reply to a heartbeat: the leader's fencing token and commands.
pub fn encode_heartbeat_reply(fencing_token: u64, commands: &[Command]) -> Value {
    MapBuilder::new()
        .set(field::FENCING_TOKEN, fencing_token)
        .set(field::COMMANDS, encode_commands(commands))
        .build()
}

/// Encodes a redirect to the leading controller; an empty map if no leader is known.
pub fn encode_redirect(leader: Option<&str>) -> Value {
    MapBuilder::new().set_some(field::LEADER, leader).build()
}

/// Encodes commands that are pushed to a worker between two heartbeats. They apply to one
/// incarnation of the worker; a later incarnation must not carry them out.
pub fn encode_pushed_commands(fencing_token: u64, incarnation: u64, commands: &[Command]) -> Value {
    MapBuilder::new()
        .set(field::FENCING_TOKEN, fencing_token)
        .set(field::INCARNATION, incarnation)
        .set(field::COMMANDS, encode_commands(commands))
        .build()
}
