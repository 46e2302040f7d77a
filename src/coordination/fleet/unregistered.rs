//! Unregistered machines: machines that exist but are not in any node pool's record.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::cloud::NodePoolRequest;
use crate::protocol::workers::MachineId;

/// The properties that all machines of one node pool share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolShape {
    /// The machine type's name.
    pub(crate) machine_type: String,
    /// Their zone.
    pub(crate) zone: String,
    /// Whether they are spot machines.
    pub(crate) spot: bool,
}

impl PoolShape {
    /// Whether a node pool with this request has this shape.
    pub(crate) fn matches(&self, request: &NodePoolRequest) -> bool {
        request.machine_type == self.machine_type && request.zone == self.zone && request.spot == self.spot
    }
}

/// Machines that wait to be registered. Those found within a short time share a record and its
/// write, since there are many of them if machines were up before the first controller.
#[derive(Debug, Default)]
pub(crate) struct UnregisteredMachines {
    /// The machines that wait to be registered.
    machines: BTreeMap<MachineId, PoolShape>,
    /// Since when the first of them has waited; `None` if there is none.
    waiting_since: Option<Instant>,
}

impl UnregisteredMachines {
    /// Adds a machine that was found.
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

    /// Removes and returns all machines, grouped by shape, once the first of them has waited for
    /// `delay`; returns none before that. Groups and the machines in a group are sorted.
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
