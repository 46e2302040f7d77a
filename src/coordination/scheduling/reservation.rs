//! Reservations: a machine is reserved for a starved job that fits nowhere, because smaller tasks
//! would otherwise take all capacity as it becomes free.

use tokio::time::Instant;

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::{JobId, JobSpec};
use crate::protocol::workers::MachineId;

impl Leader {
    /// Returns whether this machine is reserved for the starved job, so that nothing else may
    /// start on it. Reserves it if the job has no usable reservation and could run there.
    pub(crate) fn try_reserve(&mut self, now: Instant, job_id: &JobId, machine_id: &MachineId) -> bool {
        let Some(job) = self.jobs.get(job_id) else { return false };
        let Some(machine) = self.machines.get(machine_id) else { return false };
        if !self.would_capacity_help(job) {
            self.queue.release_reservation(job_id);
            return false;
        }
        let spec = job.spec();
        if let Some(reserved) = self.usable_reservation(now, job_id, spec) {
            return reserved == machine_id;
        }
        let is_suitable = machine.has_usable_capacity()
            && self.allows_machine(spec, machine)
            && self.could_become_free(now, spec, machine);
        if is_suitable {
            self.queue.reserve(job_id.clone(), machine_id.clone());
        }
        is_suitable
    }

    /// Whether the job could start if there were free capacity. It cannot while its team is at the
    /// limit of its quota, or while its tasks may still be running on an unreconciled machine. A
    /// reservation would then keep other jobs waiting while the machine stays empty.
    fn would_capacity_help(&self, job: &Job) -> bool {
        let is_reconciled = self.failover.is_complete() || job.tasks.unreconciled_below == 0;
        self.is_within_quota(job) && is_reconciled
    }

    /// Returns the machine reserved for the job, unless the machine is gone or its capacity can no
    /// longer be used.
    fn usable_reservation(&self, now: Instant, job: &JobId, spec: &JobSpec) -> Option<&MachineId> {
        let is_usable = |id: &&MachineId| {
            self.machines.get(id).is_some_and(|machine| {
                machine.has_usable_capacity() && self.could_become_free(now, spec, machine)
            })
        };
        self.queue.reservation(job).filter(is_usable)
    }

    /// Whether a task of the job fits on the machine once all tasks there that end by themselves have
    /// ended. Replicas do not: a machine reserved because of their capacity would keep other work
    /// away for nothing.
    fn could_become_free(&self, now: Instant, spec: &JobSpec, machine: &Machine) -> bool {
        let mut free = machine.free;
        for (task, slot) in &machine.slots {
            if self.time_to_end(now, task, slot).is_some() {
                free.add(&slot.resources);
            }
        }
        Resources::of(spec).fits(&free)
    }
}
