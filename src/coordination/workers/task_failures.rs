//! Task failures: jobs that fail on several machines are backed off, and machines on which
//! tasks fail repeatedly are cordoned.

use tokio::time::Instant;

use crate::coordination::leader::Leader;
use crate::numeric::count_u32;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

/// Number of task failures on one machine after which it is cordoned. Failures of jobs that fail
/// on several machines do not count.
const FAILURES_TO_CORDON: usize = 3;
/// Number of machines on which a job's tasks must have failed before the job is backed off.
const FAILED_MACHINES_TO_BACK_OFF: usize = 3;
/// Maximum backoff of a failing job, in heartbeat intervals.
const MAX_BACKOFF_INTERVALS: u32 = 10;

impl Leader {
    /// Records that a task of the job has failed on the machine.
    pub(super) fn record_task_failure(&mut self, now: Instant, machine: &MachineId, job: &JobId) {
        self.back_off_failing_job(now, machine, job);
        self.cordon_failing_machine(machine, job);
    }

    /// Backs off a job that fails on several machines, for one heartbeat interval per machine on
    /// which it has failed, up to a limit. However often it fails, it is started again.
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

    /// Counts the failure against the machine, and cordons it after several, so that it is
    /// replaced. Failures of jobs that fail on several machines are not the machine's fault.
    fn cordon_failing_machine(&mut self, machine: &MachineId, job: &JobId) {
        let fails_on_several_machines = |job: &JobId| {
            let job = self.jobs.get(job);
            job.is_some_and(|job| job.failures.machines.len() >= FAILED_MACHINES_TO_BACK_OFF)
        };
        let Some(machine) = self.machines.get_mut(machine) else { return };
        machine.failures.push(job.clone());
        let counted = machine.failures.iter().filter(|job| !fails_on_several_machines(job)).count();
        if counted >= FAILURES_TO_CORDON && !machine.cordoned {
            tracing::info!(machine = %machine.id, "machine cordoned after repeated task failures");
            machine.cordoned = true;
        }
    }
}
