//! The measurement of the demand of all jobs, once a second, and the learned statistics that
//! persist across epochs.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::demand::{DemandGroup, JobLoad};
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::{JobId, JobSpec};
use crate::storage::records::{LEARNED_STATISTICS, LearnedStatistics};

/// Jobs are delay-tolerant if they may wait for longer than this, in multiples of the longest boot
/// time.
const DELAY_TOLERANT_BOOTS: f64 = 1.5;
/// The minimum time planned for completing a backlog, in multiples of the longest boot time.
const MIN_BACKLOG_BOOTS: u32 = 2;
/// The maximum time planned for completing a backlog, in multiples of the longest boot time.
const MAX_BACKLOG_BOOTS: u32 = 4;
/// The average delay of a task's start, as a fraction of the heartbeat interval.
const START_DELAY_INTERVALS: f64 = 0.5;

/// The demand of one job, and its group.
struct JobDemand {
    /// The group of the job.
    group: DemandGroup,
    /// The job's contribution to the demand of the group.
    load: JobLoad,
}

impl Leader {
    /// Measures the demand of all jobs that could run now.
    pub(crate) fn measure_demand(&mut self, now: Instant) {
        self.autoscaler.demand.begin_measurement();
        let could_run = |job: &&Job| job.is_startable() && !job.waits_for_dependencies();
        let jobs: Vec<JobId> = self.jobs.values().filter(could_run).map(|job| job.id().clone()).collect();
        for id in jobs {
            let Some(JobDemand { group, load }) = self.jobs.get(&id).and_then(|job| self.demand_of(now, job))
            else {
                continue;
            };
            self.autoscaler.demand.add(now, group, &load);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.offered_load = Some(load.offered);
            }
        }
        let memory = self.catalog.longest_boot().mul_f64(self.config.tuning.demand_memory_boots);
        self.autoscaler.demand.end_measurement(now, memory, self.config.tuning.start_within);
    }

    /// Returns the demand of a job; `None` if its team is not in the settings.
    fn demand_of(&self, now: Instant, job: &Job) -> Option<JobDemand> {
        let spec = job.spec();
        let quota = self.quotas.get(job.team?);
        let gpus = spec.gpus > 0.0;
        let units_per_task = if gpus { spec.gpus } else { spec.cpus };
        let limit = if gpus { quota.limit.gpus } else { quota.limit.cpus };
        let max_delay = self.max_start_delay(spec);
        let delay_tolerant = max_delay > self.catalog.longest_boot().mul_f64(DELAY_TOLERANT_BOOTS);
        let run_s = self.run_estimates.expected_run_s(spec);
        let run = Duration::from_secs_f64(run_s);
        let pending = units_per_task * f64::from(job.pending());
        let backlog_time = self.backlog_time(now, job, run);
        // The part of a job that exceeds its team's limit cannot run at the same time.
        let offered =
            job.offered_load.unwrap_or_else(|| (units_per_task * f64::from(job.unfinished())).min(limit));
        let start_delay =
            self.config.settings.cluster.workers.heartbeat_interval().mul_f64(START_DELAY_INTERVALS);
        let ideal_end = job.waiting_since(now) + run + start_delay;
        let group = DemandGroup {
            machine_types: self.catalog.feasible_types(spec),
            zone: spec.zone.clone(),
            spot: spec.spot,
            gpus,
            delay_tolerant,
        };
        let load = JobLoad {
            active: units_per_task * job.tasks.assigned.len() as f64,
            pending,
            limit,
            backlog_rate: pending * run_s / backlog_time.as_secs_f64(),
            offered,
            is_new: job.offered_load.is_none(),
            would_be_running: job.is_service() || now < ideal_end,
            max_delay: if delay_tolerant { max_delay } else { Duration::ZERO },
            task: Resources::of(spec),
        };
        Some(JobDemand { group, load })
    }

    /// The time planned for completing a job's waiting tasks.
    ///
    /// They should be done when the machines that are provisioned for them have booted, or soon
    /// after. A shorter time would take more machines, of which some would have nothing left to do
    /// once booted. The time is longer if the job's objectives allow that.
    fn backlog_time(&self, now: Instant, job: &Job, run: Duration) -> Duration {
        let boot = self.catalog.longest_boot();
        let latest_end = self.latest_start(job, now) + run;
        latest_end.saturating_duration_since(now).clamp(boot * MIN_BACKLOG_BOOTS, boot * MAX_BACKLOG_BOOTS)
    }

    /// How long a job may wait without missing its first objective; zero if it has none. The
    /// deadline of a job with dependencies is ignored, since most of the time until then may have
    /// passed when the job becomes ready.
    fn max_start_delay(&self, spec: &JobSpec) -> Duration {
        let after_ready = self.start_limits_after_ready(spec).min();
        let by_deadline = self.start_limits_by_deadline(spec).filter(|_| spec.dependencies.is_empty()).min();
        after_ready.into_iter().chain(by_deadline).min().unwrap_or_default()
    }

    /// Stores the statistics that the next leader cannot measure itself: the demand so far, and the
    /// ratio of run times to their estimates.
    pub(crate) fn save_statistics(&mut self, now: Instant) {
        let statistics = LearnedStatistics {
            groups: self.autoscaler.demand.to_stored(now, &self.catalog),
            runtime_ratios: self.run_estimates.to_stored(),
        };
        self.write_singleton(LEARNED_STATISTICS, statistics.encode());
    }

    /// Restores the statistics that an earlier leader stored.
    pub(crate) fn restore_statistics(&mut self, now: Instant, statistics: LearnedStatistics) {
        self.run_estimates.restore(statistics.runtime_ratios);
        self.autoscaler.demand.restore(now, statistics.groups, &self.catalog);
    }
}
