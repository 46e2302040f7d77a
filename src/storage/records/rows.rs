//! Summary rows: each holds only the state of one job, under a key of its own, so that jobs can
//! be listed without reading their records.

use ciborium::value::Value;

use crate::protocol::cbor::{Fields, Malformed, MapBuilder};
use crate::protocol::jobs::JobState;

/// Encodes the summary row of a job in this state.
pub fn encode_row(state: JobState) -> Value {
    MapBuilder::new().set("standing", state.as_str()).build()
}

/// Decodes the job state of a summary row.
///
/// # Errors
///
/// [`Malformed`] if the value is not a map or has no known state.
pub fn decode_row(value: &Value) -> Result<JobState, Malformed> {
    JobState::parse(Fields::of(value)?.text("standing")?).ok_or(Malformed::Invalid("standing"))
}
