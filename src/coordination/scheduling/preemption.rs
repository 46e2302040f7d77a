//! Which running tasks give way to waiting work of higher priority, or to work within a
//! guarantee.

use tokio::time::Instant;

use crate::coordination::jobs::job::{Job, Resources, SlotKey, SlotState, TeamQuota};
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::placement::QueuedJob;
use crate::maps::HashMap;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

impl Leader {
    /// Frees room for work within its guarantee from work beyond another's,
    /// and for work of higher priority from lower. Only tasks that lose little.
    pub(crate) fn preempt(&mut self, now: Instant) {
        if !self.failover_complete
            || self.config.tuning.preempt_loss_s.max(self.config.tuning.preempt_lower_loss_s) <= 0.0
        {
            return;
        }
        // Mostly there is nobody who could give way: looking for them among all
        // tasks is left out then.
        let over: Vec<bool> = self
            .teams
            .iter()
            .map(|t| !t.used.fits(&Resources { memory_gb: f64::INFINITY, ..t.guaranteed }))
            .collect();
        let lowest = self.jobs.values().filter(|j| j.slot_count > 0).map(|j| self.priority(j)).min();
        self.order_queue(now);
        // The machines that have room get their chance to report first. A
        // guarantee is less pressing than a priority, and costs equals.
        let report = self.config.settings.cluster.workers.report();
        let queue = self.queue.clone();
        let mut stops: Vec<(MachineId, SlotKey, f64)> = Vec::new();
        for ranked in queue.iter().take(16) {
            let Some(job) = self.jobs.get(&ranked.job) else { continue };
            let lower = lowest.is_some_and(|lowest| lowest < ranked.priority);
            let borrowed =
                ranked.guaranteed && over.iter().enumerate().any(|(at, over)| *over && job.team != Some(at));
            if !(lower || borrowed)
                || now < job.waiting_since(now) + report.mul_f64(0.5)
                || !self.is_within_quota(job)
            {
                continue;
            }
            let patient = now >= job.waiting_since(now) + report.mul_f64(1.5);
            // Room comes free by itself all the time: what is stopped is lost
            // only for an aim that would be missed otherwise.
            let pressing = ranked.latest_start <= now + report.mul_f64(2.5);
            // Looking for those who could give way is dear.
            if !((lower && pressing) || (borrowed && patient)) {
                continue;
            }
            let need = Resources::of(job.spec());
            // Room that is there, or is being made, comes first.
            let free: u32 = self
                .machines
                .values()
                .filter(|m| !m.one_way_partitioned && self.passes_filters(job, m))
                .map(|m| need.times_in(&m.free))
                .fold(0, u32::saturating_add);
            let coming = self
                .machines
                .values()
                .flat_map(|m| m.slots.values())
                .filter(|s| s.stop_grace_s.is_some())
                .count();
            let mut missing = job.pending().saturating_sub(free).saturating_sub(coming as u32);
            if missing == 0 {
                continue;
            }
            let tuning = &self.config.tuning;
            let mut given: HashMap<usize, Resources> = HashMap::default();
            for (machine, key, loss, lower) in self.preemption_victims(now, ranked, job, &over) {
                if missing == 0 {
                    break;
                }
                let most = if lower { tuning.preempt_lower_loss_s } else { tuning.preempt_loss_s };
                if loss > most || !(if lower { pressing } else { patient }) {
                    continue;
                }
                if !lower {
                    // Only what its team has beyond its own guarantee, less
                    // what is stopped of it already.
                    let Some((at, team)) = self.quota_of(&key.0) else { continue };
                    let given = given.entry(at).or_insert(team.used);
                    if given.cpus <= team.guaranteed.cpus && given.gpus <= team.guaranteed.gpus {
                        continue;
                    }
                    given.sub(&self.jobs.get(&key.0).map(|j| Resources::of(j.spec())).unwrap_or_default());
                }
                let grace = self.jobs.get(&key.0).map_or(0.0, |j| j.spec().checkpoint_save_s);
                stops.push((machine, key, grace));
                missing -= 1;
            }
            if !stops.is_empty() {
                break;
            }
        }
        for (machine, key, grace_s) in stops {
            tracing::debug!(%machine, job = %key.0, task = key.1, "preempted");
            self.stop_task(now, &machine, &key, grace_s);
        }
    }

    fn quota_of(&self, job: &JobId) -> Option<(usize, &TeamQuota)> {
        let at = self.jobs.get(job)?.team?;
        Some((at, self.teams.get(at)?))
    }

    /// Tasks that may give way to the job, those that lose least first.
    fn preemption_victims(
        &self,
        now: Instant,
        ranked: &QueuedJob,
        job: &Job,
        over: &[bool],
    ) -> Vec<(MachineId, SlotKey, f64, bool)> {
        let need = Resources::of(job.spec());
        let mut found = Vec::new();
        for machine in
            self.machines.values().filter(|m| m.is_schedulable() && self.allows_machine(job.spec(), m))
        {
            for (key, slot) in &machine.slots {
                if slot.stop_grace_s.is_some() || slot.resources.cpus < need.cpus {
                    continue;
                }
                let Some(victim) = self.jobs.get(&key.0) else { continue };
                let borrowed = slot.team != job.team && slot.team.is_some_and(|t| over[t]);
                let lower = self.priority(victim) < ranked.priority;
                let may = lower || (ranked.guaranteed && borrowed);
                // The only one that a job has begun with is left alone.
                let first = victim.placements.len() == 1
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
