//! Conversions between numeric types that truncate or saturate where they cannot be exact.

use std::time::Duration;

/// Truncates a number to `usize`. Values out of range saturate, and NaN becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` from a float saturates")]
pub(crate) fn whole_usize(number: f64) -> usize {
    number as usize
}

/// Truncates a number to `u32`. Values out of range saturate, and NaN becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` from a float saturates")]
pub(crate) fn whole_u32(number: f64) -> u32 {
    number as u32
}

/// Converts a count to `u32`, saturating at `u32::MAX`.
pub(crate) fn count_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts a duration to milliseconds, rounded down and saturating at `u64::MAX`.
pub(crate) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
