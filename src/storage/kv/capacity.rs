//! How many requests the actor holds, and how many reads are started at once. The numbers grow with
//! the store's request rate, and so with the fleet.

use super::queue::Request;
use crate::numeric::whole_usize;

/// Time in which a response is expected, in seconds: as many requests may be in flight as the whole
/// request rate sends in it.
const EXPECTED_RESPONSE_S: f64 = 0.02;
/// Bounds on the requests that may be in flight. The upper one bounds connections and memory.
const IN_FLIGHT_BOUNDS: (usize, usize) = (8, 512);
/// The actor stops receiving requests while as many are queued as the whole request rate sends in
/// this time, in seconds; callers then wait.
const MAX_QUEUED_S: f64 = 1.0;
/// Bounds on the requests that are queued before callers wait. The upper one bounds memory.
const QUEUED_BOUNDS: (usize, usize) = (512, 65_536);

/// Time in which the store's whole request rate could serve the reads started at the same time, in
/// seconds.
const READ_AHEAD_S: f64 = 0.1;
/// Lower bound on the reads started at the same time.
const MIN_CONCURRENT_READS: usize = 8;

/// Number of reads worth starting at the same time with a store that serves this many requests per
/// second.
pub(super) fn concurrent_reads(rps: f64) -> usize {
    whole_usize(rps * READ_AHEAD_S).max(MIN_CONCURRENT_READS)
}

/// How many requests the actor holds; grows with the store's request rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity {
    /// Requests in flight, not counting long polls. Renewals may exceed it.
    pub(super) in_flight: usize,
    /// Queued requests at which the actor stops receiving more; callers then wait.
    pub(super) queued: usize,
    /// Capacity of the channel on which the actor receives all requests but the election's.
    pub(super) channel: usize,
}

impl Capacity {
    /// The capacity for a store that serves this many requests per second.
    pub(super) fn of_rate(rps: f64) -> Self {
        let in_time = |seconds: f64, (min, max): (usize, usize)| whole_usize(rps * seconds).clamp(min, max);
        let queued = in_time(MAX_QUEUED_S, QUEUED_BOUNDS);
        Capacity { in_flight: in_time(EXPECTED_RESPONSE_S, IN_FLIGHT_BOUNDS), queued, channel: queued / 2 }
    }

    /// Requests in flight at which this one must wait. The limit for transactions does not grow with
    /// the rate: those that wait are batched.
    pub(super) fn limit_for(self, request: &Request) -> usize {
        match request {
            Request::Raw { .. } => self.in_flight,
            Request::Commit(_) => IN_FLIGHT_BOUNDS.0,
        }
    }
}
