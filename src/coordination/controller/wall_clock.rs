//! The time of day, which records carry.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::numeric::whole_ms;

/// Milliseconds since 1970; in tests, those of the simulation if there is one.
pub(super) fn wall_ms() -> u64 {
    #[cfg(test)]
    if let Some(simulated) = crate::transport::simulated_network::time_of_day_ms() {
        return simulated;
    }
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    whole_ms(since_1970)
}
