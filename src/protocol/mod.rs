//! The platform's messages: those exchanged with users, workers, the cloud and the
//! key-value store.
//!
//! The platform uses its own names on the wire ("sheet" for a task, "bench" for a machine,
//! "baton" for a fencing token). `wire_words` maps each name to the standard term. The other
//! modules define the message types, and are the only code that encodes and decodes them, so
//! other layers need no wire names.

pub mod cbor;
pub mod cloud;
pub mod jobs;
pub mod kv;
mod wire_words;
pub mod workers;

/// Maximum body size in bytes of a message exchanged with users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Maximum head size in bytes (request line or status line, and headers) of an HTTP message.
pub const HEAD_LIMIT: usize = 8 * 1024;
