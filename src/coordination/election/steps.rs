//! The requests that the election makes, and their outcomes.

use tokio::time::Instant;

use crate::coordination::election::LeaderRecord;

/// The next request to the store, or a pause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the leader key.
    ReadLeader,
    /// Ask for a new lease.
    GrantLease,
    /// Write the leader key if it is vacant.
    Acquire {
        /// The lease to attach it to.
        lease: u64,
    },
    /// End a lease, and with it the keys attached to it.
    RevokeLease {
        /// The lease.
        lease: u64,
    },
    /// Wait for a change of the leader key, then read it.
    Watch {
        /// The version of the key that is known.
        from: u64,
    },
    /// Extend the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Do nothing for a while.
    Wait {
        /// Until then.
        until: Instant,
    },
}

/// The result of [`Step::ReadLeader`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderRead {
    /// The key is there.
    Held(LeaderRecord),
    /// The key is not there: nobody leads.
    Vacant,
    /// The store did not answer, or the key cannot be decoded.
    Failed,
}

/// The result of [`Step::Acquire`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// This controller leads.
    Won {
        /// The epoch that the store has assigned.
        epoch: u64,
    },
    /// Another controller holds the key.
    Lost,
    /// The lease had expired; the key was not written.
    LeaseExpired,
    /// There was no answer: the key may have been written.
    Unknown,
}

/// The result of [`Step::Renew`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewOutcome {
    /// The lease was extended.
    Renewed,
    /// The lease has expired.
    LeaseExpired,
    /// There was no answer: the lease may have been extended.
    Failed,
}

/// The result of [`Step::Watch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key has changed, or the time to wait has passed.
    Ended,
    /// The store did not answer.
    Failed,
}
