//! Limits on the queues, the concurrent operations and the caches of a controller.

use crate::numeric::whole_usize;
use crate::settings::ProcessLimits;

/// Machines tracked for each allowed connection: each machine that runs now has one, and as many
/// machines again may just have been replaced.
const MACHINES_PER_CONNECTION: usize = 2;
/// Lower bound on the machines tracked.
const MIN_MACHINES: usize = 1024;
/// Terminal states cached for each MB of memory.
const TERMINAL_STATES_PER_MB: f64 = 36.0;
/// Lower bound on the terminal states cached.
const MIN_TERMINAL_STATES: usize = 256;
/// Upper bound on the terminal states cached.
const MAX_TERMINAL_STATES: usize = 65_536;

/// Limits derived from the connections and the memory that the settings allow: both grow with
/// the fleet, and so does the number of messages that arrive at the same time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacityLimits {
    /// Capacity of the queue of requests; further ones are refused immediately.
    pub(crate) queued_requests: usize,
    /// Capacity of the queue of heartbeats; further ones are refused immediately.
    pub(crate) queued_heartbeats: usize,
    /// Concurrent reads of records for users.
    pub(crate) lookups: usize,
    /// Concurrent pushes of commands to workers.
    pub(crate) pushes: usize,
    /// Heartbeats relayed to the leader concurrently.
    pub(crate) relays: usize,
    /// Terminal job states cached; they never change.
    pub(crate) terminal_states: usize,
    /// Machines tracked besides the registered ones: deleted machines, and workers that were
    /// redirected to the leader. Every machine of a fleet has a connection to some
    /// controller, so a fleet is not larger than this.
    pub(crate) machines: usize,
}

impl CapacityLimits {
    /// Derives the limits from the connections and the memory that the process may use.
    pub(crate) fn new(process_limits: &ProcessLimits) -> Self {
        let connection_share =
            |divisor: usize, min: usize| (process_limits.max_connections / divisor).max(min);
        CapacityLimits {
            queued_requests: connection_share(12, 32),
            queued_heartbeats: connection_share(6, 64),
            lookups: connection_share(24, 16),
            pushes: connection_share(100, 8),
            relays: connection_share(8, 32),
            machines: (process_limits.max_connections * MACHINES_PER_CONNECTION).max(MIN_MACHINES),
            terminal_states: terminal_states(process_limits.memory_mb),
        }
    }
}

/// Returns how many terminal states to cache, given the memory of the process.
fn terminal_states(memory_mb: f64) -> usize {
    let by_memory = whole_usize(memory_mb * TERMINAL_STATES_PER_MB);
    by_memory.clamp(MIN_TERMINAL_STATES, MAX_TERMINAL_STATES)
}
