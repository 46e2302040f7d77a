//! Heartbeats whose replies are deferred because a command for the machine is likely to follow.
//!
//! A start can be sent only in the reply to a heartbeat, and a worker sends a heartbeat every
//! few seconds. If an objective requires a start sooner than that, the reply is deferred for a
//! bounded time and is sent as soon as there is a command for the machine.
//!
//! Deferring a reply never keeps a task alive for longer: the worker's lease, its reply timeout
//! and every proof of lease expiry count from the time when the heartbeat was sent or arrived.
//! The contents of the reply are decided when it is sent, not when the heartbeat arrived, so
//! that it carries the stops of tasks cancelled meanwhile, and no command that the leader may no
//! longer give.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::maps::HashMap;
use crate::protocol::workers::{HEARTBEAT_REPLY_TIMEOUT, Heartbeat, MachineId};

/// Maximum delay of a reply, in heartbeat intervals. It is less than three quarters of an
/// interval, the shortest time after which a worker sends its next heartbeat, so that a deferred
/// reply does not delay a heartbeat.
const MAX_DELAY_INTERVALS: f64 = 0.7;
/// A reply is delayed at most by the time that a worker waits for it, divided by this; the rest is
/// left for the network.
const MAX_DELAY_REPLY_TIMEOUT_DIVISOR: u32 = 2;
/// A reply is delayed at most by the lease that it renews, divided by this.
const MAX_DELAY_LEASE_DIVISOR: u32 = 4;

/// A heartbeat that was handled but not replied to yet.
#[derive(Debug)]
pub struct DeferredReply<R> {
    /// The heartbeat to reply to.
    pub heartbeat: Heartbeat,
    /// Channel over which the reply is sent.
    pub reply: R,
    /// When the reply has to be sent even if there is no command.
    deadline: Instant,
}

/// The deferred replies of one leader: at most one for each machine.
#[derive(Debug)]
pub struct DeferredReplies<R> {
    /// Maximum delay of a reply.
    max_delay: Duration,
    by_machine: HashMap<MachineId, DeferredReply<R>>,
}

impl<R> DeferredReplies<R> {
    /// Creates an empty set; the maximum delay follows from the settings.
    pub fn new(config: &Config) -> Self {
        let workers = &config.settings.cluster.workers;
        let max_delay = workers
            .heartbeat_interval()
            .mul_f64(MAX_DELAY_INTERVALS)
            .min(HEARTBEAT_REPLY_TIMEOUT / MAX_DELAY_REPLY_TIMEOUT_DIVISOR)
            .min(workers.lease() / MAX_DELAY_LEASE_DIVISOR);
        DeferredReplies { max_delay, by_machine: HashMap::default() }
    }

    /// Defers the reply to a heartbeat. Returns the reply that was already deferred for the
    /// machine, if any: the worker no longer waits for it.
    pub fn defer(&mut self, now: Instant, heartbeat: Heartbeat, reply: R) -> Option<DeferredReply<R>> {
        let machine = heartbeat.machine.clone();
        let deferred = DeferredReply { heartbeat, reply, deadline: now + self.max_delay };
        self.by_machine.insert(machine, deferred)
    }

    /// Returns the machines whose replies are deferred.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.by_machine.keys()
    }

    /// Returns the reply deferred for a machine, if there is one.
    pub fn get(&self, machine: &MachineId) -> Option<&DeferredReply<R>> {
        self.by_machine.get(machine)
    }

    /// Removes and returns the reply deferred for a machine.
    pub fn remove(&mut self, machine: &MachineId) -> Option<DeferredReply<R>> {
        self.by_machine.remove(machine)
    }

    /// Removes and returns the replies whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<DeferredReply<R>> {
        let expired: Vec<MachineId> = self
            .by_machine
            .iter()
            .filter(|(_, deferred)| now >= deferred.deadline)
            .map(|(machine, _)| machine.clone())
            .collect();
        expired.iter().filter_map(|machine| self.by_machine.remove(machine)).collect()
    }

    /// Removes and returns all replies, because their leader no longer leads.
    pub fn drain(&mut self) -> impl Iterator<Item = DeferredReply<R>> + '_ {
        self.by_machine.drain().map(|(_, deferred)| deferred)
    }
}

#[cfg(test)]
mod tests;
