//! Conversions between number types that cannot be exact for every value.

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
