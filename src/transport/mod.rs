//! Bytes on sockets: the HTTP/1.1 codec, a small server, a client for outside systems, and
//! the gRPC link between controllers. Knows nothing of jobs or machines.
//!
//! `call` and `peer_message` hold the types of what is sent, apart from the code that sends
//! it, so that the simulated network of the tests (`scripted`) needs neither the client nor
//! the peer link.

mod call;
pub mod client;
pub mod codec;
pub mod peer;
mod peer_message;
pub mod server;

#[cfg(test)]
pub mod simulated_network;
