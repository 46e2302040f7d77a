//! Heartbeats of workers: which of them count, and what is replied.
//!
//! Starts go only into replies to heartbeats: a worker drops a reply that comes more than a
//! few seconds late, while a pushed command may be carried out minutes later.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::{HeartbeatStamp, Machine, Phase};
use crate::coordination::leader::Leader;
use crate::coordination::workers::reply_commands::MAX_COMMANDS;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::{Command, Heartbeat, MachineId};

/// Longest time to a preemption that is taken from a heartbeat, in seconds. Keeps the sum
/// with the clock in range, whatever a worker sends.
const MAX_PREEMPTION_NOTICE_S: f64 = 1e6;

/// What is replied to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// The heartbeat is accepted, which renews the worker's lease.
    Commands {
        /// The epoch of the leader that replies.
        fencing_token: u64,
        /// What the worker is to do; may be empty.
        commands: Vec<Command>,
    },
    /// The leader may not, or does not want to, renew the worker's lease: the worker must
    /// try another controller.
    Redirect,
}

/// Whether a machine's replies seem to reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyDelivery {
    /// Nothing speaks against it.
    Unsuspected,
    /// Heartbeats arrive, but nothing in them shows that replies do: a one-way partition.
    Suspected {
        /// Whether it is time to try a single start all the same.
        may_probe: bool,
    },
}

impl ReplyDelivery {
    /// How many tasks may be started in a reply that already has `commands` commands. A
    /// suspected machine is probed with a single start now and then.
    fn max_starts(self, commands: usize) -> usize {
        let limit = MAX_COMMANDS.saturating_sub(commands);
        match self {
            ReplyDelivery::Unsuspected => limit,
            ReplyDelivery::Suspected { may_probe: true } => limit.min(1),
            ReplyDelivery::Suspected { may_probe: false } => 0,
        }
    }
}

impl Leader {
    /// Takes a worker's heartbeat and decides the reply.
    ///
    /// The checks come first, from the leader's own term to the heartbeat's token. A
    /// heartbeat that passes all of them updates the machine and its slots, and its reply
    /// carries stops, reaps and starts.
    pub fn handle_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        // A reply with a lower token would be dropped and only hold the worker here while
        // its lease runs out.
        if heartbeat.fencing_token > self.term.epoch() || self.is_fenced() {
            return HeartbeatReply::Redirect;
        }
        if !self.holds_lease(now) {
            return self.handle_heartbeat_after_lease(now, heartbeat);
        }
        // A late copy from a machine whose deletion was confirmed.
        if self.machines.is_deleted(&heartbeat.machine) {
            return HeartbeatReply::Redirect;
        }
        // Without machine types its capacity cannot be counted yet, so its lease must not be
        // renewed.
        if self.catalog.is_empty() {
            return HeartbeatReply::Redirect;
        }
        let Some(machine) = self.machines.get(&heartbeat.machine) else {
            return self.handle_unregistered_heartbeat(now, heartbeat);
        };
        if is_outdated(machine, heartbeat) {
            return HeartbeatReply::Redirect;
        }
        let must_lose_lease = self.ignores_its_stops(now, heartbeat);
        if heartbeat.fencing_token < self.term.epoch() {
            return if must_lose_lease {
                HeartbeatReply::Redirect
            } else {
                self.handle_stale_heartbeat(now, heartbeat)
            };
        }
        self.reconcile_machine(now, heartbeat, !must_lose_lease);
        if must_lose_lease {
            return HeartbeatReply::Redirect;
        }
        self.reply_with_commands(now, heartbeat)
    }

    /// A heartbeat of a machine that is in none of the node pools' records.
    ///
    /// Under an earlier token it may be a late copy, of a machine long deleted. A live
    /// machine shows our token with its next heartbeat, and only then it is registered. No
    /// machine that no record names was ever given a start, so the reply keeps no task
    /// alive; unless a record cannot be read.
    fn handle_unregistered_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        let worker_lease = self.config.settings.cluster.workers.lease();
        if self.failover.unrecorded_machines_possible()
            && !self.failover.may_reply_to_unrecorded(now, worker_lease)
        {
            return HeartbeatReply::Redirect;
        }
        if heartbeat.fencing_token == self.term.epoch() {
            self.record_unregistered(
                now,
                &heartbeat.machine,
                &heartbeat.machine_type,
                &heartbeat.zone,
                heartbeat.spot,
            );
        }
        self.reply_with_terminal_stops(heartbeat)
    }

    /// Updates the machine and its slots from a heartbeat under this epoch's token.
    /// `is_replied`: whether its reply renews the worker's lease.
    fn reconcile_machine(&mut self, now: Instant, heartbeat: &Heartbeat, is_replied: bool) {
        let has_new_incarnation = self.record_heartbeat(now, heartbeat, is_replied);
        if has_new_incarnation {
            // A new incarnation begins without tasks.
            self.clear_slots(now, &heartbeat.machine);
        }
        self.reconcile_tasks(now, heartbeat);
        self.mark_machine_reconciled(&heartbeat.machine);
    }

    /// The reply to a heartbeat that was accepted: stops and reaps, then starts as far as
    /// the reply's limit and the machine's free capacity allow.
    fn reply_with_commands(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        let machine = &heartbeat.machine;
        let mut commands = self.stop_and_reap_commands(heartbeat);
        self.record_machine_use(machine);
        self.stop_for_preemption_notice(now, machine);
        let max_starts = self.check_reply_delivery(now, machine).max_starts(commands.len());
        if max_starts > 0 {
            self.place_tasks(now, machine, heartbeat.sequence, max_starts, &mut commands);
        }
        HeartbeatReply::Commands { fencing_token: self.term.epoch(), commands }
    }

    /// Records the arrival of a heartbeat under this epoch's token, and whether its reply
    /// renews the worker's lease. Returns whether the worker has a new incarnation.
    fn record_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat, is_replied: bool) -> bool {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return false };
        let worker_lease = self.config.settings.cluster.workers.lease();
        let agent = &mut machine.agent;
        // The first effect of our replies that can be seen is the token.
        if agent.last_heartbeat.is_none() || agent.last_stale_heartbeat.take().is_some() {
            agent.acks.record_acknowledged();
        }
        let earlier = agent.last_heartbeat.replace(HeartbeatStamp::of(heartbeat));
        let has_new_incarnation = earlier.is_some_and(|earlier| earlier.incarnation < heartbeat.incarnation);
        if has_new_incarnation && agent.replied_at.is_some_and(|at| now < at + worker_lease) {
            // Its lease has expired although a reply had renewed it.
            agent.acks.record_missed(now);
        }
        if is_replied {
            agent.replied_at = Some(now);
        }
        agent.heartbeat_at = Some(now);
        agent.address.clone_from(&heartbeat.address);
        mark_up(machine, now);
        record_preemption_notice(machine, now, heartbeat);
        has_new_incarnation
    }

    /// Whether replies seem to reach the machine; records the outcome on it.
    fn check_reply_delivery(&mut self, now: Instant, machine: &MachineId) -> ReplyDelivery {
        let workers = &self.config.settings.cluster.workers;
        let (heartbeat_interval, probe_pause) = (workers.heartbeat_interval(), workers.lease() / 2);
        let Some(entry) = self.machines.get_mut(machine) else {
            return ReplyDelivery::Suspected { may_probe: false };
        };
        let is_suspected = entry.agent.acks.suspects_one_way_partition(now, heartbeat_interval);
        if is_suspected && !entry.agent.one_way_partitioned {
            tracing::info!(%machine, "one-way partition suspected: heartbeats arrive, replies show no effect");
        }
        entry.agent.one_way_partitioned = is_suspected;
        if is_suspected {
            ReplyDelivery::Suspected { may_probe: entry.agent.acks.may_probe(now, probe_pause) }
        } else {
            ReplyDelivery::Unsuspected
        }
    }

    /// A heartbeat under an earlier token: of a worker that has not had our first reply yet,
    /// or a late copy.
    ///
    /// Only a heartbeat under our own token is younger than anything that an earlier leader
    /// could still command, since such commands carry a lower token and are refused from
    /// then on. So nothing that a stale heartbeat lists is used; it is replied to, so that a
    /// live worker learns the token.
    fn handle_stale_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatReply::Redirect;
        };
        if is_stale_copy(machine, heartbeat) {
            return HeartbeatReply::Redirect;
        }
        let earlier = machine.agent.last_stale_heartbeat.replace(HeartbeatStamp::of(heartbeat));
        if earlier.is_some() {
            // The reply to the earlier one should have shown in the token.
            machine.agent.acks.record_missed(now);
        }
        // A machine that replies do not reach gets no further ones, so that the proof of its
        // lease's expiry can complete. After that no task is on it, and a reply delays
        // no proof.
        let may_hold_tasks = !machine.reconciled || !machine.slots.is_empty();
        let delivery = self.check_reply_delivery(now, &heartbeat.machine);
        if may_hold_tasks && delivery != ReplyDelivery::Unsuspected {
            return HeartbeatReply::Redirect;
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatReply::Redirect;
        };
        machine.agent.replied_at = Some(now);
        // Its first start is near: the record of its use takes a write.
        self.record_machine_use(&heartbeat.machine);
        self.reply_with_terminal_stops(heartbeat)
    }

    /// A reply for the post-lease grace: nothing but stops, for a bounded time after the
    /// leader's lease has expired.
    ///
    /// An outage of the key-value store lets every leader's lease expire, and would take the
    /// workers' leases along if it lasted. Kept alive, the workers finish what they run.
    /// Nothing is decided here; and the next leader waits for silent machines that much
    /// longer, see [`crate::coordination::config::Config::failover_lease_timeout`].
    pub(super) fn handle_heartbeat_after_lease(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> HeartbeatReply {
        if self.ignores_its_stops(now, heartbeat) {
            return HeartbeatReply::Redirect;
        }
        let (epoch, grace_expiry) = (self.term.epoch(), self.term.grace_expiry());
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatReply::Redirect;
        };
        // Only the tasks of machines that this epoch has replied to are surely counted by it.
        if now >= grace_expiry || machine.agent.replied_at.is_none() || heartbeat.fencing_token < epoch {
            return HeartbeatReply::Redirect;
        }
        machine.agent.replied_at = Some(now);
        machine.agent.heartbeat_at = Some(now);
        self.reply_with_terminal_stops(heartbeat)
    }

    /// A reply that decides nothing, and stops the tasks of terminal or cancelled jobs.
    ///
    /// Every reply renews a worker's lease, and keeps what it runs alive. Were the stops of
    /// cancelled jobs left out of the first reply after a failover and of those in the
    /// post-lease grace, a chain of short-lived leaders that each give only such replies
    /// could keep a cancelled task alive for ever. Stopping a task of a job that is terminal,
    /// or that its user has cancelled, is right under any epoch, at any time, and in reply to
    /// any copy of a heartbeat: the command names task and attempt. A worker that gets the
    /// reply gets the stop with it, and one that does not is not kept alive.
    fn reply_with_terminal_stops(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let has_ended = |job: &JobId| self.jobs.get(job).is_none_or(|job| !job.is_startable());
        let commands = heartbeat
            .tasks
            .iter()
            .filter(|status| !status.state.has_exited() && has_ended(&status.task.job))
            .map(|status| Command::Stop { task: status.task.clone(), attempt: status.attempt, grace_s: 0.0 })
            .take(MAX_COMMANDS)
            .collect();
        HeartbeatReply::Commands { fencing_token: self.term.epoch(), commands }
    }
}

/// Whether a heartbeat is a copy of one that was taken before, or of an incarnation that is
/// void: either proves nothing.
///
/// A machine that was back so quickly that its numbers are behind those of its former
/// incarnation also looks like this. A reply would renew its lease here without its tasks
/// being counted; so it is redirected, until its lease has expired and its incarnation has
/// risen, or until it has been silent for long enough to be replaced.
fn is_outdated(machine: &Machine, heartbeat: &Heartbeat) -> bool {
    let stamp = HeartbeatStamp::of(heartbeat);
    machine.agent.last_heartbeat.is_some_and(|last| stamp <= last)
        || heartbeat.incarnation < machine.agent.min_incarnation
}

/// Whether a heartbeat under an earlier token is a late copy.
fn is_stale_copy(machine: &Machine, heartbeat: &Heartbeat) -> bool {
    // Tokens do not fall within an incarnation: it was sent before one that was taken.
    let precedes_last =
        machine.agent.last_heartbeat.is_some_and(|last| heartbeat.incarnation <= last.incarnation);
    // Each copy may delay the proof of its machine's lease expiry only once.
    let stamp = HeartbeatStamp::of(heartbeat);
    precedes_last || machine.agent.last_stale_heartbeat.is_some_and(|last| stamp <= last)
}

/// The first heartbeat of a machine ends its boot.
fn mark_up(machine: &mut Machine, now: Instant) {
    if machine.phase == Phase::Booting {
        machine.phase = Phase::Up;
        machine.idle_since = now;
    }
}

/// Takes over when the cloud preempts the machine, if the heartbeat announces it.
fn record_preemption_notice(machine: &mut Machine, now: Instant, heartbeat: &Heartbeat) {
    let Some(seconds) = heartbeat.preemption_notice_s else { return };
    if machine.preempted_at.is_none() {
        tracing::info!(machine = %machine.id, seconds, "preemption notice received");
    }
    machine.preempted_at = Some(now + Duration::from_secs_f64(seconds.min(MAX_PREEMPTION_NOTICE_S)));
}
