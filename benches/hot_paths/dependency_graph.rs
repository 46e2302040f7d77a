//! Costs of the graph of dependencies, by shape and size.

use std::collections::BTreeSet;
use std::time::{Duration, Instant as Clock};

use shedtally::coordination::jobs::dependency_graph::{Cancellation, DependencyGraph, NewDependent, Urgency};
use shedtally::protocol::jobs::{JobId, Priority};
use tokio::time::Instant;

use crate::min_cost;

/// Numbers of jobs in the measured graphs.
const SIZES: [usize; 3] = [100, 1_000, 10_000];
/// How often each operation is measured; the shortest time counts.
const ROUNDS: u32 = 5;

/// A job with the numbers of its dependencies, which are smaller than its own.
struct GraphJob {
    /// Its number.
    number: usize,
    /// The numbers of its dependencies.
    dependencies: Vec<usize>,
    /// Its expected duration.
    duration: Duration,
}

/// The jobs of a graph, dependencies first. The last one gets a deadline.
type Shape = fn(usize) -> Vec<GraphJob>;

/// The measured shapes with their names.
const SHAPES: [(&str, Shape); 3] =
    [("a chain", chain), ("a chain of diamonds", diamonds), ("dependents of one job", fan_out)];

/// Each job depends on the one before it.
fn chain(size: usize) -> Vec<GraphJob> {
    let duration = Duration::from_secs(1);
    (1..size).map(|number| GraphJob { number, dependencies: vec![number - 1], duration }).collect()
}

/// Steps of three jobs: two depend on the step before and take differently long, the third depends
/// on both.
fn diamonds(size: usize) -> Vec<GraphJob> {
    let job = |number: usize| {
        let step = number / 3;
        // Durations double up to the bound that the leader sets to them.
        let longest_s = 1 << step.min(19);
        match number % 3 {
            0 => (vec![number - 1, number - 2], 1),
            1 => (vec![number - 1], longest_s),
            _ => (vec![number - 2], longest_s / 2),
        }
    };
    let jobs = (1..size).map(|number| (number, job(number)));
    jobs.map(|(number, (dependencies, duration_s))| GraphJob {
        number,
        dependencies,
        duration: Duration::from_secs(duration_s),
    })
    .collect()
}

/// All jobs depend on the first one.
fn fan_out(size: usize) -> Vec<GraphJob> {
    let duration = Duration::from_secs(1);
    (1..size).map(|number| GraphJob { number, dependencies: vec![0], duration }).collect()
}

/// The id of the job with this number.
fn id(number: usize) -> JobId {
    JobId::parse(&format!("job-{number:06}")).expect("valid")
}

/// Inserts jobs; the job with the number `last` has a deadline at `finish_by`.
fn insert<'a>(
    graph: &mut DependencyGraph,
    jobs: impl Iterator<Item = &'a GraphJob>,
    last: usize,
    finish_by: Instant,
) {
    for job in jobs {
        let finish_by = (job.number == last).then_some(finish_by);
        let unmet: BTreeSet<JobId> = job.dependencies.iter().copied().map(id).collect();
        let urgency = Urgency { priority: Priority::Standard, finish_by };
        let (cancellation, duration) = (Cancellation::NotCancelled, job.duration);
        graph.insert(&id(job.number), NewDependent { unmet, cancellation, urgency, duration });
    }
}

/// The measured operations.
const COST_NAMES: [&str; 3] = ["dependencies first", "dependents first", "cancelled and removed"];

/// Seconds for each edge, in the order of [`COST_NAMES`].
fn costs(shape: Shape, size: usize) -> [f64; COST_NAMES.len()] {
    let jobs = shape(size);
    let edges: usize = jobs.iter().map(|job| job.dependencies.len()).sum();
    let (last, finish_by) = (size - 1, Instant::now() + Duration::from_secs(1 << 24));
    let build = |is_forward: bool| {
        let mut graph = DependencyGraph::default();
        if is_forward {
            insert(&mut graph, jobs.iter(), last, finish_by);
        } else {
            insert(&mut graph, jobs.iter().rev(), last, finish_by);
        }
        graph
    };
    let built = |is_forward: bool| {
        min_cost(ROUNDS, || {
            let started = Clock::now();
            std::hint::black_box(build(is_forward));
            (started.elapsed(), edges)
        })
    };
    let removed = min_cost(ROUNDS, || {
        let mut graph = build(true);
        let started = Clock::now();
        for job in jobs.iter().rev() {
            std::hint::black_box(graph.cancel(&id(job.number)));
            graph.remove(&id(job.number));
        }
        (started.elapsed(), edges)
    });
    [built(true), built(false), removed]
}

/// Measures all shapes and sizes and prints the ratios.
pub(crate) fn print_costs() {
    println!("cost for each edge in graphs of {SIZES:?} jobs, as a multiple of the first");
    for (shape_name, shape) in SHAPES {
        let all = SIZES.map(|size| costs(shape, size));
        for (index, cost_name) in COST_NAMES.iter().enumerate() {
            let ratios = all.map(|costs| format!("{:7.2}", costs[index] / all[0][index]));
            println!("{:48}{}", format!("{shape_name}, {cost_name}"), ratios.join(" "));
        }
    }
}
