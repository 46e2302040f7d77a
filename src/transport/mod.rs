//! Network I/O: the HTTP/1.1 codec, a small server, a client for external systems, and the
//! gRPC link between controllers. Independent of jobs and machines.
//!
//! `call` and `peer_message` define the messages separately from the code that sends them, so
//! that the simulated network of the tests (`simulated_network`) depends on neither the client
//! nor the peer link.

mod call;
pub mod client;
pub mod codec;
pub mod peer;
mod peer_message;
pub mod server;

#[cfg(test)]
pub mod simulated_network;
