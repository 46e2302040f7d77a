//! The history of a run: what could be observed outside the controllers.

use std::time::Duration;

pub use shedtally::protocol::jobs::JobState;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time since the beginning of the run.
pub type At = Duration;

/// What a user asks of a controller about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UserRequest {
    /// Submit the job, for the first time or again.
    Submit,
    /// Return the job's state.
    Poll,
    /// Cancel the job.
    Cancel,
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskOnMachine {
    /// The job's index in the plan.
    pub job: usize,
    /// The task's index in the job.
    pub index: u32,
    /// Name of the machine.
    pub machine: String,
}

/// Something that was observed. Jobs and controllers are given by their indices.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A user got a response about a job.
    Answered {
        job: usize,
        request: UserRequest,
        /// When the request was sent.
        asked: At,
        controller: usize,
        status: u16,
        /// The job's state, if the response has one.
        state: Option<JobState>,
    },
    /// A user sends the first request to cancel a job.
    CancelRequested { job: usize },
    /// The response to a request that must be rejected, or to a poll of an unknown job.
    InvalidRequest { expected: u16, status: u16 },
    /// A worker received a start command of this attempt for the first time.
    StartReceived { task: TaskOnMachine, attempt: u64 },
    /// A worker received a start command for a job that nobody has submitted.
    UnknownStartReceived { machine: String },
    /// A task has fetched its image and runs.
    TaskStarted { task: TaskOnMachine, zone: &'static str, spot: bool },
    /// A task has completed.
    TaskCompleted { job: usize, index: u32 },
    /// A task is not on the machine any more.
    TaskRemoved { task: TaskOnMachine },
    /// The key-value store has committed a transaction.
    Committed { controller: usize, revision: u64, keys: Vec<String> },
    /// A fault begins.
    Fault { description: String },
    /// A controller's process has ended without having been killed.
    ProcessExited { controller: usize, status: String },
    /// A controller counts a violated invariant in its status.
    InvariantViolated { controller: usize, metric: &'static str },
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// When the event was observed.
    pub at: At,
    /// What was observed.
    pub event: Event,
}

/// Records events from all parts of a run.
#[derive(Debug, Clone)]
pub struct Recorder {
    begin: Instant,
    entries: mpsc::UnboundedSender<Entry>,
}

impl Recorder {
    /// A recorder for a run that began at this time, and the channel of its entries.
    pub fn new(begin: Instant) -> (Self, mpsc::UnboundedReceiver<Entry>) {
        let (entries, recorded) = mpsc::unbounded_channel();
        (Recorder { begin, entries }, recorded)
    }

    /// Time since the beginning of the run.
    pub fn now(&self) -> At {
        self.begin.elapsed()
    }

    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        // Events after the end of the run have no receiver any more.
        let _ = self.entries.send(Entry { at: self.now(), event });
    }
}
