//! The queue of jobs that have tasks to start, and the state computed when it was last ordered.

use std::cmp::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, Priority};
use crate::protocol::workers::MachineId;

/// A waiting job's entry in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedJob {
    /// The job's id.
    pub(crate) job: JobId,
    /// Whether it has waited too long for its first task, which then precedes all other work.
    pub(crate) starved: bool,
    /// Whether it fits into its team's guarantee.
    pub(crate) guaranteed: bool,
    /// The highest of its own priority and those of its dependents.
    pub(crate) priority: Priority,
    /// The latest start of its tasks at which its next objective is met.
    pub(crate) latest_start: Instant,
    /// Resources that one task requires. This and `allows_spot` alone suffice to skip most of
    /// the queue for a given machine.
    pub(crate) task_resources: Resources,
    /// Whether its tasks may run on spot machines.
    pub(crate) allows_spot: bool,
}

impl QueuedJob {
    /// Whether one of its tasks fits into a machine's free capacity and may run there, judged
    /// only by the data in the queue.
    pub(crate) fn fits(&self, free: &Resources, is_spot: bool) -> bool {
        self.task_resources.fits(free) && (self.allows_spot || !is_spot)
    }

    /// The order of the queue. The job's id makes it a total order, so that every run gives the
    /// same result.
    fn compare(&self, other: &Self) -> Ordering {
        other
            .starved
            .cmp(&self.starved)
            .then(other.guaranteed.cmp(&self.guaranteed))
            .then(other.priority.cmp(&self.priority))
            .then(self.latest_start.cmp(&other.latest_start))
            .then_with(|| self.job.cmp(&other.job))
    }
}

/// The waiting jobs in order, the machines that had free capacity when the queue was last
/// ordered, and the machines reserved for starved jobs.
#[derive(Debug)]
pub(crate) struct WorkQueue {
    jobs: Vec<QueuedJob>,
    /// When the queue was last ordered; `None` if it has to be ordered before the next use.
    ordered_at: Option<Instant>,
    /// The fewest CPUs that any task in the queue requires; 0 while a starved job waits. A machine
    /// with fewer free CPUs can be skipped without looking at any job.
    min_task_cpus: f64,
    /// Machines that had free capacity when the queue was last ordered.
    candidates: Vec<MachineId>,
    /// Total capacity of the machines that may hold unknown tasks, counted at the same time.
    unreconciled_capacity: Resources,
    /// Machines reserved for starved jobs.
    reservations: HashMap<JobId, MachineId>,
    /// Random number generator for the samples of candidates.
    rng: SmallRng,
}

impl WorkQueue {
    /// Creates an empty queue that has to be ordered before it is used. `seed`: the seed for
    /// random samples.
    pub(crate) fn new(seed: u64) -> Self {
        WorkQueue {
            jobs: Vec::new(),
            ordered_at: None,
            min_task_cpus: 0.0,
            candidates: Vec::new(),
            unreconciled_capacity: Resources::default(),
            reservations: HashMap::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Whether the order is less than `max_age` old and has not been invalidated.
    pub(crate) fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.ordered_at.is_some_and(|at| now < at + max_age)
    }

    /// Invalidates the order after a change that it does not reflect: the queue is ordered again
    /// before the next use.
    pub(crate) fn invalidate(&mut self) {
        self.ordered_at = None;
    }

    /// Orders the jobs (first starved ones, then those within guarantees, then by priority, then
    /// by the latest start) and stores the state computed with the order.
    pub(crate) fn order(
        &mut self,
        now: Instant,
        mut jobs: Vec<QueuedJob>,
        candidates: Vec<MachineId>,
        unreconciled_capacity: Resources,
    ) {
        jobs.sort_by(QueuedJob::compare);
        // A full machine must not be skipped for a starved job, since it may be reserved for it.
        let min_cpus = |job: &QueuedJob| if job.starved { 0.0 } else { job.task_resources.cpus };
        self.min_task_cpus = jobs.iter().map(min_cpus).fold(f64::INFINITY, f64::min);
        self.jobs = jobs;
        self.candidates = candidates;
        self.unreconciled_capacity = unreconciled_capacity;
        self.ordered_at = Some(now);
    }

    /// Returns the jobs in order.
    pub(crate) fn jobs(&self) -> &[QueuedJob] {
        &self.jobs
    }

    /// Takes the jobs out of the queue while their tasks are started;
    /// [`WorkQueue::put_jobs_back`] puts them back.
    pub(crate) fn take_jobs(&mut self) -> Vec<QueuedJob> {
        std::mem::take(&mut self.jobs)
    }

    /// Puts back the jobs that [`WorkQueue::take_jobs`] took out.
    pub(crate) fn put_jobs_back(&mut self, jobs: Vec<QueuedJob>) {
        self.jobs = jobs;
    }

    /// The fewest CPUs that any task in the queue requires; 0 while a starved job waits, infinite
    /// if the queue is empty.
    pub(crate) fn min_task_cpus(&self) -> f64 {
        self.min_task_cpus
    }

    /// The machines that had free capacity when the queue was last ordered.
    pub(crate) fn candidates(&self) -> &[MachineId] {
        &self.candidates
    }

    /// Draws `count` positions among the candidates at random, each at most once.
    pub(crate) fn draw_candidates(&mut self, count: usize) -> Vec<usize> {
        rand::seq::index::sample(&mut self.rng, self.candidates.len(), count).into_vec()
    }

    /// Total capacity of the machines that may hold unknown tasks. The tasks may belong to any
    /// team.
    pub(crate) fn unreconciled_capacity(&self) -> &Resources {
        &self.unreconciled_capacity
    }

    /// Subtracts the capacity of a machine that was reconciled since the queue was last ordered.
    /// Does nothing if the capacity exceeds the total, which is counted anew at each ordering.
    pub(crate) fn subtract_reconciled(&mut self, capacity: &Resources) {
        if capacity.fits(&self.unreconciled_capacity) {
            self.unreconciled_capacity.sub(capacity);
        }
    }

    /// Returns the machine reserved for a starved job, if there is one.
    pub(crate) fn reservation(&self, job: &JobId) -> Option<&MachineId> {
        self.reservations.get(job)
    }

    /// All reservations: the starved job and the machine reserved for it.
    pub(crate) fn reservations(&self) -> impl Iterator<Item = (&JobId, &MachineId)> {
        self.reservations.iter()
    }

    /// Reserves a machine for a starved job, replacing any earlier reservation of the job.
    pub(crate) fn reserve(&mut self, job: JobId, machine: MachineId) {
        self.reservations.insert(job, machine);
    }

    /// Releases a job's reservation, if it has one.
    pub(crate) fn release_reservation(&mut self, job: &JobId) {
        self.reservations.remove(job);
    }
}
