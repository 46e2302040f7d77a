//! Latency-sensitive classes: classes of jobs whose tasks have to start within less than a
//! heartbeat interval.

use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;

/// Maximum number of classes that are remembered; later ones are ignored.
const MAX_CLASSES: usize = 64;

/// Requirements of a task of a latency-sensitive class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencySensitiveTask {
    /// Resources that one task requires.
    pub(crate) resources: Resources,
    /// Whether it may run on spot machines.
    pub(crate) allows_spot: bool,
}

/// The latency-sensitive classes seen so far, and whether new work of one is waiting.
#[derive(Debug, Default)]
pub(crate) struct LatencySensitiveClasses {
    /// Requirements of a task, by the name of its class.
    classes: HashMap<String, LatencySensitiveTask>,
    /// Whether new work was recorded since the last [`Self::take_new_work`].
    has_new_work: bool,
}

impl LatencySensitiveClasses {
    /// Remembers the requirements of a task of the class, because similar tasks are likely to
    /// follow.
    pub(crate) fn record(&mut self, class: &str, task: LatencySensitiveTask) {
        if self.classes.contains_key(class) || self.classes.len() < MAX_CLASSES {
            self.classes.insert(class.to_owned(), task);
        }
    }

    /// Whether a task of any class fits into the free capacity of a machine and, if it is a spot
    /// machine, may run there.
    pub(crate) fn could_use(&self, free: &Resources, is_spot: bool) -> bool {
        self.classes.values().any(|task| task.resources.fits(free) && (task.allows_spot || !is_spot))
    }

    /// Records that latency-sensitive work may have started to wait.
    pub(crate) fn record_new_work(&mut self) {
        self.has_new_work = true;
    }

    /// Whether new work was recorded since the last call.
    pub(crate) fn take_new_work(&mut self) -> bool {
        std::mem::take(&mut self.has_new_work)
    }
}
