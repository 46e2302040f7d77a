use super::*;

fn id(text: &str) -> JobId {
    JobId::parse(&format!("job-{text}")).expect("valid id")
}

fn names(jobs: Vec<JobId>) -> Vec<String> {
    let mut names: Vec<String> = jobs.iter().map(|job| job.as_str().replace("job-", "")).collect();
    names.sort();
    names
}

fn plain(dependencies: &[&str]) -> NewDependent {
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
        graph.insert(&id(job), plain(dependencies));
    }
    graph
}

#[test]
fn a_job_is_ready_once_its_last_dependency_is_done() {
    let mut graph = graph(&[("b", &["a"]), ("c", &["a"]), ("d", &["b", "c"])]);
    assert_eq!(names(graph.complete(&id("a"))), ["b", "c"]);
    assert!(graph.complete(&id("b")).is_empty());
    assert!(!graph.is_ready(&id("d")) && graph.is_ready(&id("c")));
    assert_eq!(names(graph.complete(&id("c"))), ["d"]);
    assert!(graph.complete(&id("c")).is_empty(), "a second time says nothing new");
}

/// A chain, a diamond, fan-in and fan-out: all dependents of a cancelled job are cancelled,
/// and nothing beside them.
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
    // One that comes while the outcome is not known.
    graph.insert(&id("f"), plain(&["e"]));
    assert_eq!(graph.cancellation(&id("f")), Cancellation::Pending);
    assert_eq!(names(graph.cancel(&id("b"))), ["d", "e", "f"]);
    for job in ["a", "c", "x", "y", "z"] {
        assert_eq!(graph.cancellation(&id(job)), Cancellation::NotCancelled, "{job}");
    }
    graph.insert(&id("g"), plain(&["f", "y"]));
    assert_eq!(graph.cancellation(&id("g")), Cancellation::Cancelled);
    assert!(graph.complete(&id("c")).is_empty(), "a cancelled job is never ready");
    assert!(!graph.is_ready(&id("d")));
    assert_eq!(names(graph.complete(&id("x"))), ["y"]);
}

/// Read by a new leader, a job may come before its dependencies.
#[test]
fn the_order_in_which_jobs_join_does_not_matter() {
    let mut graph = graph(&[("c", &["b"])]);
    graph.insert(&id("b"), NewDependent { cancellation: Cancellation::Cancelled, ..plain(&[]) });
    assert_eq!(graph.cancellation(&id("c")), Cancellation::Cancelled);
}

#[test]
fn urgency_is_inherited_along_the_path_and_falls_back() {
    let now = Instant::now();
    let due = |s| Some(now + Duration::from_secs(s));
    let last = |dependencies: &[&str], priority, s| {
        let urgency = Urgency { priority, finish_by: due(s) };
        NewDependent { urgency, ..plain(dependencies) }
    };
    let mut graph = graph(&[("b", &["a"]), ("c", &["a"])]);
    assert_eq!(graph.inherited(&id("a")).map(|u| u.priority), Some(Priority::BestEffort));
    graph.insert(&id("d"), last(&["b", "c"], Priority::High, 100));
    graph.insert(&id("e"), last(&["c"], Priority::Standard, 60));
    let inherited =
        |graph: &DependencyGraph, job| graph.inherited(&id(job)).map(|u| (u.priority, u.finish_by));
    assert_eq!(inherited(&graph, "b"), Some((Priority::High, due(90))));
    assert_eq!(inherited(&graph, "c"), Some((Priority::High, due(50))));
    assert_eq!(inherited(&graph, "a"), Some((Priority::High, due(40))));
    assert_eq!(names(graph.cancel(&id("d"))), Vec::<String>::new());
    assert_eq!(inherited(&graph, "b"), None);
    assert_eq!(inherited(&graph, "c"), Some((Priority::Standard, due(50))));
    assert_eq!(inherited(&graph, "a"), Some((Priority::Standard, due(40))));
    graph.remove(&id("e"));
    assert_eq!(inherited(&graph, "a"), Some((Priority::BestEffort, None)));
}

/// No step recurses: a chain may be longer than any stack.
#[test]
fn a_long_chain_costs_a_step_for_each_edge() {
    let mut graph = DependencyGraph::default();
    let name = |n: u32| format!("{n}");
    for n in 1..100_000 {
        graph.insert(&id(&name(n)), plain(&[&name(n - 1)]));
    }
    let urgent = Urgency { priority: Priority::Critical, finish_by: None };
    graph.insert(&id("last"), NewDependent { urgency: urgent, ..plain(&[&name(99_999)]) });
    assert_eq!(graph.inherited(&id("0")).map(|u| u.priority), Some(Priority::Critical));
    assert_eq!(graph.cancel(&id("0")).len(), 100_000);
    for n in 0..100_000 {
        graph.remove(&id(&name(n)));
    }
    graph.remove(&id("last"));
    assert!(graph.nodes.is_empty());
}

/// A job that the graph does not hold may depend on anything.
#[test]
fn a_job_that_the_graph_does_not_hold_is_not_ready() {
    let mut graph = DependencyGraph::default();
    assert!(!graph.is_ready(&id("a")));
    graph.insert(&id("b"), plain(&["a"]));
    assert!(!graph.is_ready(&id("b")));
    assert_eq!(graph.complete(&id("a")), [id("b")]);
    assert!(graph.is_ready(&id("b")));
    graph.remove(&id("b"));
    assert!(!graph.is_ready(&id("b")));
}

/// An admission that was not carried out takes nothing from the job's dependents.
#[test]
fn a_retracted_job_keeps_its_dependents() {
    let mut graph = DependencyGraph::default();
    graph.insert(&id("c"), plain(&["b"]));
    graph.insert(&id("b"), plain(&["a"]));
    graph.retract(&id("b"));
    assert!(graph.cancel(&id("a")).is_empty(), "its dependencies count for nothing");
    assert_eq!(graph.cancel(&id("b")), [id("c")]);
    graph.retract(&id("d"));
    graph.insert(&id("e"), plain(&[]));
    graph.retract(&id("e"));
    assert!(!graph.is_ready(&id("e")));
}
