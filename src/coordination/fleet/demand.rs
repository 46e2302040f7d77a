//! How much work there usually is, for each group of jobs that may use the same machines.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::{Catalog, MachineTypeId};
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::protocol::cloud::MachineType;
use crate::storage::records::DemandStatistics;

/// Groups whose demand is stored for the next leader at most.
const MAX_STORED_GROUPS: usize = 32;
/// Below this mean, in units, a group without work is forgotten.
const MIN_MEAN: f64 = 0.05;
/// Tasks that count for one machine at most.
const MAX_TASKS_PER_MACHINE: u32 = 10_000;
/// The oldest measurement that is restored, in seconds.
const MAX_AGE_S: f64 = 1e6;

/// Jobs that may use the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct DemandGroup {
    /// The types on which their tasks can run.
    pub(crate) machine_types: Vec<MachineTypeId>,
    /// The zone to which they are bound.
    pub(crate) zone: Option<String>,
    /// Whether they may use spot machines.
    pub(crate) spot: bool,
    /// Whether they need GPUs, which are then the unit of their demand instead of CPUs.
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
    /// The mean of that over time.
    pub(crate) mean: f64,
    /// Mean size of a job, and of its square: large jobs come in one piece.
    mean_size: f64,
    mean_square_size: f64,
    job_count: f64,
    measured_since: Instant,
    sampled_at: Instant,
    /// Units that are on machines.
    pub(crate) active: f64,
    /// Units that wait, within the limits of their teams.
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

/// What one job adds to the demand of its group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobLoad {
    /// Units on machines.
    pub(crate) active: f64,
    /// Units that wait.
    pub(crate) pending: f64,
    /// The most units that its team may use.
    pub(crate) limit: f64,
    /// Units that would work off in time what waits.
    pub(crate) backlog_rate: f64,
    /// Units that it asked for at once.
    pub(crate) offered: f64,
    /// It is measured for the first time.
    pub(crate) is_new: bool,
    /// It would still run, had every task started at once.
    pub(crate) would_be_running: bool,
    /// How long its group's jobs may wait; nothing if they may not wait for boots.
    pub(crate) max_delay: Duration,
    /// What one task takes.
    pub(crate) task: Resources,
}

impl Demand {
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

    /// Moves the typical task towards that of a new job, the more the larger the job is.
    fn blend_task_shape(&mut self, load: &JobLoad) {
        let weight = (load.offered / (load.offered + self.mean_size * 4.0)).clamp(0.0, 1.0);
        let blend = |old: f64, new: f64| if old > 0.0 { old + (new - old) * weight } else { new };
        self.task_shape = Resources {
            cpus: blend(self.task_shape.cpus, load.task.cpus),
            gpus: blend(self.task_shape.gpus, load.task.gpus),
            memory_gb: blend(self.task_shape.memory_gb, load.task.memory_gb),
        };
    }

    /// Units of the group's work that a machine of the type takes.
    pub(crate) fn units_on(&self, kind: &MachineType, gpus: bool) -> f64 {
        let tasks = self.task_shape.times_in(&Resources::of_type(kind)).min(MAX_TASKS_PER_MACHINE);
        f64::from(tasks) * if gpus { self.task_shape.gpus } else { self.task_shape.cpus }
    }
}

/// The measured demand of all groups.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    groups: HashMap<DemandGroup, Demand>,
}

impl DemandTable {
    /// All groups and their demand.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&DemandGroup, &Demand)> {
        self.groups.iter()
    }

    /// A measurement begins: what is there now is counted anew.
    pub(crate) fn begin_measurement(&mut self) {
        for demand in self.groups.values_mut() {
            (demand.offered_load, demand.active, demand.pending, demand.backlog_rate) = (0.0, 0.0, 0.0, 0.0);
        }
    }

    /// Adds one job.
    pub(crate) fn add(&mut self, now: Instant, group: DemandGroup, load: &JobLoad) {
        self.groups.entry(group).or_insert_with(|| Demand::new(now)).add(load);
    }

    /// The measurement ends: it enters the means, which fade over `memory`. Work that may
    /// wait evens out by itself while it does, for at most `max_delay`: machines that come
    /// and go with each of its jobs would spend their time on booting.
    pub(crate) fn end_measurement(&mut self, now: Instant, memory: Duration, max_delay: Duration) {
        for demand in self.groups.values_mut() {
            demand.sample(now, memory.max(demand.max_delay.min(max_delay)));
        }
        self.groups.retain(|_, demand| demand.mean > MIN_MEAN || demand.active + demand.pending > 0.0);
    }

    /// What is stored for the next leader, who could not find it out by itself.
    pub(crate) fn to_stored(&self, now: Instant, catalog: &Catalog) -> Vec<DemandStatistics> {
        let stored = self.groups.iter().take(MAX_STORED_GROUPS);
        let name = |id: &MachineTypeId| catalog.get(*id).map(|kind| kind.name.clone());
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

    /// Takes over what an earlier leader has stored; groups of types that are not known
    /// are left out.
    pub(crate) fn restore(&mut self, now: Instant, stored: Vec<DemandStatistics>, catalog: &Catalog) {
        for group in stored {
            let types = group.types.iter().map(|name| catalog.find(name));
            let Some(machine_types) = types.collect::<Option<Vec<_>>>() else { continue };
            let age = Duration::from_secs_f64(group.age_s.min(MAX_AGE_S));
            let demand = Demand {
                mean: group.mean,
                mean_size: group.mean_size,
                mean_square_size: group.mean_square_size,
                job_count: group.job_count,
                measured_since: now.checked_sub(age).unwrap_or(now),
                ..Demand::new(now)
            };
            let key = DemandGroup {
                machine_types,
                zone: group.zone,
                spot: group.spot,
                gpus: group.gpus,
                delay_tolerant: group.delay_tolerant,
            };
            self.groups.insert(key, demand);
        }
    }
}
