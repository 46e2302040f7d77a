//! What happened in a run, as it showed outside the controllers.

use std::time::Duration;

pub use shedtally::protocol::jobs::JobState;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Since the beginning of the run.
pub type At = Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    Submit,
    Poll,
    Withdraw,
}

/// A task on a machine: jobs by their number in the plan.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskOn {
    pub job: usize,
    pub index: u32,
    pub machine: String,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A user got an answer about a job.
    Answered {
        job: usize,
        question: Question,
        asked: At,
        controller: usize,
        status: u16,
        standing: Option<JobState>,
    },
    /// A user asks for the first time that a job be cancelled.
    CallsOff { job: usize },
    /// A request that must be refused, or a question about what nobody submitted.
    Odd { expected: u16, status: u16 },
    /// A worker carries out a start for the first time.
    StartTaken { task: TaskOn, attempt: u64 },
    /// A worker is told to start a task of a job that nobody has submitted.
    UnknownStart { machine: String },
    /// It has its image.
    Began { task: TaskOn, zone: &'static str, spot: bool },
    /// A task has completed.
    Completed { job: usize, index: u32 },
    /// It is not on the machine any more.
    Left { task: TaskOn },
    /// The state service has carried out a transaction.
    Committed { controller: usize, revision: u64, keys: Vec<String> },
    /// A fault begins.
    Fault { what: String },
    /// A controller's process has ended by itself.
    Ended { controller: usize, how: String },
    /// A controller says that an invariant would have been violated.
    Violated { controller: usize, figure: &'static str },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub at: At,
    pub event: Event,
}

/// Notes events from all parts of a run.
#[derive(Debug, Clone)]
pub struct Recorder {
    begin: Instant,
    entries: mpsc::UnboundedSender<Entry>,
}

impl Recorder {
    pub fn new(begin: Instant) -> (Self, mpsc::UnboundedReceiver<Entry>) {
        let (entries, noted) = mpsc::unbounded_channel();
        (Recorder { begin, entries }, noted)
    }

    pub fn now(&self) -> At {
        self.begin.elapsed()
    }

    pub fn note(&self, event: Event) {
        // Whoever still notes something after the end of the run is not listened to.
        let _ = self.entries.send(Entry { at: self.now(), event });
    }
}
