//! Which tasks of a job are on machines, and which are next.

use std::collections::BTreeSet;

use crate::maps::HashMap;
use crate::numeric::count_u32;
use crate::protocol::workers::MachineId;
use crate::storage::records::JobRecord;

/// The tasks of one job as they are on machines.
#[derive(Debug, Default)]
pub struct TaskPlacements {
    /// The machine on which each task is that counts.
    pub assigned: HashMap<u32, MachineId>,
    /// Tasks that came back from a machine and wait again.
    pub requeued: BTreeSet<u32>,
    /// Tasks below may be on a machine that is not reconciled yet; 0 for a job admitted in
    /// this epoch.
    pub unreconciled_below: u32,
    /// Slots on any machine, also such that should not be there.
    pub slot_count: u32,
    /// Slots whose task runs.
    pub running_count: u32,
    /// Tasks from here on have not been looked at yet.
    next: u32,
    /// The same among those that need not wait for machines to be reconciled.
    next_reconciled: u32,
}

impl TaskPlacements {
    /// How many tasks are assigned to machines.
    pub fn assigned_count(&self) -> u32 {
        count_u32(self.assigned.len())
    }

    /// The next task from `least` on that is neither done nor assigned.
    pub fn next_pending(&mut self, record: &JobRecord, least: u32) -> Option<u32> {
        while let Some(&task) = self.requeued.range(least..).next() {
            if self.is_free(record, task) {
                return Some(task);
            }
            self.requeued.remove(&task);
        }
        let tasks = record.spec.task_count;
        let mut task = if least == 0 { self.next } else { self.next_reconciled.max(least) };
        while task < tasks && !self.is_free(record, task) {
            task += 1;
        }
        *(if least == 0 { &mut self.next } else { &mut self.next_reconciled }) = task;
        (task < tasks).then_some(task)
    }

    fn is_free(&self, record: &JobRecord, task: u32) -> bool {
        !record.done.contains(task) && !self.assigned.contains_key(&task)
    }
}
