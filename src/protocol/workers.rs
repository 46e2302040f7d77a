//! Reports of workers and the orders they are given.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder};
use super::jobs::TaskId;

/// A worker has turned to another controller when an answer takes this long.
pub const HEARTBEAT_REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// Most tasks read from one report; a body of 64 KiB cannot hold more.
const MAX_TASKS_PER_HEARTBEAT: usize = 4096;

/// A machine's name, as given by the cloud.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineId(Arc<str>);

impl MachineId {
    pub fn parse(text: &str) -> Option<Self> {
        let valid = (1..=96).contains(&text.len())
            && text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
        valid.then(|| MachineId(text.into()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    Done,
    Stopped { saved: bool },
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    Running,
    Saving,
    Exited(ExitCause),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: u64,
    pub state: TaskState,
}

/// A worker's report of itself and its tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    pub machine: MachineId,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub preemption_notice_s: Option<f64>,
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let f = Fields::of(value)?;
        let listed = f.opt_list("sheets")?.unwrap_or_default();
        if listed.len() > MAX_TASKS_PER_HEARTBEAT {
            return Err(Malformed::Invalid("sheets"));
        }
        Ok(Heartbeat {
            machine: MachineId::parse(f.text("bench")?).ok_or(Malformed::Invalid("bench"))?,
            address: f.text("address")?.to_owned(),
            machine_type: f.text("build")?.to_owned(),
            zone: f.text("hall")?.to_owned(),
            spot: f.opt_bool("loaners")?.unwrap_or(false),
            incarnation: f.count("shift")?,
            sequence: f.count("tick")?,
            fencing_token: f.count("baton")?,
            preemption_notice_s: f.opt_amount("recallS")?,
            tasks: listed.iter().map(decode_task_status).collect::<Result<_, _>>()?,
        })
    }
}

fn decode_task_status(value: &Value) -> Result<TaskStatus, Malformed> {
    let f = Fields::of(value)?;
    let state = match f.text("standing")? {
        "fetching" => TaskState::Fetching,
        "running" | "gathering" => TaskState::Running,
        "flushing" => TaskState::Saving,
        "exited" => TaskState::Exited(match f.text("cause")? {
            "done" => ExitCause::Done,
            "halted" => ExitCause::Stopped { saved: f.opt_bool("saved")?.unwrap_or(false) },
            "no_room" => ExitCause::NoRoom,
            "in_use" => ExitCause::Busy,
            "unknown" => ExitCause::Unknown,
            // A cause this version does not know is a failure of some kind.
            _ => ExitCause::Error,
        }),
        _ => return Err(Malformed::Invalid("standing")),
    };
    Ok(TaskStatus {
        task: TaskId::parse(f.text("sheet")?).ok_or(Malformed::Invalid("sheet"))?,
        attempt: f.count("try")?,
        state,
    })
}

#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    Start { task: TaskId, attempt: u64 },
    Stop { task: TaskId, attempt: u64, grace_s: f64 },
    Reap { task: TaskId, attempt: u64 },
}

impl Command {
    fn encode(&self) -> Value {
        let (verb, task, attempt, grace) = match self {
            Command::Start { task, attempt } => ("start", task, attempt, None),
            Command::Stop { task, attempt, grace_s } => ("stop", task, attempt, Some(*grace_s)),
            Command::Reap { task, attempt } => ("reap", task, attempt, None),
        };
        MapBuilder::new()
            .set("verb", verb)
            .set("sheet", task.to_string())
            .set("try", *attempt)
            .set_some("leewayS", grace)
            .build()
    }
}

fn encode_commands(orders: &[Command]) -> Value {
    Value::Array(orders.iter().map(Command::encode).collect())
}

/// The answer to a report.
pub fn encode_heartbeat_reply(token: u64, orders: &[Command]) -> Value {
    MapBuilder::new().set("baton", token).set("orders", encode_commands(orders)).build()
}

/// The body of a redirection to the controller that acts for all.
pub fn encode_redirect(controller: Option<&str>) -> Value {
    MapBuilder::new().set_some("foreman", controller).build()
}

/// Orders sent straight to a worker.
pub fn encode_pushed_commands(token: u64, session: u64, orders: &[Command]) -> Value {
    MapBuilder::new().set("baton", token).set("shift", session).set("orders", encode_commands(orders)).build()
}
