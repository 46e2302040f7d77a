//! Heartbeats whose replies are deferred for a command that is likely to come.
//!
//! A start can go only into the reply to a heartbeat, and a worker sends one every few
//! seconds. Where an objective asks for a start within less, the reply is deferred for a
//! bounded time and is sent as soon as there is a command for that machine.
//!
//! Deferring a reply never keeps a task alive for longer: the worker's lease, its timeout for
//! replies and every proof of lease expiry count from the sending or the arrival of the
//! heartbeat. What the reply says is decided when it is sent, not when the heartbeat came, so
//! that it carries the stops of what was cancelled meanwhile and nothing that the leader may
//! no longer command.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::maps::HashMap;
use crate::protocol::workers::{HEARTBEAT_REPLY_TIMEOUT, Heartbeat, MachineId};

/// Longest delay of a reply, in heartbeat intervals. Less than three quarters of one, the
/// shortest time after which a worker sends its next heartbeat: a deferred reply delays no
/// heartbeat.
const HEARTBEAT_INTERVAL_RATIO: f64 = 0.7;
/// Longest delay as a part of the time that a worker waits for a reply; the rest is left for
/// the network.
const REPLY_TIMEOUT_DIVISOR: u32 = 2;
/// Longest delay as a part of the lease that the reply renews.
const LEASE_DIVISOR: u32 = 4;

/// A heartbeat that was handled and not replied to yet.
#[derive(Debug)]
pub struct DeferredReply<R> {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Where the reply goes.
    pub reply: R,
    /// When the reply has to be sent, whether there is a command or not.
    deadline: Instant,
}

/// The deferred replies of one leader: at most one for each machine.
#[derive(Debug)]
pub struct DeferredReplies<R> {
    /// Longest delay of a reply.
    max_delay: Duration,
    by_machine: HashMap<MachineId, DeferredReply<R>>,
}

impl<R> DeferredReplies<R> {
    /// No deferred replies yet; the longest delay follows from the settings.
    pub fn new(config: &Config) -> Self {
        let workers = &config.settings.cluster.workers;
        let max_delay = workers
            .heartbeat_interval()
            .mul_f64(HEARTBEAT_INTERVAL_RATIO)
            .min(HEARTBEAT_REPLY_TIMEOUT / REPLY_TIMEOUT_DIVISOR)
            .min(workers.lease() / LEASE_DIVISOR);
        DeferredReplies { max_delay, by_machine: HashMap::default() }
    }

    /// Defers the reply to a heartbeat. Returns the one that was deferred for the machine
    /// before: its worker has given it up.
    pub fn defer(&mut self, now: Instant, heartbeat: Heartbeat, reply: R) -> Option<DeferredReply<R>> {
        let machine = heartbeat.machine.clone();
        let deferred = DeferredReply { heartbeat, reply, deadline: now + self.max_delay };
        self.by_machine.insert(machine, deferred)
    }

    /// The machines whose replies are deferred.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.by_machine.keys()
    }

    /// The reply deferred for a machine, if there is one.
    pub fn get(&self, machine: &MachineId) -> Option<&DeferredReply<R>> {
        self.by_machine.get(machine)
    }

    /// Takes the reply deferred for a machine out, to be sent.
    pub fn remove(&mut self, machine: &MachineId) -> Option<DeferredReply<R>> {
        self.by_machine.remove(machine)
    }

    /// Takes out those whose deadline has passed.
    pub fn expired(&mut self, now: Instant) -> Vec<DeferredReply<R>> {
        let expired: Vec<MachineId> = self
            .by_machine
            .iter()
            .filter(|(_, deferred)| now >= deferred.deadline)
            .map(|(machine, _)| machine.clone())
            .collect();
        expired.iter().filter_map(|machine| self.by_machine.remove(machine)).collect()
    }

    /// Takes out all of them: their leader is gone.
    pub fn drain(&mut self) -> impl Iterator<Item = DeferredReply<R>> + '_ {
        self.by_machine.drain().map(|(_, deferred)| deferred)
    }
}

#[cfg(test)]
mod tests;
