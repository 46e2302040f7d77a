//! The health of the cloud, derived from the results of calls.

use std::time::Duration;

use tokio::time::Instant;

/// How long the cloud is considered down after a failed call.
const DOWN_AFTER_FAILURE: Duration = Duration::from_secs(10);
/// The pause before a failed call is repeated.
pub(crate) const CLOUD_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Whether the cloud answers calls.
#[derive(Debug, Default)]
pub(crate) struct CloudHealth {
    /// When a call last failed; `None` if none has failed in this epoch.
    failed_at: Option<Instant>,
}

impl CloudHealth {
    /// Records that a call failed: it was refused temporarily, or its outcome is unknown.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Whether the cloud is considered down because a call failed recently.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now < at + DOWN_AFTER_FAILURE)
    }

    /// Whether it is too early to repeat a failed call.
    pub(crate) fn is_in_retry_pause(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|at| now < at + CLOUD_RETRY_PAUSE)
    }
}
