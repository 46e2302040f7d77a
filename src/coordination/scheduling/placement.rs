//! Placement: which tasks start on a machine that has just sent a heartbeat.
//!
//! Only the answer to a machine's heartbeat can carry a start. For each job in the order of
//! the queue the machine has to pass the filters and is compared with a sample of other
//! machines that last had room; it gets the task unless one of those is clearly the better
//! place, which will then take it with its own next heartbeat.

use tokio::time::Instant;

use crate::coordination::authority::{StartEvidence, Violation};
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::queue::QueuedJob;
use crate::coordination::workers::slot::SlotState;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::{Command, MachineId};

impl Leader {
    /// Starts tasks on a machine that has just reported.
    pub(crate) fn place_tasks(
        &mut self,
        now: Instant,
        machine: &MachineId,
        sequence: u64,
        most: usize,
        orders: &mut Vec<Command>,
    ) {
        if !self.machines.get(machine).is_some_and(Machine::is_schedulable) {
            return;
        }
        self.order_queue(now);
        let queue = self.queue.take_jobs();
        let spot = self.machines.get(machine).is_some_and(|m| m.spot);
        let mut started = 0;
        for ranked in &queue {
            let room = self.machines.get(machine).map(|m| m.free).unwrap_or_default();
            if started >= most || room.cpus < self.queue.min_task_cpus().max(1e-3) - 1e-6 {
                break;
            }
            // One that must begin may have this machine kept clear for it.
            if !ranked.starved && !(ranked.task_resources.fits(&room) && (ranked.allows_spot || !spot)) {
                continue;
            }
            while started < most && self.should_start(now, ranked, machine) {
                let recovered = self.failover.is_complete();
                let Some(job) = self.jobs.get_mut(&ranked.job) else { break };
                let least = if recovered { 0 } else { job.tasks.unreconciled_below };
                let Some(index) = job.next_pending(least) else { break };
                let Some(order) =
                    self.start_task(now, machine, sequence, TaskId { job: ranked.job.clone(), index })
                else {
                    break;
                };
                orders.push(order);
                started += 1;
                self.queue.release_reservation(&ranked.job);
                if ranked.starved {
                    // It has begun; the rest of it waits like any other's.
                    self.queue.invalidate();
                    break;
                }
            }
            let begun = self.jobs.get(&ranked.job).is_none_or(|j| !j.tasks.assigned.is_empty());
            if ranked.starved && !begun && self.try_reserve(&ranked.job, machine) {
                break;
            }
        }
        self.queue.put_jobs_back(queue);
    }

    /// Counts a task on the machine and returns its start order, if there is a right to it.
    fn start_task(
        &mut self,
        now: Instant,
        machine: &MachineId,
        sequence: u64,
        key: TaskId,
    ) -> Option<Command> {
        let Some(attempt) = self.attempts.next() else {
            tracing::error!("attempt numbers of this epoch are used up");
            return None;
        };
        let evidence = self.start_evidence(machine, &key)?;
        let permit = match self.term.start_permit(now, key.clone(), attempt, evidence) {
            Ok(permit) => permit,
            Err(refusal) => {
                self.record_violation(Violation::Start(refusal), &key.job);
                return None;
            }
        };
        self.attempts.advance();
        tracing::debug!(
            epoch = self.term.epoch(),
            lease_left_ms = self.term.lease_expiry().saturating_duration_since(now).as_millis() as u64,
            %machine,
            job = %key.job,
            task = key.index,
            attempt,
            "start"
        );
        self.add_slot(now, machine, key, attempt, SlotState::StartSent { sequence }, true);
        Some(permit.into_command())
    }

    /// What is known for and against starting a task on a machine.
    fn start_evidence(&self, machine: &MachineId, key: &TaskId) -> Option<StartEvidence> {
        let (job_id, task) = (&key.job, key.index);
        let job = self.jobs.get(job_id)?;
        let machine = self.machines.get(machine)?;
        let awaits_others = !job.spec().dependencies.is_empty();
        let may_be_on_unheard = !self.failover.is_complete() && task < job.tasks.unreconciled_below;
        let is_counted = job.tasks.assigned.contains_key(&task) || machine.slots.contains_key(key);
        Some(StartEvidence {
            job_is_live: job.is_startable(),
            dependencies_are_done: !job.waits_for_dependencies()
                && (!awaits_others || self.dependencies.is_ready(job_id)),
            start_is_recorded: task < job.stored.started_high_water,
            task_is_done: job.record.done.contains(task),
            is_on_no_machine: !is_counted && !may_be_on_unheard,
            machine_use_is_recorded: machine.may_hold_tasks(),
            last_attempt: self.attempts.latest(),
        })
    }

    /// Whether the job's next task may and should start on this machine.
    fn should_start(&mut self, now: Instant, ranked: &QueuedJob, machine: &MachineId) -> bool {
        let recovered = self.failover.is_complete();
        let Some(j) = self.jobs.get_mut(&ranked.job) else { return false };
        if j.pending() == 0
            || j.failures.backoff_until.is_some_and(|until| now < until && !j.tasks.assigned.is_empty())
        {
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
        if !recovered && j.tasks.unreconciled_below > 0 && tied {
            return false;
        }
        let least = if recovered { 0 } else { j.tasks.unreconciled_below };
        let Some(next) = j.next_pending(least) else { return false };
        if next >= j.stored.started_high_water {
            self.raise_started_high_water(now, &ranked.job);
            return false;
        }
        let Some(j) = self.jobs.get(&ranked.job) else { return false };
        let Some(m) = self.machines.get(machine) else { return false };
        if !self.passes_filters(j, m) || !self.is_within_quota(j) {
            return false;
        }
        if ranked.starved {
            return j.tasks.assigned.is_empty();
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
        if !m.need.is_needed && self.fits_on_needed_machines(j) {
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
                let next_report = o.agent.heartbeat_at.map_or(now, |h| (h + report).max(now));
                self.score(now, j, o, next_report) > here + 0.5
            })
            .map(|o| need.times_in(&o.free))
            .fold(0, u32::saturating_add);
        // The sample stands for all: are there clearly better places for all
        // that waits?
        let better = f64::from(room) * population / sampled.max(1) as f64;
        better < f64::from(pending)
    }
}
