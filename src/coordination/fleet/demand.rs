//! Demand: how much work there is, now and on average, for each group of jobs that may use the
//! same machines.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::{Catalog, MachineTypeId};
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::protocol::cloud::MachineType;
use crate::storage::records::DemandStatistics;

/// The most groups whose demand is stored for the next leader.
const MAX_STORED_GROUPS: usize = 32;
/// A group without work is removed once its mean is not above this, in units.
const MIN_MEAN: f64 = 0.05;
/// The most tasks that one machine is counted to take.
const MAX_TASKS_PER_MACHINE: u32 = 10_000;
/// The oldest measurement that is restored, in seconds.
const MAX_AGE_S: f64 = 1e6;
/// The number of recent jobs over which the sizes of jobs are averaged, roughly.
const AVERAGED_JOBS: f64 = 100.0;
/// The least time that one sample stands for, in seconds.
const MIN_SAMPLE_S: f64 = 0.1;
/// The weight of the typical task against that of a new job, in mean sizes of jobs.
const TASK_SHAPE_INERTIA: f64 = 4.0;

/// Jobs that may use the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct DemandGroup {
    /// The types on which their tasks can run.
    pub(crate) machine_types: Vec<MachineTypeId>,
    /// The zone to which they are bound.
    pub(crate) zone: Option<String>,
    /// Whether they may use spot machines.
    pub(crate) spot: bool,
    /// Whether they need GPUs; the unit of their demand is then a GPU instead of a CPU.
    pub(crate) gpus: bool,
    /// Its jobs may wait for as long as machines take to boot: no headroom is kept for them
    /// beyond their usual demand.
    pub(crate) delay_tolerant: bool,
}

/// Demand of one group over time, in units: CPUs, or GPUs for jobs that need them.
///
/// The offered load is measured as if every task had started when it was submitted, and run
/// for as long as its class is now known to run. Otherwise a backlog, as while the first
/// machines boot, would be taken for lasting demand; and so would the owners' run time estimates
/// that turned out too high, for the time that they stated. A terminal job is no demand,
/// whatever run time was expected of it.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    /// Units of work that would be running now.
    pub(crate) offered_load: f64,
    /// The mean of the offered load over time, in units.
    pub(crate) mean: f64,
    /// The mean size of a job, in units.
    mean_size: f64,
    /// The mean of the squared size: the demand of a large job arrives all at once.
    mean_square_size: f64,
    /// The number of jobs so far.
    job_count: f64,
    /// When the measurement began.
    measured_since: Instant,
    /// When the last sample entered the mean.
    sampled_at: Instant,
    /// Units of the tasks that are on machines.
    pub(crate) active: f64,
    /// Units of the tasks that wait, within the limits of their teams.
    pub(crate) pending: f64,
    /// Since when there has been no work at all; `None` while there is any.
    pub(crate) idle_since: Option<Instant>,
    /// Units that would work off the backlog in time.
    pub(crate) backlog_rate: f64,
    /// How long its jobs may wait for their first objective; zero for those that may not wait
    /// while machines boot.
    max_delay: Duration,
    /// The resources of a typical task.
    task_shape: Resources,
}

impl DemandGroup {
    /// Whether its jobs may use machines of this offer.
    pub(crate) fn allows(&self, offer: &InstanceOffer) -> bool {
        self.machine_types.contains(&offer.machine_type)
            && self.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
            && (self.spot || !offer.spot)
    }
}

impl Demand {
    /// No demand; the measurement begins now.
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

    /// Adds a new job of this size to the mean sizes.
    fn record_arrival(&mut self, units: f64) {
        self.job_count += 1.0;
        // At first a plain mean, later an exponential moving average.
        let weight = 1.0 / self.job_count.min(AVERAGED_JOBS);
        self.mean_size += (units - self.mean_size) * weight;
        self.mean_square_size += (units * units - self.mean_square_size) * weight;
    }

    /// Enters the offered load into the mean, in which older samples fade over `memory`.
    fn sample(&mut self, now: Instant, memory: Duration) {
        if self.active + self.pending + self.offered_load > 0.0 {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(now);
        }
        let sample_s = now.saturating_duration_since(self.sampled_at).as_secs_f64().max(MIN_SAMPLE_S);
        let measured_s = now.saturating_duration_since(self.measured_since).as_secs_f64() + sample_s;
        // At first a plain mean, later an exponential moving average.
        let weight = (sample_s / measured_s.min(memory.as_secs_f64())).clamp(0.0, 1.0);
        self.mean += (self.offered_load - self.mean) * weight;
        self.sampled_at = now;
    }

    /// The standard deviation of work that arrives in jobs of such sizes at random times, in
    /// units: the square root of the mean times the size of the job that a unit of work
    /// typically belongs to.
    pub(crate) fn standard_deviation(&self) -> f64 {
        if self.mean_size <= 0.0 { 0.0 } else { (self.mean * self.mean_square_size / self.mean_size).sqrt() }
    }
}

/// What one job adds to the demand of its group. Units are CPUs or GPUs, as for the group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobLoad {
    /// Units of its tasks on machines.
    pub(crate) active: f64,
    /// Units of its tasks that wait.
    pub(crate) pending: f64,
    /// The most units that its team may use.
    pub(crate) limit: f64,
    /// Units that would work off its waiting tasks in time.
    pub(crate) backlog_rate: f64,
    /// Units that it requested at its submission.
    pub(crate) offered: f64,
    /// It is measured for the first time.
    pub(crate) is_new: bool,
    /// It would still run if every task had started at once.
    pub(crate) would_be_running: bool,
    /// How long its group's jobs may wait; zero if they may not wait while machines boot.
    pub(crate) max_delay: Duration,
    /// The resources of one task.
    pub(crate) task: Resources,
}

impl Demand {
    /// Adds one job to the measurement.
    fn add(&mut self, load: &JobLoad) {
        self.max_delay = load.max_delay;
        self.active += load.active;
        self.pending += load.pending.min(load.limit);
        self.backlog_rate += load.backlog_rate;
        self.offered_load += if load.would_be_running { load.offered } else { 0.0 };
        if load.is_new {
            self.record_arrival(load.offered);
            self.blend_task_shape(load);
        }
    }

    /// Moves the typical task towards that of a new job; the larger the job, the further.
    fn blend_task_shape(&mut self, load: &JobLoad) {
        let weight = (load.offered / (load.offered + self.mean_size * TASK_SHAPE_INERTIA)).clamp(0.0, 1.0);
        let blend = |old: f64, new: f64| if old > 0.0 { old + (new - old) * weight } else { new };
        self.task_shape = Resources {
            cpus: blend(self.task_shape.cpus, load.task.cpus),
            gpus: blend(self.task_shape.gpus, load.task.gpus),
            memory_gb: blend(self.task_shape.memory_gb, load.task.memory_gb),
        };
    }

    /// Units of the group's work that a machine of the type takes. `gpus`: whether the unit is a
    /// GPU.
    pub(crate) fn units_on(&self, machine_type: &MachineType, gpus: bool) -> f64 {
        let tasks = self.task_shape.times_in(&Resources::of_type(machine_type)).min(MAX_TASKS_PER_MACHINE);
        f64::from(tasks) * if gpus { self.task_shape.gpus } else { self.task_shape.cpus }
    }
}

/// The measured demand of all groups.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    /// Groups with demand, now or on average.
    groups: HashMap<DemandGroup, Demand>,
}

impl DemandTable {
    /// All groups and their demand, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&DemandGroup, &Demand)> {
        self.groups.iter()
    }

    /// Begins a measurement: resets what is counted anew from all jobs.
    pub(crate) fn begin_measurement(&mut self) {
        for demand in self.groups.values_mut() {
            demand.offered_load = 0.0;
            demand.active = 0.0;
            demand.pending = 0.0;
            demand.backlog_rate = 0.0;
        }
    }

    /// Adds one job to the measurement.
    pub(crate) fn add(&mut self, now: Instant, group: DemandGroup, load: &JobLoad) {
        self.groups.entry(group).or_insert_with(|| Demand::new(now)).add(load);
    }

    /// Ends a measurement: enters it into the means, in which older samples fade over `memory`,
    /// and removes groups without demand.
    ///
    /// A group that may wait has a longer memory, as long as its jobs may wait but at most
    /// `max_delay`. Its work evens out while it waits, and machines that are scaled out and in
    /// for each of its jobs would spend their time on booting.
    pub(crate) fn end_measurement(&mut self, now: Instant, memory: Duration, max_delay: Duration) {
        for demand in self.groups.values_mut() {
            demand.sample(now, memory.max(demand.max_delay.min(max_delay)));
        }
        self.groups.retain(|_, demand| demand.mean > MIN_MEAN || demand.active + demand.pending > 0.0);
    }

    /// The statistics to be stored for the next leader, which could not measure them by itself.
    pub(crate) fn to_stored(&self, now: Instant, catalog: &Catalog) -> Vec<DemandStatistics> {
        let stored = self.groups.iter().take(MAX_STORED_GROUPS);
        let name = |id: &MachineTypeId| catalog.get(*id).map(|machine_type| machine_type.name.clone());
        stored
            .map(|(group, demand)| DemandStatistics {
                types: group.machine_types.iter().filter_map(name).collect(),
                zone: group.zone.clone(),
                spot: group.spot,
                gpus: group.gpus,
                delay_tolerant: group.delay_tolerant,
                mean: demand.mean,
                mean_size: demand.mean_size,
                mean_square_size: demand.mean_square_size,
                job_count: demand.job_count,
                age_s: now.saturating_duration_since(demand.measured_since).as_secs_f64(),
            })
            .collect()
    }

    /// Restores the statistics that an earlier leader has stored, except those of groups with an
    /// unknown machine type.
    pub(crate) fn restore(&mut self, now: Instant, stored: Vec<DemandStatistics>, catalog: &Catalog) {
        for statistics in stored {
            let types = statistics.types.iter().map(|name| catalog.find(name));
            let Some(machine_types) = types.collect::<Option<Vec<_>>>() else { continue };
            let age = Duration::from_secs_f64(statistics.age_s.min(MAX_AGE_S));
            let demand = Demand {
                mean: statistics.mean,
                mean_size: statistics.mean_size,
                mean_square_size: statistics.mean_square_size,
                job_count: statistics.job_count,
                measured_since: now.checked_sub(age).unwrap_or(now),
                ..Demand::new(now)
            };
            let group = DemandGroup {
                machine_types,
                zone: statistics.zone,
                spot: statistics.spot,
                gpus: statistics.gpus,
                delay_tolerant: statistics.delay_tolerant,
            };
            self.groups.insert(group, demand);
        }
    }
}
