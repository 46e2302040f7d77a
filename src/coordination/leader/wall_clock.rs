//! Wall-clock time, derived from the monotonic clock.

use tokio::time::Instant;

use crate::numeric::whole_ms;

/// Converts instants of the monotonic clock to wall-clock time, counting from a reference instant
/// whose wall-clock time is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WallClock {
    reference: Instant,
    reference_ms: u64,
}

impl WallClock {
    /// `now_ms` is the wall-clock time at `now`, in milliseconds since the Unix epoch.
    pub(crate) fn new(now: Instant, now_ms: u64) -> Self {
        WallClock { reference: now, reference_ms: now_ms }
    }

    /// The wall-clock time at `now`, in milliseconds since the Unix epoch.
    pub(crate) fn unix_time_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.reference);
        self.reference_ms.saturating_add(whole_ms(elapsed))
    }
}
