//! Reports of workers, and the orders in answer to them.
//!
//! Starts go only into answers to reports: a worker drops an answer that comes
//! more than a few seconds late, while an order sent straight to it may be
//! carried out minutes later.

use std::time::Duration;

use tokio::time::Instant;

use super::leader::Leader;
use super::machines::Phase;
use super::model::{SlotKey, SlotState};
use crate::maps::HashSet;
use crate::protocol::jobs::{JobId, TaskId};
use crate::protocol::workers::{ExitCause, MachineId, Order, Report, TaskReport, TaskState};

/// Most orders in one answer; more follow with the next report. Keeps the
/// answer well below its size limit.
pub(super) const MAX_ORDERS: usize = 200;
/// Failures on one machine, from several jobs, that condemn it.
const SICK_FAILURES: usize = 3;
/// Machines on which one job must have failed to slow it down.
const BAD_JOB_MACHINES: usize = 3;

#[derive(Debug, Clone, PartialEq)]
pub enum ReportReply {
    Orders {
        token: u64,
        orders: Vec<Order>,
    },
    /// Not entitled to answer: the worker must turn elsewhere.
    Elsewhere,
}

impl Leader {
    pub fn report(&mut self, now: Instant, report: &Report) -> ReportReply {
        // An answer with a lower token would be dropped and only hold the
        // worker here while its lease runs out.
        if report.token > self.epoch || self.is_over() {
            return ReportReply::Elsewhere;
        }
        if !self.valid(now) {
            return self.report_after_lease(now, report);
        }
        if self.gone.contains(&report.machine) {
            // A late copy from a machine whose deletion was confirmed.
            return ReportReply::Elsewhere;
        }
        let epoch = self.epoch;
        if self.catalog.is_empty() {
            // Not counted yet, so it must not be told that it may go on.
            return ReportReply::Elsewhere;
        }
        let Some(m) = self.machines.get_mut(&report.machine) else {
            // Under an earlier token it may be a late copy, of a machine long
            // deleted. A live one shows our token with its next report, and
            // only then it is entered. No machine that no record names was
            // ever given a start, so the answer keeps nothing alive; unless a
            // record cannot be read.
            if self.hidden_machines && !self.may_answer_hidden(now) {
                return ReportReply::Elsewhere;
            }
            if report.token == epoch {
                self.note_unexpected(now, &report.machine, &report.machine_type, &report.zone, report.spot);
            }
            return self.only_final_stops(report);
        };
        let stamp = (report.session, report.seq);
        // A copy, or a machine that was back so quickly that its numbers are
        // behind those of its former life. Either proves nothing. A 200 would
        // hold the latter here without being counted; so it looks elsewhere,
        // until its lease has run out and its session has risen, or until it
        // has been silent for long enough to be replaced.
        if m.seen.is_some_and(|seen| stamp <= seen) || report.session < m.least_session {
            return ReportReply::Elsewhere;
        }
        let outlives = self.outlives_its_stops(now, report);
        if report.token < epoch {
            return if outlives { ReportReply::Elsewhere } else { self.take_hint(now, report) };
        }
        let renewed = self.note_heard(now, report, !outlives);
        if renewed {
            // A new session begins without tasks.
            self.clear_slots(now, &report.machine);
        }
        self.take_tasks(now, report);
        self.become_known(&report.machine);
        if outlives {
            return ReportReply::Elsewhere;
        }
        let mut orders = self.stops_and_reaps(report);
        self.mark_used(&report.machine);
        self.stop_for_notice(now, &report.machine);
        let (doubted, probe) = self.judge_hearing(now, &report.machine);
        if orders.len() < MAX_ORDERS && (!doubted || probe) {
            // A doubted machine is tried with a single start now and then.
            let room = if doubted { 1 } else { MAX_ORDERS - orders.len() };
            self.fill(now, &report.machine, stamp.1, room, &mut orders);
        }
        ReportReply::Orders { token: epoch, orders }
    }

    /// Notes that a machine was heard under this epoch's token, and whether it is answered.
    /// Returns whether its session is a new one.
    fn note_heard(&mut self, now: Instant, report: &Report, answers: bool) -> bool {
        let stamp = (report.session, report.seq);
        let Some(m) = self.machines.get_mut(&report.machine) else { return false };
        let lease = self.config.settings.cluster.workers.lease();
        // The first effect of ours that can be seen is the token.
        if m.seen.is_none() || m.hinted.take().is_some() {
            m.answer_tracker.clear();
        }
        let earlier = m.seen.replace(stamp);
        let renewed = earlier.is_some_and(|(session, _)| session < report.session);
        if renewed && m.answered.is_some_and(|at| now < at + lease) {
            // Its lease has run out although it was answered.
            m.answer_tracker.miss(now);
        }
        if answers {
            m.answered = Some(now);
        }
        m.heard = Some(now);
        m.up_at.get_or_insert(now);
        m.address.clone_from(&report.address);
        if m.phase == Phase::Booting {
            m.phase = Phase::Up;
            m.idle_since = now;
        }
        if let Some(seconds) = report.notice_s {
            if m.taken_at.is_none() {
                tracing::info!(machine = %m.id, seconds, "the cloud takes a machine back");
            }
            m.taken_at = Some(now + Duration::from_secs_f64(seconds.min(1e6)));
        }
        renewed
    }

    /// Whether the empty answer to a report that was just taken is to be held, since a
    /// prompt start on the machine is likely. A machine with tasks that end by
    /// themselves is not held up: its next report may tell of room or results.
    pub fn may_hold(&self, report: &Report) -> bool {
        report.token == self.epoch
            && report.notice_s.is_none()
            && report.tasks.iter().all(|task| {
                task.state == TaskState::Running
                    && self.jobs.get(&task.task.job).is_some_and(|job| job.is_live() && job.is_service())
            })
            && self.machines.get(&report.machine).is_some_and(|m| self.expects_prompt_start(m))
    }

    /// Decides the answer to a report that was taken before and held since: what it
    /// listed is in the picture already, unless a newer one was taken.
    pub fn answer_held(&mut self, now: Instant, report: &Report) -> ReportReply {
        let stamp = (report.session, report.seq);
        let current = self.machines.get(&report.machine).is_some_and(|m| m.seen == Some(stamp));
        if self.is_over() || !current || self.outlives_its_stops(now, report) {
            return ReportReply::Elsewhere;
        }
        if !self.valid(now) {
            return self.report_after_lease(now, report);
        }
        let mut orders = self.stops_and_reaps(report);
        if orders.len() < MAX_ORDERS && !self.machines.get(&report.machine).is_some_and(|m| m.doubted) {
            let room = MAX_ORDERS - orders.len();
            self.fill(now, &report.machine, report.seq, room, &mut orders);
        }
        ReportReply::Orders { token: self.epoch, orders }
    }

    /// Machines with held answers that should be decided anew, those first whose room
    /// should be used first.
    pub fn to_decide<'a>(&mut self, held: impl Iterator<Item = &'a MachineId>) -> Vec<MachineId> {
        let ordered = std::mem::take(&mut self.ordered);
        if !std::mem::take(&mut self.prompt_work) {
            return ordered;
        }
        let waiting: Vec<&str> = self
            .jobs
            .values()
            .filter(|job| job.pending() > 0 && self.has_prompt_aim(job.spec()))
            .map(|job| job.spec().image.as_str())
            .collect();
        let mut machines: Vec<MachineId> = held.cloned().collect();
        machines.sort_by_cached_key(|id| {
            let m = self.machines.get(id);
            let lacks_image = !m.is_some_and(|m| waiting.iter().any(|image| m.has_image(image)));
            let free = m.map_or(0.0, |m| m.free.cpus).max(0.0).to_bits();
            (lacks_image, m.is_none_or(|m| !m.wanted), free, id.clone())
        });
        machines
    }

    /// Whether the machine is doubted to hear us, and may be tried all the same.
    fn judge_hearing(&mut self, now: Instant, machine: &MachineId) -> (bool, bool) {
        let workers = &self.config.settings.cluster.workers;
        let (report, pause) = (workers.report(), workers.lease() / 2);
        let Some(m) = self.machines.get_mut(machine) else { return (true, false) };
        let doubted = m.answer_tracker.doubted(now, report);
        if doubted && !m.doubted {
            tracing::info!(%machine, "reports arrive, but nothing shows that it hears the answers");
        }
        m.doubted = doubted;
        (doubted, m.answer_tracker.may_probe(now, pause))
    }

    /// A report under an earlier token: of a worker that has not had our first
    /// answer yet, or a late copy. Only a report under our own token is younger
    /// than anything that an earlier leader could still order, since such
    /// orders carry a lower one and are refused from then on. So nothing is
    /// taken from it; it is answered, so that a live worker learns the token.
    fn take_hint(&mut self, now: Instant, report: &Report) -> ReportReply {
        let Some(m) = self.machines.get_mut(&report.machine) else { return ReportReply::Elsewhere };
        let stamp = (report.session, report.seq);
        // Tokens do not sink within a session: a copy from before.
        let behind = m.seen.is_some_and(|(session, _)| report.session <= session);
        // Each copy may put off the proof that its machine is gone only once.
        if behind || m.hinted.is_some_and(|hinted| stamp <= hinted) {
            return ReportReply::Elsewhere;
        }
        let before = m.hinted.replace(stamp);
        if before.is_some() {
            // The former answer should have shown.
            m.answer_tracker.miss(now);
        }
        // A deaf machine is answered no more, so that its lease proof runs.
        // Once that is over nothing is on it, and an answer puts off nothing.
        let may_hold = !m.known || !m.slots.is_empty();
        let (doubted, _) = self.judge_hearing(now, &report.machine);
        let Some(m) = self.machines.get_mut(&report.machine) else { return ReportReply::Elsewhere };
        if doubted && may_hold {
            return ReportReply::Elsewhere;
        }
        m.answered = Some(now);
        // Its first start is near: the mark it needs takes a write.
        self.mark_used(&report.machine);
        self.only_final_stops(report)
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
    fn only_final_stops(&self, report: &Report) -> ReportReply {
        let over = |job: &JobId| self.jobs.get(job).is_none_or(|j| !j.is_live());
        let orders = report
            .tasks
            .iter()
            .filter(|t| !matches!(t.state, TaskState::Exited(_)) && over(&t.task.job))
            .map(|t| Order::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 })
            .take(MAX_ORDERS)
            .collect();
        ReportReply::Orders { token: self.epoch, orders }
    }

    /// An answer with nothing but stops while the lease has lapsed, for a bounded
    /// time.
    ///
    /// An outage of the state service lapses every lease of ours, and would
    /// take the workers' along if it lasted. Kept alive, they finish what they
    /// have. Nothing is decided here; and whoever leads next waits for silent
    /// machines that much longer, see [`super::config::Config::takeover_proof`].
    fn report_after_lease(&mut self, now: Instant, report: &Report) -> ReportReply {
        let until = self.until + self.config.lapse_window();
        if self.outlives_its_stops(now, report) {
            return ReportReply::Elsewhere;
        }
        let Some(m) = self.machines.get_mut(&report.machine) else { return ReportReply::Elsewhere };
        // Only machines that this epoch has heard are surely counted by it.
        if now >= until || m.answered.is_none() || report.token < self.epoch {
            return ReportReply::Elsewhere;
        }
        m.answered = Some(now);
        m.heard = Some(now);
        self.only_final_stops(report)
    }

    fn take_tasks(&mut self, now: Instant, report: &Report) {
        let machine = &report.machine;
        let mut listed: HashSet<SlotKey> = HashSet::default();
        let mut foreign = false;
        for task in &report.tasks {
            let key = (task.task.job.clone(), task.task.index);
            match task.state {
                TaskState::Exited(cause) => self.take_exit(now, machine, &key, task.attempt, cause),
                state => {
                    foreign |= !self.take_present(now, machine, &key, task, state);
                    listed.insert(key);
                }
            }
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        if foreign && !m.foreign {
            self.note_unknown_tasks(report);
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.foreign = foreign;
        // A slot that is not listed is free: either its start went into the
        // answer to an earlier report, which the worker has dropped by now, or
        // it has ended. A start in answer to this very report is not there yet.
        let missing: Vec<SlotKey> = m
            .slots
            .iter()
            .filter(|(key, slot)| {
                let sent_later = matches!(slot.state, SlotState::Sent { seq } if seq >= report.seq);
                !listed.contains(*key) && !sent_later
            })
            .map(|(key, _)| key.clone())
            .collect();
        let vanished = missing
            .iter()
            .any(|key| m.slots.get(key).is_some_and(|slot| matches!(slot.state, SlotState::Sent { .. })));
        if vanished {
            // A start went into an answer that it did not get.
            m.answer_tracker.miss(now);
        }
        for key in missing {
            self.remove_slot(now, machine, &key);
        }
    }

    /// A machine shows tasks whose jobs are not in the picture: they are stopped, and its
    /// room counts as taken, against every limit, until they are gone.
    fn note_unknown_tasks(&mut self, report: &Report) {
        let is_there = |task: &&TaskReport| !matches!(task.state, TaskState::Exited(_));
        let unknown = report.tasks.iter().filter(is_there).filter(|t| !self.jobs.contains_key(&t.task.job));
        let count = unknown.clone().count();
        if let Some(first) = unknown.clone().next() {
            tracing::error!(
                epoch = self.epoch,
                machine = %report.machine,
                count,
                job = %first.task.job,
                task = first.task.index,
                attempt = first.attempt,
                "tasks of jobs that are not in the picture; stopping them"
            );
        }
        self.unknown_tasks += count as u64;
        // What they take is counted with the queue's order.
        self.queue_at = None;
    }

    /// A task that is on the machine. False if its job is not known.
    fn take_present(
        &mut self,
        now: Instant,
        machine: &MachineId,
        key: &SlotKey,
        task: &TaskReport,
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
                if matches!(slot.state, SlotState::Sent { .. }) {
                    m.answer_tracker.clear();
                }
                if slot.state != state {
                    let was = slot.state == SlotState::Running;
                    slot.state = state;
                    slot.since = now;
                    let is = state == SlotState::Running;
                    if let Some(job) = self.jobs.get_mut(&key.0) {
                        job.running = (job.running + u32::from(is)).saturating_sub(u32::from(was));
                        if is {
                            m.note_image(&job.record.spec, self.catalog.get(m.kind));
                        }
                    }
                }
                return true;
            }
            // The worker has another attempt than the one we sent: ours is
            // refused there as in use. What is there counts.
            self.remove_slot(now, machine, key);
        }
        let Some(job) = self.jobs.get(&key.0) else { return false };
        // Adopted from an earlier leader, unless it should not be here.
        let wanted = job.is_live() && !job.record.done.contains(key.1) && !job.active.contains_key(&key.1);
        self.add_slot(now, machine, key.clone(), task.attempt, state, wanted);
        if !wanted && let Some(slot) = self.machines.get_mut(machine).and_then(|m| m.slots.get_mut(key)) {
            slot.stop = Some(0.0);
        }
        true
    }

    fn take_exit(
        &mut self,
        now: Instant,
        machine: &MachineId,
        key: &SlotKey,
        attempt: u64,
        cause: ExitCause,
    ) {
        let slot = self.machines.get(machine).and_then(|m| m.slots.get(key)).filter(|s| s.attempt == attempt);
        let held = slot.is_some();
        let acknowledged = slot.is_some_and(|s| matches!(s.state, SlotState::Sent { .. }));
        if let Some(slot) = slot.filter(|s| cause == ExitCause::Done && s.state == SlotState::Running) {
            let seconds = now.saturating_duration_since(slot.since).as_secs_f64();
            self.learn_run(&key.0, seconds);
        }
        match cause {
            ExitCause::Done => {
                self.mark_done(now, &key.0, key.1);
                if let Some(m) = self.machines.get_mut(machine) {
                    m.failures.clear();
                }
                // Its result is kept; whoever runs it besides wastes work.
                let elsewhere = self.jobs.get(&key.0).and_then(|j| j.active.get(&key.1)).cloned();
                if let Some(other) = elsewhere.filter(|other| other != machine) {
                    self.order_stop(now, &other, key, 0.0);
                }
            }
            ExitCause::Error | ExitCause::Unknown if held => self.note_failure(now, machine, &key.0),
            _ => {}
        }
        if acknowledged && let Some(m) = self.machines.get_mut(machine) {
            m.answer_tracker.clear();
        }
        if held {
            tracing::debug!(%machine, job = %key.0, task = key.1, ?cause, "exited");
            self.remove_slot(now, machine, key);
        }
    }

    fn note_failure(&mut self, now: Instant, machine: &MachineId, job: &JobId) {
        let report = self.config.settings.cluster.workers.report();
        if let Some(j) = self.jobs.get_mut(job) {
            j.failed_on.insert(machine.clone());
            // A job that fails everywhere is slowed down, never given up.
            if j.failed_on.len() >= BAD_JOB_MACHINES {
                let factor = (j.failed_on.len() as u32).min(10);
                j.hold_until = Some(now + report * factor);
            }
        }
        let bad_job = |j: &JobId| self.jobs.get(j).is_some_and(|j| j.failed_on.len() >= BAD_JOB_MACHINES);
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.failures.push(job.clone());
        let counted = m.failures.iter().filter(|j| !bad_job(j)).count();
        if counted >= SICK_FAILURES && !m.condemned {
            tracing::info!(machine = %m.id, "tasks keep failing on a machine; replacing it");
            m.condemned = true;
        }
    }

    fn stops_and_reaps(&mut self, report: &Report) -> Vec<Order> {
        let Some(m) = self.machines.get(&report.machine) else { return Vec::new() };
        let mut orders = Vec::new();
        for task in &report.tasks {
            let (job, attempt) = (&task.task.job, task.attempt);
            let name = task.task.clone();
            match task.state {
                TaskState::Exited(cause) => {
                    if !(cause == ExitCause::Done && self.may_be_unrecorded(&name)) {
                        orders.push(Order::Forget { task: name, attempt });
                    }
                }
                state => match m.slots.get(&(job.clone(), name.index)) {
                    Some(slot) => {
                        if let Some(grace_s) = slot.stop
                            && (state != TaskState::Saving || grace_s <= 0.0)
                        {
                            orders.push(Order::Stop { task: name, attempt, grace_s });
                        }
                    }
                    // Of a job that is over or was never accepted.
                    None => orders.push(Order::Stop { task: name, attempt, grace_s: 0.0 }),
                },
            }
        }
        // No answer may leave a stop out for want of room: it renews the lease
        // under which the task runs.
        orders.sort_by_key(|order| matches!(order, Order::Forget { .. }));
        orders.truncate(MAX_ORDERS);
        orders
    }

    /// Whether the record of a job may not say yet that a task of it is done: the worker
    /// must not forget it before. A job that is not in the picture is over, or cannot be
    /// read.
    fn may_be_unrecorded(&self, task: &TaskId) -> bool {
        match self.jobs.get(&task.job) {
            Some(job) => {
                job.record.final_standing().is_none()
                    && !job.is_service()
                    && !job.recorded.contains(task.index)
            }
            None => self.unreadable.contains_job(&task.job),
        }
    }

    /// Before the first start on a machine its record says so.
    fn mark_used(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.used || m.marking {
            return;
        }
        m.marking = true;
        let name = m.rental.clone();
        if let Some(rental) = self.rentals.get_mut(&name) {
            rental.record.used.insert(machine.clone());
        }
        self.write_rental(&name);
    }
}
