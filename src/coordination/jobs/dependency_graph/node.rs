//! A job in the graph of dependencies.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::coordination::jobs::dependency_graph::Cancellation;
use crate::coordination::jobs::dependency_graph::rank::Rank;
use crate::coordination::jobs::dependency_graph::urgency::{InheritedUrgencies, Urgency};
use crate::protocol::jobs::JobId;

/// A job in the graph. Each edge is in [`Self::unmet`] of one job and in [`Self::dependents`] of the
/// other.
#[derive(Debug)]
pub(super) struct GraphNode {
    /// Dependencies that are not terminal yet. A cancelled job keeps only those that are cancelled.
    pub(super) unmet: BTreeSet<JobId>,
    /// Jobs that depend on it.
    pub(super) dependents: BTreeSet<JobId>,
    pub(super) cancellation: Cancellation,
    /// Higher than the ranks of its dependencies.
    pub(super) rank: Rank,
    /// Its own urgency and expected duration; `None` for a job without dependencies, for which
    /// the graph needs neither.
    pub(super) own_urgency: Option<(Urgency, Duration)>,
    /// What its dependents pass on to it.
    pub(super) inherited: InheritedUrgencies,
    /// What it passes on to each of its dependencies.
    pub(super) passed_on: Option<Urgency>,
}

impl GraphNode {
    pub(super) fn without_dependencies(rank: Rank) -> Self {
        GraphNode {
            unmet: BTreeSet::new(),
            dependents: BTreeSet::new(),
            cancellation: Cancellation::NotCancelled,
            rank,
            own_urgency: None,
            inherited: InheritedUrgencies::default(),
            passed_on: None,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.unmet.is_empty() && !self.is_cancelled()
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancellation == Cancellation::Cancelled
    }

    /// The urgency that its dependencies inherit from it; none if it is cancelled. Their deadline is
    /// the earlier of its own and its inherited deadline, minus its expected duration.
    pub(super) fn urgency_for_dependencies(&self) -> Option<Urgency> {
        if self.is_cancelled() {
            return None;
        }
        let (own, duration) = self.own_urgency?;
        let combined = self.inherited.most_urgent().map_or(own, |inherited| own.most_urgent(inherited));
        // The clock reaches further back than the bounded durations of any pipeline add up to.
        let finish_by = combined.finish_by.map(|at| at.checked_sub(duration).unwrap_or(at));
        Some(Urgency { finish_by, ..combined })
    }
}
