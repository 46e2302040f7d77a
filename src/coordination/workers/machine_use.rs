//! The record that a machine may hold tasks, written before its first start.

use crate::coordination::fleet::machine::UseRecord;
use crate::coordination::leader::Leader;
use crate::protocol::workers::MachineId;

impl Leader {
    /// Writes into the record of the machine's node pool that the machine may hold tasks,
    /// unless that is written or under way. Nothing starts on a machine before it is
    /// committed: a later leader reconciles only the machines whose record says so.
    pub(super) fn record_machine_use(&mut self, machine: &MachineId) {
        let Some(entry) = self.machines.get_mut(machine) else { return };
        if entry.use_record != UseRecord::NotRecorded {
            return;
        }
        entry.use_record = UseRecord::InFlight;
        let node_pool = entry.node_pool.clone();
        if let Some(pool) = self.node_pools.get_mut(&node_pool) {
            pool.record.machines_used.insert(machine.clone());
        }
        self.write_node_pool(&node_pool);
    }
}
