//! What is known of the jobs that others depend on.

use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, JobKind, JobState};
use crate::storage::records::JobRecord;

/// What the store says of a job that another one depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// Never admitted.
    Absent,
    /// A service, which is never done.
    Service,
    /// Neither done nor cancelled.
    Unfinished,
    /// All its tasks are done.
    Done {
        /// When, if the record says so: milliseconds since the epoch of Unix.
        at_ms: Option<u64>,
    },
    /// Cancelled.
    Cancelled,
    /// There is a record, and it cannot be read: any of these may be.
    Unreadable,
}

/// What was read of jobs that others depend on.
pub type DependencyStates = HashMap<JobId, DependencyState>;

impl DependencyState {
    /// What a job's record, if it has one, means for those that depend on the job.
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
