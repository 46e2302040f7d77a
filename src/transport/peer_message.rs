//! Requests and replies between controllers, independent of gRPC.

use std::time::Duration;

/// A request from one controller to another.
#[derive(Debug, Clone)]
pub enum PeerCall {
    /// A user's submission: the CBOR body.
    Submit(Vec<u8>),
    /// A user's poll: the job's identifier, not yet validated.
    Poll(String),
    /// A user's cancellation: the job's identifier, not yet validated.
    Cancel(String),
    /// A worker's heartbeat: the CBOR body.
    Heartbeat(Vec<u8>),
    /// Asks whether the other controller leads.
    LeaderQuery,
}

/// How long a reply stays valid, counted from when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingLease {
    /// The epoch in which the reply was decided; 0 if it was read from a record.
    pub epoch: u64,
    /// Time left of the leader's lease, or of the period during which a record that was read
    /// is considered fresh.
    pub remaining: Duration,
}

/// A reply from another controller, which may be relayed while it is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReply {
    /// HTTP status for the user or worker.
    pub status: u16,
    /// CBOR body for the user or worker; may be empty.
    pub body: Vec<u8>,
    /// `Retry-After` in seconds, if the reply has one.
    pub retry_after_s: Option<u32>,
    /// How long the reply stays valid; `None` if it does not depend on a lease.
    pub lease: Option<RemainingLease>,
}
