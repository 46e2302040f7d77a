//! What is observed of a snapshot while it is being read.

use crate::coordination::jobs::dependency_state::DependencyState;
use crate::coordination::recovery::recorded_jobs::RecordedJob;
use crate::protocol::jobs::JobId;

/// A step of reading the snapshot for a failover.
#[derive(Debug)]
pub enum SnapshotProgress {
    /// The live rows have been read; there are this many unfinished jobs.
    RowsRead {
        /// Number of unfinished jobs.
        jobs: usize,
    },
    /// The record of an unfinished job has been read.
    JobRead(RecordedJob),
    /// The record of a job on which unfinished jobs depend has been read.
    DependencyRead(JobId, DependencyState),
}

/// Learns of the progress of a snapshot that is being read.
pub trait SnapshotObserver: Clone + Send + Sync + 'static {
    /// Called for each step. The reads wait until it returns.
    fn observe(&self, progress: SnapshotProgress) -> impl Future<Output = ()> + Send;
}

/// Ignores the progress.
impl SnapshotObserver for () {
    async fn observe(&self, _progress: SnapshotProgress) {}
}
