//! Starts that the worker of a machine may still execute a second time.
//!
//! A worker that no longer knows an attempt starts it again if a copy of the start command
//! arrives. It drops replies that arrive too late, so that ends some time after the start was sent.
//! Until then the worker must not be told to forget the attempt.

use tokio::time::Instant;

use crate::protocol::jobs::TaskId;

/// A start that was sent to the worker.
#[derive(Debug)]
struct RecentStart {
    task: TaskId,
    attempt: u64,
    /// From then on, the worker drops all copies of the reply that carried the start.
    expires_at: Instant,
    /// Whether the worker lists the attempt as exited.
    has_exited: bool,
}

/// The starts that were recently sent to one worker in its present incarnation.
#[derive(Debug, Default)]
pub struct RecentStarts(Vec<RecentStart>);

impl RecentStarts {
    /// Records a start in a reply that the worker drops once `expires_at` has passed.
    pub fn record(&mut self, task: TaskId, attempt: u64, expires_at: Instant) {
        self.0.push(RecentStart { task, attempt, expires_at, has_exited: false });
    }

    /// Forgets the starts whose copies the worker drops from now on.
    pub fn forget_expired(&mut self, now: Instant) {
        self.0.retain(|start| now < start.expires_at);
    }

    /// Records that the worker lists the attempt as exited.
    pub fn record_exited(&mut self, task: &TaskId, attempt: u64) {
        if let Some(start) = self.0.iter_mut().find(|start| start.attempt == attempt && start.task == *task) {
            start.has_exited = true;
        }
    }

    /// Whether a copy of the start of this attempt may still be executed, so that the worker has to
    /// go on listing the attempt.
    pub fn contains(&self, task: &TaskId, attempt: u64) -> bool {
        self.0.iter().any(|start| start.attempt == attempt && start.task == *task)
    }

    /// The tasks of which the worker goes on listing an exited attempt for that reason.
    pub fn kept_listed(&self) -> impl Iterator<Item = &TaskId> {
        self.0.iter().filter(|start| start.has_exited).map(|start| &start.task)
    }

    /// Forgets all starts: the worker has a new incarnation, and drops replies to an earlier one.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
