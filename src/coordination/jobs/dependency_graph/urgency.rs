//! How urgent jobs are, and the urgencies that a job inherits from its dependents.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::protocol::jobs::Priority;

/// How urgent a job is, by its own description or by those of its dependents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Its priority.
    pub priority: Priority,
    /// When it has to be done, if there is a deadline.
    pub finish_by: Option<Instant>,
}

impl Urgency {
    /// The higher priority and the earlier deadline of the two.
    #[must_use]
    pub fn most_urgent(self, other: Urgency) -> Urgency {
        let finish_by = match (self.finish_by, other.finish_by) {
            (Some(own), Some(others)) => Some(own.min(others)),
            (own, others) => own.or(others),
        };
        Urgency { priority: self.priority.max(other.priority), finish_by }
    }
}

/// The urgencies that a job's direct dependents pass on to it.
#[derive(Debug, Default)]
pub(super) struct InheritedUrgencies {
    priorities: Counts<Priority>,
    deadlines: Counts<Instant>,
}

impl InheritedUrgencies {
    /// The highest priority and the earliest deadline; `None` if no dependent passes any on.
    pub(super) fn most_urgent(&self) -> Option<Urgency> {
        let priority = self.priorities.highest()?;
        Some(Urgency { priority, finish_by: self.deadlines.lowest() })
    }

    /// Replaces the urgency that one dependent passes on. Returns whether the most urgent changes.
    pub(super) fn replace(&mut self, before: Option<Urgency>, after: Option<Urgency>) -> bool {
        let most_urgent = self.most_urgent();
        if let Some(Urgency { priority, finish_by }) = before {
            self.priorities.remove(priority);
            if let Some(at) = finish_by {
                self.deadlines.remove(at);
            }
        }
        if let Some(Urgency { priority, finish_by }) = after {
            self.priorities.add(priority);
            if let Some(at) = finish_by {
                self.deadlines.add(at);
            }
        }
        self.most_urgent() != most_urgent
    }
}

/// How often each of several values occurs.
#[derive(Debug)]
struct Counts<T>(BTreeMap<T, usize>);

impl<T> Default for Counts<T> {
    fn default() -> Self {
        Counts(BTreeMap::new())
    }
}

impl<T: Ord + Copy> Counts<T> {
    fn add(&mut self, value: T) {
        *self.0.entry(value).or_default() += 1;
    }

    /// Removes one occurrence of the value.
    fn remove(&mut self, value: T) {
        let Some(count) = self.0.get_mut(&value) else { return };
        *count -= 1;
        if *count == 0 {
            self.0.remove(&value);
        }
    }

    fn lowest(&self) -> Option<T> {
        self.0.first_key_value().map(|(&value, _)| value)
    }

    fn highest(&self) -> Option<T> {
        self.0.last_key_value().map(|(&value, _)| value)
    }
}
