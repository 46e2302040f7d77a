//! How much work there usually is, measured for each group of jobs that may use the
//! same machines, and what of it later leaders are told.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::scale_out::InstanceOffer;
use crate::coordination::jobs::job::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::{JobId, JobSpec};
use crate::storage::records::{DemandStatistics, LEARNED_STATISTICS, LearnedStatistics};

/// Jobs that may use the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct DemandGroup {
    pub(crate) machine_types: Vec<usize>,
    pub(crate) zone: Option<String>,
    pub(crate) spot: bool,
    pub(crate) gpus: bool,
    /// Its jobs may wait for as long as machines take to boot: nothing is kept
    /// ready for them beyond their usual demand.
    pub(crate) delay_tolerant: bool,
}

/// Demand of one group over time, in CPUs (or GPUs, for jobs that need them).
///
/// What is measured is the work as if every task had started when it was
/// submitted and run for as long as its class is now known to run. A backlog, as
/// while the first machines boot, would otherwise be taken for demand that
/// stays; and so would, for as long as they said, the owners' estimates that
/// turned out too high. What is over is no demand, whatever was expected of it.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    /// Work that would be running now.
    pub(crate) offered_load: f64,
    pub(crate) mean: f64,
    /// Mean size of a job, and of its square: large jobs come in one piece.
    mean_size: f64,
    mean_square_size: f64,
    job_count: f64,
    measured_since: Instant,
    sampled_at: Instant,
    pub(crate) active: f64,
    pub(crate) pending: f64,
    /// Since when there has been no work at all.
    pub(crate) idle_since: Option<Instant>,
    /// What works off all that waits in time.
    pub(crate) backlog_rate: f64,
    /// How long its jobs may wait for their first aim; nothing for those that may
    /// not wait while machines boot.
    max_delay: Duration,
    task_shape: Resources,
}

impl DemandGroup {
    /// Whether its jobs may use such machines.
    pub(crate) fn allows(&self, offer: &InstanceOffer) -> bool {
        self.machine_types.contains(&offer.machine_type)
            && self.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
            && (self.spot || !offer.spot)
    }
}

impl Demand {
    fn new(now: Instant) -> Self {
        Demand {
            offered_load: 0.0,
            mean: 0.0,
            mean_size: 0.0,
            mean_square_size: 0.0,
            job_count: 0.0,
            measured_since: now,
            sampled_at: now,
            active: 0.0,
            pending: 0.0,
            idle_since: None,
            backlog_rate: 0.0,
            max_delay: Duration::ZERO,
            task_shape: Resources::default(),
        }
    }

    fn record_arrival(&mut self, units: f64) {
        self.job_count += 1.0;
        // A plain mean at first, later over about the last hundred jobs.
        let weight = 1.0 / self.job_count.min(100.0);
        self.mean_size += (units - self.mean_size) * weight;
        self.mean_square_size += (units * units - self.mean_square_size) * weight;
    }

    fn sample(&mut self, now: Instant, memory: Duration) {
        if self.active + self.pending + self.offered_load > 0.0 {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
        let passed = now.saturating_duration_since(self.sampled_at).as_secs_f64().max(0.1);
        let age = now.saturating_duration_since(self.measured_since).as_secs_f64() + passed;
        // Young, it is a plain mean; later, the past fades.
        let weight = (passed / age.min(memory.as_secs_f64())).clamp(0.0, 1.0);
        self.mean += (self.offered_load - self.mean) * weight;
        self.sampled_at = now;
    }

    /// The standard deviation of work that comes in jobs of such sizes at
    /// random times: the square root of the mean times the size of the job
    /// that a unit of work typically belongs to.
    pub(crate) fn standard_deviation(&self) -> f64 {
        if self.mean_size <= 0.0 { 0.0 } else { (self.mean * self.mean_square_size / self.mean_size).sqrt() }
    }
}

impl Leader {
    pub(crate) fn measure_demand(&mut self, now: Instant) {
        for demand in self.demand.values_mut() {
            (demand.offered_load, demand.active, demand.pending, demand.backlog_rate) = (0.0, 0.0, 0.0, 0.0);
        }
        let start_delay = self.config.settings.cluster.workers.report().mul_f64(0.5);
        let ids: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| j.is_startable() && !j.waits_for_dependencies())
            .map(|j| j.id().clone())
            .collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else { continue };
            let spec = job.spec();
            let Some(team) = job.team.and_then(|t| self.teams.get(t)) else { continue };
            let gpus = spec.gpus > 0.0;
            let unit = if gpus { spec.gpus } else { spec.cpus };
            let limit = if gpus { team.limit.gpus } else { team.limit.cpus };
            let patience = self.max_start_delay(spec);
            let patient = patience > self.longest_boot().mul_f64(1.5);
            let types = self.feasible_types(spec);
            let key = DemandGroup {
                machine_types: types,
                zone: spec.zone.clone(),
                spot: spec.spot,
                gpus,
                delay_tolerant: patient,
            };
            let shape = Resources::of(spec);
            let run = self.expected_run_s(spec);
            let active = unit * job.placements.len() as f64;
            let pending = unit * f64::from(job.pending());
            // What waits is to be worked off while, or soon after, what is rented
            // for it boots, since more would come up to find nothing to do; and
            // over a longer time if the job's aims leave it.
            let boot = self.longest_boot();
            let due = self.latest_start(job, now) + Duration::from_secs_f64(run);
            let time = due.saturating_duration_since(now).clamp(boot * 2, boot * 4);
            // What a team asks beyond its limit cannot run at once.
            let offered = job.offered_load.unwrap_or_else(|| (unit * f64::from(job.unfinished())).min(limit));
            let arriving = job.offered_load.is_none();
            let ideal_end = job.waiting_since(now) + Duration::from_secs_f64(run) + start_delay;
            let runs_ideally = job.is_service() || now < ideal_end;
            let demand = self.demand.entry(key).or_insert_with(|| Demand::new(now));
            demand.max_delay = if patient { patience } else { Duration::ZERO };
            demand.active += active;
            demand.pending += pending.min(limit);
            demand.backlog_rate += pending * run / time.as_secs_f64();
            demand.offered_load += if runs_ideally { offered } else { 0.0 };
            if arriving {
                demand.record_arrival(offered);
                let weight = (offered / (offered + demand.mean_size * 4.0)).clamp(0.0, 1.0);
                let blend = |old: f64, new: f64| if old > 0.0 { old + (new - old) * weight } else { new };
                demand.task_shape = Resources {
                    cpus: blend(demand.task_shape.cpus, shape.cpus),
                    gpus: blend(demand.task_shape.gpus, shape.gpus),
                    memory_gb: blend(demand.task_shape.memory_gb, shape.memory_gb),
                };
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.offered_load = Some(offered);
                }
            }
        }
        let memory = self.longest_boot().mul_f64(self.config.tuning.memory_ratio);
        let longest = self.config.tuning.begin_within;
        for demand in self.demand.values_mut() {
            // Work that may wait evens out by itself for that long: machines that come
            // and go with each of its jobs would spend their time on booting.
            demand.sample(now, memory.max(demand.max_delay.min(longest)));
        }
        self.demand.retain(|_, d| d.mean > 0.05 || d.active + d.pending > 0.0);
    }

    /// How long a job may wait for its first aim. The deadline of one that waits for others
    /// says little of that: most of it may be over when the job is released.
    fn max_start_delay(&self, spec: &JobSpec) -> Duration {
        let after_release = self.start_limits_after_ready(spec).min();
        let by_deadline = self.start_limits_by_deadline(spec).filter(|_| spec.dependencies.is_empty()).min();
        after_release.into_iter().chain(by_deadline).min().unwrap_or_default()
    }

    /// What a later leader could not find out by itself: demand so far and how
    /// estimates have turned out.
    pub(crate) fn save_statistics(&mut self, now: Instant) {
        let groups = self.demand.iter().map(|(key, demand)| {
            let types =
                key.machine_types.iter().filter_map(|&t| self.catalog.get(t)).map(|k| k.name.as_str());
            DemandStatistics {
                types: types.map(str::to_owned).collect(),
                zone: key.zone.clone(),
                spot: key.spot,
                gpus: key.gpus,
                delay_tolerant: key.delay_tolerant,
                mean: demand.mean,
                mean_size: demand.mean_size,
                mean_square_size: demand.mean_square_size,
                job_count: demand.job_count,
                age_s: now.saturating_duration_since(demand.measured_since).as_secs_f64(),
            }
        });
        let experience = LearnedStatistics {
            groups: groups.take(32).collect(),
            runtime_ratios: self.runtime_ratios.iter().take(64).map(|(c, r)| (c.clone(), *r)).collect(),
        };
        self.write_singleton(LEARNED_STATISTICS, experience.encode());
    }

    /// Takes over what an earlier leader had learnt.
    pub(crate) fn restore_statistics(&mut self, now: Instant, experience: LearnedStatistics) {
        self.runtime_ratios = experience.runtime_ratios.into_iter().collect();
        for group in experience.groups {
            let types = group.types.iter().map(|name| self.catalog.iter().position(|k| k.name == *name));
            let Some(types) = types.collect::<Option<Vec<_>>>() else { continue };
            let key = DemandGroup {
                machine_types: types,
                zone: group.zone,
                spot: group.spot,
                gpus: group.gpus,
                delay_tolerant: group.delay_tolerant,
            };
            let mut demand = Demand::new(now);
            demand.mean = group.mean;
            demand.mean_size = group.mean_size;
            demand.mean_square_size = group.mean_square_size;
            demand.job_count = group.job_count;
            demand.measured_since =
                now.checked_sub(Duration::from_secs_f64(group.age_s.min(1e6))).unwrap_or(now);
            self.demand.insert(key, demand);
        }
    }

    /// How often a spot machine is lost, per second of its life: what was seen,
    /// beside one loss in one machine's hour to begin with.
    pub(crate) fn spot_loss_rate(&self) -> f64 {
        (self.spot_losses + 1.0) / (self.spot_seconds + 3600.0)
    }

    pub(crate) fn longest_boot(&self) -> Duration {
        Duration::from_secs_f64(self.catalog.iter().map(|k| k.boot_s).fold(1.0, f64::max))
    }

    /// Units of a group's work that a machine type takes.
    pub(crate) fn capacity_units(&self, kind: usize, demand: &Demand, gpus: bool) -> f64 {
        let Some(kind) = self.catalog.get(kind) else { return 0.0 };
        let tasks = f64::from(demand.task_shape.times_in(&Resources::of_type(kind)).min(10_000));
        tasks * if gpus { demand.task_shape.gpus } else { demand.task_shape.cpus }
    }
}
