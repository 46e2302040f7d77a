//! States of jobs that other jobs depend on, as read from the store.

use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, JobKind, JobState};
use crate::storage::records::JobRecord;

/// The state of a job that another job depends on, according to its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// It has no record: it was never admitted.
    Absent,
    /// A service, which is never done.
    Service,
    /// Not terminal: neither done nor cancelled.
    Unfinished,
    /// All its tasks are done.
    Done {
        /// When the last task was done, in milliseconds since the Unix epoch, if the record says so.
        at_ms: Option<u64>,
    },
    /// Cancelled.
    Cancelled,
    /// There is a record that cannot be read: the job may be in any of these states.
    Unreadable,
}

/// The states that were read, by job.
pub type DependencyStates = HashMap<JobId, DependencyState>;

impl DependencyState {
    /// The state according to the job's record; `record` is `None` if the job has none.
    pub fn of(record: Option<&JobRecord>) -> Self {
        let Some(record) = record else { return DependencyState::Absent };
        match record.terminal_state() {
            _ if record.spec.kind == JobKind::Service => DependencyState::Service,
            Some(JobState::Done) => DependencyState::Done { at_ms: record.completed_ms },
            Some(_) => DependencyState::Cancelled,
            None => DependencyState::Unfinished,
        }
    }
}
