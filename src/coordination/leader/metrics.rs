//! The leader's figures, for operators and for the log.

use crate::coordination::fleet::machine::Phase;
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::protocol::cbor::MapBuilder;

impl Leader {
    /// Tasks that wait, tasks on machines, and machines that boot.
    fn task_counts(&self) -> (u32, usize, usize) {
        (
            self.jobs.values().map(Job::pending).sum(),
            self.jobs.values().map(|j| j.tasks.assigned.len()).sum(),
            self.machines.values().filter(|m| m.phase == Phase::Booting).count(),
        )
    }

    /// For operators.
    pub fn metrics(&self, figures: MapBuilder) -> MapBuilder {
        let (pending, active, booting) = self.task_counts();
        figures
            .set("epoch", self.term.epoch())
            .set("jobs", self.jobs.len() as u64)
            .set(
                "jobsWaitingForOthers",
                self.jobs.values().filter(|j| j.is_startable() && j.waits_for_dependencies()).count() as u64,
            )
            .set(
                "recordsWithNamedBlocks",
                self.jobs.values().filter(|j| j.record.block_tasks.is_some()).count() as u64,
            )
            .set("tasksWaiting", pending)
            .set("tasksActive", active as u64)
            .set("machines", self.machines.len() as u64)
            .set("machinesBooting", booting as u64)
            .set(
                "machinesDoubted",
                self.machines.values().filter(|m| m.agent.one_way_partitioned).count() as u64,
            )
            .set("accountedFor", self.failover.is_complete())
            .set("submissionsRefused", self.admissions.refused())
            .set("recordsUnreadable", self.failover.unreadable().len() as u64)
            .set("tasksOfUnknownJobs", self.counters.orphan_tasks)
            .set("invariantsViolated", self.counters.invariant_violations)
    }

    /// For the log.
    pub fn summary(&self) -> String {
        let (pending, active, booting) = self.task_counts();
        let spot = self.machines.values().filter(|m| m.spot).count();
        let idle = self.machines.values().filter(|m| m.phase == Phase::Up && m.slots.is_empty()).count();
        // CPUs used and there, on ordinary and on spot machines.
        let mut cpus = [[0.0; 2]; 2];
        for m in self.machines.values().filter(|m| m.phase == Phase::Up) {
            let all = self.catalog.get(m.machine_type).map_or(0.0, |k| k.cpus);
            let [used, there] = &mut cpus[usize::from(m.spot)];
            *used += all - m.free.cpus;
            *there += all;
        }
        let [[used, there], [spot_used, spot_there]] = cpus;
        format!(
            "epoch {} jobs {} pending {pending} active {active} machines {} spot {spot} booting {booting} idle {idle} cpus {used:.0} of {there:.0} spot cpus {spot_used:.0} of {spot_there:.0} recovered {}",
            self.term.epoch(),
            self.jobs.len(),
            self.machines.len(),
            self.failover.is_complete()
        )
    }
}
