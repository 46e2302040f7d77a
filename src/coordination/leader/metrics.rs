//! The leader's metrics, for operators (`status`) and for the log.

use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::protocol::cbor::MapBuilder;

/// Counts that both the metrics and the log line contain.
struct Totals {
    tasks_pending: u32,
    tasks_active: usize,
    machines_booting: usize,
}

/// Used and total CPUs of the machines that are up.
#[derive(Debug, Default, Clone, Copy)]
struct CpuUse {
    used: f64,
    total: f64,
}

impl Leader {
    fn totals(&self) -> Totals {
        Totals {
            tasks_pending: self.jobs.values().map(Job::pending).sum(),
            tasks_active: self.jobs.values().map(|job| job.tasks.assigned.len()).sum(),
            machines_booting: self.count_machines(|machine| machine.phase == Phase::Booting),
        }
    }

    fn count_machines(&self, is_counted: impl Fn(&Machine) -> bool) -> usize {
        self.machines.values().filter(|machine| is_counted(machine)).count()
    }

    fn count_jobs(&self, is_counted: impl Fn(&Job) -> bool) -> u64 {
        self.jobs.values().filter(|job| is_counted(job)).count() as u64
    }

    /// Adds the leader's metrics to those of the controller. Operators' tools depend on the
    /// names of the metrics.
    pub fn metrics(&self, metrics: MapBuilder) -> MapBuilder {
        let totals = self.totals();
        let waiting_for_others = |job: &Job| job.is_startable() && job.waits_for_dependencies();
        metrics
            .set("epoch", self.epoch())
            .set("jobs", self.jobs.len() as u64)
            .set("jobsWaitingForOthers", self.count_jobs(waiting_for_others))
            .set("dependencySteps", self.dependencies.steps())
            .set("recordsWithNamedBlocks", self.count_jobs(|job| job.record.block_tasks.is_some()))
            .set("tasksWaiting", totals.tasks_pending)
            .set("tasksActive", totals.tasks_active as u64)
            .set("machines", self.machines.len() as u64)
            .set("machinesBooting", totals.machines_booting as u64)
            .set("machinesDoubted", self.count_machines(|machine| machine.worker.one_way_partitioned) as u64)
            .set("accountedFor", self.failover.is_complete())
            .set("submissionsRefused", self.admissions.refused())
            .set("recordsUnreadable", self.failover.unreadable().len() as u64)
            .set("tasksOfUnknownJobs", self.counters.orphan_tasks)
            .set("invariantsViolated", self.counters.invariant_violations)
    }

    /// A summary of the metrics in one line, for the log.
    pub fn summary(&self) -> String {
        let Totals { tasks_pending, tasks_active, machines_booting } = self.totals();
        let is_idle = |machine: &Machine| machine.phase == Phase::Up && machine.slots.is_empty();
        let on_demand = self.cpu_use(false);
        let spot = self.cpu_use(true);
        format!(
            "epoch {} jobs {} pending {tasks_pending} active {tasks_active} machines {} spot {} \
             booting {machines_booting} idle {} cpus {:.0} of {:.0} spot cpus {:.0} of {:.0} \
             failover complete {}",
            self.epoch(),
            self.jobs.len(),
            self.machines.len(),
            self.count_machines(|machine| machine.spot),
            self.count_machines(is_idle),
            on_demand.used,
            on_demand.total,
            spot.used,
            spot.total,
            self.failover.is_complete()
        )
    }

    fn cpu_use(&self, spot: bool) -> CpuUse {
        let mut cpus = CpuUse::default();
        let is_counted = |machine: &&Machine| machine.phase == Phase::Up && machine.spot == spot;
        for machine in self.machines.values().filter(is_counted) {
            let total = self.catalog.cpus(machine.machine_type);
            cpus.used += total - machine.free.cpus;
            cpus.total += total;
        }
        cpus
    }
}
