//! Ranks of the jobs in the graph: a topological order in which each job ranks above its
//! dependencies.
//!
//! Jobs are inserted in any order, since a new leader reads them in any order. A job without
//! dependents is ranked above its dependencies, and dependencies without dependencies of their own
//! are ranked below it, so pipelines that grow at one end move no other job. Otherwise the
//! dependencies move down, and all theirs that are in the way.

use std::collections::{BTreeSet, BinaryHeap};

use crate::coordination::jobs::dependency_graph::DependencyGraph;
use crate::coordination::jobs::dependency_graph::node::GraphNode;
use crate::maps::HashSet;
use crate::protocol::jobs::JobId;

/// The place of a job in the topological order.
pub(super) type Rank = i64;

/// A job that has to move down to a rank.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Move {
    /// By how much it moves; first in the order.
    distance: Rank,
    to: Rank,
    job: JobId,
}

impl DependencyGraph {
    /// Ranks a job above its dependencies. Adds it and those of them that are not in the graph.
    pub(super) fn rank_above_dependencies(&mut self, job: &JobId, dependencies: &BTreeSet<JobId>) {
        let ranks = dependencies.iter().filter_map(|dependency| self.nodes.get(dependency));
        let highest = ranks.map(|node| node.rank).max();
        let node = self.nodes.entry(job.clone()).or_insert_with(|| GraphNode::without_dependencies(0));
        if node.dependents.is_empty() {
            node.rank = highest.map_or(node.rank, |highest| node.rank.max(highest + 1));
        }
        let rank = node.rank;
        for dependency in dependencies {
            let node = || GraphNode::without_dependencies(rank - 1);
            self.nodes.entry(dependency.clone()).or_insert_with(node);
        }
        self.move_below(rank, dependencies);
    }

    /// Moves jobs below a rank, and their dependencies below them.
    ///
    /// The job that moves farthest comes first. A dependency never has to move farther than the job
    /// that it makes way for, so no job has to move twice.
    fn move_below(&mut self, rank: Rank, jobs: &BTreeSet<JobId>) {
        let mut moved: HashSet<JobId> = HashSet::default();
        let mut moves = BinaryHeap::from(self.moves_below(rank, jobs));
        while let Some(Move { to, job, .. }) = moves.pop() {
            let Some(node) = self.nodes.get_mut(&job).filter(|_| moved.insert(job)) else { continue };
            node.rank = to;
            let unmet = node.unmet.clone();
            self.steps += 1;
            moves.extend(self.moves_below(to, &unmet));
        }
    }

    /// The moves that bring those of the jobs below a rank that are not.
    fn moves_below(&mut self, rank: Rank, jobs: &BTreeSet<JobId>) -> Vec<Move> {
        self.steps += jobs.len() as u64;
        let to = rank - 1;
        let ranks = jobs.iter().filter_map(|job| self.nodes.get(job).map(|node| (job, node.rank)));
        let above = ranks.filter(|(_, rank)| *rank > to);
        above.map(|(job, rank)| Move { distance: rank - to, to, job: job.clone() }).collect()
    }
}
