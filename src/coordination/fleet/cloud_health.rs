//! The health of the cloud, judged by the results of calls.

use std::time::Duration;

use tokio::time::Instant;

/// How long the cloud counts as down after a failed call.
const DOWN_AFTER_FAILURE: Duration = Duration::from_secs(10);
/// How long the repetition of a failed call waits.
pub(crate) const CLOUD_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Whether the cloud answers calls.
#[derive(Debug, Default)]
pub(crate) struct CloudHealth {
    /// When a call has last failed; `None` if none has failed in this epoch.
    failed_at: Option<Instant>,
}

impl CloudHealth {
    /// Records that a call has failed: refused for now, or without a known outcome.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Whether the cloud counts as down: a call has failed a short time ago.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now < at + DOWN_AFTER_FAILURE)
    }

    /// Whether it is too early to repeat a failed call.
    pub(crate) fn is_pausing(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now < at + CLOUD_RETRY_PAUSE)
    }
}
