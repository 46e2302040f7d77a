//! Orders the queue, and records ahead of time which jobs are about to start tasks.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::queue::QueuedJob;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

/// A machine with fewer free CPUs counts as full.
pub(crate) const MIN_FREE_CPUS: f64 = 1e-3;
/// The order of the queue is used for at most a heartbeat interval divided by this.
const MAX_ORDER_AGE_DIVISOR: u32 = 12;
/// A machine is a candidate for this many heartbeat intervals after its last heartbeat.
const CANDIDATE_TIMEOUT_INTERVALS: f64 = 1.5;
/// Fraction of a machine's CPUs that is expected to become free before the next call of
/// [`Leader::record_upcoming_starts`].
const FREED_SHARE: f64 = 0.1;

impl Leader {
    /// Orders the waiting jobs: first starved jobs, then those within their team's guarantee,
    /// then by priority, then by the latest start at which an objective is met, or by age. Does
    /// nothing if the current order is fresh.
    pub(crate) fn order_queue(&mut self, now: Instant) {
        let heartbeat_interval = self.config.settings.cluster.workers.heartbeat_interval();
        if self.queue.is_fresh(now, heartbeat_interval / MAX_ORDER_AGE_DIVISOR) {
            return;
        }
        let guaranteed = self.within_guarantees();
        let waiting = self.jobs.values().filter(|job| job.pending() > 0);
        let queued = waiting.map(|job| QueuedJob {
            job: job.id().clone(),
            starved: self.is_starved(job, now),
            guaranteed: guaranteed.contains(job.id()),
            priority: self.priority(job),
            latest_start: self.latest_start(job, now),
            task_resources: Resources::of(job.spec()),
            allows_spot: job.spec().spot,
        });
        let queued: Vec<QueuedJob> = queued.collect();
        let (candidates, unreconciled) = (self.find_candidates(now), self.unreconciled_capacity());
        self.queue.order(now, queued, candidates, unreconciled);
    }

    /// Total capacity of the machines that may hold unknown tasks. Machines are reconciled one by
    /// one and stay reconciled, and the queue is ordered again when orphan tasks are found, so an
    /// earlier count is never too low.
    fn unreconciled_capacity(&self) -> Resources {
        if self.failover.unrecorded_machines_possible() {
            return Resources::UNBOUNDED;
        }
        let failing_over = !self.failover.is_complete();
        let may_hold_unknown_tasks = |machine: &&Machine| {
            machine.has_orphan_tasks || (failing_over && machine.may_hold_tasks() && !machine.reconciled)
        };
        let mut capacity = Resources::default();
        for machine in self.machines.values().filter(may_hold_unknown_tasks) {
            capacity.add(&self.catalog.resources(machine.machine_type));
        }
        capacity
    }

    /// Machines that have free capacity, except those whose heartbeat is overdue, since they may
    /// be dead.
    fn find_candidates(&self, now: Instant) -> Vec<MachineId> {
        let timeout =
            self.config.settings.cluster.workers.heartbeat_interval().mul_f64(CANDIDATE_TIMEOUT_INTERVALS);
        let is_live = |machine: &Machine| machine.worker.heartbeat_at.is_some_and(|at| now < at + timeout);
        let has_free_capacity = |machine: &&Machine| {
            machine.free.cpus > MIN_FREE_CPUS && machine.has_usable_capacity() && is_live(machine)
        };
        self.machines.values().filter(has_free_capacity).map(|machine| machine.id.clone()).collect()
    }

    /// Raises the started high-water marks of the jobs that will probably start next, so that
    /// their starts need not wait for the write. The marks of the other jobs stay as they are, so
    /// that the next leader may start those jobs immediately.
    pub(crate) fn record_upcoming_starts(&mut self, now: Instant) {
        self.order_queue(now);
        for job in self.jobs_starting_soon() {
            self.raise_started_high_water(now, &job);
        }
    }

    /// Jobs at the head of the queue for which capacity is free, or is expected to become free
    /// before the next call, and whose record does not say yet that all their tasks may have
    /// started.
    fn jobs_starting_soon(&self) -> Vec<JobId> {
        let expected_cpus =
            |machine: &Machine| machine.free.cpus + FREED_SHARE * self.catalog.cpus(machine.machine_type);
        let usable = self.machines.values().filter(|machine| machine.has_usable_capacity());
        let mut remaining_cpus: f64 = usable.map(expected_cpus).sum();
        let mut found = Vec::new();
        for job in self.queue.jobs().iter().filter_map(|queued| self.jobs.get(&queued.job)) {
            if remaining_cpus <= 0.0 {
                break;
            }
            remaining_cpus -= waiting_cpus(job);
            if job.stored.started_high_water < job.spec().task_count {
                found.push(job.id().clone());
            }
        }
        found
    }
}

/// CPUs that all waiting tasks of the job require.
fn waiting_cpus(job: &Job) -> f64 {
    job.spec().cpus * f64::from(job.pending())
}
