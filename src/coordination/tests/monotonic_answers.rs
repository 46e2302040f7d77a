//! Answers to users are monotonic: once any controller has reported a job as done or
//! cancelled, none reports another state. Checked under random sequences of faults, with users
//! that poll all controllers about all jobs, also long after these are terminal.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::random_faults::{env_number, in_simulated_time};
use super::simulation::{ClusterShape, Fault, Simulation, Trace};

/// Environment variable: the number of seeds to run, more for a longer search.
const SEEDS_VARIABLE: &str = "SHEDTALLY_ANSWER_SEEDS";
/// Environment variable: the first seed.
const FIRST_SEED_VARIABLE: &str = "SHEDTALLY_FIRST_ANSWER_SEED";

/// No random job arrives and no fault begins after this time, in seconds of simulated time. Some
/// faults last longer.
const FAULTS_END: f64 = 45.0;
/// When the simulation ends, in seconds of simulated time.
const END: f64 = 75.0;

/// Random overlapping faults, after which controllers know different states of the same jobs.
fn random_faults(seed: u64, controllers: usize) -> Vec<(f64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xa115);
    (0..rng.random_range(4..14))
        .map(|_| {
            let at = rng.random_range(8.0..38.0);
            let restart_after = [0.1, 0.4, 3.0][rng.random_range(0..3)];
            let (probability, lasts) = (rng.random_range(0.1..0.7), rng.random_range(0.3..18.0));
            let peers = rng.random_bool(0.5);
            let controller = rng.random_bool(0.3).then(|| rng.random_range(0..controllers));
            let fault = match rng.random_range(0..20) {
                0 => Fault::Kill { controller, restart_after },
                1 => Fault::KillAll { restart_after },
                2 => Fault::Outage { lasts: lasts / 2.0 },
                3 => Fault::StateServiceRefuses { lasts, peers },
                4 | 5 => Fault::StateServiceUnreachable { lasts, peers },
                6 => Fault::DelayedWrites { probability, lasts },
                7..=9 => Fault::LostResponses { probability, lasts },
                10 => Fault::DuplicatedWrites { probability, lasts },
                11 | 12 => Fault::DelayedResponses { probability, lasts },
                13 => Fault::DuplicatedRequests { probability, lasts },
                14 | 15 => Fault::PeersUnreachable { lasts },
                16 | 17 => Fault::Stall { controller, lasts: rng.random_range(0.2..6.0) },
                18 => Fault::CancelNow { count: rng.random_range(1..8), hang: 0.0 },
                _ => Fault::CancelAtEnd { probability, lasts },
            };
            (at, fault)
        })
        .collect()
}

/// Clusters of three and of five controllers, some crowded, some with dependencies.
fn shape(seed: u64) -> ClusterShape {
    let controllers = if seed.is_multiple_of(2) { 5 } else { 3 };
    let shape =
        if seed % 8 < 2 { ClusterShape::crowded(controllers) } else { ClusterShape::busy(controllers) };
    // If values are limited to less than 1 KB, a record cannot hold a list of dependencies.
    let dependent_probability = if shape.value_kb >= 1.0 && seed.is_multiple_of(3) { 0.4 } else { 0.0 };
    ClusterShape { dependent_probability, ..shape }
}

/// The trace of a seed's simulation with its random faults.
pub fn record_trace(seed: u64) -> Trace {
    let shape = shape(seed);
    let faults = random_faults(seed, shape.controllers);
    in_simulated_time(async {
        let mut simulation = Simulation::shaped(seed, shape, faults, FAULTS_END);
        simulation.trace.start();
        simulation.run(END).await;
        simulation.trace
    })
}

/// A seed that violates a rule is printed with its faults; running the seed again reproduces
/// the violation.
#[test]
fn no_answer_goes_back_in_random_sequences() {
    let first = env_number(FIRST_SEED_VARIABLE, 1);
    let (mut failures, mut repeated, mut reordered) = (Vec::new(), 0, 0);
    for seed in first..first + env_number(SEEDS_VARIABLE, 24) {
        let shape = shape(seed);
        let faults = random_faults(seed, shape.controllers);
        let simulation = in_simulated_time(async {
            let mut simulation = Simulation::shaped(seed, shape, faults.clone(), FAULTS_END);
            simulation.run(END).await;
            simulation
        });
        repeated += simulation.repeated_answers;
        reordered += simulation.reordered_answers;
        if !simulation.violations.is_empty() {
            failures.push(format!("seed {seed}: {:#?}\n{faults:#?}", simulation.violations));
        }
    }
    println!(
        "{repeated} answers after a terminal state, {reordered} of them reordered (from another controller)"
    );
    assert!(failures.is_empty(), "{} seeds: {}", failures.len(), failures.join("\n"));
    assert!(repeated > 1000, "too few answers: {repeated}");
}

/// With more terminal jobs than a controller remembers, every terminal state stays readable
/// through each controller after a restart of all of them.
#[test]
fn terminal_states_stay_readable_after_eviction_and_restart_of_all_controllers() {
    let shape = ClusterShape {
        extra_request_rate: 0.0,
        mean_submit_interval_s: 0.2,
        max_run_s: 2.0,
        max_tasks: 2,
        ..ClusterShape::crowded(3)
    };
    let restart = vec![(110.0, Fault::KillAll { restart_after: 0.5 })];
    let (simulation, terminal_jobs) = in_simulated_time(async {
        let mut simulation = Simulation::shaped(8, shape, restart, 100.0);
        simulation.run(108.0).await;
        simulation.poll_finished_jobs_everywhere(Duration::from_millis(1));
        simulation.run(130.0).await;
        let before = simulation.repeated_answers;
        let terminal_jobs = simulation.poll_finished_jobs_everywhere(Duration::from_millis(8));
        simulation.run(150.0).await;
        simulation.repeated_answers -= before;
        (simulation, terminal_jobs)
    });
    assert!(simulation.violations.is_empty(), "{:#?}", simulation.violations);
    // A controller remembers two generations of 144 terminal states (`TERMINAL_STATES_PER_MB`
    // at 8 MB).
    assert!(terminal_jobs > 300, "too few jobs ended: {terminal_jobs}");
    assert!(
        simulation.repeated_answers >= terminal_jobs * 3,
        "{} of {terminal_jobs} answered",
        simulation.repeated_answers
    );
}
