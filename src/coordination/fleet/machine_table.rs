//! The registered machines, and tombstones of deleted machines.

use std::collections::{BTreeMap, VecDeque};

use crate::coordination::fleet::machine::Machine;
use crate::maps::HashSet;
use crate::protocol::workers::MachineId;

/// The machines of all node pools, ordered by name, and tombstones of deleted machines. The
/// tombstones keep a delayed copy of a heartbeat from registering a deleted machine again.
#[derive(Debug)]
pub(crate) struct MachineTable {
    /// The registered machines; none of them has a tombstone.
    machines: BTreeMap<MachineId, Machine>,
    /// The names of deleted machines.
    tombstones: HashSet<MachineId>,
    /// The same names in the order of deletion, the oldest first.
    tombstone_order: VecDeque<MachineId>,
    /// The maximum number of tombstones; beyond it the oldest are dropped.
    max_tombstones: usize,
}

impl MachineTable {
    /// Creates an empty table. `max_tombstones`: the number of deleted machines whose names are kept.
    pub(crate) fn new(max_tombstones: usize) -> Self {
        MachineTable {
            machines: BTreeMap::new(),
            tombstones: HashSet::default(),
            tombstone_order: VecDeque::new(),
            max_tombstones,
        }
    }

    /// A machine, if it is registered.
    pub(crate) fn get(&self, machine: &MachineId) -> Option<&Machine> {
        self.machines.get(machine)
    }

    /// Mutable access to a machine, if it is registered.
    pub(crate) fn get_mut(&mut self, machine: &MachineId) -> Option<&mut Machine> {
        self.machines.get_mut(machine)
    }

    /// Whether the machine is registered.
    pub(crate) fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// All machines, ordered by name.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Machine> + Clone {
        self.machines.values()
    }

    /// Mutable access to all machines, ordered by name.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut()
    }

    /// The machines from that name on, ordered by name. No machine needs to have exactly this name.
    pub(crate) fn starting_at(&self, machine: MachineId) -> impl Iterator<Item = &Machine> {
        self.machines.range(machine..).map(|(_, machine)| machine)
    }

    /// The last name in order; `None` if there is no machine.
    pub(crate) fn last_name(&self) -> Option<&MachineId> {
        self.machines.keys().next_back()
    }

    /// The number of registered machines.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether the machine was deleted and still has a tombstone.
    pub(crate) fn is_deleted(&self, machine: &MachineId) -> bool {
        self.tombstones.contains(machine)
    }

    /// Registers a machine under its name.
    pub(crate) fn insert(&mut self, machine: Machine) {
        self.machines.insert(machine.id.clone(), machine);
    }

    /// Removes a deleted machine and keeps a tombstone for it; `None` if it was not registered.
    pub(crate) fn remove_deleted(&mut self, machine: &MachineId) -> Option<Machine> {
        let removed = self.machines.remove(machine)?;
        if self.tombstones.insert(machine.clone()) {
            self.tombstone_order.push_back(machine.clone());
        }
        while self.tombstone_order.len() > self.max_tombstones {
            if let Some(oldest) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&oldest);
            }
        }
        Some(removed)
    }
}
