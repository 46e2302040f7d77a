//! Which running tasks give way to waiting work of higher priority, or to work within a
//! guarantee.

use tokio::time::Instant;

use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::queue::QueuedJob;
use crate::coordination::workers::slot::SlotState;
use crate::maps::{HashMap, HashSet};
use crate::protocol::jobs::{Priority, TaskId};
use crate::protocol::workers::MachineId;

/// Jobs at the head of the queue for which room may be made.
const MAX_JOBS: usize = 16;

/// What could give way at all, looked at once for all jobs.
struct Preemptible {
    /// Teams that use more than they are guaranteed.
    over_guarantee: HashSet<QuotaId>,
    /// The lowest priority of all tasks on machines.
    lowest_priority: Option<Priority>,
}

/// Why a job may preempt others. A guarantee is less pressing than a priority, and waits
/// longer for room that comes free by itself.
struct PreemptionReason {
    /// Its start is pressing, and tasks of lower priority run.
    by_priority: bool,
    /// It has waited, and teams use more than they are guaranteed.
    by_guarantee: bool,
}

/// A task to be stopped.
struct Preemption {
    machine: MachineId,
    task: TaskId,
    /// Seconds to save a checkpoint.
    grace_s: f64,
}

impl Leader {
    /// Frees room for work within its guarantee from work beyond another's, and for work of
    /// higher priority from lower. Only tasks that lose little.
    pub(crate) fn preempt(&mut self, now: Instant) {
        let tuning = &self.config.tuning;
        let is_enabled = tuning.preempt_loss_s.max(tuning.preempt_lower_loss_s) > 0.0;
        if !self.failover.is_complete() || !is_enabled {
            return;
        }
        self.order_queue(now);
        let preemptible = self.preemptible();
        let head = self.queue.jobs().iter().take(MAX_JOBS);
        let mut preemptions = head.map(|queued| self.preemptions_for(now, queued, &preemptible));
        let preemptions = preemptions.find(|preemptions| !preemptions.is_empty()).unwrap_or_default();
        for Preemption { machine, task, grace_s } in preemptions {
            tracing::debug!(%machine, job = %task.job, task = task.index, "preempted");
            self.stop_task(now, &machine, &task, grace_s);
        }
    }

    fn preemptible(&self) -> Preemptible {
        let over = self.quotas.iter().filter(|(_, quota)| quota.exceeds_guarantee());
        let on_machines = self.jobs.values().filter(|job| job.tasks.slot_count > 0);
        Preemptible {
            over_guarantee: over.map(|(id, _)| id).collect(),
            lowest_priority: on_machines.map(|job| self.priority(job)).min(),
        }
    }

    /// Why a job may preempt others now, if it may.
    fn preemption_reason(
        &self,
        now: Instant,
        queued: &QueuedJob,
        job: &Job,
        preemptible: &Preemptible,
    ) -> Option<PreemptionReason> {
        let has_lower = preemptible.lowest_priority.is_some_and(|lowest| lowest < queued.priority);
        let has_borrowed =
            queued.guaranteed && preemptible.over_guarantee.iter().any(|team| job.team != Some(*team));
        if !(has_lower || has_borrowed) {
            return None;
        }
        // Machines that have room get their chance to send a heartbeat first.
        let heartbeat_interval = self.config.settings.cluster.workers.report();
        let waiting_since = job.waiting_since(now);
        if now < waiting_since + heartbeat_interval.mul_f64(0.5) || !self.is_within_quota(job) {
            return None;
        }
        let has_waited = now >= waiting_since + heartbeat_interval.mul_f64(1.5);
        // Room comes free by itself all the time: what is stopped is lost only for an
        // objective that would be missed otherwise.
        let is_pressing = queued.latest_start <= now + heartbeat_interval.mul_f64(2.5);
        if !((has_lower && is_pressing) || (has_borrowed && has_waited)) {
            return None;
        }
        Some(PreemptionReason { by_priority: is_pressing, by_guarantee: has_waited })
    }

    /// Tasks of a job for which there is no room, neither free nor being made.
    fn tasks_without_room(&self, job: &Job) -> u32 {
        let need = Resources::of(job.spec());
        let usable =
            self.machines.values().filter(|m| !m.agent.one_way_partitioned && self.passes_filters(job, m));
        let free = usable.map(|m| need.times_in(&m.free)).fold(0, u32::saturating_add);
        let slots = self.machines.values().flat_map(|m| m.slots.values());
        let stopping = slots.filter(|slot| slot.stop_grace_s.is_some()).count();
        job.pending().saturating_sub(free).saturating_sub(stopping as u32)
    }

    /// Tasks to be stopped for a waiting job.
    fn preemptions_for(
        &self,
        now: Instant,
        queued: &QueuedJob,
        preemptible: &Preemptible,
    ) -> Vec<Preemption> {
        let mut preemptions = Vec::new();
        let Some(job) = self.jobs.get(&queued.job) else { return preemptions };
        let Some(reason) = self.preemption_reason(now, queued, job, preemptible) else { return preemptions };
        let missing = self.tasks_without_room(job) as usize;
        if missing == 0 {
            return preemptions;
        }
        let tuning = &self.config.tuning;
        // What each team uses, less what is stopped of it here.
        let mut used: HashMap<QuotaId, Resources> = HashMap::default();
        for (machine, task, loss_s, is_lower) in
            self.preemption_victims(now, queued, job, &preemptible.over_guarantee)
        {
            if preemptions.len() >= missing {
                break;
            }
            let max_loss_s = if is_lower { tuning.preempt_lower_loss_s } else { tuning.preempt_loss_s };
            let is_due = if is_lower { reason.by_priority } else { reason.by_guarantee };
            if loss_s > max_loss_s || !is_due {
                continue;
            }
            let Some(victim) = self.jobs.get(&task.job) else { continue };
            if !is_lower && !self.takes_from_excess(victim, &mut used) {
                continue;
            }
            let grace_s = victim.spec().checkpoint_save_s;
            preemptions.push(Preemption { machine, task, grace_s });
        }
        preemptions
    }

    /// Whether a task of the job is beyond its team's own guarantee; counts it as stopped
    /// if it is.
    fn takes_from_excess(&self, victim: &Job, used: &mut HashMap<QuotaId, Resources>) -> bool {
        let Some(team) = victim.team else { return false };
        let quota = self.quotas.get(team);
        let used = used.entry(team).or_insert(quota.used);
        if used.cpus <= quota.guaranteed.cpus && used.gpus <= quota.guaranteed.gpus {
            return false;
        }
        used.sub(&Resources::of(victim.spec()));
        true
    }

    /// Tasks that may give way to the job, those that lose least first.
    fn preemption_victims(
        &self,
        now: Instant,
        ranked: &QueuedJob,
        job: &Job,
        over_guarantee: &HashSet<QuotaId>,
    ) -> Vec<(MachineId, TaskId, f64, bool)> {
        let need = Resources::of(job.spec());
        let mut found = Vec::new();
        for machine in
            self.machines.values().filter(|m| m.is_schedulable() && self.allows_machine(job.spec(), m))
        {
            for (key, slot) in &machine.slots {
                if slot.stop_grace_s.is_some() || slot.resources.cpus < need.cpus {
                    continue;
                }
                let Some(victim) = self.jobs.get(&key.job) else { continue };
                let borrowed =
                    slot.team != job.team && slot.team.is_some_and(|team| over_guarantee.contains(&team));
                let lower = self.priority(victim) < ranked.priority;
                let may = lower || (ranked.guaranteed && borrowed);
                // The only one that a job has begun with is left alone.
                let first = victim.tasks.assigned.len() == 1
                    && victim.record.done.is_empty()
                    && now >= victim.waiting_since(now) + self.config.tuning.begin_within / 2;
                if !may || first || victim.is_service() {
                    continue;
                }
                found.push((
                    machine.id.clone(),
                    key.clone(),
                    lost_work_s(now, victim, slot.state, slot.since),
                    lower,
                ));
            }
        }
        found.sort_by(|a, b| a.2.total_cmp(&b.2));
        found
    }
}

/// Work that is lost if a task is stopped now.
fn lost_work_s(now: Instant, job: &Job, state: SlotState, since: Instant) -> f64 {
    match state {
        SlotState::Running if job.spec().checkpoint_interval_s > 0.0 => job.spec().checkpoint_save_s,
        // A fetch may have to be done again elsewhere.
        SlotState::Running | SlotState::Fetching => now.saturating_duration_since(since).as_secs_f64(),
        _ => 0.0,
    }
}
