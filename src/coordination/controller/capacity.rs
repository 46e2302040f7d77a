//! The limits on what a controller queues, has under way or remembers.

use crate::numeric::whole_usize;
use crate::settings::ProcessLimits as Quota;

/// Machines remembered for each connection. Connections are for machines that run now; as
/// many again may just have been replaced.
const MACHINES_PER_CONNECTION: usize = 2;
/// Machines remembered at least.
const MIN_MACHINES: usize = 1024;
/// Terminal states remembered for each MB of memory.
const TERMINAL_STATES_PER_MB: f64 = 36.0;
/// Terminal states remembered at least.
const MIN_TERMINAL_STATES: usize = 256;
/// Terminal states remembered at most.
const MAX_TERMINAL_STATES: usize = 65_536;

/// The limits that follow from the connections and the memory that the settings allow: those
/// grow with the fleet, and so does what arrives at the same time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacityLimits {
    /// Users' requests that wait for the actor; more are refused at once.
    pub(crate) queued_requests: usize,
    /// Heartbeats that wait for the actor; more are refused at once.
    pub(crate) queued_heartbeats: usize,
    /// Reads of records for users under way.
    pub(crate) lookups: usize,
    /// Pushes of commands to workers under way.
    pub(crate) pushes: usize,
    /// Heartbeats being relayed to the leader.
    pub(crate) relays: usize,
    /// Terminal states of jobs kept in memory: they never change.
    pub(crate) terminal_states: usize,
    /// Machines of which something is remembered that is not in the leader's memory: those
    /// that were deleted, and workers that were redirected to the leader. Every machine of a
    /// fleet has a connection to some controller, so a fleet is not larger than this.
    pub(crate) machines: usize,
}

impl CapacityLimits {
    /// The limits for a quota of connections and memory.
    pub(crate) fn new(quota: &Quota) -> Self {
        let connections_by = |divisor: usize, min: usize| (quota.max_connections / divisor).max(min);
        CapacityLimits {
            queued_requests: connections_by(12, 32),
            queued_heartbeats: connections_by(6, 64),
            lookups: connections_by(24, 16),
            pushes: connections_by(100, 8),
            relays: connections_by(8, 32),
            machines: (quota.max_connections * MACHINES_PER_CONNECTION).max(MIN_MACHINES),
            terminal_states: terminal_states(quota.memory_mb),
        }
    }
}

/// The terminal states that are kept in so much memory.
fn terminal_states(memory_mb: f64) -> usize {
    let by_memory = whole_usize(memory_mb * TERMINAL_STATES_PER_MB);
    by_memory.clamp(MIN_TERMINAL_STATES, MAX_TERMINAL_STATES)
}
