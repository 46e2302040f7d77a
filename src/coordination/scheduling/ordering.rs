//! Orders the queue, and has the records say in time which jobs may start.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::queue::QueuedJob;
use crate::protocol::workers::MachineId;

/// A machine with fewer free CPUs has no room.
pub(crate) const MIN_ROOM_CPUS: f64 = 1e-3;

impl Leader {
    /// Orders the waiting jobs: guarantees first, then priority, then the time by which a job
    /// must start to be done when it is due, or its age. An order that is fresh is kept.
    pub(crate) fn order_queue(&mut self, now: Instant) {
        let heartbeat_interval = self.config.settings.cluster.workers.report();
        if self.queue.is_fresh(now, heartbeat_interval / 12) {
            return;
        }
        let guaranteed = self.within_guarantees();
        let waiting = self.jobs.values().filter(|job| job.pending() > 0);
        let queued = waiting.map(|job| QueuedJob {
            job: job.id().clone(),
            starved: self.is_starved(job, now),
            guaranteed: guaranteed.contains_key(job.id()),
            priority: self.priority(job),
            latest_start: self.latest_start(job, now),
            task_resources: Resources::of(job.spec()),
            allows_spot: job.spec().spot,
        });
        let queued: Vec<QueuedJob> = queued.collect();
        let (candidates, unreconciled) = (self.machines_with_room(now), self.unreconciled_capacity());
        self.queue.order(now, queued, candidates, unreconciled);
    }

    /// All the capacity of machines that may hold unknown tasks. Machines are reconciled one
    /// after the other and stay so: what was counted last is never too little.
    fn unreconciled_capacity(&self) -> Resources {
        if self.failover.unlisted_machines_possible() {
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

    /// Machines that have room. One that has missed its time to send a heartbeat may be dead.
    fn machines_with_room(&self, now: Instant) -> Vec<MachineId> {
        let timeout = self.config.settings.cluster.workers.report().mul_f64(1.5);
        let is_live = |machine: &Machine| machine.agent.heartbeat_at.is_some_and(|at| now < at + timeout);
        let has_room = |machine: &&Machine| {
            machine.free.cpus > MIN_ROOM_CPUS && machine.has_usable_capacity() && is_live(machine)
        };
        self.machines.values().filter(has_room).map(|machine| machine.id.clone()).collect()
    }

    /// Has the records of the jobs whose turn comes next say that they begin,
    /// so that no start waits for the write. Those behind them stay free for a
    /// next leader to start at once.
    pub(crate) fn record_upcoming_starts(&mut self, now: Instant) {
        self.order_queue(now);
        // Room that is there, and what comes free until the next round.
        let kinds = |m: &Machine| self.catalog.cpus(m.machine_type);
        let open = self.machines.values().filter(|m| m.has_usable_capacity());
        let mut room: f64 = open.map(|m| m.free.cpus + 0.1 * kinds(m)).sum();
        let mut due = Vec::new();
        for job in self.queue.jobs().iter().filter_map(|ranked| self.jobs.get(&ranked.job)) {
            if room <= 0.0 {
                break;
            }
            room -= job.spec().cpus * f64::from(job.pending());
            if job.stored.started_high_water < job.spec().tasks {
                due.push(job.id().clone());
            }
        }
        for job in due {
            self.raise_started_high_water(now, &job);
        }
    }
}
