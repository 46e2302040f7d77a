//! How large the buffers of a controller are.

use crate::settings::Limits as Quota;

/// Connections are for what runs now; as much again may just have been replaced.
const MACHINES_PER_CONNECTION: usize = 2;
const MIN_MACHINES: usize = 1024;

/// How much of each kind there may be at once, by the sockets and the memory
/// that the settings give: they grow with the fleet, and so does what comes
/// together.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacityLimits {
    /// Requests of users waiting for the actor; more are refused at once.
    pub(crate) queued_requests: usize,
    /// Reports waiting for the actor.
    pub(crate) queued_heartbeats: usize,
    /// Reads for users under way.
    pub(crate) lookups: usize,
    /// Orders being sent straight to workers.
    pub(crate) pushes: usize,
    /// Workers' reports being handed on to the leader.
    pub(crate) relays: usize,
    /// Final standings kept in memory: they never change.
    pub(crate) terminal_states: usize,
    /// Machines of which something is remembered that is not in the picture: those that
    /// were deleted, and workers that were sent to the leader. Every machine of a fleet
    /// has a connection to some controller, so a fleet is not larger than this.
    pub(crate) machines: usize,
}

impl CapacityLimits {
    pub(crate) fn new(quota: &Quota) -> Self {
        let part = |ratio: usize, least: usize| (quota.max_connections / ratio).max(least);
        CapacityLimits {
            queued_requests: part(12, 32),
            queued_heartbeats: part(6, 64),
            lookups: part(24, 16),
            pushes: part(100, 8),
            relays: part(8, 32),
            machines: (quota.max_connections * MACHINES_PER_CONNECTION).max(MIN_MACHINES),
            terminal_states: ((quota.memory_mb * 36.0) as usize).clamp(256, 65_536),
        }
    }
}
