//! The queue of jobs that have tasks to start, and what was counted when it was last ordered.

use std::cmp::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, Priority};
use crate::protocol::workers::MachineId;

/// A waiting job's place in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedJob {
    /// The job.
    pub(crate) job: JobId,
    /// It has waited too long for its first task, which goes before all other work.
    pub(crate) starved: bool,
    /// It fits into its team's guarantee.
    pub(crate) guaranteed: bool,
    /// Its priority, or that of a job that depends on it.
    pub(crate) priority: Priority,
    /// The latest start of its tasks at which its next objective is met.
    pub(crate) latest_start: Instant,
    /// What one task takes. Most of the queue is passed over for a machine by this and
    /// `allows_spot` alone.
    pub(crate) task_resources: Resources,
    /// Whether its tasks may run on spot machines.
    pub(crate) allows_spot: bool,
}

impl QueuedJob {
    /// Whether one of its tasks fits into a machine's free capacity and may run there, as far
    /// as the queue can tell.
    pub(crate) fn fits(&self, free: &Resources, is_spot: bool) -> bool {
        self.task_resources.fits(free) && (self.allows_spot || !is_spot)
    }

    /// The order of the queue. The job's id makes it total, so that it is the same on each
    /// run.
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

/// The waiting jobs in order, the machines that had free capacity when they were ordered, and
/// the machines reserved for starved jobs.
#[derive(Debug)]
pub(crate) struct WorkQueue {
    jobs: Vec<QueuedJob>,
    /// When it was last ordered; `None` if it has to be ordered at the next use.
    ordered_at: Option<Instant>,
    /// The fewest CPUs that any task in the queue takes: no job need be looked at for a
    /// machine that has less free.
    min_task_cpus: f64,
    /// Machines that had free capacity when the queue was last ordered.
    candidates: Vec<MachineId>,
    /// All the capacity of machines that may hold unknown tasks, counted at the same time.
    unreconciled_capacity: Resources,
    /// Machines kept clear for starved jobs.
    reservations: HashMap<JobId, MachineId>,
    /// Draws the samples of candidates.
    rng: SmallRng,
}

impl WorkQueue {
    /// An empty queue that has to be ordered before it is used. `seed`: of the random samples.
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

    /// Whether it was ordered less than `max_age` ago and is still valid.
    pub(crate) fn is_fresh(&self, now: Instant, max_age: Duration) -> bool {
        self.ordered_at.is_some_and(|at| now < at + max_age)
    }

    /// Something has changed that the order does not show: the queue is ordered again at the
    /// next use.
    pub(crate) fn invalidate(&mut self) {
        self.ordered_at = None;
    }

    /// Orders the jobs: starved ones, then those within guarantees, then by priority, then
    /// by the latest start.
    pub(crate) fn order(
        &mut self,
        now: Instant,
        mut jobs: Vec<QueuedJob>,
        candidates: Vec<MachineId>,
        unreconciled_capacity: Resources,
    ) {
        jobs.sort_by(QueuedJob::compare);
        // A machine that is full now may be reserved for a starved job.
        let min_cpus = |job: &QueuedJob| if job.starved { 0.0 } else { job.task_resources.cpus };
        self.min_task_cpus = jobs.iter().map(min_cpus).fold(f64::INFINITY, f64::min);
        self.jobs = jobs;
        self.candidates = candidates;
        self.unreconciled_capacity = unreconciled_capacity;
        self.ordered_at = Some(now);
    }

    /// The jobs in order.
    pub(crate) fn jobs(&self) -> &[QueuedJob] {
        &self.jobs
    }

    /// Takes the jobs out while tasks of them are started; [`WorkQueue::put_jobs_back`] returns
    /// them.
    pub(crate) fn take_jobs(&mut self) -> Vec<QueuedJob> {
        std::mem::take(&mut self.jobs)
    }

    /// Puts back the jobs that [`WorkQueue::take_jobs`] took out.
    pub(crate) fn put_jobs_back(&mut self, jobs: Vec<QueuedJob>) {
        self.jobs = jobs;
    }

    /// The fewest CPUs that any task in the queue takes; 0 while a starved job waits, infinite
    /// if none waits.
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

    /// All the capacity of machines that may hold unknown tasks, which may be of any team.
    pub(crate) fn unreconciled_capacity(&self) -> &Resources {
        &self.unreconciled_capacity
    }

    /// A machine with this capacity was reconciled since the queue was ordered. The capacity is
    /// counted again with each ordering, and does not fall below zero meanwhile.
    pub(crate) fn subtract_reconciled(&mut self, capacity: &Resources) {
        if capacity.fits(&self.unreconciled_capacity) {
            self.unreconciled_capacity.sub(capacity);
        }
    }

    /// The machine reserved for a starved job, if there is one.
    pub(crate) fn reservation(&self, job: &JobId) -> Option<&MachineId> {
        self.reservations.get(job)
    }

    /// Reserves a machine for a starved job, in place of the one reserved before.
    pub(crate) fn reserve(&mut self, job: JobId, machine: MachineId) {
        self.reservations.insert(job, machine);
    }

    /// Gives a job's reservation up, if it has one.
    pub(crate) fn release_reservation(&mut self, job: &JobId) {
        self.reservations.remove(job);
    }
}
