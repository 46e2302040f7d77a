//! What users are told never goes back: once any controller has said that a job is done
//! or cancelled, none says anything else. A search over random sequences of faults, with
//! users that ask all controllers about all jobs, also long after these are over.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::random_faults::{in_simulated_time, number};
use super::simulation::{Fault, Shape, Simulation, Trace};

/// How many seeds are played; a longer search sets this variable.
const SEEDS: &str = "SHEDTALLY_ANSWER_SEEDS";
/// The first of them.
const FIRST: &str = "SHEDTALLY_FIRST_ANSWER_SEED";

/// Faults end by then.
const CALM: f64 = 45.0;
const END: f64 = 75.0;

/// Faults that part what one controller knows from what others do, on top of each other.
fn random_faults(seed: u64, controllers: usize) -> Vec<(f64, Fault)> {
    let mut r = SmallRng::seed_from_u64(seed ^ 0xa115);
    (0..r.random_range(4..14))
        .map(|_| {
            let at = r.random_range(8.0..38.0);
            let back = [0.1, 0.4, 3.0][r.random_range(0..3)];
            let (share, lasts) = (r.random_range(0.1..0.7), r.random_range(0.3..18.0));
            let peers = r.random_bool(0.5);
            let controller = r.random_bool(0.3).then(|| r.random_range(0..controllers));
            let fault = match r.random_range(0..20) {
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
                16 | 17 => Fault::Stall { controller, lasts: r.random_range(0.2..6.0) },
                18 => Fault::CancelNow { count: r.random_range(1..8), hang: 0.0 },
                _ => Fault::CancelAtEnd { share, lasts },
            };
            (at, fault)
        })
        .collect()
}

fn shape(seed: u64) -> Shape {
    let controllers = if seed.is_multiple_of(2) { 5 } else { 3 };
    let shape = if seed % 8 < 2 { Shape::crowded(controllers) } else { Shape::busy(controllers) };
    // A record of those tiny values holds no list of awaited jobs.
    let awaiting = if shape.value_kb >= 1.0 && seed.is_multiple_of(3) { 0.4 } else { 0.0 };
    Shape { awaiting, ..shape }
}

/// What the controllers send in the random faults of a seed.
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

/// A seed that breaks a rule is printed, with its faults, and breaks it again.
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
        if !simulation.broken.is_empty() {
            broken.push(format!("seed {seed}: {:#?}\n{faults:#?}", simulation.broken));
        }
    }
    println!("{repeated} answers after a final state, {overtaken} of them overtaken by another controller's");
    assert!(broken.is_empty(), "{} seeds: {}", broken.len(), broken.join("\n"));
    assert!(repeated > 1000, "hardly anybody asked: {repeated}");
}

/// More jobs than a controller remembers, and then no controller that remembers any: a
/// final state stays readable, through each of them.
#[test]
fn final_states_stay_readable_when_memories_turned_over_and_all_controllers_were_gone() {
    let shape = Shape { looks: 0.0, job_every: 0.2, longest_run: 2.0, most_tasks: 2, ..Shape::crowded(3) };
    let gone = vec![(110.0, Fault::CrashAll { back: 0.5 })];
    let (simulation, over) = in_simulated_time(async {
        let mut simulation = Simulation::shaped(8, shape, gone, 100.0);
        simulation.run(108.0).await;
        simulation.ask_everywhere(Duration::from_millis(1));
        simulation.run(130.0).await;
        let before = simulation.repeated_answers;
        let over = simulation.ask_everywhere(Duration::from_millis(8));
        simulation.run(150.0).await;
        simulation.repeated_answers -= before;
        (simulation, over)
    });
    assert!(simulation.broken.is_empty(), "{:#?}", simulation.broken);
    // Two generations of 144 are remembered (`Sizes::finals` at 8 MB).
    assert!(over > 300, "hardly anything ended: {over}");
    assert!(simulation.repeated_answers >= over * 3, "{} of {over} answered", simulation.repeated_answers);
}
