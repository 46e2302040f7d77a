//! The machines that the leader knows, and those that it knows to be deleted.

use std::collections::{BTreeMap, VecDeque};

use crate::coordination::fleet::machine::Machine;
use crate::maps::HashSet;
use crate::protocol::workers::MachineId;

/// The machines of all node pools, by name, and tombstones of those that were deleted: a
/// late copy of a heartbeat must not bring a deleted machine back.
#[derive(Debug)]
pub(crate) struct MachineTable {
    machines: BTreeMap<MachineId, Machine>,
    tombstones: HashSet<MachineId>,
    /// Tombstones, the oldest first.
    tombstone_order: VecDeque<MachineId>,
    max_tombstones: usize,
}

impl MachineTable {
    /// `max_tombstones`: of how many deleted machines the names are kept.
    pub(crate) fn new(max_tombstones: usize) -> Self {
        MachineTable {
            machines: BTreeMap::new(),
            tombstones: HashSet::default(),
            tombstone_order: VecDeque::new(),
            max_tombstones,
        }
    }

    /// A machine, if it is known.
    pub(crate) fn get(&self, machine: &MachineId) -> Option<&Machine> {
        self.machines.get(machine)
    }

    /// A machine to be changed, if it is known.
    pub(crate) fn get_mut(&mut self, machine: &MachineId) -> Option<&mut Machine> {
        self.machines.get_mut(machine)
    }

    /// Whether the machine is known.
    pub(crate) fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// All machines, by name.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Machine> + Clone {
        self.machines.values()
    }

    /// All machines to be changed, by name.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut()
    }

    /// The machines from that name on.
    pub(crate) fn starting_at(&self, machine: MachineId) -> impl Iterator<Item = &Machine> {
        self.machines.range(machine..).map(|(_, machine)| machine)
    }

    /// The last name in order.
    pub(crate) fn last_name(&self) -> Option<&MachineId> {
        self.machines.keys().next_back()
    }

    /// How many machines are known.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether the machine was deleted, as far back as tombstones are kept.
    pub(crate) fn is_deleted(&self, machine: &MachineId) -> bool {
        self.tombstones.contains(machine)
    }

    /// Enters a machine.
    pub(crate) fn insert(&mut self, machine: Machine) {
        self.machines.insert(machine.id.clone(), machine);
    }

    /// Takes a deleted machine out, and leaves a tombstone.
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
