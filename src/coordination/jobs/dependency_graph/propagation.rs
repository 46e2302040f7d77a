//! Propagates changes of cancellations and urgencies through the graph.

use std::collections::BTreeSet;

use crate::coordination::jobs::dependency_graph::rank::Rank;
use crate::coordination::jobs::dependency_graph::{Cancellation, DependencyGraph};
use crate::protocol::jobs::JobId;

impl DependencyGraph {
    /// Raises the cancellation of all dependents, direct and indirect, to at least this one.
    /// Returns the dependents whose cancellation was lower before.
    pub(super) fn propagate_cancellation(&mut self, job: &JobId, cancellation: Cancellation) -> Vec<JobId> {
        let mut raised = Vec::new();
        let mut work = vec![job.clone()];
        while let Some(next) = work.pop() {
            self.steps += 1;
            for dependent in self.dependents_of(&next) {
                self.steps += 1;
                let Some(node) = self.nodes.get_mut(&dependent) else { continue };
                if node.cancellation < cancellation {
                    node.cancellation = cancellation;
                    raised.push(dependent.clone());
                    work.push(dependent);
                }
            }
        }
        raised
    }

    fn dependents_of(&self, job: &JobId) -> Vec<JobId> {
        self.nodes.get(job).map(|node| node.dependents.iter().cloned().collect()).unwrap_or_default()
    }

    /// Propagates what these jobs pass on to their dependencies, direct and indirect, after their
    /// own or inherited urgencies or their cancellations have changed.
    ///
    /// The job of the highest rank comes first. All its dependents have higher ranks, so none of them
    /// changes any more, and no job is visited twice.
    pub(super) fn propagate_urgency(&mut self, changed: &[JobId]) {
        let ranked = |job: &JobId| self.nodes.get(job).map(|node| (node.rank, job.clone()));
        let mut queue: BTreeSet<(Rank, JobId)> = changed.iter().filter_map(ranked).collect();
        while let Some((rank, job)) = queue.pop_last() {
            self.steps += 1;
            queue.extend(self.pass_on_urgency(rank, &job));
        }
    }

    /// Updates what a job passes on to its dependencies. Returns those whose inherited urgency changes
    /// with it.
    fn pass_on_urgency(&mut self, rank: Rank, job: &JobId) -> Vec<(Rank, JobId)> {
        let Some(node) = self.nodes.get_mut(job) else { return Vec::new() };
        let urgency = node.urgency_for_dependencies();
        let before = std::mem::replace(&mut node.passed_on, urgency);
        if before == urgency {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for id in node.unmet.clone() {
            self.steps += 1;
            let Some(dependency) = self.nodes.get_mut(&id) else { continue };
            // Only records that contradict each other contain a cycle: nothing goes round it.
            let is_below = dependency.rank < rank;
            if dependency.inherited.replace(before, urgency) && is_below {
                changed.push((dependency.rank, id));
            }
        }
        changed
    }
}
