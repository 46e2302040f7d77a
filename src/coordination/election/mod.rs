//! Leader election: the lease, the epoch, renewal and stepping down.
//!
//! One key, attached to a lease of the key-value store, names the leader. The key's version is
//! the epoch: the store assigns it, and it increases each time the key is acquired.
//! [`Election`] is the state machine that decides the next step; [`run`] executes the steps,
//! one at a time.

mod runner;
mod state;
mod steps;

use tokio::time::Instant;

use crate::protocol::cbor::Fields;
use crate::protocol::kv::Entry;

pub use runner::run;
pub use state::Election;
pub use steps::{AcquireOutcome, LeaderRead, RenewOutcome, Step, WatchOutcome};

/// The result of the election as other parts of the controller see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// No leader is known: the store has not been read yet, or there is no leader.
    Leaderless,
    /// Another controller leads.
    Follower {
        /// The leader's name.
        leader: String,
        /// The leader's epoch.
        epoch: u64,
    },
    /// This controller leads.
    Leader {
        /// Its epoch.
        epoch: u64,
        /// When the lease expires by the local clock. From then on nothing may be done under
        /// the epoch until the lease is extended.
        lease_expiry: Instant,
    },
}

/// The leader key as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The leader's name.
    pub name: String,
    /// The incarnation of the process that acquired the key.
    pub incarnation: String,
    /// The key's version, which is the epoch.
    pub version: u64,
    /// The lease that the key is attached to.
    pub lease: Option<u64>,
}

/// Decodes the leader key's value; `None` if it cannot be decoded.
pub fn decode_leader_record(entry: &Entry) -> Option<LeaderRecord> {
    let fields = Fields::of(&entry.value).ok()?;
    Some(LeaderRecord {
        name: fields.text("name").ok()?.to_owned(),
        incarnation: fields.text("by").ok()?.to_owned(),
        version: entry.version,
        lease: entry.lease,
    })
}

#[cfg(test)]
mod tests;
