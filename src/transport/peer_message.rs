//! What controllers ask of each other and answer, independent of gRPC.

use std::time::Duration;

/// A request of one controller to another.
#[derive(Debug, Clone)]
pub enum PeerCall {
    /// A user's submission: its CBOR body.
    Submit(Vec<u8>),
    /// A user's poll: the job's identifier, not yet checked.
    Poll(String),
    /// A user's cancellation: the job's identifier, not yet checked.
    Cancel(String),
    /// A worker's heartbeat: its CBOR body.
    Heartbeat(Vec<u8>),
    /// Whether the other controller leads.
    LeaderQuery,
}

/// How long a reply that is not terminal stays valid, as of when it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingLease {
    /// The epoch under which it was decided; 0 where it was read from a record.
    pub epoch: u64,
    /// What was left of the leader's lease, or of the time for which a record that was read
    /// counts as fresh.
    pub remaining: Duration,
}

/// Another controller's reply, to be relayed while it is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReply {
    /// HTTP status for the user or worker.
    pub status: u16,
    /// CBOR body for the user or worker; may be empty.
    pub body: Vec<u8>,
    /// Seconds after which to retry, if the reply advises that.
    pub retry_after_s: Option<u32>,
    /// How long the reply stays valid; `None` if it does not depend on a lease.
    pub lease: Option<RemainingLease>,
}
