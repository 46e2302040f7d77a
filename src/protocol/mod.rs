//! The platform's messages: what is exchanged with users, workers, the cloud and the
//! key-value store.
//!
//! Each of them has words of its own for the things of the field ("sheet" for a task,
//! "bench" for a machine, "baton" for a fencing token). The words are mapped to the
//! field's terms once, in `wire_words`; the other modules hold the message types and
//! their only encoders and decoders. No other layer spells a word of the wire.

pub mod cbor;
pub mod cloud;
pub mod jobs;
pub mod kv;
mod wire_words;
pub mod workers;

/// Largest body in bytes of a message exchanged with users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Largest head in bytes (request line or status line, and headers) of an HTTP message.
pub const HEAD_LIMIT: usize = 8 * 1024;
