//! shedtally: a cluster scheduler run as several equal controllers over a
//! small state service.
//!
//! The layers, of which each uses only those after it: `coordination` (who
//! leads and what is decided), `storage` (what outlives a process), `protocol`
//! (the platform's messages), `transport` (bytes on sockets).

#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod cli;
pub mod coordination;
mod maps;
pub mod policy;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
