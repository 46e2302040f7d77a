//! The time of day, derived from the monotonic clock.

use tokio::time::Instant;

use crate::numeric::whole_ms;

/// Translates moments of the monotonic clock into the time of day, from one pair of both.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WallClock {
    reference: Instant,
    reference_ms: u64,
}

impl WallClock {
    /// `now_ms`: the time of day at `now`, in milliseconds since the epoch of Unix.
    pub(crate) fn new(now: Instant, now_ms: u64) -> Self {
        WallClock { reference: now, reference_ms: now_ms }
    }

    /// The time of day in milliseconds since the epoch of Unix.
    pub(crate) fn at_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.reference);
        self.reference_ms.saturating_add(whole_ms(passed))
    }
}
