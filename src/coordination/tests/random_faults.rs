//! Random overlapping faults on a whole cluster, the rules checked from outside;
//! and for each rule, a wrong script that must be caught.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::simulation::{Fault, Origin, Question, Shape, Simulation, Trace};
use super::*;
use crate::protocol::cbor::{MapBuilder, encode};
use crate::transport::codec::Response;

/// How many seeds are played; a longer search sets this variable.
pub const SEEDS: &str = "SHEDTALLY_SEEDS";
/// The first of them.
pub const FIRST: &str = "SHEDTALLY_FIRST_SEED";

const CALM: f64 = 170.0;
const END: f64 = 330.0;

pub fn number(variable: &str, otherwise: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

/// Some dozen faults within two minutes, in any order and on top of each other.
fn random_faults(seed: u64) -> Vec<(f64, Fault)> {
    let mut r = SmallRng::seed_from_u64(seed ^ 0x7e57);
    let count = r.random_range(8..20);
    (0..count)
        .map(|_| {
            let at = r.random_range(25.0..120.0);
            let back = [0.1, 0.4, 3.0, 8.0][r.random_range(0..4)];
            let (share, lasts) = (r.random_range(0.1..0.5), r.random_range(2.0..48.0));
            let peers = r.random_bool(0.5);
            let controller = r.random_bool(0.3).then(|| r.random_range(0..3));
            let fault = match r.random_range(0..24) {
                0 | 1 => Fault::Crash { controller: None, back },
                2 => Fault::Crash { controller: Some(r.random_range(0..3)), back },
                3 => Fault::CrashAll { back: back * r.random_range(1.0..4.0) },
                4 => Fault::Outage { lasts },
                5 => Fault::Refused { lasts, peers },
                6 => Fault::Cut { lasts, peers },
                7 => Fault::Deaf { share, lasts },
                8 => Fault::Mute { share, lasts },
                9 => Fault::Hung { share, lasts },
                10 => Fault::Die { share: share / 2.0 },
                11 => Fault::CloudDown { lasts },
                12 => Fault::LateWrites { share, lasts },
                13 => Fault::LateReports { share, lasts },
                14 => Fault::CancelNow { count: r.random_range(1..5), hang: lasts / 2.0 },
                15 => Fault::CancelAtEnd { share: 0.6, lasts },
                16 => Fault::Burst { jobs: r.random_range(5..25) },
                17 | 18 => Fault::Stall { controller, lasts: r.random_range(0.2..25.0) },
                19 => Fault::LostAnswers { share, lasts },
                20 => Fault::DoubledWrites { share, lasts },
                21 => Fault::SlowAnswers { share, lasts },
                22 => Fault::PeersRefuse { lasts },
                _ => Fault::ZoneCut { lasts },
            };
            (at, fault)
        })
        .chain(
            [(30.0 + (seed % 90) as f64, Fault::LimitsFall)].into_iter().filter(|_| shape(seed).limits_fall),
        )
        .collect()
}

/// Two clusters in three have pipelines, and a state service whose limits fall.
fn shape(seed: u64) -> Shape {
    let shape = Shape::usual(if seed.is_multiple_of(2) { 5 } else { 3 });
    if seed.is_multiple_of(3) { shape } else { shape.with_pipelines() }
}

/// Simulated time before each line of a log.
struct Clock;

impl tracing_subscriber::fmt::time::FormatTime for Clock {
    fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
        let ms = crate::transport::scripted::wall_ms().unwrap_or_default();
        write!(w, "{}.{:03}", ms / 1000, ms % 1000)
    }
}

/// With this variable set, what the controllers log is printed.
const LOG: &str = "SHEDTALLY_LOG";

/// Each simulation has a runtime of its own, so that nothing of it outlives it.
pub fn in_simulated_time<T>(work: impl Future<Output = T>) -> T {
    let subscriber =
        tracing_subscriber::fmt().with_timer(Clock).with_ansi(false).with_writer(std::io::stderr);
    let _log = std::env::var(LOG).is_ok().then(|| tracing::subscriber::set_default(subscriber.finish()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(work)
}

pub fn play(seed: u64, faults: Vec<(f64, Fault)>) -> Simulation {
    in_simulated_time(async {
        let mut simulation = Simulation::shaped(seed, shape(seed), faults, CALM);
        run_to_the_end(&mut simulation).await;
        simulation.check_end();
        simulation
    })
}

async fn run_to_the_end(simulation: &mut Simulation) {
    simulation.run(END).await;
    // A backlog is worked off at the pace that the teams' limits leave.
    let mut until = END;
    while simulation.unfinished() && until < 2.0 * END {
        until += 20.0;
        simulation.run(until).await;
    }
}

/// What the controllers send in the random faults of a seed.
pub fn traced(seed: u64) -> Trace {
    in_simulated_time(async {
        let mut simulation = Simulation::shaped(seed, shape(seed), random_faults(seed), CALM);
        simulation.trace.start();
        run_to_the_end(&mut simulation).await;
        simulation.trace
    })
}

/// Whatever meets whatever, no rule breaks. A seed that breaks one is printed and
/// breaks it again.
#[test]
fn no_rule_breaks_in_random_overlapping_faults() {
    let first = number(FIRST, 1);
    let mut broken = Vec::new();
    for seed in first..first + number(SEEDS, 6) {
        let simulation = play(seed, random_faults(seed));
        assert!(simulation.starts > 20, "seed {seed}: {} starts", simulation.starts);
        if !simulation.broken.is_empty() {
            broken.push(format!("seed {seed}: {:#?}\n{:#?}", simulation.broken, random_faults(seed)));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

// The checker is checked: what a wrong scheduler would do must be caught, each rule
// by a script that breaks it.

fn caught(rule: &str, script: impl FnOnce(&mut Simulation)) {
    let broken = in_simulated_time(async {
        let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
        script(&mut simulation);
        simulation.broken
    });
    assert!(broken.iter().any(|b| b.starts_with(rule)), "{rule} is not caught: {broken:?}");
}

/// An answer of the first controller to a request sent then.
fn sent(at: Instant, order: u64) -> Origin {
    Origin { sent: at, process: (0, 1), order }
}

fn submitted(simulation: &mut Simulation, change: impl FnOnce(&mut JobSpec)) -> Instant {
    let now = Instant::now();
    let mut spec = sample("job-1", "red", 4, 4.0);
    change(&mut spec);
    simulation.submit(now, spec, 10.0, None);
    simulation.note_answer(now, "job-1", sent(now, 0), 201, Some("queued"), false);
    now
}

const SOON: Duration = Duration::from_secs(1);

#[test]
fn wrong_starts_are_caught() {
    caught("ran_twice", |simulation| {
        submitted(simulation, |_| {});
        simulation.place_wrongly("job-1", 0, "z1", false);
        simulation.place_wrongly("job-1", 0, "z2", false);
    });
    caught("quota", |simulation| {
        submitted(simulation, |spec| spec.tasks = 5);
        (0..5).for_each(|index| drop(simulation.place_wrongly("job-1", index, "z1", false)));
    });
    caught("wrong_place", |simulation| {
        submitted(simulation, |spec| spec.zone = Some("z2".into()));
        simulation.place_wrongly("job-1", 0, "z1", false);
    });
    caught("wrong_place", |simulation| {
        submitted(simulation, |spec| spec.spot = false);
        simulation.place_wrongly("job-1", 0, "z1", true);
    });
    caught("wrong_place", |simulation| {
        submitted(simulation, |spec| spec.one_zone = true);
        simulation.place_wrongly("job-1", 0, "z1", false);
        simulation.place_wrongly("job-1", 1, "z2", false);
    });
    caught("wrong_place", |simulation| {
        submitted(simulation, |spec| spec.spread = true);
        (0..3).for_each(|index| drop(simulation.place_wrongly("job-1", index, "z1", false)));
    });
    caught("too_early", |simulation| {
        submitted(simulation, |_| {});
        let spec = JobSpec { dependencies: vec![id("job-1")], ..sample("job-2", "red", 1, 1.0) };
        simulation.submit(Instant::now(), spec, 10.0, None);
        simulation.place_wrongly("job-2", 0, "z1", false);
    });
    caught("unknown_job", |simulation| drop(simulation.place_wrongly("job-7", 0, "z1", false)));
}

#[test]
fn cancelled_work_that_goes_on_is_caught() {
    let cancelled = |simulation: &mut Simulation| {
        let now = Instant::now();
        simulation.submit(now, sample("job-1", "red", 1, 1.0), 10.0, Some(now));
        simulation.note_answer(now, "job-1", sent(now, 0), 201, Some("queued"), false);
        let name = simulation.place_wrongly("job-1", 0, "z1", false);
        simulation.note_answer(now, "job-1", sent(now, 0), 200, Some("cancelled"), true);
        (now, name)
    };
    caught("ran_cancelled", |simulation| {
        let (now, _) = cancelled(simulation);
        simulation.check_cancelled(now + Duration::from_secs(40));
        assert!(simulation.broken.is_empty(), "there is time left");
        simulation.check_cancelled(now + Duration::from_secs(46));
    });
    caught("started_cancelled", |simulation| {
        let (now, name) = cancelled(simulation);
        let start = Command::Start { task: TaskId { job: id("job-1"), index: 0 }, attempt: 9 };
        let body = crate::protocol::workers::encode_heartbeat_reply(1, &[start]);
        simulation.carry_out(now + SOON, &name, &body);
        assert!(simulation.broken.is_empty(), "it may have been on its way");
        simulation.carry_out(now + SOON * 5, &name, &body);
        assert!(simulation.broken.is_empty(), "the same attempt has no effect");
        let start = Command::Start { task: TaskId { job: id("job-1"), index: 0 }, attempt: 10 };
        simulation.carry_out(
            now + SOON * 5,
            &name,
            &crate::protocol::workers::encode_heartbeat_reply(1, &[start]),
        );
    });
}

#[test]
fn untrue_answers_are_caught() {
    let told = |rule: &str, first: &'static str, status: u16, standing: Option<&'static str>| {
        caught(rule, |simulation| {
            let now = submitted(simulation, |_| {});
            simulation.note_answer(now, "job-1", sent(now, 0), 200, Some(first), false);
            simulation.broken.clear();
            simulation.note_answer(now + SOON * 2, "job-1", sent(now + SOON, 1), status, standing, false);
        });
    };
    told("forgotten", "queued", 404, None);
    told("forgotten", "queued", 422, None);
    told("not_done", "queued", 200, Some("done"));
    told("went_back", "done", 200, Some("running"));
    told("went_back", "cancelled", 200, Some("queued"));
    told("went_back", "queued", 200, Some("cancelled"));
    // Asked before the final state was told, and answered after it: wrong only of the
    // process that had told it, since another cannot know.
    for (process, overtaken) in [((0, 1), 0), ((0, 2), 1), ((1, 1), 1)] {
        let simulation = in_simulated_time(async {
            let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
            let now = submitted(&mut simulation, |_| {});
            let last = sent(now + SOON, 1);
            simulation.note_answer(now + SOON * 2, "job-1", last, 200, Some("cancelled"), false);
            simulation.broken.clear();
            let earlier = Origin { process, order: 2, ..sent(now, 2) };
            simulation.note_answer(now + SOON * 3, "job-1", earlier, 200, Some("queued"), false);
            simulation
        });
        assert_eq!(simulation.broken.len(), 1 - overtaken, "{:?}", simulation.broken);
        assert_eq!(simulation.overtaken, overtaken);
    }
    let odd = |question, status| {
        let body = encode(&MapBuilder::new().set("standing", "queued").build());
        let answer = Response { status, body, retry_after_s: None, close: false };
        move |simulation: &mut Simulation| {
            simulation.answered("odd", question, sent(Instant::now(), 0), Some(answer), false);
        }
    };
    caught("invented", odd(Question::Unknown, 200));
    caught("accepted_odd", odd(Question::Odd(400), 201));
    caught("accepted_odd", odd(Question::Odd(422), 200));
}

/// A job two steps after a cancelled one, and one after a job that was done before its user
/// could cancel it.
#[test]
fn wrong_answers_about_pipelines_are_caught() {
    let pipeline = |simulation: &mut Simulation, first: &'static str| {
        let now = submitted(simulation, |_| {});
        for (job, need) in [("job-2", "job-1"), ("job-3", "job-2")] {
            let spec = JobSpec { dependencies: vec![id(need)], ..sample(job, "red", 1, 1.0) };
            simulation.submit(now, spec, 10.0, None);
            simulation.note_answer(now, job, sent(now, 0), 201, Some("queued"), false);
        }
        simulation.call_off(now, "job-1");
        simulation.note_answer(now + SOON, "job-1", sent(now, 1), 200, Some(first), true);
        simulation.broken.clear();
        now + SOON
    };
    caught("orphaned", |simulation| {
        let now = pipeline(simulation, "cancelled");
        let later = now + SOON * 44;
        simulation.note_answer(later, "job-3", sent(later, 2), 200, Some("queued"), false);
        assert!(simulation.broken.is_empty(), "there is time left");
        let later = now + SOON * 46;
        simulation.note_answer(later, "job-3", sent(later, 3), 200, Some("queued"), false);
    });
    caught("went_back", |simulation| {
        let now = pipeline(simulation, "done");
        simulation.note_answer(now, "job-3", sent(now, 2), 200, Some("cancelled"), false);
    });
    let simulation = in_simulated_time(async {
        let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
        let now = pipeline(&mut simulation, "cancelled");
        simulation.note_answer(now, "job-3", sent(now, 2), 200, Some("cancelled"), false);
        simulation
    });
    assert!(simulation.broken.is_empty(), "{:?}", simulation.broken);
}

#[test]
fn what_is_left_behind_is_caught() {
    caught("forgotten", |simulation| {
        let now = submitted(simulation, |_| {});
        simulation.check_waiting(now + Duration::from_secs(70));
        assert!(simulation.broken.is_empty());
        simulation.check_waiting(now + Duration::from_secs(80));
    });
    caught("neglected", |simulation| {
        let now = submitted(simulation, |_| {});
        simulation.idle_machine("z1");
        simulation.check_waiting(now + SOON);
        simulation.check_waiting(now + SOON * 74);
        assert!(simulation.broken.is_empty());
        simulation.check_waiting(now + SOON * 92);
    });
    caught("unfinished", |simulation| {
        submitted(simulation, |_| {});
        simulation.check_end();
    });
}

#[test]
fn a_violated_invariant_is_caught() {
    let figures = |figure: &str| {
        let body = encode(&MapBuilder::new().set(figure, 1).build());
        Response { status: 200, body, retry_after_s: None, close: false }
    };
    caught("violated", |simulation| simulation.check_figures(0, &figures("invariantsViolated")));
    caught("violated", |simulation| simulation.check_figures(0, &figures("epochsReused")));
    let broken = in_simulated_time(async {
        let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
        simulation.check_figures(0, &figures("machines"));
        simulation.broken
    });
    assert!(broken.is_empty(), "{broken:?}");
}
