//! The platform's messages. Its words ("sheet", "bench", "baton" …) are turned
//! into the field's own terms here and appear nowhere above this layer.

pub mod cbor;
pub mod cloud;
pub mod jobs;
pub mod kv;
pub mod workers;

/// Largest body exchanged with users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Largest head of a message.
pub const HEAD_LIMIT: usize = 8 * 1024;
