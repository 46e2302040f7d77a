//! Reports whose answers wait for an order that is likely to come.
//!
//! A start can go only into the answer to a report, and a worker sends one every few
//! seconds. Where users aim at a start within less, the answer to a report is held for
//! a bounded time and goes out as soon as there is an order for that machine.
//!
//! Holding an answer never keeps a task alive for longer: the worker's lease, its limit
//! for answers and every proof of silence count from the sending or the arrival of the
//! report. What the answer says is decided when it is sent, not when the report came,
//! so that it carries the stops of what was cancelled meanwhile and nothing that the
//! leader may no longer order.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::maps::HashMap;
use crate::protocol::workers::{HEARTBEAT_REPLY_TIMEOUT, Heartbeat, MachineId};

/// Answers are held for less than the shortest time after which the worker reports
/// again, three quarters of its interval: a hold delays no report that comes by time.
const HEARTBEAT_INTERVAL_RATIO: f64 = 0.7;
/// The rest of the time that a worker waits for an answer is left for the way.
const REPLY_TIMEOUT_DIVISOR: u32 = 2;
/// Holds are short against the lease that the answer renews.
const LEASE_DIVISOR: u32 = 4;

/// A report that was taken and not answered yet.
#[derive(Debug)]
pub struct DeferredReply<R> {
    pub heartbeat: Heartbeat,
    /// Where the answer goes.
    pub reply: R,
    deadline: Instant,
}

/// The held reports of one leader: at most one for each machine.
#[derive(Debug)]
pub struct DeferredReplies<R> {
    max_delay: Duration,
    by_machine: HashMap<MachineId, DeferredReply<R>>,
}

impl<R> DeferredReplies<R> {
    /// Holds nothing yet; the bound follows from the settings.
    pub fn new(config: &Config) -> Self {
        let workers = &config.settings.cluster.workers;
        let longest = workers
            .report()
            .mul_f64(HEARTBEAT_INTERVAL_RATIO)
            .min(HEARTBEAT_REPLY_TIMEOUT / REPLY_TIMEOUT_DIVISOR)
            .min(workers.lease() / LEASE_DIVISOR);
        DeferredReplies { max_delay: longest, by_machine: HashMap::default() }
    }

    /// Holds the answer to a report. Returns the one held for that machine before: its
    /// worker has given it up.
    pub fn defer(&mut self, now: Instant, report: Heartbeat, reply: R) -> Option<DeferredReply<R>> {
        let machine = report.machine.clone();
        self.by_machine
            .insert(machine, DeferredReply { heartbeat: report, reply, deadline: now + self.max_delay })
    }

    /// The machines whose answers are held.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.by_machine.keys()
    }

    /// The report held for a machine.
    pub fn get(&self, machine: &MachineId) -> Option<&DeferredReply<R>> {
        self.by_machine.get(machine)
    }

    /// Takes the report held for a machine, to be answered.
    pub fn remove(&mut self, machine: &MachineId) -> Option<DeferredReply<R>> {
        self.by_machine.remove(machine)
    }

    /// Takes those that have been held for as long as they may be.
    pub fn expired(&mut self, now: Instant) -> Vec<DeferredReply<R>> {
        let over: Vec<MachineId> = self
            .by_machine
            .iter()
            .filter(|(_, held)| now >= held.deadline)
            .map(|(id, _)| id.clone())
            .collect();
        over.iter().filter_map(|machine| self.by_machine.remove(machine)).collect()
    }

    /// Takes all of them: their leader is no more.
    pub fn drain(&mut self) -> impl Iterator<Item = DeferredReply<R>> + '_ {
        self.by_machine.drain().map(|(_, held)| held)
    }
}

#[cfg(test)]
mod tests;
