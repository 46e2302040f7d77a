//! The history of a run: the events that are observable from outside the controllers.

use std::time::Duration;

pub use shedtally::protocol::jobs::JobState;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time since the beginning of the run.
pub type Elapsed = Duration;

/// A user's request to a controller about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UserRequest {
    /// Submit the job, for the first time or again.
    Submit,
    /// Get the job's state.
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

/// An observed event. Jobs and controllers are identified by index.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A user is about to submit a job. Recorded once for all retries of the request.
    SubmissionBegun { job: usize },
    /// A user received a response about a job.
    ResponseReceived {
        job: usize,
        request: UserRequest,
        /// When the request was sent.
        sent_at: Elapsed,
        controller: usize,
        status: u16,
        /// The job's state, if the response has one.
        state: Option<JobState>,
    },
    /// A user is about to cancel a job. Recorded once for all retries of the request.
    CancelRequested { job: usize },
    /// A user received the response to a request that must be rejected, or to a poll of an unknown
    /// job.
    InvalidRequest { expected: u16, status: u16 },
    /// A worker received a start command for an attempt that it does not have yet.
    StartReceived { task: TaskOnMachine, attempt: u64 },
    /// A worker received a start command for a job that was never submitted.
    UnknownStartReceived { machine: String },
    /// A task has fetched its image and started to run.
    TaskStarted { task: TaskOnMachine, zone: &'static str, spot: bool },
    /// A task has completed.
    TaskCompleted { job: usize, index: u32 },
    /// A running task has ended: it has completed, or was stopped or killed.
    TaskRemoved { task: TaskOnMachine },
    /// The key-value store has committed a transaction.
    Committed { controller: usize, revision: u64, keys: Vec<String> },
    /// A fault begins.
    Fault { description: String },
    /// A controller process has exited without being killed.
    ProcessExited { controller: usize, status: String },
    /// A controller reports a violated invariant in its status.
    InvariantViolated { controller: usize, metric: &'static str },
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// When the event was observed.
    pub at: Elapsed,
    /// What was observed.
    pub event: Event,
}

/// Records events from all components of a run.
#[derive(Debug, Clone)]
pub struct Recorder {
    begin: Instant,
    entries: mpsc::UnboundedSender<Entry>,
}

impl Recorder {
    /// Returns a recorder for a run that began at `begin`, and the receiver of its entries.
    pub fn new(begin: Instant) -> (Self, mpsc::UnboundedReceiver<Entry>) {
        let (entries, recorded) = mpsc::unbounded_channel();
        (Recorder { begin, entries }, recorded)
    }

    /// Time since the beginning of the run.
    pub fn now(&self) -> Elapsed {
        self.begin.elapsed()
    }

    /// Records an event with the current time.
    pub fn record(&self, event: Event) {
        // The receiver is gone after the end of the run; later events are discarded.
        let _ = self.entries.send(Entry { at: self.now(), event });
    }
}
