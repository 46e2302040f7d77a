//! Reports of workers, and the orders in answer to them.
//!
//! Starts go only into answers to reports: a worker drops an answer that comes
//! more than a few seconds late, while an order sent straight to it may be
//! carried out minutes later.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::machine::{HeartbeatStamp, Phase, UseRecord};
use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::SlotState;
use crate::maps::HashSet;
use crate::protocol::jobs::{JobId, TaskId};
use crate::protocol::workers::{Command, ExitCause, Heartbeat, MachineId, TaskState, TaskStatus};

/// Most orders in one answer; more follow with the next report. Keeps the
/// answer well below its size limit.
pub(crate) const MAX_COMMANDS: usize = 200;
/// Failures on one machine, from several jobs, that condemn it.
const FAILURES_TO_CORDON: usize = 3;
/// Machines on which one job must have failed to slow it down.
const FAILED_MACHINES_TO_BACK_OFF: usize = 3;

#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    Commands {
        fencing_token: u64,
        commands: Vec<Command>,
    },
    /// Not entitled to answer: the worker must turn elsewhere.
    Redirect,
}

impl Leader {
    pub fn handle_heartbeat(&mut self, now: Instant, report: &Heartbeat) -> HeartbeatReply {
        // An answer with a lower token would be dropped and only hold the
        // worker here while its lease runs out.
        if report.fencing_token > self.term.epoch() || self.is_fenced() {
            return HeartbeatReply::Redirect;
        }
        if !self.holds_lease(now) {
            return self.handle_heartbeat_after_lease(now, report);
        }
        if self.machines.is_deleted(&report.machine) {
            // A late copy from a machine whose deletion was confirmed.
            return HeartbeatReply::Redirect;
        }
        let epoch = self.term.epoch();
        if self.catalog.is_empty() {
            // Not counted yet, so it must not be told that it may go on.
            return HeartbeatReply::Redirect;
        }
        let Some(m) = self.machines.get_mut(&report.machine) else {
            // Under an earlier token it may be a late copy, of a machine long
            // deleted. A live one shows our token with its next report, and
            // only then it is entered. No machine that no record names was
            // ever given a start, so the answer keeps nothing alive; unless a
            // record cannot be read.
            if self.failover.unlisted_machines_possible()
                && !self.failover.may_reply_to_unlisted(now, self.config.settings.cluster.workers.lease())
            {
                return HeartbeatReply::Redirect;
            }
            if report.fencing_token == epoch {
                self.record_unregistered(
                    now,
                    &report.machine,
                    &report.machine_type,
                    &report.zone,
                    report.spot,
                );
            }
            return self.reply_with_terminal_stops(report);
        };
        let stamp = HeartbeatStamp::of(report);
        // A copy, or a machine that was back so quickly that its numbers are
        // behind those of its former life. Either proves nothing. A 200 would
        // hold the latter here without being counted; so it looks elsewhere,
        // until its lease has run out and its session has risen, or until it
        // has been silent for long enough to be replaced.
        if m.agent.last_heartbeat.is_some_and(|seen| stamp <= seen)
            || report.incarnation < m.agent.min_incarnation
        {
            return HeartbeatReply::Redirect;
        }
        let outlives = self.ignores_its_stops(now, report);
        if report.fencing_token < epoch {
            return if outlives {
                HeartbeatReply::Redirect
            } else {
                self.handle_stale_heartbeat(now, report)
            };
        }
        let renewed = self.record_heartbeat(now, report, !outlives);
        if renewed {
            // A new session begins without tasks.
            self.clear_slots(now, &report.machine);
        }
        self.reconcile_tasks(now, report);
        self.mark_machine_reconciled(&report.machine);
        if outlives {
            return HeartbeatReply::Redirect;
        }
        let mut orders = self.stop_and_reap_commands(report);
        self.record_machine_use(&report.machine);
        self.stop_for_preemption_notice(now, &report.machine);
        let (doubted, probe) = self.check_acknowledgements(now, &report.machine);
        if orders.len() < MAX_COMMANDS && (!doubted || probe) {
            // A doubted machine is tried with a single start now and then.
            let room = if doubted { 1 } else { MAX_COMMANDS - orders.len() };
            self.place_tasks(now, &report.machine, report.sequence, room, &mut orders);
        }
        HeartbeatReply::Commands { fencing_token: epoch, commands: orders }
    }

    /// Notes that a machine was heard under this epoch's token, and whether it is answered.
    /// Returns whether its session is a new one.
    fn record_heartbeat(&mut self, now: Instant, report: &Heartbeat, answers: bool) -> bool {
        let stamp = HeartbeatStamp::of(report);
        let Some(m) = self.machines.get_mut(&report.machine) else { return false };
        let lease = self.config.settings.cluster.workers.lease();
        // The first effect of ours that can be seen is the token.
        if m.agent.last_heartbeat.is_none() || m.agent.last_stale_heartbeat.take().is_some() {
            m.agent.acks.record_acknowledged();
        }
        let earlier = m.agent.last_heartbeat.replace(stamp);
        let renewed = earlier.is_some_and(|stamp| stamp.incarnation < report.incarnation);
        if renewed && m.agent.replied_at.is_some_and(|at| now < at + lease) {
            // Its lease has run out although it was answered.
            m.agent.acks.record_missed(now);
        }
        if answers {
            m.agent.replied_at = Some(now);
        }
        m.agent.heartbeat_at = Some(now);
        m.agent.address.clone_from(&report.address);
        if m.phase == Phase::Booting {
            m.phase = Phase::Up;
            m.idle_since = now;
        }
        if let Some(seconds) = report.preemption_notice_s {
            if m.preempted_at.is_none() {
                tracing::info!(machine = %m.id, seconds, "the cloud takes a machine back");
            }
            m.preempted_at = Some(now + Duration::from_secs_f64(seconds.min(1e6)));
        }
        renewed
    }

    /// Whether the empty answer to a report that was just taken is to be held, since a
    /// prompt start on the machine is likely. A machine with tasks that end by
    /// themselves is not held up: its next report may tell of room or results.
    pub fn may_defer_reply(&self, report: &Heartbeat) -> bool {
        report.fencing_token == self.term.epoch()
            && report.preemption_notice_s.is_none()
            && report.tasks.iter().all(|task| {
                task.state == TaskState::Running
                    && self.jobs.get(&task.task.job).is_some_and(|job| job.is_startable() && job.is_service())
            })
            && self.machines.get(&report.machine).is_some_and(|m| self.expects_latency_sensitive_start(m))
    }

    /// Decides the answer to a report that was taken before and held since: what it
    /// listed is in the picture already, unless a newer one was taken.
    pub fn decide_deferred_reply(&mut self, now: Instant, report: &Heartbeat) -> HeartbeatReply {
        let stamp = HeartbeatStamp::of(report);
        let current =
            self.machines.get(&report.machine).is_some_and(|m| m.agent.last_heartbeat == Some(stamp));
        if self.is_fenced() || !current || self.ignores_its_stops(now, report) {
            return HeartbeatReply::Redirect;
        }
        if !self.holds_lease(now) {
            return self.handle_heartbeat_after_lease(now, report);
        }
        let mut orders = self.stop_and_reap_commands(report);
        if orders.len() < MAX_COMMANDS
            && !self.machines.get(&report.machine).is_some_and(|m| m.agent.one_way_partitioned)
        {
            let room = MAX_COMMANDS - orders.len();
            self.place_tasks(now, &report.machine, report.sequence, room, &mut orders);
        }
        HeartbeatReply::Commands { fencing_token: self.term.epoch(), commands: orders }
    }

    /// Machines with held answers that should be decided anew, those first whose room
    /// should be used first.
    pub fn deferred_replies_to_decide<'a>(
        &mut self,
        held: impl Iterator<Item = &'a MachineId>,
    ) -> Vec<MachineId> {
        let ordered = self.outbox.take_machines_with_commands();
        if !self.latency_classes.take_announcement() {
            return ordered;
        }
        let waiting: Vec<&str> = self
            .jobs
            .values()
            .filter(|job| job.pending() > 0 && self.is_latency_sensitive(job.spec()))
            .map(|job| job.spec().image.as_str())
            .collect();
        let mut machines: Vec<MachineId> = held.cloned().collect();
        machines.sort_by_cached_key(|id| {
            let m = self.machines.get(id);
            let lacks_image = !m.is_some_and(|m| waiting.iter().any(|image| m.images.contains(image)));
            let free = m.map_or(0.0, |m| m.free.cpus).max(0.0).to_bits();
            (lacks_image, m.is_none_or(|m| !m.need.is_needed), free, id.clone())
        });
        machines
    }

    /// Whether the machine is doubted to hear us, and may be tried all the same.
    fn check_acknowledgements(&mut self, now: Instant, machine: &MachineId) -> (bool, bool) {
        let workers = &self.config.settings.cluster.workers;
        let (report, pause) = (workers.report(), workers.lease() / 2);
        let Some(m) = self.machines.get_mut(machine) else { return (true, false) };
        let doubted = m.agent.acks.suspects_one_way_partition(now, report);
        if doubted && !m.agent.one_way_partitioned {
            tracing::info!(%machine, "reports arrive, but nothing shows that it hears the answers");
        }
        m.agent.one_way_partitioned = doubted;
        (doubted, m.agent.acks.may_probe(now, pause))
    }

    /// A report under an earlier token: of a worker that has not had our first
    /// answer yet, or a late copy. Only a report under our own token is younger
    /// than anything that an earlier leader could still order, since such
    /// orders carry a lower one and are refused from then on. So nothing is
    /// taken from it; it is answered, so that a live worker learns the token.
    fn handle_stale_heartbeat(&mut self, now: Instant, report: &Heartbeat) -> HeartbeatReply {
        let Some(m) = self.machines.get_mut(&report.machine) else { return HeartbeatReply::Redirect };
        let stamp = HeartbeatStamp::of(report);
        // Tokens do not sink within a session: a copy from before.
        let behind = m.agent.last_heartbeat.is_some_and(|stamp| report.incarnation <= stamp.incarnation);
        // Each copy may put off the proof that its machine is gone only once.
        if behind || m.agent.last_stale_heartbeat.is_some_and(|hinted| stamp <= hinted) {
            return HeartbeatReply::Redirect;
        }
        let before = m.agent.last_stale_heartbeat.replace(stamp);
        if before.is_some() {
            // The former answer should have shown.
            m.agent.acks.record_missed(now);
        }
        // A deaf machine is answered no more, so that its lease proof runs.
        // Once that is over nothing is on it, and an answer puts off nothing.
        let may_hold = !m.reconciled || !m.slots.is_empty();
        let (doubted, _) = self.check_acknowledgements(now, &report.machine);
        let Some(m) = self.machines.get_mut(&report.machine) else { return HeartbeatReply::Redirect };
        if doubted && may_hold {
            return HeartbeatReply::Redirect;
        }
        m.agent.replied_at = Some(now);
        // Its first start is near: the mark it needs takes a write.
        self.record_machine_use(&report.machine);
        self.reply_with_terminal_stops(report)
    }

    /// An answer that decides nothing, and stops what is decided already.
    ///
    /// Every answer keeps a worker's lease alive, and what it runs with it. Were
    /// the stops of cancelled jobs left out of the first answer after a takeover
    /// and of those in a lapse, a chain of short-lived leaders that each give
    /// only such answers could keep a cancelled task alive for ever. Stopping
    /// what is over, or what its user has called off, is right under any epoch,
    /// at any time, and as an answer to any copy of a report: the order names
    /// task and attempt. A worker that gets the answer gets the stop with it, and
    /// one that does not is not kept alive.
    fn reply_with_terminal_stops(&self, report: &Heartbeat) -> HeartbeatReply {
        let over = |job: &JobId| self.jobs.get(job).is_none_or(|j| !j.is_startable());
        let orders = report
            .tasks
            .iter()
            .filter(|t| !matches!(t.state, TaskState::Exited(_)) && over(&t.task.job))
            .map(|t| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 })
            .take(MAX_COMMANDS)
            .collect();
        HeartbeatReply::Commands { fencing_token: self.term.epoch(), commands: orders }
    }

    /// An answer with nothing but stops while the lease has lapsed, for a bounded
    /// time.
    ///
    /// An outage of the state service lapses every lease of ours, and would
    /// take the workers' along if it lasted. Kept alive, they finish what they
    /// have. Nothing is decided here; and whoever leads next waits for silent
    /// machines that much longer, see [`crate::coordination::config::Config::takeover_proof`].
    fn handle_heartbeat_after_lease(&mut self, now: Instant, report: &Heartbeat) -> HeartbeatReply {
        let until = self.term.grace_expiry();
        if self.ignores_its_stops(now, report) {
            return HeartbeatReply::Redirect;
        }
        let Some(m) = self.machines.get_mut(&report.machine) else { return HeartbeatReply::Redirect };
        // Only machines that this epoch has heard are surely counted by it.
        if now >= until || m.agent.replied_at.is_none() || report.fencing_token < self.term.epoch() {
            return HeartbeatReply::Redirect;
        }
        m.agent.replied_at = Some(now);
        m.agent.heartbeat_at = Some(now);
        self.reply_with_terminal_stops(report)
    }

    fn reconcile_tasks(&mut self, now: Instant, report: &Heartbeat) {
        let machine = &report.machine;
        let mut listed: HashSet<TaskId> = HashSet::default();
        let mut foreign = false;
        for task in &report.tasks {
            let key = task.task.clone();
            match task.state {
                TaskState::Exited(cause) => self.handle_task_exit(now, machine, &key, task.attempt, cause),
                state => {
                    foreign |= !self.reconcile_present_task(now, machine, &key, task, state);
                    listed.insert(key);
                }
            }
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        if foreign && !m.has_orphan_tasks {
            self.record_orphan_tasks(report);
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.has_orphan_tasks = foreign;
        // A slot that is not listed is free: either its start went into the
        // answer to an earlier report, which the worker has dropped by now, or
        // it has ended. A start in answer to this very report is not there yet.
        let missing: Vec<TaskId> = m
            .slots
            .iter()
            .filter(|(key, slot)| {
                let sent_later =
                    matches!(slot.state, SlotState::StartSent { sequence } if sequence >= report.sequence);
                !listed.contains(*key) && !sent_later
            })
            .map(|(key, _)| key.clone())
            .collect();
        let vanished = missing.iter().any(|key| {
            m.slots.get(key).is_some_and(|slot| matches!(slot.state, SlotState::StartSent { .. }))
        });
        if vanished {
            // A start went into an answer that it did not get.
            m.agent.acks.record_missed(now);
        }
        for key in missing {
            self.remove_slot(now, machine, &key);
        }
    }

    /// A machine shows tasks whose jobs are not in the picture: they are stopped, and its
    /// room counts as taken, against every limit, until they are gone.
    fn record_orphan_tasks(&mut self, report: &Heartbeat) {
        let is_there = |task: &&TaskStatus| !matches!(task.state, TaskState::Exited(_));
        let unknown = report.tasks.iter().filter(is_there).filter(|t| !self.jobs.contains_key(&t.task.job));
        let count = unknown.clone().count();
        if let Some(first) = unknown.clone().next() {
            tracing::error!(
                epoch = self.term.epoch(),
                machine = %report.machine,
                count,
                job = %first.task.job,
                task = first.task.index,
                attempt = first.attempt,
                "tasks of jobs that are not in the picture; stopping them"
            );
        }
        self.counters.orphan_tasks += count as u64;
        // What they take is counted with the queue's order.
        self.queue.invalidate();
    }

    /// A task that is on the machine. False if its job is not known.
    fn reconcile_present_task(
        &mut self,
        now: Instant,
        machine: &MachineId,
        key: &TaskId,
        task: &TaskStatus,
        state: TaskState,
    ) -> bool {
        let state = match state {
            TaskState::Fetching => SlotState::Fetching,
            TaskState::Saving => SlotState::Saving,
            _ => SlotState::Running,
        };
        let Some(m) = self.machines.get_mut(machine) else { return true };
        if let Some(slot) = m.slots.get_mut(key) {
            if slot.attempt == task.attempt {
                if matches!(slot.state, SlotState::StartSent { .. }) {
                    m.agent.acks.record_acknowledged();
                }
                if slot.state != state {
                    let was = slot.state == SlotState::Running;
                    slot.state = state;
                    slot.since = now;
                    let is = state == SlotState::Running;
                    if let Some(job) = self.jobs.get_mut(&key.job) {
                        job.tasks.running_count =
                            (job.tasks.running_count + u32::from(is)).saturating_sub(u32::from(was));
                        if is {
                            m.images.record_use(&job.record.spec, self.catalog.get(m.machine_type));
                        }
                    }
                }
                return true;
            }
            // The worker has another attempt than the one we sent: ours is
            // refused there as in use. What is there counts.
            self.remove_slot(now, machine, key);
        }
        let Some(job) = self.jobs.get(&key.job) else { return false };
        // Adopted from an earlier leader, unless it should not be here.
        let wanted = job.is_startable()
            && !job.record.done.contains(key.index)
            && !job.tasks.assigned.contains_key(&key.index);
        self.add_slot(now, machine, key.clone(), task.attempt, state, wanted);
        if !wanted && let Some(slot) = self.machines.get_mut(machine).and_then(|m| m.slots.get_mut(key)) {
            slot.stop_grace_s = Some(0.0);
        }
        true
    }

    fn handle_task_exit(
        &mut self,
        now: Instant,
        machine: &MachineId,
        key: &TaskId,
        attempt: u64,
        cause: ExitCause,
    ) {
        let slot = self.machines.get(machine).and_then(|m| m.slots.get(key)).filter(|s| s.attempt == attempt);
        let held = slot.is_some();
        let acknowledged = slot.is_some_and(|s| matches!(s.state, SlotState::StartSent { .. }));
        if let Some(slot) = slot.filter(|s| cause == ExitCause::Done && s.state == SlotState::Running) {
            let seconds = now.saturating_duration_since(slot.since).as_secs_f64();
            self.record_run(&key.job, seconds);
        }
        match cause {
            ExitCause::Done => {
                self.mark_task_done(now, &key.job, key.index);
                if let Some(m) = self.machines.get_mut(machine) {
                    m.failures.clear();
                }
                // Its result is kept; whoever runs it besides wastes work.
                let elsewhere =
                    self.jobs.get(&key.job).and_then(|j| j.tasks.assigned.get(&key.index)).cloned();
                if let Some(other) = elsewhere.filter(|other| other != machine) {
                    self.stop_task(now, &other, key, 0.0);
                }
            }
            ExitCause::Error | ExitCause::Unknown if held => self.record_task_failure(now, machine, &key.job),
            _ => {}
        }
        if acknowledged && let Some(m) = self.machines.get_mut(machine) {
            m.agent.acks.record_acknowledged();
        }
        if held {
            tracing::debug!(%machine, job = %key.job, task = key.index, ?cause, "exited");
            self.remove_slot(now, machine, key);
        }
    }

    /// Learns from a task that has run to its end, for so many seconds.
    pub(crate) fn record_run(&mut self, job: &JobId, run_s: f64) {
        let Some(job) = self.jobs.get_mut(job) else { return };
        job.record_run(run_s);
        self.run_estimates.record(job.spec(), run_s);
    }

    fn record_task_failure(&mut self, now: Instant, machine: &MachineId, job: &JobId) {
        let report = self.config.settings.cluster.workers.report();
        if let Some(j) = self.jobs.get_mut(job) {
            j.failures.machines.insert(machine.clone());
            // A job that fails everywhere is slowed down, never given up.
            if j.failures.machines.len() >= FAILED_MACHINES_TO_BACK_OFF {
                let factor = (j.failures.machines.len() as u32).min(10);
                j.failures.backoff_until = Some(now + report * factor);
            }
        }
        let bad_job = |j: &JobId| {
            self.jobs.get(j).is_some_and(|j| j.failures.machines.len() >= FAILED_MACHINES_TO_BACK_OFF)
        };
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.failures.push(job.clone());
        let counted = m.failures.iter().filter(|j| !bad_job(j)).count();
        if counted >= FAILURES_TO_CORDON && !m.cordoned {
            tracing::info!(machine = %m.id, "tasks keep failing on a machine; replacing it");
            m.cordoned = true;
        }
    }

    fn stop_and_reap_commands(&mut self, report: &Heartbeat) -> Vec<Command> {
        let Some(m) = self.machines.get(&report.machine) else { return Vec::new() };
        let mut orders = Vec::new();
        for task in &report.tasks {
            let attempt = task.attempt;
            let name = task.task.clone();
            match task.state {
                TaskState::Exited(cause) => {
                    if !(cause == ExitCause::Done && self.may_be_uncommitted(&name)) {
                        orders.push(Command::Reap { task: name, attempt });
                    }
                }
                state => match m.slots.get(&name) {
                    Some(slot) => {
                        if let Some(grace_s) = slot.stop_grace_s
                            && (state != TaskState::Saving || grace_s <= 0.0)
                        {
                            orders.push(Command::Stop { task: name, attempt, grace_s });
                        }
                    }
                    // Of a job that is over or was never accepted.
                    None => orders.push(Command::Stop { task: name, attempt, grace_s: 0.0 }),
                },
            }
        }
        // No answer may leave a stop out for want of room: it renews the lease
        // under which the task runs.
        orders.sort_by_key(|order| matches!(order, Command::Reap { .. }));
        orders.truncate(MAX_COMMANDS);
        orders
    }

    /// Whether the record of a job may not say yet that a task of it is done: the worker
    /// must not forget it before. A job that is not in the picture is over, or cannot be
    /// read.
    fn may_be_uncommitted(&self, task: &TaskId) -> bool {
        match self.jobs.get(&task.job) {
            Some(job) => {
                job.record.terminal_state().is_none()
                    && !job.is_service()
                    && !job.stored.done.contains(task.index)
            }
            None => self.failover.unreadable().contains_job(&task.job),
        }
    }

    /// Before the first start on a machine its record says so.
    fn record_machine_use(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.use_record != UseRecord::NotRecorded {
            return;
        }
        m.use_record = UseRecord::InFlight;
        let name = m.node_pool.clone();
        if let Some(rental) = self.node_pools.get_mut(&name) {
            rental.record.machines_used.insert(machine.clone());
        }
        self.write_node_pool(&name);
    }
}
