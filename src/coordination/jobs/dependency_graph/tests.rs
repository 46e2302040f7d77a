mod cost;
mod recomputation;

use tokio::time::Instant;

use super::*;
use crate::protocol::jobs::Priority;

fn id(text: &str) -> JobId {
    JobId::parse(&format!("job-{text}")).expect("valid id")
}

fn sorted_names(jobs: Vec<JobId>) -> Vec<String> {
    let mut names: Vec<String> = jobs.iter().map(|job| job.as_str().replace("job-", "")).collect();
    names.sort();
    names
}

fn dependent_on(dependencies: &[&str]) -> NewDependent {
    NewDependent {
        unmet: dependencies.iter().map(|dependency| id(dependency)).collect(),
        cancellation: Cancellation::NotCancelled,
        urgency: Urgency { priority: Priority::BestEffort, finish_by: None },
        duration: Duration::from_secs(10),
    }
}

fn graph(edges: &[(&str, &[&str])]) -> DependencyGraph {
    let mut graph = DependencyGraph::default();
    for (job, dependencies) in edges {
        graph.insert(&id(job), dependent_on(dependencies));
    }
    graph
}

#[test]
fn a_job_is_ready_once_its_last_dependency_is_done() {
    let mut graph = graph(&[("b", &["a"]), ("c", &["a"]), ("d", &["b", "c"])]);
    assert_eq!(sorted_names(graph.complete(&id("a"))), ["b", "c"]);
    assert!(graph.complete(&id("b")).is_empty());
    assert!(!graph.is_ready(&id("d")) && graph.is_ready(&id("c")));
    assert_eq!(sorted_names(graph.complete(&id("c"))), ["d"]);
    assert!(graph.complete(&id("c")).is_empty(), "a second completion makes no job ready");
}

/// In a graph with a chain, a diamond, fan-in and fan-out, exactly the direct and indirect
/// dependents of a cancelled job are cancelled.
#[test]
fn all_dependents_of_a_cancelled_job_are_cancelled() {
    let mut graph = graph(&[
        ("b", &["a"]),
        ("c", &["a"]),
        ("d", &["b", "c"]),
        ("e", &["d", "x"]),
        ("y", &["x"]),
        ("z", &["y"]),
    ]);
    graph.mark_cancellation_pending(&id("b"));
    assert_eq!([id("d"), id("e")].map(|job| graph.cancellation(&job)), [Cancellation::Pending; 2]);
    // A job that is inserted while the outcome is not known.
    graph.insert(&id("f"), dependent_on(&["e"]));
    assert_eq!(graph.cancellation(&id("f")), Cancellation::Pending);
    assert_eq!(sorted_names(graph.cancel(&id("b"))), ["d", "e", "f"]);
    for job in ["a", "c", "x", "y", "z"] {
        assert_eq!(graph.cancellation(&id(job)), Cancellation::NotCancelled, "{job}");
    }
    graph.insert(&id("g"), dependent_on(&["f", "y"]));
    assert_eq!(graph.cancellation(&id("g")), Cancellation::Cancelled);
    assert!(graph.complete(&id("c")).is_empty(), "a cancelled job is never ready");
    assert!(!graph.is_ready(&id("d")));
    assert_eq!(sorted_names(graph.complete(&id("x"))), ["y"]);
}

/// A new leader may read a job before the jobs that it depends on.
#[test]
fn cancellation_does_not_depend_on_the_insertion_order() {
    let mut graph = graph(&[("c", &["b"])]);
    graph.insert(&id("b"), NewDependent { cancellation: Cancellation::Cancelled, ..dependent_on(&[]) });
    assert_eq!(graph.cancellation(&id("c")), Cancellation::Cancelled);
}

#[test]
fn inherited_urgency_is_recomputed_when_dependents_leave() {
    let now = Instant::now();
    let due = |s| Some(now + Duration::from_secs(s));
    let urgent_dependent_on = |dependencies: &[&str], priority, s| {
        let urgency = Urgency { priority, finish_by: due(s) };
        NewDependent { urgency, ..dependent_on(dependencies) }
    };
    let mut graph = graph(&[("b", &["a"]), ("c", &["a"])]);
    assert_eq!(graph.inherited(&id("a")).map(|u| u.priority), Some(Priority::BestEffort));
    graph.insert(&id("d"), urgent_dependent_on(&["b", "c"], Priority::High, 100));
    graph.insert(&id("e"), urgent_dependent_on(&["c"], Priority::Standard, 60));
    let inherited =
        |graph: &DependencyGraph, job| graph.inherited(&id(job)).map(|u| (u.priority, u.finish_by));
    assert_eq!(inherited(&graph, "b"), Some((Priority::High, due(90))));
    assert_eq!(inherited(&graph, "c"), Some((Priority::High, due(50))));
    assert_eq!(inherited(&graph, "a"), Some((Priority::High, due(40))));
    assert_eq!(sorted_names(graph.cancel(&id("d"))), Vec::<String>::new());
    assert_eq!(inherited(&graph, "b"), None);
    assert_eq!(inherited(&graph, "c"), Some((Priority::Standard, due(50))));
    assert_eq!(inherited(&graph, "a"), Some((Priority::Standard, due(40))));
    graph.remove(&id("e"));
    assert_eq!(inherited(&graph, "a"), Some((Priority::BestEffort, None)));
}

/// Traversals do not recurse, so the stack does not limit the length of a chain.
#[test]
fn a_chain_of_100_000_jobs_is_traversed_without_recursion() {
    let mut graph = DependencyGraph::default();
    let name = |n: u32| format!("{n}");
    for n in 1..100_000 {
        graph.insert(&id(&name(n)), dependent_on(&[&name(n - 1)]));
    }
    let urgent = Urgency { priority: Priority::Critical, finish_by: None };
    graph.insert(&id("last"), NewDependent { urgency: urgent, ..dependent_on(&[&name(99_999)]) });
    assert_eq!(graph.inherited(&id("0")).map(|u| u.priority), Some(Priority::Critical));
    assert_eq!(graph.cancel(&id("0")).len(), 100_000);
    for n in 0..100_000 {
        graph.remove(&id(&name(n)));
    }
    graph.remove(&id("last"));
    assert!(graph.nodes.is_empty());
}

/// The dependencies of a job that is not in the graph are unknown.
#[test]
fn a_job_that_is_not_in_the_graph_is_not_ready() {
    let mut graph = DependencyGraph::default();
    assert!(!graph.is_ready(&id("a")));
    graph.insert(&id("b"), dependent_on(&["a"]));
    assert!(!graph.is_ready(&id("b")));
    assert_eq!(graph.complete(&id("a")), [id("b")]);
    assert!(graph.is_ready(&id("b")));
    graph.remove(&id("b"));
    assert!(!graph.is_ready(&id("b")));
}

/// Retracting an admission that was not carried out leaves the job's dependents in the graph.
#[test]
fn a_retracted_job_keeps_its_dependents() {
    let mut graph = DependencyGraph::default();
    graph.insert(&id("c"), dependent_on(&["b"]));
    graph.insert(&id("b"), dependent_on(&["a"]));
    graph.retract(&id("b"));
    assert!(graph.cancel(&id("a")).is_empty(), "a retracted job has no dependencies");
    assert_eq!(graph.cancel(&id("b")), [id("c")]);
    graph.retract(&id("d"));
    graph.insert(&id("e"), dependent_on(&[]));
    graph.retract(&id("e"));
    assert!(!graph.is_ready(&id("e")));
}
