//! Recording that a machine may hold tasks, before the first task is started on it.

use crate::coordination::fleet::machine::UseRecord;
use crate::coordination::leader::Leader;
use crate::protocol::workers::MachineId;

impl Leader {
    /// Writes to the machine's node pool record that the machine may hold tasks, unless the
    /// record says so already or the write is in flight. No task is started on the machine
    /// before the write is committed, because a later leader reconciles only the machines that
    /// are recorded this way.
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
