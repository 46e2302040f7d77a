//! Random overlapping faults on a whole cluster, with the rules checked from outside; and tests
//! of the checker: for each rule, a script that violates it and must be caught.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::simulation::{ClusterShape, Fault, Origin, RequestKind, Simulation, Trace};
use super::*;
use crate::protocol::cbor::{MapBuilder, encode};
use crate::transport::codec::Response;

/// Environment variable: the number of seeds to run, more for a longer search.
pub const SEEDS_VARIABLE: &str = "SHEDTALLY_SEEDS";
/// Environment variable: the first seed.
pub const FIRST_SEED_VARIABLE: &str = "SHEDTALLY_FIRST_SEED";

/// All faults have ended by this time, in seconds of simulated time.
const FAULTS_END: f64 = 170.0;
/// When the simulation ends, unless jobs are unfinished; in seconds of simulated time.
const END: f64 = 330.0;

/// The whole number in an environment variable, or a default.
pub fn env_number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A dozen or so random faults within two minutes, in any order and overlapping.
fn random_faults(seed: u64) -> Vec<(f64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x7e57);
    let count = rng.random_range(8..20);
    (0..count)
        .map(|_| {
            let at = rng.random_range(25.0..120.0);
            let restart_after = [0.1, 0.4, 3.0, 8.0][rng.random_range(0..4)];
            let (probability, lasts) = (rng.random_range(0.1..0.5), rng.random_range(2.0..48.0));
            let peers = rng.random_bool(0.5);
            let controller = rng.random_bool(0.3).then(|| rng.random_range(0..3));
            let fault = match rng.random_range(0..24) {
                0 | 1 => Fault::Kill { controller: None, restart_after },
                2 => Fault::Kill { controller: Some(rng.random_range(0..3)), restart_after },
                3 => Fault::KillAll { restart_after: restart_after * rng.random_range(1.0..4.0) },
                4 => Fault::Outage { lasts },
                5 => Fault::StateServiceRefuses { lasts, peers },
                6 => Fault::StateServiceUnreachable { lasts, peers },
                7 => Fault::OneWayPartition { probability, lasts },
                8 => Fault::HeartbeatsLost { probability, lasts },
                9 => Fault::Hang { probability, lasts },
                10 => Fault::TerminateMachines { probability: probability / 2.0 },
                11 => Fault::CloudOutage { lasts },
                12 => Fault::DelayedWrites { probability, lasts },
                13 => Fault::DuplicatedHeartbeats { probability, lasts },
                14 => Fault::CancelNow { count: rng.random_range(1..5), hang: lasts / 2.0 },
                15 => Fault::CancelAtEnd { probability: 0.6, lasts },
                16 => Fault::Burst { jobs: rng.random_range(5..25) },
                17 | 18 => Fault::Stall { controller, lasts: rng.random_range(0.2..25.0) },
                19 => Fault::LostResponses { probability, lasts },
                20 => Fault::DuplicatedWrites { probability, lasts },
                21 => Fault::DelayedResponses { probability, lasts },
                22 => Fault::PeersUnreachable { lasts },
                _ => Fault::ZonePartition { lasts },
            };
            (at, fault)
        })
        .chain(
            [(30.0 + (seed % 90) as f64, Fault::LimitsLowered)]
                .into_iter()
                .filter(|_| shape(seed).limits_lowered),
        )
        .collect()
}

/// Two clusters in three have jobs with dependencies, and a state service whose limits are lowered.
fn shape(seed: u64) -> ClusterShape {
    let shape = ClusterShape::usual(if seed.is_multiple_of(2) { 5 } else { 3 });
    if seed.is_multiple_of(3) { shape } else { shape.with_dependencies() }
}

/// Writes the simulated time at the start of each log line.
struct Clock;

impl tracing_subscriber::fmt::time::FormatTime for Clock {
    fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
        let ms = crate::transport::simulated_network::time_of_day_ms().unwrap_or_default();
        write!(w, "{}.{:03}", ms / 1000, ms % 1000)
    }
}

/// Environment variable: if set, the log of the controllers is printed.
const LOG_VARIABLE: &str = "SHEDTALLY_LOG";

/// Runs a simulation in a runtime of its own with paused time, so that no task outlives it.
pub fn in_simulated_time<T>(work: impl Future<Output = T>) -> T {
    let subscriber =
        tracing_subscriber::fmt().with_timer(Clock).with_ansi(false).with_writer(std::io::stderr);
    let _log =
        std::env::var(LOG_VARIABLE).is_ok().then(|| tracing::subscriber::set_default(subscriber.finish()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(work)
}

/// Runs the cluster of a seed with these faults to the end, and checks the end state.
pub fn run_seed(seed: u64, faults: Vec<(f64, Fault)>) -> Simulation {
    in_simulated_time(async {
        let mut simulation = Simulation::shaped(seed, shape(seed), faults, FAULTS_END);
        run_to_the_end(&mut simulation, END).await;
        simulation.check_end();
        simulation
    })
}

/// Runs until `end`, and then until no job is unfinished or twice that time is over.
pub async fn run_to_the_end(simulation: &mut Simulation, end: f64) {
    simulation.run(end).await;
    // A backlog may remain at `end`, since the quotas of the teams limit how fast it is worked
    // off.
    let mut until = end;
    while simulation.has_unfinished_jobs() && until < 2.0 * end {
        until += 20.0;
        simulation.run(until).await;
    }
}

/// The trace of a seed's simulation with its random faults.
pub fn record_trace(seed: u64) -> Trace {
    in_simulated_time(async {
        let mut simulation = Simulation::shaped(seed, shape(seed), random_faults(seed), FAULTS_END);
        simulation.trace.start();
        run_to_the_end(&mut simulation, END).await;
        simulation.trace
    })
}

/// No rule is violated, whichever faults overlap. A seed that violates one is printed; running
/// the seed again reproduces the violation.
#[test]
fn no_rule_breaks_in_random_overlapping_faults() {
    let first = env_number(FIRST_SEED_VARIABLE, 1);
    let mut failures = Vec::new();
    for seed in first..first + env_number(SEEDS_VARIABLE, 6) {
        let simulation = run_seed(seed, random_faults(seed));
        assert!(simulation.starts > 20, "seed {seed}: {} starts", simulation.starts);
        if !simulation.violations.is_empty() {
            failures.push(format!("seed {seed}: {:#?}\n{:#?}", simulation.violations, random_faults(seed)));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// Tests of the checker: each rule must catch a script that violates it as a faulty scheduler
// would.

/// Runs a script on a cluster without faults; the checker must report a violation of the rule.
fn assert_caught(rule: &str, script: impl FnOnce(&mut Simulation)) {
    let violations = in_simulated_time(async {
        let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
        script(&mut simulation);
        simulation.violations
    });
    assert!(violations.iter().any(|v| v.starts_with(rule)), "{rule} is not caught: {violations:?}");
}

/// The origin of an answer of the first controller to a request sent at this time.
fn answer_origin(at: Instant, order: u64) -> Origin {
    Origin { sent: at, process: (0, 1), order }
}

/// Submits `job-1` with four tasks and tells its user that it is queued.
pub fn submit_job(simulation: &mut Simulation, change: impl FnOnce(&mut JobSpec)) -> Instant {
    let now = Instant::now();
    let mut spec = sample("job-1", "red", 4, 4.0);
    change(&mut spec);
    simulation.submit(now, spec, 10.0, None);
    simulation.note_answer(now, "job-1", answer_origin(now, 0), 201, Some("queued"), false);
    now
}

/// A delay shorter than any that a rule allows.
const SHORT_DELAY: Duration = Duration::from_secs(1);

#[test]
fn the_checker_catches_wrong_starts() {
    assert_caught("ran_twice", |simulation| {
        submit_job(simulation, |_| {});
        simulation.force_start("job-1", 0, "z1", false);
        simulation.force_start("job-1", 0, "z2", false);
    });
    assert_caught("quota", |simulation| {
        submit_job(simulation, |spec| spec.task_count = 5);
        (0..5).for_each(|index| drop(simulation.force_start("job-1", index, "z1", false)));
    });
    assert_caught("wrong_place", |simulation| {
        submit_job(simulation, |spec| spec.zone = Some("z2".into()));
        simulation.force_start("job-1", 0, "z1", false);
    });
    assert_caught("wrong_place", |simulation| {
        submit_job(simulation, |spec| spec.spot = false);
        simulation.force_start("job-1", 0, "z1", true);
    });
    assert_caught("wrong_place", |simulation| {
        submit_job(simulation, |spec| spec.one_zone = true);
        simulation.force_start("job-1", 0, "z1", false);
        simulation.force_start("job-1", 1, "z2", false);
    });
    assert_caught("wrong_place", |simulation| {
        submit_job(simulation, |spec| spec.spread = true);
        (0..3).for_each(|index| drop(simulation.force_start("job-1", index, "z1", false)));
    });
    assert_caught("too_early", |simulation| {
        submit_job(simulation, |_| {});
        let spec = JobSpec { dependencies: vec![id("job-1")], ..sample("job-2", "red", 1, 1.0) };
        simulation.submit(Instant::now(), spec, 10.0, None);
        simulation.force_start("job-2", 0, "z1", false);
    });
    assert_caught("unknown_job", |simulation| drop(simulation.force_start("job-7", 0, "z1", false)));
}

#[test]
fn the_checker_catches_cancelled_tasks_that_go_on() {
    let cancelled = |simulation: &mut Simulation| {
        let now = Instant::now();
        simulation.submit(now, sample("job-1", "red", 1, 1.0), 10.0, Some(now));
        simulation.note_answer(now, "job-1", answer_origin(now, 0), 201, Some("queued"), false);
        let name = simulation.force_start("job-1", 0, "z1", false);
        simulation.note_answer(now, "job-1", answer_origin(now, 0), 200, Some("cancelled"), true);
        (now, name)
    };
    assert_caught("ran_cancelled", |simulation| {
        let (now, _) = cancelled(simulation);
        simulation.check_cancelled(now + Duration::from_secs(40));
        assert!(simulation.violations.is_empty(), "the time limit has not passed yet");
        simulation.check_cancelled(now + Duration::from_secs(46));
    });
    assert_caught("started_cancelled", |simulation| {
        let (now, name) = cancelled(simulation);
        let start = Command::Start { task: TaskId { job: id("job-1"), index: 0 }, attempt: 9 };
        let body = crate::protocol::workers::encode_heartbeat_reply(1, &[start]);
        simulation.carry_out(now + SHORT_DELAY, &name, &body);
        assert!(simulation.violations.is_empty(), "the start may have been in flight");
        simulation.carry_out(now + SHORT_DELAY * 5, &name, &body);
        assert!(simulation.violations.is_empty(), "the same attempt has no effect");
        let start = Command::Start { task: TaskId { job: id("job-1"), index: 0 }, attempt: 10 };
        simulation.carry_out(
            now + SHORT_DELAY * 5,
            &name,
            &crate::protocol::workers::encode_heartbeat_reply(1, &[start]),
        );
    });
}

#[test]
fn the_checker_catches_wrong_answers() {
    let second_answer = |rule: &str, first: &'static str, status: u16, state: Option<&'static str>| {
        assert_caught(rule, |simulation| {
            let now = submit_job(simulation, |_| {});
            simulation.note_answer(now, "job-1", answer_origin(now, 0), 200, Some(first), false);
            simulation.violations.clear();
            simulation.note_answer(
                now + SHORT_DELAY * 2,
                "job-1",
                answer_origin(now + SHORT_DELAY, 1),
                status,
                state,
                false,
            );
        });
    };
    second_answer("forgotten", "queued", 404, None);
    second_answer("forgotten", "queued", 422, None);
    second_answer("not_done", "queued", 200, Some("done"));
    second_answer("went_back", "done", 200, Some("running"));
    second_answer("went_back", "cancelled", 200, Some("queued"));
    second_answer("went_back", "queued", 200, Some("cancelled"));
    // An answer that was requested before the terminal state was first reported and arrives
    // after it violates the rule only if it comes from the process that reported the terminal
    // state, since another cannot know of it.
    for (process, reordered_answers) in [((0, 1), 0), ((0, 2), 1), ((1, 1), 1)] {
        let simulation = in_simulated_time(async {
            let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
            let now = submit_job(&mut simulation, |_| {});
            let last = answer_origin(now + SHORT_DELAY, 1);
            simulation.note_answer(now + SHORT_DELAY * 2, "job-1", last, 200, Some("cancelled"), false);
            simulation.violations.clear();
            let earlier = Origin { process, order: 2, ..answer_origin(now, 2) };
            simulation.note_answer(now + SHORT_DELAY * 3, "job-1", earlier, 200, Some("queued"), false);
            simulation
        });
        assert_eq!(simulation.violations.len(), 1 - reordered_answers, "{:?}", simulation.violations);
        assert_eq!(simulation.reordered_answers, reordered_answers);
    }
    let invalid = |request_kind, status| {
        let body = encode(&MapBuilder::new().set("standing", "queued").build());
        let answer = Response { status, body, retry_after_s: None, close: false };
        move |simulation: &mut Simulation| {
            simulation.request_answered(
                "odd",
                request_kind,
                answer_origin(Instant::now(), 0),
                Some(answer),
                false,
            );
        }
    };
    assert_caught("invented", invalid(RequestKind::Unknown, 200));
    assert_caught("accepted_odd", invalid(RequestKind::Invalid(400), 201));
    assert_caught("accepted_odd", invalid(RequestKind::Invalid(422), 200));
}

/// Covers an indirect dependent of a cancelled job, and a dependent of a job that was done
/// before its user could cancel it.
#[test]
fn the_checker_catches_wrong_answers_about_dependents() {
    let pipeline = |simulation: &mut Simulation, first: &'static str| {
        let now = submit_job(simulation, |_| {});
        for (job, dependency) in [("job-2", "job-1"), ("job-3", "job-2")] {
            let spec = JobSpec { dependencies: vec![id(dependency)], ..sample(job, "red", 1, 1.0) };
            simulation.submit(now, spec, 10.0, None);
            simulation.note_answer(now, job, answer_origin(now, 0), 201, Some("queued"), false);
        }
        simulation.request_cancellation(now, "job-1");
        simulation.note_answer(now + SHORT_DELAY, "job-1", answer_origin(now, 1), 200, Some(first), true);
        simulation.violations.clear();
        now + SHORT_DELAY
    };
    assert_caught("orphaned", |simulation| {
        let now = pipeline(simulation, "cancelled");
        let later = now + SHORT_DELAY * 44;
        simulation.note_answer(later, "job-3", answer_origin(later, 2), 200, Some("queued"), false);
        assert!(simulation.violations.is_empty(), "the time limit has not passed yet");
        let later = now + SHORT_DELAY * 46;
        simulation.note_answer(later, "job-3", answer_origin(later, 3), 200, Some("queued"), false);
    });
    assert_caught("went_back", |simulation| {
        let now = pipeline(simulation, "done");
        simulation.note_answer(now, "job-3", answer_origin(now, 2), 200, Some("cancelled"), false);
    });
    let simulation = in_simulated_time(async {
        let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
        let now = pipeline(&mut simulation, "cancelled");
        simulation.note_answer(now, "job-3", answer_origin(now, 2), 200, Some("cancelled"), false);
        simulation
    });
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
}

#[test]
fn the_checker_catches_forgotten_and_starved_jobs() {
    assert_caught("forgotten", |simulation| {
        let now = submit_job(simulation, |_| {});
        simulation.check_waiting(now + Duration::from_secs(70));
        assert!(simulation.violations.is_empty());
        simulation.check_waiting(now + Duration::from_secs(80));
    });
    assert_caught("neglected", |simulation| {
        let now = submit_job(simulation, |_| {});
        simulation.add_idle_machine("z1");
        simulation.check_waiting(now + SHORT_DELAY);
        simulation.check_waiting(now + SHORT_DELAY * 74);
        assert!(simulation.violations.is_empty());
        simulation.check_waiting(now + SHORT_DELAY * 92);
    });
    assert_caught("unfinished", |simulation| {
        submit_job(simulation, |_| {});
        simulation.check_end();
    });
}

#[test]
fn the_checker_catches_violated_invariants() {
    let metrics_answer = |metric: &str| {
        let body = encode(&MapBuilder::new().set(metric, 1).build());
        Response { status: 200, body, retry_after_s: None, close: false }
    };
    assert_caught("violated", |simulation| {
        simulation.check_metrics(0, &metrics_answer("invariantsViolated"));
    });
    assert_caught("violated", |simulation| simulation.check_metrics(0, &metrics_answer("epochsReused")));
    let failures = in_simulated_time(async {
        let mut simulation = Simulation::new(1, 3, Vec::new(), 0.0);
        simulation.check_metrics(0, &metrics_answer("machines"));
        simulation.violations
    });
    assert!(failures.is_empty(), "{failures:?}");
}
