//! What runs where: the queue, guarantees, sampled best fit and preemption.
//!
//! Placing happens when a machine reports, because only the answer to its
//! report can carry a start. The reporting machine is compared with a sample of
//! others that last reported room; it gets the task unless one of those is
//! clearly the better place, which will then take it with its own next report.

use std::cmp::Ordering;

use tokio::time::Instant;

use crate::coordination::authority::{StartEvidence, Violation};
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::{Job, Resources, SlotKey, SlotState};
use crate::coordination::leader::Leader;
use crate::protocol::jobs::{JobId, JobSpec, Priority, TaskId};
use crate::protocol::workers::{Command, MachineId};

/// A waiting job's place in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedJob {
    pub(crate) job: JobId,
    /// Must begin before anything else does.
    starved: bool,
    pub(crate) guaranteed: bool,
    pub(crate) priority: Priority,
    pub(crate) latest_start: Instant,
    /// What a task takes, and whether it may go to spot machines: most of the
    /// queue is passed over for a machine by these alone.
    task_resources: Resources,
    allows_spot: bool,
}

impl QueuedJob {
    fn compare(&self, other: &Self) -> Ordering {
        other
            .starved
            .cmp(&self.starved)
            .then(other.guaranteed.cmp(&self.guaranteed))
            .then(other.priority.cmp(&self.priority))
            .then(self.latest_start.cmp(&other.latest_start))
            .then_with(|| self.job.cmp(&other.job))
    }
}

impl Leader {
    /// Orders the waiting jobs: guarantees first, then priority, then the time
    /// by which a job must start to be done when it is due, or its age.
    pub(crate) fn order_queue(&mut self, now: Instant) {
        let fresh_enough = self.config.settings.cluster.workers.report() / 12;
        if self.queue_ordered_at.is_some_and(|at| now < at + fresh_enough) {
            return;
        }
        self.queue_ordered_at = Some(now);
        let guaranteed = self.within_guarantees();
        let mut queue: Vec<QueuedJob> = self
            .jobs
            .values()
            .filter(|j| j.pending() > 0)
            .map(|j| QueuedJob {
                job: j.id().clone(),
                starved: self.is_starved(j, now),
                guaranteed: guaranteed.contains_key(j.id()),
                priority: self.priority(j),
                latest_start: self.latest_start(j, now),
                task_resources: Resources::of(j.spec()),
                allows_spot: j.spec().spot,
            })
            .collect();
        queue.sort_by(QueuedJob::compare);
        // A job that must begin may have a machine kept clear that is full now.
        let least = |r: &QueuedJob| if r.starved { 0.0 } else { r.task_resources.cpus };
        self.min_task_cpus = queue.iter().map(least).fold(f64::INFINITY, f64::min);
        self.queue = queue;
        // Machines are heard one after the other, and none becomes unheard: what
        // was counted last is never too little.
        self.unreconciled_capacity =
            if self.unlisted_machines_possible { Resources::UNBOUNDED } else { Resources::default() };
        let unknown =
            |m: &&Machine| m.has_orphan_tasks || (!self.failover_complete && m.use_recorded && !m.reconciled);
        for m in self.machines.values().filter(unknown) {
            self.unreconciled_capacity
                .add(&self.catalog.get(m.machine_type).map(Resources::of_type).unwrap_or_default());
        }
        // One that has missed its time to report may be dead.
        let patience = self.config.settings.cluster.workers.report().mul_f64(1.5);
        let heard = |m: &Machine| m.heartbeat_at.is_some_and(|h| now < h + patience);
        let open =
            self.machines.values().filter(|m| m.free.cpus > 1e-3 && m.has_usable_capacity() && heard(m));
        self.candidates = open.map(|m| m.id.clone()).collect();
    }

    /// A starved job that fits nowhere gets one machine kept clear for it, or
    /// smaller tasks would take every bit of room as it comes free. True if it
    /// is to be this one.
    fn try_reserve(&mut self, job: &JobId, machine: &MachineId) -> bool {
        // One that has gone, or that nothing may be placed on, is given up.
        let usable = |id: &&MachineId| self.machines.get(*id).is_some_and(Machine::has_usable_capacity);
        let (Some(j), Some(m)) = (self.jobs.get(job), self.machines.get(machine)) else { return false };
        // While its own team is at its limit, or its tasks may still be somewhere,
        // room would not help it: others must not wait beside an empty machine.
        if !self.is_within_quota(j) || !(self.failover_complete || j.unreconciled_below == 0) {
            self.reservations.remove(job);
            return false;
        }
        let reserved = self.reservations.get(job).filter(usable);
        if let Some(reserved) = reserved {
            return reserved == machine;
        }
        let spec = j.spec();
        let suits = m.has_usable_capacity()
            && self.allows_machine(spec, m)
            && self
                .catalog
                .get(m.machine_type)
                .is_some_and(|k| Resources::of(spec).fits(&Resources::of_type(k)));
        if suits {
            self.reservations.insert(job.clone(), machine.clone());
        }
        suits
    }

    /// How long the machine is expected to fetch the image of the job.
    pub(crate) fn image_fetch_s(&self, spec: &JobSpec, machine: &Machine) -> f64 {
        match self.catalog.get(machine.machine_type) {
            Some(kind) if kind.fetch_gb_per_s > 0.0 && !machine.has_image(&spec.image) => {
                spec.image_gb / kind.fetch_gb_per_s
            }
            _ => 0.0,
        }
    }

    /// Starts tasks on a machine that has just reported.
    pub(crate) fn place_tasks(
        &mut self,
        now: Instant,
        machine: &MachineId,
        seq: u64,
        most: usize,
        orders: &mut Vec<Command>,
    ) {
        if !self.machines.get(machine).is_some_and(Machine::is_schedulable) {
            return;
        }
        self.order_queue(now);
        let queue = std::mem::take(&mut self.queue);
        let spot = self.machines.get(machine).is_some_and(|m| m.spot);
        let mut started = 0;
        for ranked in &queue {
            let room = self.machines.get(machine).map(|m| m.free).unwrap_or_default();
            if started >= most || room.cpus < self.min_task_cpus.max(1e-3) - 1e-6 {
                break;
            }
            // One that must begin may have this machine kept clear for it.
            if !ranked.starved && !(ranked.task_resources.fits(&room) && (ranked.allows_spot || !spot)) {
                continue;
            }
            while started < most && self.should_start(now, ranked, machine) {
                let recovered = self.failover_complete;
                let Some(job) = self.jobs.get_mut(&ranked.job) else { break };
                let least = if recovered { 0 } else { job.unreconciled_below };
                let Some(index) = job.next_pending(least) else { break };
                let Some(order) = self.start_task(now, machine, seq, (ranked.job.clone(), index)) else {
                    break;
                };
                orders.push(order);
                started += 1;
                self.reservations.remove(&ranked.job);
                if ranked.starved {
                    // It has begun; the rest of it waits like any other's.
                    self.queue_ordered_at = None;
                    break;
                }
            }
            let begun = self.jobs.get(&ranked.job).is_none_or(|j| !j.placements.is_empty());
            if ranked.starved && !begun && self.try_reserve(&ranked.job, machine) {
                break;
            }
        }
        self.queue = queue;
    }

    /// Counts a task on the machine and returns its start order, if there is a right to it.
    fn start_task(&mut self, now: Instant, machine: &MachineId, seq: u64, key: SlotKey) -> Option<Command> {
        let Some(counter) = self.last_attempt.checked_add(1) else {
            tracing::error!("attempt numbers of this epoch are used up");
            return None;
        };
        // Epochs differ, and counters within one: never used twice.
        let attempt = self.attempt_number(counter);
        let evidence = self.start_evidence(machine, &key)?;
        let task = TaskId { job: key.0.clone(), index: key.1 };
        let permit = match self.term().start_permit(now, task, attempt, evidence) {
            Ok(permit) => permit,
            Err(refusal) => {
                self.record_violation(Violation::Start(refusal), &key.0);
                return None;
            }
        };
        self.last_attempt = counter;
        tracing::debug!(
            epoch = self.epoch,
            lease_left_ms = self.lease_expiry.saturating_duration_since(now).as_millis() as u64,
            %machine,
            job = %key.0,
            task = key.1,
            attempt,
            "start"
        );
        self.add_slot(now, machine, key, attempt, SlotState::StartSent { seq }, true);
        Some(permit.into_command())
    }

    fn attempt_number(&self, counter: u32) -> u64 {
        self.epoch << 32 | u64::from(counter)
    }

    /// What is known for and against starting a task on a machine.
    fn start_evidence(&self, machine: &MachineId, key: &SlotKey) -> Option<StartEvidence> {
        let (job_id, task) = (&key.0, key.1);
        let job = self.jobs.get(job_id)?;
        let machine = self.machines.get(machine)?;
        let awaits_others = !job.spec().dependencies.is_empty();
        let may_be_on_unheard = !self.failover_complete && task < job.unreconciled_below;
        let is_counted = job.placements.contains_key(&task) || machine.slots.contains_key(key);
        Some(StartEvidence {
            job_is_live: job.is_startable(),
            dependencies_are_done: !job.waits_for_dependencies()
                && (!awaits_others || self.dependencies.is_ready(job_id)),
            start_is_recorded: task < job.committed_high_water,
            task_is_done: job.record.done.contains(task),
            is_on_no_machine: !is_counted && !may_be_on_unheard,
            machine_use_is_recorded: machine.use_recorded,
            last_attempt: self.attempt_number(self.last_attempt),
        })
    }

    /// Whether the job's next task may and should start on this machine.
    fn should_start(&mut self, now: Instant, ranked: &QueuedJob, machine: &MachineId) -> bool {
        let recovered = self.failover_complete;
        let Some(j) = self.jobs.get_mut(&ranked.job) else { return false };
        if j.pending() == 0 || j.backoff_until.is_some_and(|until| now < until && !j.placements.is_empty()) {
            return false;
        }
        // Until every machine has reported, or is gone, and has stopped what it
        // had of a job that was believed over, none of it starts anew.
        if let Some(not_before) = j.not_before
            && (now < not_before || self.machines.values().any(|m| m.has_orphan_tasks))
        {
            return false;
        }
        // A task that may still run on a machine not heard of yet must wait.
        // Those that never began, and jobs accepted in this epoch, cannot be
        // there; where the others are may decide in which zone they may start.
        let tied = j.spec().one_zone || j.spec().spread;
        if !recovered && j.unreconciled_below > 0 && tied {
            return false;
        }
        let least = if recovered { 0 } else { j.unreconciled_below };
        let Some(next) = j.next_pending(least) else { return false };
        if next >= j.committed_high_water {
            self.raise_started_high_water(now, &ranked.job);
            return false;
        }
        let Some(j) = self.jobs.get(&ranked.job) else { return false };
        let Some(m) = self.machines.get(machine) else { return false };
        if !self.passes_filters(j, m) || !self.is_within_quota(j) {
            return false;
        }
        if ranked.starved {
            return j.placements.is_empty();
        }
        // A better place would report too late.
        if self.meets_latency_objective(now, j, m) {
            return true;
        }
        // Machines that have the image report sooner than this one has fetched it. All
        // are counted, since a sample would let one of many machines start it too early.
        if self.is_latency_sensitive(j.spec())
            && self.image_fetch_s(j.spec(), m) > 0.0
            && self.fits_on_machines_with_image(j)
        {
            return false;
        }
        let here = self.score(now, j, m, now);
        let pending = j.pending();
        // A machine that no demand counts on is left to run empty while the
        // others have room for all that waits.
        if !m.needed && self.fits_on_needed_machines(j) {
            return false;
        }
        let report = self.config.settings.cluster.workers.report();
        let need = Resources::of(j.spec());
        let (others, population) = self.sample_candidates(machine, &need);
        let Some(j) = self.jobs.get(&ranked.job) else { return false };
        let sampled = others.len();
        let room: u32 = others
            .iter()
            .filter_map(|id| self.machines.get(id))
            .filter(|o| self.passes_filters(j, o))
            .filter(|o| {
                let next_report = o.heartbeat_at.map_or(now, |h| (h + report).max(now));
                self.score(now, j, o, next_report) > here + 0.5
            })
            .map(|o| need.times_in(&o.free))
            .fold(0, u32::saturating_add);
        // The sample stands for all: are there clearly better places for all
        // that waits?
        let better = f64::from(room) * population / sampled.max(1) as f64;
        better < f64::from(pending)
    }

    /// A few other machines that last reported room for a task, and about how
    /// many such there are. Drawn from what the last ordering of the queue found,
    /// so that a placement costs the same on a fleet of any size.
    fn sample_candidates(&mut self, machine: &MachineId, need: &Resources) -> (Vec<MachineId>, f64) {
        let most = self.config.tuning.sample.saturating_sub(1);
        let tries = (most * 4).min(self.candidates.len());
        let mut found = Vec::with_capacity(most);
        let mut tried: u32 = 0;
        for at in rand::seq::index::sample(&mut self.rng, self.candidates.len(), tries) {
            if found.len() >= most {
                break;
            }
            tried += 1;
            let id = &self.candidates[at];
            if id != machine
                && self.machines.get(id).is_some_and(|m| m.has_usable_capacity() && need.fits(&m.free))
            {
                found.push(id.clone());
            }
        }
        let share = found.len() as f64 / f64::from(tried.max(1));
        (found, share * self.candidates.len() as f64)
    }

    /// Whether all that waits of the job fits on machines that demand counts on.
    fn fits_on_needed_machines(&self, job: &Job) -> bool {
        self.fits_on_machines_where(job, |m| m.needed)
    }

    /// Whether all that waits of the job fits on machines that have its image.
    fn fits_on_machines_with_image(&self, job: &Job) -> bool {
        self.fits_on_machines_where(job, |m| m.has_image(&job.spec().image))
    }

    /// Whether all that waits of the job fits on such machines, of those that had room
    /// when the queue was last ordered.
    fn fits_on_machines_where(&self, job: &Job, suits: impl Fn(&Machine) -> bool) -> bool {
        let need = Resources::of(job.spec());
        let mut left = job.pending();
        for m in self.candidates.iter().filter_map(|id| self.machines.get(id)) {
            if suits(m) && need.fits(&m.free) && !m.one_way_partitioned && self.passes_filters(job, m) {
                left = left.saturating_sub(need.times_in(&m.free));
                if left == 0 {
                    return true;
                }
            }
        }
        false
    }

    /// Whether a task of a new job could start now.
    pub(crate) fn could_start_now(&self, spec: &JobSpec) -> bool {
        let need = Resources::of(spec);
        self.machines
            .values()
            .any(|m| m.has_usable_capacity() && need.fits(&m.free) && self.allows_machine(spec, m))
    }

    /// Whether the job allows the machine: its type, its zone, spot or not.
    pub(crate) fn allows_machine(&self, spec: &JobSpec, machine: &Machine) -> bool {
        (spec.spot || !machine.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && self
                .catalog
                .get(machine.machine_type)
                .is_some_and(|k| spec.machine_types.as_ref().is_none_or(|types| types.contains(&k.name)))
    }

    /// Has the records of the jobs whose turn comes next say that they begin,
    /// so that no start waits for the write. Those behind them stay free for a
    /// next leader to start at once.
    pub(crate) fn record_upcoming_starts(&mut self, now: Instant) {
        self.order_queue(now);
        // Room that is there, and what comes free until the next round.
        let kinds = |m: &Machine| self.catalog.get(m.machine_type).map_or(0.0, |k| k.cpus);
        let open = self.machines.values().filter(|m| m.has_usable_capacity());
        let mut room: f64 = open.map(|m| m.free.cpus + 0.1 * kinds(m)).sum();
        let mut due = Vec::new();
        for job in self.queue.iter().filter_map(|ranked| self.jobs.get(&ranked.job)) {
            if room <= 0.0 {
                break;
            }
            room -= job.spec().cpus * f64::from(job.pending());
            if job.committed_high_water < job.spec().tasks {
                due.push(job.id().clone());
            }
        }
        for job in due {
            self.raise_started_high_water(now, &job);
        }
    }

    /// What the rules demand of a machine for the job's next task.
    pub(crate) fn passes_filters(&self, job: &Job, machine: &Machine) -> bool {
        let spec = job.spec();
        if !machine.is_schedulable()
            || !Resources::of(spec).fits(&machine.free)
            || !self.allows_machine(spec, machine)
            || machine.slots.keys().any(|(j, t)| j == job.id() && !job.placements.contains_key(t))
        {
            return false;
        }
        if !spec.one_zone && !spec.spread {
            return true;
        }
        // Every task that may be on a machine counts, wherever it is in its
        // life; so do those that should not be there.
        let zones = || {
            self.machines
                .values()
                .flat_map(|m| m.slots.keys().filter(|k| k.0 == spec.id).map(|_| m.zone.as_str()))
        };
        if spec.one_zone && zones().any(|zone| zone != machine.zone) {
            return false;
        }
        if spec.spread {
            let here = zones().filter(|zone| *zone == machine.zone).count() as u32;
            return here < spec.tasks.div_ceil(2);
        }
        true
    }

    pub(crate) fn is_within_quota(&self, job: &Job) -> bool {
        let Some(team) = job.team.and_then(|t| self.teams.get(t)) else { return false };
        let mut used = team.used;
        // What is on unheard machines, or is of unknown jobs, may all be this team's.
        used.add(&self.unreconciled_capacity);
        used.add(&Resources::of(job.spec()));
        used.fits(&team.limit)
    }

    /// How good a place is, in seconds saved: larger is better.
    fn score(&self, now: Instant, job: &Job, machine: &Machine, report: Instant) -> f64 {
        let spec = job.spec();
        let Some(kind) = self.catalog.get(machine.machine_type) else { return f64::MIN };
        let wait = report.saturating_duration_since(now).as_secs_f64();
        let fetch = self.image_fetch_s(spec, machine);
        let left = machine.free.cpus - spec.cpus;
        let emptiness = if kind.cpus > 0.0 { left / kind.cpus } else { 0.0 };
        // Work that may run on spot machines leaves the others to work that
        // may not.
        let dear = if spec.spot && !machine.spot { 2.0 } else { 0.0 };
        // What nobody counts on is left to run empty and be returned.
        let spare = if machine.needed { 0.0 } else { 2.0 };
        // Without checkpoints all of a task's work is lost with the machine;
        // the longer it runs, the likelier and the more.
        let risk = if machine.spot && spec.checkpoint_interval_s <= 0.0 {
            let run = self.expected_run_s(spec);
            self.spot_loss_rate() * run * run * self.config.tuning.spot_risk
        } else {
            0.0
        };
        -(wait + fetch + 1.5 * emptiness + dear + spare + risk)
    }
}
