//! How large the buffers of a controller are.

use crate::settings::Limits as Quota;

/// Connections are for what runs now; as much again may just have been replaced.
const MACHINES_PER_CONNECTION: usize = 2;
const LEAST_MACHINES: usize = 1024;

/// How much of each kind there may be at once, by the sockets and the memory
/// that the settings give: they grow with the fleet, and so does what comes
/// together.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sizes {
    /// Requests of users waiting for the actor; more are refused at once.
    pub(super) users: usize,
    /// Reports waiting for the actor.
    pub(super) reports: usize,
    /// Reads for users under way.
    pub(super) lookups: usize,
    /// Orders being sent straight to workers.
    pub(super) directs: usize,
    /// Workers' reports being handed on to the leader.
    pub(super) relays: usize,
    /// Final standings kept in memory: they never change.
    pub(super) finals: usize,
    /// Machines of which something is remembered that is not in the picture: those that
    /// were deleted, and workers that were sent to the leader. Every machine of a fleet
    /// has a connection to some controller, so a fleet is not larger than this.
    pub(super) machines: usize,
}

impl Sizes {
    pub(super) fn new(quota: &Quota) -> Self {
        let part = |ratio: usize, least: usize| (quota.max_connections / ratio).max(least);
        Sizes {
            users: part(12, 32),
            reports: part(6, 64),
            lookups: part(24, 16),
            directs: part(100, 8),
            relays: part(8, 32),
            machines: (quota.max_connections * MACHINES_PER_CONNECTION).max(LEAST_MACHINES),
            finals: ((quota.memory_mb * 36.0) as usize).clamp(256, 65_536),
        }
    }
}
