//! shedtally: a cluster scheduler run as several equal controllers over a small state
//! service.
//!
//! One controller leads at a time and decides what runs where; the others forward users and
//! workers to it and take over when its lease expires. All state that must outlive a process
//! is in the state service, a consensus-backed key-value store that is not part of this
//! program.
//!
//! # Layers
//!
//! Each layer uses only those below it.
//!
//! | folder | what it owns |
//! | --- | --- |
//! | [`cli`] | the command line; composes a controller of its actors |
//! | [`coordination`] | who leads, and what the leader decides |
//! | [`storage`] | the key-value store's client with its rate limit, and the stored records |
//! | [`protocol`] | messages of the platform's protocols and their codecs |
//! | [`transport`] | HTTP and gRPC: bytes on sockets, without knowledge of jobs or machines |
//!
//! Beside the layers are [`settings`] (the platform's settings file) and [`policy`] (what
//! operators tune), which all but `transport` and `protocol` may read, and `maps` (hash maps
//! whose order tests can repeat).
//!
//! # Coordination
//!
//! | folder | what it owns |
//! | --- | --- |
//! | [`coordination::election`] | the leader's lease, its renewal and the epoch |
//! | [`coordination::authority`] | what may be done under an epoch, and how long an answer is valid |
//! | [`coordination::leader`] | the leader's state machine: events and time in, effects out |
//! | [`coordination::jobs`] | jobs, their admission, dependencies and record writes |
//! | [`coordination::workers`] | heartbeats, commands, slots and the failure detector |
//! | [`coordination::fleet`] | machines, the cloud's inventory, demand, scale out and scale in |
//! | [`coordination::scheduling`] | the queue, placement, preemption and rebalancing |
//! | [`coordination::recovery`] | failover, snapshots, reconciliation of rows with records |
//! | [`coordination::controller`] | the actor: routing, relays between controllers, metrics |
//!
//! The state machines of `coordination` do no input or output, so tests run them, and whole
//! simulated clusters of them, in simulated time.

#![cfg_attr(
    test,
    allow(
        missing_docs,
        clippy::unwrap_used,
        clippy::cast_possible_truncation,
        clippy::items_after_statements,
        clippy::missing_docs_in_private_items,
        clippy::missing_errors_doc,
        clippy::needless_pass_by_value,
        clippy::wildcard_imports,
        reason = "see `Cargo.toml`, lints"
    )
)] // A test may panic: that is how it fails.

pub mod cli;
pub mod coordination;
mod maps;
mod numeric;
pub mod policy;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
