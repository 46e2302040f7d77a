//! The requests that the election sends to the key-value store, and their outcomes.

use tokio::time::Instant;

use crate::coordination::election::LeaderRecord;

/// The next request to the store, or a pause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the leader key.
    ReadLeader,
    /// Request a new lease.
    GrantLease,
    /// Write the leader key if it is vacant.
    Acquire {
        /// The lease to attach it to.
        lease: u64,
    },
    /// Revoke a lease, which deletes the keys attached to it.
    RevokeLease {
        /// The lease to revoke.
        lease: u64,
    },
    /// Wait for a change of the leader key, then read it.
    Watch {
        /// The last known version of the key.
        from: u64,
    },
    /// Renew the lease.
    Renew {
        /// The lease to renew.
        lease: u64,
    },
    /// Wait before the next step.
    Wait {
        /// When to continue.
        until: Instant,
    },
}

/// The result of [`Step::ReadLeader`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderRead {
    /// The key exists.
    Held(LeaderRecord),
    /// The key does not exist: there is no leader.
    Vacant,
    /// The store did not answer, or the key cannot be decoded.
    Failed,
}

/// The result of [`Step::Acquire`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// This controller holds the key and leads.
    Won {
        /// The epoch that the store assigned.
        epoch: u64,
    },
    /// Another controller holds the key.
    Lost,
    /// The lease had expired; the key was not written.
    LeaseExpired,
    /// There was no usable response: the key may have been written.
    Unknown,
}

/// The result of [`Step::Renew`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewOutcome {
    /// The lease was renewed.
    Renewed,
    /// The lease has expired.
    LeaseExpired,
    /// There was no usable response: the lease may have been renewed.
    Failed,
}

/// The result of [`Step::Watch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key may have changed: the watch reported a change, ended without one, or got no valid
    /// response in time.
    Ended,
    /// The store could not be reached, or its answer cannot be used.
    Failed,
}
