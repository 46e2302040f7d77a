//! Reservations: a starved job that fits nowhere gets a machine kept clear for it, or smaller
//! tasks would take all free capacity as it arises.

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

impl Leader {
    /// Whether this machine is reserved for the starved job, and so nothing else may start on
    /// it. Reserves it if the job has no reservation and could run there.
    pub(crate) fn try_reserve(&mut self, job_id: &JobId, machine_id: &MachineId) -> bool {
        let Some(job) = self.jobs.get(job_id) else { return false };
        let Some(machine) = self.machines.get(machine_id) else { return false };
        if !self.would_capacity_help(job) {
            self.queue.release_reservation(job_id);
            return false;
        }
        if let Some(reserved) = self.usable_reservation(job_id) {
            return reserved == machine_id;
        }
        let spec = job.spec();
        let is_suitable = machine.has_usable_capacity()
            && self.allows_machine(spec, machine)
            && self.catalog.fits_empty(spec, machine.machine_type);
        if is_suitable {
            self.queue.reserve(job_id.clone(), machine_id.clone());
        }
        is_suitable
    }

    /// Whether the job could start if there were free capacity. Not while its team is at its
    /// quota's limit, or its tasks may still run on an unreconciled machine: other jobs must
    /// not wait beside an empty machine.
    fn would_capacity_help(&self, job: &Job) -> bool {
        let is_reconciled = self.failover.is_complete() || job.tasks.unreconciled_below == 0;
        self.is_within_quota(job) && is_reconciled
    }

    /// The machine reserved for the job. A machine that is gone, or that no task may be placed
    /// on any more, does not count.
    fn usable_reservation(&self, job: &JobId) -> Option<&MachineId> {
        let is_usable = |id: &&MachineId| self.machines.get(id).is_some_and(Machine::has_usable_capacity);
        self.queue.reservation(job).filter(is_usable)
    }
}
