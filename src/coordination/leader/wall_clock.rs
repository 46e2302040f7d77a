//! The time of day, derived from the monotonic clock.

use tokio::time::Instant;

use crate::numeric::whole_ms;

/// Converts instants of the monotonic clock to the time of day, relative to one reference
/// point for which both are known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WallClock {
    reference: Instant,
    reference_ms: u64,
}

impl WallClock {
    /// `now_ms` is the time of day at `now`, in milliseconds since the Unix epoch.
    pub(crate) fn new(now: Instant, now_ms: u64) -> Self {
        WallClock { reference: now, reference_ms: now_ms }
    }

    /// The time of day at `now`, in milliseconds since the Unix epoch.
    pub(crate) fn unix_time_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.reference);
        self.reference_ms.saturating_add(whole_ms(elapsed))
    }
}
