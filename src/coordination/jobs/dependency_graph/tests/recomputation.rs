//! Compares the graph with one that recomputes everything from its edges, over random operations.

use std::collections::BTreeMap;

use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

use super::*;
use crate::coordination::tests::reproducible_cases;

/// Jobs in a graph. Each depends on jobs with lower numbers only.
const JOBS: u32 = 20;
/// The number of random sequences, unless `PROPTEST_CASES` names another.
const SEQUENCES: u32 = 256;
/// Operations on a graph.
const OPERATIONS: usize = 60;
/// An insertion of a job that is in the graph removes and adds edges; the changes of urgencies on
/// both sides, cancellations and ranks each visit every job and follow every edge once at most.
const MAX_TRAVERSALS: u64 = 5;

#[derive(Debug, Clone)]
enum Operation {
    Insert { job: u32, dependencies: BTreeSet<u32>, is_cancelled: bool, urgency: Urgency, duration: Duration },
    Complete(u32),
    MarkPending(u32),
    Cancel(u32),
    Retract(u32),
    Remove(u32),
}

#[derive(Debug, Clone)]
struct ReferenceNode {
    unmet: BTreeSet<u32>,
    dependents: BTreeSet<u32>,
    cancellation: Cancellation,
    own_urgency: Option<(Urgency, Duration)>,
}

impl Default for ReferenceNode {
    fn default() -> Self {
        ReferenceNode {
            unmet: BTreeSet::new(),
            dependents: BTreeSet::new(),
            cancellation: Cancellation::NotCancelled,
            own_urgency: None,
        }
    }
}

/// A graph that stores no urgencies.
#[derive(Debug, Default)]
struct ReferenceGraph(BTreeMap<u32, ReferenceNode>);

impl ReferenceGraph {
    fn insert(&mut self, job: u32, dependencies: &BTreeSet<u32>, cancellation: Cancellation) {
        self.detach(job);
        let mut cancellation = cancellation;
        for &dependency in dependencies {
            let node = self.0.entry(dependency).or_default();
            node.dependents.insert(job);
            cancellation = cancellation.max(node.cancellation);
        }
        let node = self.0.entry(job).or_default();
        node.unmet = dependencies.clone();
        node.cancellation = node.cancellation.max(cancellation);
        let cancellation = node.cancellation;
        self.raise(job, cancellation);
    }

    fn detach(&mut self, job: u32) {
        let unmet = self.0.get_mut(&job).map(|node| std::mem::take(&mut node.unmet));
        for dependency in unmet.unwrap_or_default() {
            self.0.get_mut(&dependency).map(|node| node.dependents.remove(&job));
        }
    }

    /// Raises the cancellation of all dependents; returns those for which it was lower.
    fn raise(&mut self, job: u32, cancellation: Cancellation) -> BTreeSet<u32> {
        let mut raised = BTreeSet::new();
        for dependent in self.0.get(&job).map(|node| node.dependents.clone()).unwrap_or_default() {
            let Some(node) = self.0.get_mut(&dependent) else { continue };
            if node.cancellation < cancellation {
                node.cancellation = cancellation;
                raised.insert(dependent);
            }
            raised.extend(self.raise(dependent, cancellation));
        }
        raised
    }

    fn cancel(&mut self, job: u32) -> BTreeSet<u32> {
        if let Some(node) = self.0.get_mut(&job) {
            node.cancellation = Cancellation::Cancelled;
        }
        let dependents = self.raise(job, Cancellation::Cancelled);
        let is_member = |id: &u32| *id == job || dependents.contains(id);
        for (id, node) in &mut self.0 {
            if is_member(id) {
                node.unmet.retain(is_member);
            } else {
                node.dependents.retain(|dependent| !is_member(dependent));
            }
        }
        dependents
    }

    fn complete(&mut self, job: u32) -> BTreeSet<u32> {
        let dependents = self.0.get_mut(&job).map(|node| std::mem::take(&mut node.dependents));
        let mut ready = BTreeSet::new();
        for dependent in dependents.unwrap_or_default() {
            self.0.get_mut(&dependent).map(|node| node.unmet.remove(&job));
            if self.is_ready(dependent) {
                ready.insert(dependent);
            }
        }
        ready
    }

    fn remove(&mut self, job: u32) {
        self.detach(job);
        let waiting: BTreeSet<u32> = self.0.get(&job).map(|node| node.dependents.clone()).unwrap_or_default();
        let is_waiting = |id: &u32| self.0[id].cancellation != Cancellation::Cancelled;
        let (dependents, cancelled): (BTreeSet<u32>, BTreeSet<u32>) =
            waiting.into_iter().partition(is_waiting);
        for dependent in cancelled {
            self.0.get_mut(&dependent).map(|node| node.unmet.remove(&job));
        }
        self.0.remove(&job);
        if !dependents.is_empty() {
            self.0.insert(job, ReferenceNode { dependents, ..ReferenceNode::default() });
        }
    }

    fn is_ready(&self, job: u32) -> bool {
        let is_ready =
            |node: &ReferenceNode| node.unmet.is_empty() && node.cancellation != Cancellation::Cancelled;
        self.0.get(&job).is_some_and(is_ready)
    }

    /// The most urgent of what the dependents of a job pass on. `known` has the jobs determined so far.
    fn inherited(&self, job: u32, known: &mut BTreeMap<u32, Option<Urgency>>) -> Option<Urgency> {
        if let Some(inherited) = known.get(&job) {
            return *inherited;
        }
        let dependents = self.0.get(&job).map(|node| node.dependents.clone()).unwrap_or_default();
        let passed_on = dependents.into_iter().filter_map(|dependent| {
            let node = self.0.get(&dependent)?;
            let (own, duration) = node.own_urgency?;
            let inherited = self.inherited(dependent, known);
            let combined = inherited.map_or(own, |inherited| own.most_urgent(inherited));
            let urgency = Urgency { finish_by: combined.finish_by.map(|at| at - duration), ..combined };
            (node.cancellation != Cancellation::Cancelled).then_some(urgency)
        });
        let inherited = passed_on.reduce(Urgency::most_urgent);
        known.insert(job, inherited);
        inherited
    }

    /// Jobs and edges.
    fn size(&self) -> u64 {
        self.0.values().map(|node| 1 + node.unmet.len() as u64).sum()
    }
}

/// The order of the names is not that of the numbers.
fn name(job: u32) -> JobId {
    id(&format!("{:02}", job * 7 % JOBS))
}

/// Applies an operation to both graphs, and compares what it returns.
fn apply(operation: &Operation, graph: &mut DependencyGraph, reference: &mut ReferenceGraph) {
    let names = |jobs: BTreeSet<u32>| jobs.into_iter().map(name).collect::<BTreeSet<JobId>>();
    match operation.clone() {
        Operation::Insert { job, dependencies, is_cancelled, urgency, duration } => {
            let cancellation =
                if is_cancelled { Cancellation::Cancelled } else { Cancellation::NotCancelled };
            reference.insert(job, &dependencies, cancellation);
            reference.0.entry(job).or_default().own_urgency = Some((urgency, duration));
            let unmet = names(dependencies);
            graph.insert(&name(job), NewDependent { unmet, cancellation, urgency, duration });
        }
        Operation::Complete(job) => {
            let ready = BTreeSet::from_iter(graph.complete(&name(job)));
            assert_eq!(ready, names(reference.complete(job)));
        }
        Operation::MarkPending(job) => {
            graph.mark_cancellation_pending(&name(job));
            reference.raise(job, Cancellation::Pending);
        }
        Operation::Cancel(job) => {
            let cancelled = BTreeSet::from_iter(graph.cancel(&name(job)));
            assert_eq!(cancelled, names(reference.cancel(job)));
        }
        Operation::Retract(job) => {
            graph.retract(&name(job));
            reference.remove(job);
        }
        Operation::Remove(job) => {
            graph.remove(&name(job));
            reference.remove(job);
        }
    }
}

/// An instant that all cases share, so that the urgencies of a case are its inputs alone.
fn epoch() -> Instant {
    thread_local!(static EPOCH: Instant = Instant::now());
    EPOCH.with(|epoch| *epoch)
}

fn urgency() -> impl Strategy<Value = Urgency> {
    let priority = prop::sample::select(vec![
        Priority::BestEffort,
        Priority::Standard,
        Priority::High,
        Priority::Critical,
    ]);
    (priority, prop::option::weighted(0.3, 0..5_000_u64)).prop_map(|(priority, deadline_s)| {
        let finish_by = deadline_s.map(|deadline_s| epoch() + Duration::from_secs(deadline_s));
        Urgency { priority, finish_by }
    })
}

fn insertion() -> impl Strategy<Value = Operation> {
    (1..JOBS).prop_flat_map(|job| {
        let duration = (0..12_u32).prop_map(|power| Duration::from_secs(1 << power));
        let inputs = (btree_set(0..job, 1..5), prop::bool::weighted(0.03), urgency(), duration);
        inputs.prop_map(move |(dependencies, is_cancelled, urgency, duration)| Operation::Insert {
            job,
            dependencies,
            is_cancelled,
            urgency,
            duration,
        })
    })
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        8 => insertion(),
        1 => (0..JOBS).prop_map(Operation::Complete),
        1 => (0..JOBS).prop_map(Operation::MarkPending),
        1 => (0..JOBS).prop_map(Operation::Cancel),
        1 => (0..JOBS).prop_map(Operation::Retract),
        1 => (0..JOBS).prop_map(Operation::Remove),
    ]
}

proptest! {
    #![proptest_config(reproducible_cases(SEQUENCES))]

    /// Guards against urgencies and cancellations that depend on the order of the operations, and
    /// against operations that visit a job twice.
    #[test]
    fn the_graph_agrees_with_a_recomputation_from_its_edges(operations in vec(operation(), 1..OPERATIONS)) {
        let (mut graph, mut reference) = (DependencyGraph::default(), ReferenceGraph::default());
        for operation in &operations {
            let (steps, size) = (graph.steps(), reference.size());
            apply(operation, &mut graph, &mut reference);
            let max_steps = MAX_TRAVERSALS * size.max(reference.size()) + 1;
            prop_assert!(graph.steps() - steps <= max_steps, "{operation:?}");
            let mut known = BTreeMap::new();
            for job in 0..JOBS {
                let inherited = reference.inherited(job, &mut known);
                prop_assert_eq!(graph.inherited(&name(job)), inherited, "job {}", job);
                let cancellation = reference.0.get(&job).map(|node| node.cancellation);
                let cancellation = cancellation.unwrap_or(Cancellation::NotCancelled);
                prop_assert_eq!(graph.cancellation(&name(job)), cancellation, "job {}", job);
                prop_assert_eq!(graph.is_ready(&name(job)), reference.is_ready(job), "job {}", job);
            }
        }
    }
}
