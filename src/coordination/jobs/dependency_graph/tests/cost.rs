//! The cost of the graph's operations, in jobs looked at and edges followed.

use super::*;

/// Diamonds in a chain. A cost that doubles with each of them exceeds every bound here many times
/// over.
const DIAMONDS: u32 = 14;
/// Names of the longer and the shorter variant of a step: the longer one comes first and second.
const VARIANT_NAMES: [[&str; 2]; 2] = [["a", "b"], ["b", "a"]];

/// A job of a graph whose cost is measured.
struct GraphJob {
    id: JobId,
    dependencies: Vec<String>,
    duration_s: u64,
}

impl GraphJob {
    fn new(name: &str, dependencies: &[&str], duration_s: u64) -> Self {
        let dependencies = dependencies.iter().map(|&dependency| dependency.to_owned()).collect();
        GraphJob { id: id(name), dependencies, duration_s }
    }

    /// Inserts the job; `deadline_s` is from a common time on.
    fn insert(&self, graph: &mut DependencyGraph, now: Instant, deadline_s: Option<u64>) {
        let finish_by = deadline_s.map(|deadline_s| now + Duration::from_secs(deadline_s));
        let dependent = NewDependent {
            unmet: self.dependencies.iter().map(|dependency| id(dependency)).collect(),
            cancellation: Cancellation::NotCancelled,
            urgency: Urgency { priority: Priority::Standard, finish_by },
            duration: Duration::from_secs(self.duration_s),
        };
        graph.insert(&self.id, dependent);
    }
}

/// An operation may change ranks, cancellations and urgencies; for each of them it looks at each job
/// and follows each edge once at most.
fn max_steps(jobs: &[GraphJob]) -> u64 {
    let edges: usize = jobs.iter().map(|job| job.dependencies.len()).sum();
    let first_job = 1;
    3 * (jobs.len() + first_job + edges) as u64
}

/// The steps that an operation takes.
fn steps_of(graph: &mut DependencyGraph, operation: impl FnOnce(&mut DependencyGraph)) -> u64 {
    let before = graph.steps();
    operation(graph);
    graph.steps() - before
}

/// Each step of the chain has a longer and a shorter variant, which take twice as long as those of
/// the step before.
fn chain_of_diamonds([longer, shorter]: [&str; 2]) -> Vec<GraphJob> {
    let mut jobs = vec![GraphJob::new("join-0", &["first"], 1)];
    for step in 1..=DIAMONDS {
        let before = format!("join-{}", step - 1);
        let [longer, shorter] = [longer, shorter].map(|variant| format!("{variant}-{step}"));
        jobs.push(GraphJob::new(&longer, &[&before], 2 << step));
        jobs.push(GraphJob::new(&shorter, &[&before], 1 << step));
        jobs.push(GraphJob::new(&format!("join-{step}"), &[&longer, &shorter], 1));
    }
    jobs
}

/// Guards against a submission that hangs its controller: the last job of a pipeline brings the
/// only deadline.
#[test]
fn a_deadline_reaches_a_chain_of_diamonds_over_each_edge_once() {
    let now = Instant::now();
    for names in VARIANT_NAMES {
        let (mut graph, jobs) = (DependencyGraph::default(), chain_of_diamonds(names));
        let (last, earlier) = jobs.split_last().expect("not empty");
        for job in earlier {
            job.insert(&mut graph, now, None);
        }
        let taken = steps_of(&mut graph, |graph| last.insert(graph, now, Some(1_000_000)));
        assert!(taken <= max_steps(&jobs), "{taken} steps, longer variant {}", names[0]);
        assert!(graph.inherited(&id("first")).is_some_and(|urgency| urgency.finish_by.is_some()));
    }
}

/// Guards against a cancellation that hangs its controller: the last job of a pipeline, which alone
/// has a deadline, is cancelled, retracted or removed.
#[test]
fn a_deadline_leaves_a_chain_of_diamonds_over_each_edge_once() {
    type Operation = fn(&mut DependencyGraph, &JobId);
    let operations: [(&str, Operation); 3] = [
        ("cancel", |graph, job| drop(graph.cancel(job))),
        ("retract", DependencyGraph::retract),
        ("remove", DependencyGraph::remove),
    ];
    let now = Instant::now();
    for names in VARIANT_NAMES {
        for (operation_name, operation) in operations {
            let (mut graph, jobs) = (DependencyGraph::default(), chain_of_diamonds(names));
            let (last, earlier) = jobs.split_last().expect("not empty");
            // With the dependents first, each insertion is cheap in any order of the names.
            last.insert(&mut graph, now, Some(1_000_000));
            for job in earlier.iter().rev() {
                job.insert(&mut graph, now, None);
            }
            let taken = steps_of(&mut graph, |graph| operation(graph, &last.id));
            let longer = names[0];
            assert!(taken <= max_steps(&jobs), "{operation_name}: {taken} steps, longer variant {longer}");
            assert_eq!(graph.inherited(&id("first")).and_then(|urgency| urgency.finish_by), None);
        }
    }
}

/// Guards against removals whose cost grows with the dependents that remain.
#[test]
fn dependents_leave_a_job_one_by_one_at_the_cost_of_their_own_edge() {
    const DEPENDENTS: u64 = 2_000;
    let (mut graph, now) = (DependencyGraph::default(), Instant::now());
    let jobs: Vec<GraphJob> =
        (0..DEPENDENTS).map(|number| GraphJob::new(&format!("{number}"), &["first"], 1)).collect();
    for (job, deadline_s) in jobs.iter().zip(1..) {
        job.insert(&mut graph, now, Some(deadline_s));
    }
    for (number, job) in jobs.iter().enumerate() {
        let taken = steps_of(&mut graph, |graph| match number % 3 {
            0 => drop(graph.cancel(&job.id)),
            1 => graph.retract(&job.id),
            _ => graph.remove(&job.id),
        });
        assert!(taken <= max_steps(std::slice::from_ref(job)), "{taken} steps for dependent {number}");
    }
    assert_eq!(graph.inherited(&id("first")), None);
}

/// Guards against a failover or a long pipeline whose cost grows with the square of its length: a
/// chain that is built from either end, with a deadline at its last job.
#[test]
fn a_chain_is_built_from_either_end_at_the_cost_of_its_edges() {
    const LENGTH: u64 = 3_000;
    let now = Instant::now();
    let chain: Vec<GraphJob> = (0..LENGTH)
        .map(|number| GraphJob::new(&format!("{}", number + 1), &[&format!("{number}")], 1))
        .collect();
    let deadline = |index: usize| (index + 1 == chain.len()).then_some(1_000_000);
    let forward: Vec<usize> = (0..chain.len()).collect();
    let backward: Vec<usize> = forward.iter().rev().copied().collect();
    for order in [forward, backward] {
        let mut graph = DependencyGraph::default();
        let taken = steps_of(&mut graph, |graph| {
            for &index in &order {
                chain[index].insert(graph, now, deadline(index));
            }
        });
        assert!(taken <= max_steps(&chain), "{taken} steps");
        assert!(graph.inherited(&id("0")).is_some_and(|urgency| urgency.finish_by.is_some()));
    }
}
