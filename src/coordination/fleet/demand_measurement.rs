//! Measures the demand of all jobs, once a second.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::demand::{DemandGroup, JobLoad};
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::{JobId, JobSpec};
use crate::storage::records::{LEARNED_STATISTICS, LearnedStatistics};

/// Jobs that may wait for so many boots tolerate delay.
const DELAY_TOLERANT_BOOTS: f64 = 1.5;
/// What waits is worked off within so many boots: at least, and at most.
const BACKLOG_BOOTS: (u32, u32) = (2, 4);

impl Leader {
    /// Counts the demand of all jobs that could run now.
    pub(crate) fn measure_demand(&mut self, now: Instant) {
        self.autoscaler.demand.begin_measurement();
        let could_run = |job: &&Job| job.is_startable() && !job.waits_for_dependencies();
        let jobs: Vec<JobId> = self.jobs.values().filter(could_run).map(|job| job.id().clone()).collect();
        for id in jobs {
            let Some((group, load)) = self.jobs.get(&id).and_then(|job| self.load_of(now, job)) else {
                continue;
            };
            self.autoscaler.demand.add(now, group, &load);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.offered_load = Some(load.offered);
            }
        }
        let memory = self.catalog.longest_boot().mul_f64(self.config.tuning.memory_ratio);
        self.autoscaler.demand.end_measurement(now, memory, self.config.tuning.begin_within);
    }

    /// What a job adds to the demand, and of which group.
    fn load_of(&self, now: Instant, job: &Job) -> Option<(DemandGroup, JobLoad)> {
        let spec = job.spec();
        let quota = self.quotas.get(job.team?);
        let gpus = spec.gpus > 0.0;
        let unit = if gpus { spec.gpus } else { spec.cpus };
        let limit = if gpus { quota.limit.gpus } else { quota.limit.cpus };
        let boot = self.catalog.longest_boot();
        let max_delay = self.max_start_delay(spec);
        let delay_tolerant = max_delay > boot.mul_f64(DELAY_TOLERANT_BOOTS);
        let run_s = self.run_estimates.expected_run_s(spec);
        let run = Duration::from_secs_f64(run_s);
        let pending = unit * f64::from(job.pending());
        // What waits is to be worked off while, or soon after, what is provisioned for it
        // boots, since more would come up to find nothing to do; and over a longer time if
        // the job's objectives leave it.
        let due = self.latest_start(job, now) + run;
        let (least, most) = BACKLOG_BOOTS;
        let backlog_time = due.saturating_duration_since(now).clamp(boot * least, boot * most);
        // What a team asks beyond its limit cannot run at once.
        let offered = job.offered_load.unwrap_or_else(|| (unit * f64::from(job.unfinished())).min(limit));
        let start_delay = self.config.settings.cluster.workers.report().mul_f64(0.5);
        let ideal_end = job.waiting_since(now) + run + start_delay;
        let group = DemandGroup {
            machine_types: self.catalog.feasible_types(spec),
            zone: spec.zone.clone(),
            spot: spec.spot,
            gpus,
            delay_tolerant,
        };
        let load = JobLoad {
            active: unit * job.tasks.assigned.len() as f64,
            pending,
            limit,
            backlog_rate: pending * run_s / backlog_time.as_secs_f64(),
            offered,
            is_new: job.offered_load.is_none(),
            would_be_running: job.is_service() || now < ideal_end,
            max_delay: if delay_tolerant { max_delay } else { Duration::ZERO },
            task: Resources::of(spec),
        };
        Some((group, load))
    }

    /// How long a job may wait for its first objective. The deadline of one that depends on
    /// others says little of that: most of it may be over when the job is ready.
    fn max_start_delay(&self, spec: &JobSpec) -> Duration {
        let after_ready = self.start_limits_after_ready(spec).min();
        let by_deadline = self.start_limits_by_deadline(spec).filter(|_| spec.dependencies.is_empty()).min();
        after_ready.into_iter().chain(by_deadline).min().unwrap_or_default()
    }

    /// Stores what the next leader could not find out by itself: demand so far and how
    /// estimates have turned out.
    pub(crate) fn save_statistics(&mut self, now: Instant) {
        let statistics = LearnedStatistics {
            groups: self.autoscaler.demand.to_stored(now, &self.catalog),
            runtime_ratios: self.run_estimates.to_stored(),
        };
        self.write_singleton(LEARNED_STATISTICS, statistics.encode());
    }

    /// Takes over what an earlier leader has stored.
    pub(crate) fn restore_statistics(&mut self, now: Instant, statistics: LearnedStatistics) {
        self.run_estimates.restore(statistics.runtime_ratios);
        self.autoscaler.demand.restore(now, statistics.groups, &self.catalog);
    }
}
