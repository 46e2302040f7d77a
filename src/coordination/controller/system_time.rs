//! The system's clock. The time of day that it gives is stored in records.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::numeric::whole_ms;

/// Returns the milliseconds since the Unix epoch (1970), or the simulated time in a simulation test.
pub(super) fn unix_time_ms() -> u64 {
    #[cfg(test)]
    if let Some(simulated) = crate::transport::simulated_network::time_of_day_ms() {
        return simulated;
    }
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    whole_ms(since_1970)
}
