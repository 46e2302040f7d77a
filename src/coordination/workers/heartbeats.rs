//! Handling of workers' heartbeats: which of them are accepted, and how they are replied to.
//!
//! Start commands are sent only in replies to heartbeats: a worker drops a reply that arrives
//! more than a few seconds late, while a pushed command may be executed minutes later.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::{HeartbeatStamp, Machine, Phase};
use crate::coordination::leader::Leader;
use crate::coordination::workers::reply_commands::MAX_COMMANDS;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::{Command, Heartbeat, MachineId};

/// Upper bound for the time to a preemption that a heartbeat announces, in seconds. Keeps the
/// sum with the current time in range, whatever value a worker sends.
const MAX_PREEMPTION_NOTICE_S: f64 = 1e6;

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// The heartbeat is accepted, which renews the worker's lease.
    Commands {
        /// The epoch of the leader that replies.
        fencing_token: u64,
        /// Commands for the worker; may be empty.
        commands: Vec<Command>,
    },
    /// The leader must not renew the worker's lease, or chooses not to: the worker must try
    /// another controller.
    Redirect,
}

/// Whether the replies to a machine seem to reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyDelivery {
    /// There is no sign that replies are lost.
    Unsuspected,
    /// Heartbeats arrive, but show no effect of the replies: a one-way partition.
    Suspected {
        /// Whether a single start may be sent now as a probe.
        may_probe: bool,
    },
}

impl ReplyDelivery {
    /// Returns how many tasks may be started in a reply that already has `commands` commands.
    /// A suspected machine is probed with a single start from time to time.
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
    /// Handles a worker's heartbeat and returns the reply.
    ///
    /// The checks come first, from the leader's own term to the heartbeat's fencing token. A
    /// heartbeat that passes all of them updates the machine and its slots, and its reply
    /// carries stops, reaps and starts.
    pub fn handle_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        // The worker would drop a reply with a lower token, and would stay with this controller
        // until its lease expires.
        if heartbeat.fencing_token > self.term.epoch() || self.is_fenced() {
            return HeartbeatReply::Redirect;
        }
        if !self.holds_lease(now) {
            return self.handle_heartbeat_after_lease(now, heartbeat);
        }
        // A delayed copy from a machine whose deletion was confirmed.
        if self.machines.is_deleted(&heartbeat.machine) {
            return HeartbeatReply::Redirect;
        }
        // The machine's capacity is unknown until the machine types are loaded, so its lease
        // must not be renewed.
        if self.catalog.is_empty() {
            return HeartbeatReply::Redirect;
        }
        let Some(machine) = self.machines.get(&heartbeat.machine) else {
            return self.handle_unregistered_heartbeat(now, heartbeat);
        };
        if is_outdated(machine, heartbeat) {
            return HeartbeatReply::Redirect;
        }
        let must_lose_lease = self.ignores_cancellation_stops(now, heartbeat);
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

    /// Handles a heartbeat of a machine that no node pool record lists.
    ///
    /// A heartbeat with an earlier fencing token may be a delayed copy from a machine that was
    /// deleted long ago. A live machine sends this epoch's token with its next heartbeat, and is
    /// registered only then. Tasks are started only on machines that a record lists, so the
    /// reply cannot keep a task alive. While a record is unreadable it can, and is given only for
    /// a limited time after the failover.
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

    /// Updates the machine and its slots from a heartbeat with this epoch's fencing token.
    /// `renews_lease`: whether the reply renews the worker's lease.
    fn reconcile_machine(&mut self, now: Instant, heartbeat: &Heartbeat, renews_lease: bool) {
        let has_new_incarnation = self.record_heartbeat(now, heartbeat, renews_lease);
        if has_new_incarnation {
            // A new incarnation starts without tasks.
            self.clear_slots(now, &heartbeat.machine);
            if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
                machine.recent_starts.clear();
            }
        }
        self.reconcile_tasks(now, heartbeat);
        self.mark_machine_reconciled(&heartbeat.machine);
    }

    /// Builds the reply to an accepted heartbeat: stops and reaps, then as many starts as the
    /// limit of commands in a reply and the machine's free capacity allow.
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

    /// Records the arrival of a heartbeat with this epoch's fencing token, and whether the reply
    /// renews the worker's lease. Returns whether the worker has a new incarnation.
    fn record_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat, renews_lease: bool) -> bool {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return false };
        let worker_lease = self.config.settings.cluster.workers.lease();
        let worker = &mut machine.worker;
        // This epoch's token is the first visible effect of this leader's replies.
        if worker.last_heartbeat.is_none() || worker.last_stale_heartbeat.take().is_some() {
            worker.acks.record_acknowledged();
        }
        let earlier = worker.last_heartbeat.replace(HeartbeatStamp::of(heartbeat));
        let has_new_incarnation = earlier.is_some_and(|earlier| earlier.incarnation < heartbeat.incarnation);
        if has_new_incarnation && worker.replied_at.is_some_and(|at| now < at + worker_lease) {
            // The worker's lease expired although a reply should have renewed it.
            worker.acks.record_missed(now);
        }
        if renews_lease {
            worker.replied_at = Some(now);
        }
        worker.heartbeat_at = Some(now);
        worker.address.clone_from(&heartbeat.address);
        machine.recent_starts.forget_expired(now);
        mark_up(machine, now);
        record_preemption_notice(machine, now, heartbeat);
        has_new_incarnation
    }

    /// Checks whether replies seem to reach the machine, and records the result on it.
    fn check_reply_delivery(&mut self, now: Instant, machine: &MachineId) -> ReplyDelivery {
        let workers = &self.config.settings.cluster.workers;
        let (heartbeat_interval, probe_interval) = (workers.heartbeat_interval(), workers.lease() / 2);
        let Some(entry) = self.machines.get_mut(machine) else {
            return ReplyDelivery::Suspected { may_probe: false };
        };
        let is_suspected = entry.worker.acks.suspects_one_way_partition(now, heartbeat_interval);
        if is_suspected && !entry.worker.one_way_partitioned {
            tracing::info!(%machine, "one-way partition suspected: heartbeats arrive, replies show no effect");
        }
        entry.worker.one_way_partitioned = is_suspected;
        if is_suspected {
            ReplyDelivery::Suspected { may_probe: entry.worker.acks.may_probe(now, probe_interval) }
        } else {
            ReplyDelivery::Unsuspected
        }
    }

    /// Handles a heartbeat with an earlier fencing token: from a worker that has not received
    /// this leader's first reply yet, or a delayed copy.
    ///
    /// A worker that has seen this epoch's token refuses commands with a lower one, so the tasks
    /// that its heartbeats list can no longer be changed by commands of an earlier leader. A
    /// stale heartbeat gives no such guarantee: its task list is ignored. The reply lets a live
    /// worker learn the token.
    fn handle_stale_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatReply {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatReply::Redirect;
        };
        if is_stale_copy(machine, heartbeat) {
            return HeartbeatReply::Redirect;
        }
        let earlier = machine.worker.last_stale_heartbeat.replace(HeartbeatStamp::of(heartbeat));
        if earlier.is_some() {
            // After the reply to the earlier one the worker should have sent the new token.
            machine.worker.acks.record_missed(now);
        }
        // Each reply postpones the proof that the machine's lease has expired, so a machine that
        // replies do not reach gets no further ones while it may hold tasks. After the proof it
        // holds none, and replies are harmless.
        let may_hold_tasks = !machine.reconciled || !machine.slots.is_empty();
        let delivery = self.check_reply_delivery(now, &heartbeat.machine);
        if may_hold_tasks && delivery != ReplyDelivery::Unsuspected {
            return HeartbeatReply::Redirect;
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatReply::Redirect;
        };
        machine.worker.replied_at = Some(now);
        // Starts may follow with the next heartbeat, and need the machine's use on record: the
        // write is started now.
        self.record_machine_use(&heartbeat.machine);
        self.reply_with_terminal_stops(heartbeat)
    }

    /// Handles a heartbeat in the post-lease grace period, a bounded time after the leader's
    /// lease has expired: the reply carries only stops.
    ///
    /// During an outage of the key-value store no leader can renew its lease. Without these
    /// replies a long outage would also let the workers' leases expire; with them the workers
    /// finish their tasks. The leader makes no scheduling decision here, and the next leader
    /// waits correspondingly longer for silent machines, see
    /// [`crate::coordination::config::Config::failover_lease_timeout`].
    pub(super) fn handle_heartbeat_after_lease(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> HeartbeatReply {
        if self.ignores_cancellation_stops(now, heartbeat) {
            return HeartbeatReply::Redirect;
        }
        let (epoch, grace_expiry) = (self.term.epoch(), self.term.grace_expiry());
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatReply::Redirect;
        };
        // Only on machines that this epoch has replied to are all tasks known to be counted.
        if now >= grace_expiry || machine.worker.replied_at.is_none() || heartbeat.fencing_token < epoch {
            return HeartbeatReply::Redirect;
        }
        machine.worker.replied_at = Some(now);
        machine.worker.heartbeat_at = Some(now);
        self.reply_with_terminal_stops(heartbeat)
    }

    /// Builds a reply that starts nothing, and stops the tasks of jobs that are terminal,
    /// cancelled or not in memory.
    ///
    /// Every reply renews a worker's lease and so keeps its tasks alive. If the first reply after
    /// a failover and the replies in the post-lease grace period left out the stops of cancelled
    /// jobs, a series of short-lived leaders that each send only such replies could keep a
    /// cancelled task alive forever. Stopping a task of a terminal or cancelled job is correct
    /// in any epoch, at any time, and in reply to any copy of a heartbeat, because the command
    /// names the task and the attempt. A worker that receives the reply receives the stop with
    /// it; the lease of a worker that does not is not renewed.
    fn reply_with_terminal_stops(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let must_not_run = |job: &JobId| self.jobs.get(job).is_none_or(|job| !job.is_startable());
        let commands = heartbeat
            .tasks
            .iter()
            .filter(|status| !status.state.has_exited() && must_not_run(&status.task.job))
            .map(|status| Command::Stop { task: status.task.clone(), attempt: status.attempt, grace_s: 0.0 })
            .take(MAX_COMMANDS)
            .collect();
        HeartbeatReply::Commands { fencing_token: self.term.epoch(), commands }
    }
}

/// Whether a heartbeat is a copy of one that was accepted before, is older, or comes from an
/// incarnation that is no longer valid. Such a heartbeat proves nothing.
///
/// The heartbeats of a machine that restarted so quickly that its incarnation did not increase, while
/// its sequence numbers began anew, look the same. A reply would renew its lease without its tasks
/// being counted. It is therefore redirected until its lease has expired and its incarnation is
/// higher, or until it counts as silent for long enough to be replaced.
fn is_outdated(machine: &Machine, heartbeat: &Heartbeat) -> bool {
    let stamp = HeartbeatStamp::of(heartbeat);
    machine.worker.last_heartbeat.is_some_and(|last| stamp <= last)
        || heartbeat.incarnation < machine.worker.min_incarnation
}

/// Whether a heartbeat with an earlier fencing token is a delayed copy.
fn is_stale_copy(machine: &Machine, heartbeat: &Heartbeat) -> bool {
    // Within an incarnation the token never decreases, so this heartbeat was sent before the
    // last accepted one.
    let precedes_last =
        machine.worker.last_heartbeat.is_some_and(|last| heartbeat.incarnation <= last.incarnation);
    // Each heartbeat may postpone the proof of its machine's lease expiry only once.
    let stamp = HeartbeatStamp::of(heartbeat);
    precedes_last || machine.worker.last_stale_heartbeat.is_some_and(|last| stamp <= last)
}

/// Marks a booting machine as up on its first heartbeat.
fn mark_up(machine: &mut Machine, now: Instant) {
    if machine.phase == Phase::Booting {
        machine.phase = Phase::Up;
        machine.idle_since = now;
    }
}

/// Records when the cloud will preempt the machine, if the heartbeat announces it.
fn record_preemption_notice(machine: &mut Machine, now: Instant, heartbeat: &Heartbeat) {
    let Some(seconds) = heartbeat.preemption_notice_s else { return };
    if machine.preempted_at.is_none() {
        tracing::info!(machine = %machine.id, seconds, "preemption notice received");
    }
    machine.preempted_at = Some(now + Duration::from_secs_f64(seconds.min(MAX_PREEMPTION_NOTICE_S)));
}
