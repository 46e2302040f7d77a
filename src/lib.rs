//! shedtally: a cluster scheduler that runs as several equal controllers on top of a state
//! service.
//!
//! One controller at a time is the leader and decides which task runs on which machine. The
//! others forward requests of users and workers to it, and take over when its lease expires.
//! All state that must outlive a process is in the state service, a consensus-backed
//! key-value store that is not part of this program.
//!
//! # Layers
//!
//! Each layer uses only those below it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`cli`] | the command line; starts the actors of a controller |
//! | [`coordination`] | leader election, and the leader's decisions |
//! | [`storage`] | the key-value store's client with its rate limit, and the stored records |
//! | [`protocol`] | messages of the platform's protocols, and their codecs |
//! | [`transport`] | HTTP and gRPC connections, independent of jobs and machines |
//!
//! Outside the layers are [`settings`] (the platform's settings file) and [`policy`] (tuning
//! parameters set by operators), which all layers except `transport` and `protocol` may use,
//! `maps` (hash maps with an order that tests can reproduce) and `numeric` (conversions between
//! numeric types).
//!
//! # Coordination
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`coordination::election`] | the leader's lease, its renewal and the epoch |
//! | [`coordination::authority`] | which actions an epoch permits, and how long an answer is valid |
//! | [`coordination::leader`] | the leader's state machine: takes events and the time, returns effects |
//! | [`coordination::jobs`] | jobs, their admission, dependencies and record writes |
//! | [`coordination::workers`] | heartbeats, commands, slots and the failure detector |
//! | [`coordination::fleet`] | machines, the cloud's inventory, demand, scale out and scale in |
//! | [`coordination::scheduling`] | the queue, placement, preemption and the descheduler |
//! | [`coordination::recovery`] | failover, snapshots, reconciliation of rows with records |
//! | [`coordination::controller`] | the actor: routing, relays between controllers, metrics |
//!
//! The state machines of `coordination` perform no I/O, so tests run them, and entire clusters
//! of them, in simulated time.

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
)] // Tests fail by panicking, so they may unwrap.

pub mod cli;
pub mod coordination;
mod maps;
mod numeric;
pub mod policy;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
