//! Placements of a job's tasks on machines, and the order in which its tasks start.

use std::collections::BTreeSet;

use crate::maps::HashMap;
use crate::numeric::count_u32;
use crate::protocol::workers::MachineId;
use crate::storage::records::JobRecord;

/// The placements of one job's tasks.
#[derive(Debug, Default)]
pub struct TaskPlacements {
    /// The machine to which each placed task is assigned; each task has at most one.
    pub assigned: HashMap<u32, MachineId>,
    /// Tasks that were removed from a machine and wait to be started again.
    pub requeued: BTreeSet<u32>,
    /// Tasks below this index may be on a machine that is not reconciled yet; 0 for a job
    /// admitted in this epoch.
    pub unreconciled_below: u32,
    /// Slots on all machines, including those of tasks that should not be there.
    pub slot_count: u32,
    /// Slots whose task is running.
    pub running_count: u32,
    /// Where the search for a pending task continues if it may return any task.
    next: u32,
    /// The same for a search among the tasks that need not wait for machines to be reconciled.
    next_reconciled: u32,
}

impl TaskPlacements {
    /// The number of tasks that are assigned to machines.
    pub fn assigned_count(&self) -> u32 {
        count_u32(self.assigned.len())
    }

    /// The next task at or above `first` that is neither done nor assigned.
    pub fn next_pending(&mut self, record: &JobRecord, first: u32) -> Option<u32> {
        while let Some(&task) = self.requeued.range(first..).next() {
            if self.is_pending(record, task) {
                return Some(task);
            }
            self.requeued.remove(&task);
        }
        let tasks = record.spec.task_count;
        let mut task = if first == 0 { self.next } else { self.next_reconciled.max(first) };
        while task < tasks && !self.is_pending(record, task) {
            task += 1;
        }
        *(if first == 0 { &mut self.next } else { &mut self.next_reconciled }) = task;
        (task < tasks).then_some(task)
    }

    /// Whether the task is neither done nor assigned.
    pub fn is_pending(&self, record: &JobRecord, task: u32) -> bool {
        !record.done.contains(task) && !self.assigned.contains_key(&task)
    }
}
