//! Failed tasks: jobs that fail everywhere are slowed down, machines on which several jobs
//! fail are cordoned.

use tokio::time::Instant;

use crate::coordination::leader::Leader;
use crate::numeric::count_u32;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

/// Failures on one machine, not counting those of jobs that fail everywhere, that cordon it.
const FAILURES_TO_CORDON: usize = 3;
/// Machines on which a job must have failed to be slowed down.
const FAILED_MACHINES_TO_BACK_OFF: usize = 3;
/// Longest back-off of a failing job, in heartbeat intervals.
const MAX_BACKOFF_INTERVALS: u32 = 10;

impl Leader {
    /// A task of the job has failed on the machine.
    pub(super) fn record_task_failure(&mut self, now: Instant, machine: &MachineId, job: &JobId) {
        self.back_off_failing_job(now, machine, job);
        self.cordon_failing_machine(machine, job);
    }

    /// A job that fails everywhere is slowed down, never given up: for one heartbeat interval
    /// for each machine on which it has failed.
    fn back_off_failing_job(&mut self, now: Instant, machine: &MachineId, job: &JobId) {
        let heartbeat_interval = self.config.settings.cluster.workers.heartbeat_interval();
        let Some(job) = self.jobs.get_mut(job) else { return };
        job.failures.machines.insert(machine.clone());
        let failed_machines = job.failures.machines.len();
        if failed_machines >= FAILED_MACHINES_TO_BACK_OFF {
            let intervals = count_u32(failed_machines).min(MAX_BACKOFF_INTERVALS);
            job.failures.backoff_until = Some(now + heartbeat_interval * intervals);
        }
    }

    /// Counts the failure against the machine, and cordons it after several: it is replaced.
    /// Failures of jobs that fail everywhere say nothing about the machine.
    fn cordon_failing_machine(&mut self, machine: &MachineId, job: &JobId) {
        let fails_everywhere = |job: &JobId| {
            let job = self.jobs.get(job);
            job.is_some_and(|job| job.failures.machines.len() >= FAILED_MACHINES_TO_BACK_OFF)
        };
        let Some(machine) = self.machines.get_mut(machine) else { return };
        machine.failures.push(job.clone());
        let counted = machine.failures.iter().filter(|job| !fails_everywhere(job)).count();
        if counted >= FAILURES_TO_CORDON && !machine.cordoned {
            tracing::info!(machine = %machine.id, "machine cordoned after repeated task failures");
            machine.cordoned = true;
        }
    }
}
