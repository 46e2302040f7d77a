//! The current and the average demand of each group of jobs that may use the same machines.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::{Catalog, MachineTypeId};
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::protocol::cloud::MachineType;
use crate::storage::records::DemandStatistics;

/// The maximum number of groups whose demand is stored for the next leader.
const MAX_STORED_GROUPS: usize = 32;
/// A group without work is removed once its mean demand has fallen to this, in units.
const MIN_RETAINED_MEAN: f64 = 0.05;
/// The maximum number of tasks assumed to fit on one machine.
const MAX_TASKS_PER_MACHINE: u32 = 10_000;
/// The maximum age of a restored measurement, in seconds; older ones count as this old.
const MAX_RESTORED_AGE_S: f64 = 1e6;
/// The approximate number of recent jobs over which job sizes are averaged.
const JOB_SIZE_WINDOW: f64 = 100.0;
/// The minimum time that one sample represents, in seconds.
const MIN_SAMPLE_S: f64 = 0.1;
/// The weight of the typical task when a new job's task is blended into it, in multiples of the
/// mean job size. The weight of the new task is the size of its job.
const TASK_SHAPE_INERTIA: f64 = 4.0;

/// A group of jobs that may use the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct DemandGroup {
    /// The machine types on which their tasks can run.
    pub(crate) machine_types: Vec<MachineTypeId>,
    /// The zone in which they must run, if any.
    pub(crate) zone: Option<String>,
    /// Whether they may use spot machines.
    pub(crate) spot: bool,
    /// Whether they need GPUs. Their demand is then counted in GPUs instead of CPUs.
    pub(crate) gpus: bool,
    /// Whether they may wait for longer than machines take to boot. No headroom beyond their mean
    /// demand is kept for them.
    pub(crate) delay_tolerant: bool,
}

/// Demand of one group over time, in units: CPUs, or GPUs for jobs that need them.
///
/// The offered load is measured as if every task had started soon after its job became ready, and
/// ran for the run time that is now expected of its class. Counting waiting tasks instead would
/// mistake a backlog, such as the one that forms while the first machines boot, for lasting
/// demand. Using the owners' run time estimates would keep counting a job with too high an
/// estimate until the stated time has passed. A terminal job adds no demand, whatever run time
/// was expected of it.
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
    /// The number of jobs measured so far.
    job_count: f64,
    /// When the measurement began.
    measured_since: Instant,
    /// When the last sample was added to the mean.
    sampled_at: Instant,
    /// Units of the tasks that are assigned to machines.
    pub(crate) active: f64,
    /// Units of the waiting tasks; each job counts for at most its team's limit.
    pub(crate) pending: f64,
    /// Since when the group has had no work; `None` while it has any.
    pub(crate) idle_since: Option<Instant>,
    /// Units that are needed to complete the backlog in time.
    pub(crate) backlog_rate: f64,
    /// How long its jobs may wait without missing their first objective; zero if the group is not
    /// delay-tolerant.
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
    /// Creates an empty demand whose measurement begins now.
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

    /// Adds the size of a new job to the averages.
    fn record_arrival(&mut self, units: f64) {
        self.job_count += 1.0;
        // At first a plain mean, later an exponential moving average.
        let weight = 1.0 / self.job_count.min(JOB_SIZE_WINDOW);
        self.mean_size += (units - self.mean_size) * weight;
        self.mean_square_size += (units * units - self.mean_square_size) * weight;
    }

    /// Adds the offered load to the mean, and updates since when the group has had no work.
    /// `memory` is the time constant with which older samples decay.
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

    /// The standard deviation of the offered load, in units, for jobs of the measured sizes that
    /// arrive independently of each other. Its square is the product of the mean load and the mean
    /// job size, in which each job is weighted by its size.
    pub(crate) fn standard_deviation(&self) -> f64 {
        if self.mean_size <= 0.0 { 0.0 } else { (self.mean * self.mean_square_size / self.mean_size).sqrt() }
    }
}

/// The contribution of one job to the demand of its group, in the units of the group (CPUs or GPUs).
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobLoad {
    /// Units of its tasks that are assigned to machines.
    pub(crate) active: f64,
    /// Units of its waiting tasks.
    pub(crate) pending: f64,
    /// The maximum number of units that its team may use.
    pub(crate) limit: f64,
    /// Units that are needed to complete its waiting tasks in time.
    pub(crate) backlog_rate: f64,
    /// Units that all its unfinished tasks required when it was first measured, up to its team's
    /// limit.
    pub(crate) offered: f64,
    /// Whether it is measured for the first time.
    pub(crate) is_new: bool,
    /// Whether it would still be running if every task had started soon after the job became ready.
    pub(crate) would_be_running: bool,
    /// How long its group's jobs may wait; zero if the group is not delay-tolerant.
    pub(crate) max_delay: Duration,
    /// The resources of one task.
    pub(crate) task: Resources,
}

impl Demand {
    /// Adds one job to the measurement of its group.
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

    /// Moves the typical task towards that of a new job. Larger jobs have more weight.
    fn blend_task_shape(&mut self, load: &JobLoad) {
        let weight = (load.offered / (load.offered + self.mean_size * TASK_SHAPE_INERTIA)).clamp(0.0, 1.0);
        let blend = |old: f64, new: f64| if old > 0.0 { old + (new - old) * weight } else { new };
        self.task_shape = Resources {
            cpus: blend(self.task_shape.cpus, load.task.cpus),
            gpus: blend(self.task_shape.gpus, load.task.gpus),
            memory_gb: blend(self.task_shape.memory_gb, load.task.memory_gb),
        };
    }

    /// The units of the group's work that fit on a machine of the type. `gpus`: whether units are
    /// GPUs.
    pub(crate) fn units_on(&self, machine_type: &MachineType, gpus: bool) -> f64 {
        let tasks = self.task_shape.times_in(&Resources::of_type(machine_type)).min(MAX_TASKS_PER_MACHINE);
        f64::from(tasks) * if gpus { self.task_shape.gpus } else { self.task_shape.cpus }
    }
}

/// The measured demand of all groups.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    /// Groups with current or average demand.
    groups: HashMap<DemandGroup, Demand>,
}

impl DemandTable {
    /// All groups and their demand, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&DemandGroup, &Demand)> {
        self.groups.iter()
    }

    /// Begins a measurement: resets the values that are summed over all jobs.
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

    /// Ends a measurement: adds it to the means and removes groups without demand. `memory` is
    /// the time constant with which older samples decay.
    ///
    /// A delay-tolerant group has a longer time constant: the time that its jobs may wait, but at
    /// most `max_delay`. Waiting evens out its load, and machines that are scaled out and in for
    /// each of its jobs would spend their time booting.
    pub(crate) fn end_measurement(&mut self, now: Instant, memory: Duration, max_delay: Duration) {
        for demand in self.groups.values_mut() {
            demand.sample(now, memory.max(demand.max_delay.min(max_delay)));
        }
        self.groups
            .retain(|_, demand| demand.mean > MIN_RETAINED_MEAN || demand.active + demand.pending > 0.0);
    }

    /// The statistics to store for the next leader, which cannot measure them itself.
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

    /// Restores the statistics that an earlier leader stored, except those of groups with an
    /// unknown machine type.
    pub(crate) fn restore(&mut self, now: Instant, stored: Vec<DemandStatistics>, catalog: &Catalog) {
        for statistics in stored {
            let types = statistics.types.iter().map(|name| catalog.find(name));
            let Some(machine_types) = types.collect::<Option<Vec<_>>>() else { continue };
            let age = Duration::from_secs_f64(statistics.age_s.min(MAX_RESTORED_AGE_S));
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
