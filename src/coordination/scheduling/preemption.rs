//! Preemption: which running tasks are stopped for waiting work of higher priority, or for work
//! within its team's guarantee.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::queue::QueuedJob;
use crate::coordination::workers::slot::{Slot, SlotState};
use crate::maps::{HashMap, HashSet};
use crate::numeric::count_u32;
use crate::protocol::jobs::{Priority, TaskId};
use crate::protocol::workers::MachineId;

/// Maximum number of jobs at the head of the queue for which tasks may be preempted.
const MAX_PREEMPTING_JOBS: usize = 16;
/// Heartbeat intervals that a job waits before it may preempt, so that machines with free
/// capacity can send a heartbeat first.
const MIN_WAIT_INTERVALS: f64 = 0.5;
/// Heartbeat intervals that a job waits before it may preempt for its team's guarantee.
const GUARANTEE_WAIT_INTERVALS: f64 = 1.5;
/// A job is urgent if the latest start of its tasks is within this many heartbeat intervals.
const URGENT_INTERVALS: f64 = 2.5;

/// What could be preempted at all, determined once for all waiting jobs.
struct Preemptible {
    /// Teams that use more than they are guaranteed.
    over_guarantee: HashSet<QuotaId>,
    /// The lowest priority of all tasks on machines.
    lowest_priority: Option<Priority>,
}

/// Why a job may preempt others. Enforcing a guarantee is less urgent than priority, so for a
/// guarantee the job waits longer for capacity to become free without preemption.
struct PreemptionReason {
    /// The job is urgent: tasks of lower priority may be preempted.
    by_priority: bool,
    /// The job has waited for long enough: tasks beyond their team's guarantee may be preempted.
    by_guarantee: bool,
}

/// A task that may be preempted.
struct Victim {
    /// The machine that it is on.
    machine: MachineId,
    /// The task.
    task: TaskId,
    /// Work that is lost if the task is stopped now, in seconds of run time.
    lost_work_s: f64,
    /// Whether its priority is lower than that of the waiting job. If not, its team uses more
    /// than its guarantee.
    has_lower_priority: bool,
}

/// A task to stop.
struct Preemption {
    /// The machine that it is on.
    machine: MachineId,
    /// The task.
    task: TaskId,
    /// Seconds that the task has to save a checkpoint.
    grace_s: f64,
}

impl Leader {
    /// Preempts work beyond a team's guarantee for work within another team's guarantee, and work
    /// of lower priority for work of higher priority. Stops tasks for one job per call, and only
    /// tasks that lose little work.
    pub(crate) fn preempt(&mut self, now: Instant) {
        let tuning = &self.config.tuning;
        let is_enabled = tuning.preempt_loss_s.max(tuning.preempt_lower_loss_s) > 0.0;
        if !self.failover.is_complete() || !is_enabled {
            return;
        }
        self.order_queue(now);
        let preemptible = self.preemptible();
        let head = self.queue.jobs().iter().take(MAX_PREEMPTING_JOBS);
        let mut preemptions = head.map(|queued| self.preemptions_for(now, queued, &preemptible));
        let preemptions = preemptions.find(|preemptions| !preemptions.is_empty()).unwrap_or_default();
        for Preemption { machine, task, grace_s } in preemptions {
            tracing::debug!(%machine, job = %task.job, task = task.index, "task preempted");
            self.stop_task(now, &machine, &task, grace_s);
        }
    }

    /// Determines what could be preempted for any job.
    fn preemptible(&self) -> Preemptible {
        let over = self.quotas.iter().filter(|(_, quota)| quota.exceeds_guarantee());
        let on_machines = self.jobs.values().filter(|job| job.tasks.slot_count > 0);
        Preemptible {
            over_guarantee: over.map(|(id, _)| id).collect(),
            lowest_priority: on_machines.map(|job| self.priority(job)).min(),
        }
    }

    /// Returns the tasks to stop for a waiting job.
    fn preemptions_for(
        &self,
        now: Instant,
        queued: &QueuedJob,
        preemptible: &Preemptible,
    ) -> Vec<Preemption> {
        let mut preemptions = Vec::new();
        let Some(job) = self.jobs.get(&queued.job) else { return preemptions };
        let Some(reason) = self.preemption_reason(now, queued, job, preemptible) else { return preemptions };
        let missing = self.tasks_without_capacity(job) as usize;
        if missing == 0 {
            return preemptions;
        }
        // The use of each team, reduced by the tasks that are to be stopped.
        let mut used: HashMap<QuotaId, Resources> = HashMap::default();
        for victim in self.preemption_victims(now, queued, job, &preemptible.over_guarantee) {
            if preemptions.len() >= missing {
                break;
            }
            if !self.may_preempt(&victim, &reason) {
                continue;
            }
            let Some(victim_job) = self.jobs.get(&victim.task.job) else { continue };
            if !victim.has_lower_priority && !self.deduct_if_over_guarantee(victim_job, &mut used) {
                continue;
            }
            let grace_s = victim_job.spec().checkpoint_save_s;
            preemptions.push(Preemption { machine: victim.machine, task: victim.task, grace_s });
        }
        preemptions
    }

    /// Returns why a job may preempt others now; `None` if it may not.
    fn preemption_reason(
        &self,
        now: Instant,
        queued: &QueuedJob,
        job: &Job,
        preemptible: &Preemptible,
    ) -> Option<PreemptionReason> {
        let has_lower_priority_tasks =
            preemptible.lowest_priority.is_some_and(|lowest| lowest < queued.priority);
        let can_reclaim_guarantee =
            queued.guaranteed && preemptible.over_guarantee.iter().any(|team| job.team != Some(*team));
        if !(has_lower_priority_tasks || can_reclaim_guarantee) {
            return None;
        }
        let heartbeat_interval = self.config.settings.cluster.workers.heartbeat_interval();
        let waiting_since = job.waiting_since(now);
        let may_start_without_preemption =
            now < waiting_since + heartbeat_interval.mul_f64(MIN_WAIT_INTERVALS);
        if may_start_without_preemption || !self.is_within_quota(job) {
            return None;
        }
        let has_waited = now >= waiting_since + heartbeat_interval.mul_f64(GUARANTEE_WAIT_INTERVALS);
        // Capacity becomes free all the time without preemption, so priority justifies losing
        // work only if an objective would be missed otherwise.
        let is_urgent = queued.latest_start <= now + heartbeat_interval.mul_f64(URGENT_INTERVALS);
        if !((has_lower_priority_tasks && is_urgent) || (can_reclaim_guarantee && has_waited)) {
            return None;
        }
        Some(PreemptionReason { by_priority: is_urgent, by_guarantee: has_waited })
    }

    /// Number of the job's waiting tasks for which no capacity is free or being freed.
    fn tasks_without_capacity(&self, job: &Job) -> u32 {
        let task = Resources::of(job.spec());
        let usable = self
            .machines
            .values()
            .filter(|machine| !machine.worker.one_way_partitioned && self.passes_filters(job, machine));
        let free = usable.map(|machine| task.times_in(&machine.free)).fold(0, u32::saturating_add);
        let slots = self.machines.values().flat_map(|machine| machine.slots.values());
        let stopping = slots.filter(|slot| slot.stop_grace_s.is_some()).count();
        job.pending().saturating_sub(free).saturating_sub(count_u32(stopping))
    }

    /// Whether the reason allows the victim to be preempted, and the lost work is within the limit.
    fn may_preempt(&self, victim: &Victim, reason: &PreemptionReason) -> bool {
        let tuning = &self.config.tuning;
        let (max_lost_work_s, has_reason) = if victim.has_lower_priority {
            (tuning.preempt_lower_loss_s, reason.by_priority)
        } else {
            (tuning.preempt_loss_s, reason.by_guarantee)
        };
        victim.lost_work_s <= max_lost_work_s && has_reason
    }

    /// Whether the victim's team uses more than its guarantee. If so, deducts one task of the job
    /// from the use of the team in `used`.
    fn deduct_if_over_guarantee(&self, victim: &Job, used: &mut HashMap<QuotaId, Resources>) -> bool {
        let Some(team) = victim.team else { return false };
        let quota = self.quotas.get(team);
        let used = used.entry(team).or_insert(quota.used);
        if used.cpus <= quota.guaranteed.cpus && used.gpus <= quota.guaranteed.gpus {
            return false;
        }
        used.sub(&Resources::of(victim.spec()));
        true
    }

    /// Returns the tasks that may be preempted for the job, those that lose the least work first.
    fn preemption_victims(
        &self,
        now: Instant,
        queued: &QueuedJob,
        job: &Job,
        over_guarantee: &HashSet<QuotaId>,
    ) -> Vec<Victim> {
        let may_run_on =
            |machine: &&Machine| machine.is_schedulable() && self.allows_machine(job.spec(), machine);
        let mut victims = Vec::new();
        for machine in self.machines.values().filter(may_run_on) {
            for (task, slot) in &machine.slots {
                // The victim has to free enough CPUs for at least one task of the job.
                if slot.stop_grace_s.is_some() || slot.resources.cpus < queued.task_resources.cpus {
                    continue;
                }
                let Some(victim) = self.jobs.get(&task.job) else { continue };
                let is_over_guarantee =
                    slot.team != job.team && slot.team.is_some_and(|team| over_guarantee.contains(&team));
                let has_lower_priority = self.priority(victim) < queued.priority;
                let has_reason = has_lower_priority || (queued.guaranteed && is_over_guarantee);
                if !has_reason || self.would_starve_without_task(victim, now) || victim.is_service() {
                    continue;
                }
                victims.push(Victim {
                    machine: machine.id.clone(),
                    task: task.clone(),
                    lost_work_s: lost_work_s(now, victim, slot),
                    has_lower_priority,
                });
            }
        }
        victims.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s));
        victims
    }

    /// Whether the job would be starved without the one task that it has on machines: no task is
    /// done, and the job has waited too long.
    fn would_starve_without_task(&self, job: &Job, now: Instant) -> bool {
        job.tasks.assigned.len() == 1 && job.record.done.is_empty() && self.has_waited_too_long(job, now)
    }
}

/// Returns the work that is lost if the task in the slot is stopped now, in seconds of run time.
fn lost_work_s(now: Instant, job: &Job, slot: &Slot) -> f64 {
    match slot.state {
        SlotState::Running if job.spec().checkpoint_interval_s > 0.0 => job.spec().checkpoint_save_s,
        // The image may have to be fetched again on another machine.
        SlotState::Running | SlotState::Fetching => now.saturating_duration_since(slot.since).as_secs_f64(),
        SlotState::StartSent { .. } | SlotState::Saving => 0.0,
    }
}
