//! The time of day, which records carry.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970; in tests, those of the simulation if there is one.
pub(super) fn wall_ms() -> u64 {
    #[cfg(test)]
    if let Some(simulated) = crate::transport::simulated_network::time_of_day_ms() {
        return simulated;
    }
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    whole_ms(since_1970)
}

/// A duration in whole milliseconds.
pub(super) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
