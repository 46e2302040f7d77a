//! What the users of a run submit: all of it follows from the seed.

use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{MapBuilder, texts};

/// CPUs of every machine.
pub const MACHINE_CPUS: f64 = 8.0;
pub const ZONES: [&str; 2] = ["z1", "z2"];
/// The only team with a limit, and the part of the fleet's CPUs that it may use.
pub const LIMITED_TEAM: &str = "red";
pub const LIMITED_PART: f64 = 0.4;
const OTHER_TEAM: &str = "blue";

/// A job and what its user does with it.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub team: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    /// How long a task runs; a service's tasks run until they are stopped.
    pub run: Duration,
    pub is_service: bool,
    pub zone: Option<&'static str>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    /// Numbers of the jobs that it awaits.
    pub awaits: Vec<usize>,
    /// When it is submitted, from the beginning of the run.
    pub at: Duration,
    /// When its user calls it off, from its acceptance on.
    pub cancel_after: Option<Duration>,
}

impl Job {
    /// The body of its submission.
    pub fn submission(&self, all: &[Job]) -> Value {
        let awaits = self.awaits.iter().filter_map(|&need| all.get(need)).map(|need| need.id.as_str());
        let run = if self.is_service { 0.0 } else { self.run.as_secs_f64() };
        MapBuilder::new()
            .set("nameId", self.id.as_str())
            .set("docket", if self.is_service { "viewer" } else { "batch" })
            .set("crew", self.team)
            .set("form", if self.is_service { "daemon" } else { "array" })
            .set("urgency", if self.is_service { "critical" } else { "standard" })
            .set("sheets", self.tasks)
            .set("cores", self.cpus)
            .set("accelerators", 0.0)
            .set("ramGb", 1.0)
            .set("bundle", "image")
            .set("pullGb", 0.1)
            .set_some("hall", self.zone)
            .set("together", self.one_zone)
            .set("scatter", self.spread)
            .set("loaners", self.spot)
            .set("reckonS", run)
            .set("bookmarkS", 0.0)
            .set("stashS", 0.0)
            .set("awaits", texts(awaits))
            .build()
    }
}

/// The jobs of a run in the order of their submission.
pub fn plan(seed: u64, workers: u64, lasts: Duration) -> Vec<Job> {
    let mut r = SmallRng::seed_from_u64(seed ^ 0x10b5);
    // A few jobs a second for two dozen machines, more for more.
    let pause = (6.0 / workers as f64).clamp(0.08, 0.6);
    let mut jobs: Vec<Job> = Vec::new();
    let mut at = 0.5;
    while at < lasts.as_secs_f64() {
        jobs.push(job(&mut r, &jobs, at));
        at += pause * r.random_range(0.3..1.7);
    }
    jobs
}

fn job(r: &mut SmallRng, before: &[Job], at: f64) -> Job {
    let is_service = r.random_bool(0.08);
    let team = if r.random_bool(0.5) { LIMITED_TEAM } else { OTHER_TEAM };
    let mut job = Job {
        id: format!("job-{:06}", before.len()),
        team,
        tasks: [1, 1, 2, 3, 5, 9][r.random_range(0..6)],
        cpus: [0.5, 1.0, 2.0, 4.0][r.random_range(0..4)],
        run: Duration::from_secs_f64(r.random_range(0.3..5.0)),
        is_service,
        zone: None,
        one_zone: false,
        spread: false,
        spot: r.random_bool(0.6),
        awaits: needs(r, before, is_service),
        at: Duration::from_secs_f64(at),
        cancel_after: None,
    };
    match r.random_range(0..12) {
        0 => job.one_zone = true,
        1 => job.spread = true,
        2 => job.zone = Some(ZONES[1]),
        _ => {}
    }
    if is_service {
        job.tasks = job.tasks.min(3);
        job.cpus = 1.0;
    }
    if is_service || r.random_bool(0.25) {
        job.cancel_after = Some(Duration::from_secs_f64(r.random_range(0.05..8.0)));
    }
    job
}

/// Mostly none, else some of the last jobs or of all before: chains, diamonds, fan-in.
fn needs(r: &mut SmallRng, before: &[Job], is_service: bool) -> Vec<usize> {
    if is_service || before.is_empty() || r.random_bool(0.55) {
        return Vec::new();
    }
    let mut needs = Vec::new();
    for _ in 0..r.random_range(1..4) {
        let first = if r.random_bool(0.85) { before.len().saturating_sub(6) } else { 0 };
        let need = r.random_range(first..before.len());
        if !before[need].is_service && !needs.contains(&need) {
            needs.push(need);
        }
    }
    needs
}
