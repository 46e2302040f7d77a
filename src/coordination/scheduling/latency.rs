//! Latency-sensitive classes: jobs whose tasks are to start within less than a heartbeat
//! interval.

use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;

/// Most classes that are remembered; later ones are not.
const MAX_CLASSES: usize = 64;

/// What a task of a latency-sensitive class takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencySensitiveTask {
    /// What one task takes.
    pub(crate) resources: Resources,
    /// Whether it may run on spot machines.
    pub(crate) allows_spot: bool,
}

/// The latency-sensitive classes seen so far, and whether work of one has come to wait.
#[derive(Debug, Default)]
pub(crate) struct LatencySensitiveClasses {
    /// What a task takes, by the name of its class.
    classes: HashMap<String, LatencySensitiveTask>,
    /// Work was announced since it was last asked for.
    has_new_work: bool,
}

impl LatencySensitiveClasses {
    /// Notes what a task of the class takes: further tasks like it are likely to come.
    pub(crate) fn record(&mut self, class: &str, task: LatencySensitiveTask) {
        if self.classes.contains_key(class) || self.classes.len() < MAX_CLASSES {
            self.classes.insert(class.to_owned(), task);
        }
    }

    /// Whether a task of some class fits into the free capacity of a machine, which is a spot
    /// machine or not.
    pub(crate) fn could_use(&self, free: &Resources, is_spot: bool) -> bool {
        self.classes.values().any(|task| task.resources.fits(free) && (task.allows_spot || !is_spot))
    }

    /// Latency-sensitive work may have come to wait.
    pub(crate) fn announce_work(&mut self) {
        self.has_new_work = true;
    }

    /// Whether such work was announced since the last call.
    pub(crate) fn take_announcement(&mut self) -> bool {
        std::mem::take(&mut self.has_new_work)
    }
}
