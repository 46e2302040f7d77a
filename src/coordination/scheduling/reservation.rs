//! Reservations: a starved job gets a machine of its own.

use crate::coordination::fleet::machine::Machine;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

impl Leader {
    /// A starved job that fits nowhere gets one machine kept clear for it, or
    /// smaller tasks would take every bit of room as it comes free. True if it
    /// is to be this one.
    pub(crate) fn try_reserve(&mut self, job: &JobId, machine: &MachineId) -> bool {
        // One that has gone, or that nothing may be placed on, is given up.
        let usable = |id: &&MachineId| self.machines.get(id).is_some_and(Machine::has_usable_capacity);
        let (Some(j), Some(m)) = (self.jobs.get(job), self.machines.get(machine)) else { return false };
        // While its own team is at its limit, or its tasks may still be somewhere,
        // room would not help it: others must not wait beside an empty machine.
        if !self.is_within_quota(j) || !(self.failover.is_complete() || j.tasks.unreconciled_below == 0) {
            self.queue.release_reservation(job);
            return false;
        }
        let reserved = self.queue.reservation(job).filter(usable);
        if let Some(reserved) = reserved {
            return reserved == machine;
        }
        let spec = j.spec();
        let suits = m.has_usable_capacity()
            && self.allows_machine(spec, m)
            && self.catalog.fits_empty(spec, m.machine_type);
        if suits {
            self.queue.reserve(job.clone(), machine.clone());
        }
        suits
    }
}
