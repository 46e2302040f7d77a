//! Machines that exist and that no node pool's record names.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::workers::MachineId;

/// What machines share that are entered in one node pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolShape {
    /// The machine type's name.
    pub(crate) machine_type: String,
    /// Their zone.
    pub(crate) zone: String,
    /// Whether they are spot machines.
    pub(crate) spot: bool,
}

/// Machines to be registered. Those that show up within a moment share a record and its
/// write; many do where machines were up before the first controller was.
#[derive(Debug, Default)]
pub(crate) struct UnregisteredMachines {
    machines: BTreeMap<MachineId, PoolShape>,
    waiting_since: Option<Instant>,
}

impl UnregisteredMachines {
    /// Adds a machine that has shown up.
    pub(crate) fn add(&mut self, now: Instant, machine: MachineId, shape: PoolShape) {
        self.machines.insert(machine, shape);
        self.waiting_since.get_or_insert(now);
    }

    /// Whether the machine waits to be registered.
    pub(crate) fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// Whether no machine waits to be registered.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Hands over the machines once the first of them has waited for `delay`; those that
    /// share a shape together, each group and the groups in order.
    pub(crate) fn take_due(&mut self, now: Instant, delay: Duration) -> BTreeMap<PoolShape, Vec<MachineId>> {
        let mut groups: BTreeMap<PoolShape, Vec<MachineId>> = BTreeMap::new();
        if self.waiting_since.is_none_or(|since| now < since + delay) {
            return groups;
        }
        self.waiting_since = None;
        for (machine, shape) in std::mem::take(&mut self.machines) {
            groups.entry(shape).or_default().push(machine);
        }
        groups
    }
}
