//! Answers to users are monotonic: once any controller has said that a job is done or
//! cancelled, none says anything else. A search over random sequences of faults, with users
//! that poll all controllers about all jobs, also long after these are terminal.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::random_faults::{in_simulated_time, number};
use super::simulation::{ClusterShape, Fault, Simulation, Trace};

/// Environment variable: the number of seeds to run, more for a longer search.
const SEEDS: &str = "SHEDTALLY_ANSWER_SEEDS";
/// Environment variable: the first seed.
const FIRST: &str = "SHEDTALLY_FIRST_ANSWER_SEED";

/// The last fault has ended by then, in seconds of simulated time.
const CALM: f64 = 45.0;
/// The simulation ends then, in seconds of simulated time.
const END: f64 = 75.0;

/// Overlapping faults after which controllers differ in what they know.
fn random_faults(seed: u64, controllers: usize) -> Vec<(f64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xa115);
    (0..rng.random_range(4..14))
        .map(|_| {
            let at = rng.random_range(8.0..38.0);
            let back = [0.1, 0.4, 3.0][rng.random_range(0..3)];
            let (share, lasts) = (rng.random_range(0.1..0.7), rng.random_range(0.3..18.0));
            let peers = rng.random_bool(0.5);
            let controller = rng.random_bool(0.3).then(|| rng.random_range(0..controllers));
            let fault = match rng.random_range(0..20) {
                0 => Fault::Crash { controller, back },
                1 => Fault::CrashAll { back },
                2 => Fault::Outage { lasts: lasts / 2.0 },
                3 => Fault::Refused { lasts, peers },
                4 | 5 => Fault::Cut { lasts, peers },
                6 => Fault::LateWrites { share, lasts },
                7..=9 => Fault::LostAnswers { share, lasts },
                10 => Fault::DoubledWrites { share, lasts },
                11 | 12 => Fault::SlowAnswers { share, lasts },
                13 => Fault::LateRequests { share, lasts },
                14 | 15 => Fault::PeersRefuse { lasts },
                16 | 17 => Fault::Stall { controller, lasts: rng.random_range(0.2..6.0) },
                18 => Fault::CancelNow { count: rng.random_range(1..8), hang: 0.0 },
                _ => Fault::CancelAtEnd { share, lasts },
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
    // A record of such a small value holds no list of dependencies.
    let dependent_share = if shape.value_kb >= 1.0 && seed.is_multiple_of(3) { 0.4 } else { 0.0 };
    ClusterShape { dependent_share, ..shape }
}

/// The trace of the random faults of a seed.
pub fn traced(seed: u64) -> Trace {
    let shape = shape(seed);
    let faults = random_faults(seed, shape.controllers);
    in_simulated_time(async {
        let mut simulation = Simulation::shaped(seed, shape, faults, CALM);
        simulation.trace.start();
        simulation.run(END).await;
        simulation.trace
    })
}

/// A seed that violates a rule is printed with its faults; it violates the rule again when it
/// is repeated.
#[test]
fn no_answer_goes_back_in_random_sequences() {
    let first = number(FIRST, 1);
    let (mut broken, mut repeated, mut overtaken) = (Vec::new(), 0, 0);
    for seed in first..first + number(SEEDS, 24) {
        let shape = shape(seed);
        let faults = random_faults(seed, shape.controllers);
        let simulation = in_simulated_time(async {
            let mut simulation = Simulation::shaped(seed, shape, faults.clone(), CALM);
            simulation.run(END).await;
            simulation
        });
        repeated += simulation.repeated_answers;
        overtaken += simulation.overtaken;
        if !simulation.violations.is_empty() {
            broken.push(format!("seed {seed}: {:#?}\n{faults:#?}", simulation.violations));
        }
    }
    println!("{repeated} answers after a final state, {overtaken} of them overtaken by another controller's");
    assert!(broken.is_empty(), "{} seeds: {}", broken.len(), broken.join("\n"));
    assert!(repeated > 1000, "too few answers: {repeated}");
}

/// More terminal jobs than a controller remembers, and then a restart of all controllers: a
/// terminal state stays readable, through each of them.
#[test]
fn terminal_states_stay_readable_after_eviction_and_restart_of_all_controllers() {
    let shape = ClusterShape {
        extra_requests: 0.0,
        mean_submit_interval_s: 0.2,
        max_run_s: 2.0,
        max_tasks: 2,
        ..ClusterShape::crowded(3)
    };
    let gone = vec![(110.0, Fault::CrashAll { back: 0.5 })];
    let (simulation, over) = in_simulated_time(async {
        let mut simulation = Simulation::shaped(8, shape, gone, 100.0);
        simulation.run(108.0).await;
        simulation.poll_finished_jobs_everywhere(Duration::from_millis(1));
        simulation.run(130.0).await;
        let before = simulation.repeated_answers;
        let over = simulation.poll_finished_jobs_everywhere(Duration::from_millis(8));
        simulation.run(150.0).await;
        simulation.repeated_answers -= before;
        (simulation, over)
    });
    assert!(simulation.violations.is_empty(), "{:#?}", simulation.violations);
    // Two generations of 144 terminal states are remembered (`Sizes::finals` at 8 MB).
    assert!(over > 300, "too few jobs ended: {over}");
    assert!(simulation.repeated_answers >= over * 3, "{} of {over} answered", simulation.repeated_answers);
}
