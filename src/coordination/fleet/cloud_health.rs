//! Whether the cloud answers.

use std::time::Duration;

use tokio::time::Instant;

/// The cloud counts as down for so long after it has failed.
const DOWN_AFTER_FAILURE: Duration = Duration::from_secs(10);
/// What must be repeated waits so long after the cloud has failed.
pub(crate) const CLOUD_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// When the cloud has last failed to answer.
#[derive(Debug, Default)]
pub(crate) struct CloudHealth {
    failed_at: Option<Instant>,
}

impl CloudHealth {
    /// A call has failed.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Whether the cloud has failed a moment ago.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now < at + DOWN_AFTER_FAILURE)
    }

    /// Whether it is too soon to repeat a call.
    pub(crate) fn is_pausing(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now < at + CLOUD_RETRY_PAUSE)
    }
}
