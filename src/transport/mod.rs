//! Bytes on sockets: the HTTP/1.1 codec, a small server, a client for the
//! outside systems, and the gRPC link between controllers. Knows nothing of
//! jobs or machines.

pub mod client;
pub mod codec;
pub mod peer;
pub mod server;

#[cfg(test)]
pub mod scripted;
