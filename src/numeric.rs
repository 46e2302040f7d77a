//! Conversions between number types that cannot be exact for every value.

use std::time::Duration;

/// The whole part of a number; the nearest value of the type for one outside its range, 0 for
/// one that is no number.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` from a float saturates")]
pub(crate) fn whole_usize(number: f64) -> usize {
    number as usize
}

/// The same as a 32-bit number.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` from a float saturates")]
pub(crate) fn whole_u32(number: f64) -> u32 {
    number as u32
}

/// A number of things in memory as a 32-bit number; the largest one if there are more.
pub(crate) fn count_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// A duration in whole milliseconds, rounded down; the largest number if there are more.
pub(crate) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
