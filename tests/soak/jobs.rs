//! The jobs that the users of a run submit. They are determined by the seed.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{MapBuilder, text_array};
use shedtally::protocol::jobs::JobSpec;
use shedtally::storage::records::JobRecord;

/// CPUs of every machine.
pub const MACHINE_CPUS: f64 = 8.0;
/// Zones of the fleet.
pub const ZONES: [&str; 2] = ["z1", "z2"];
/// The only team with a quota.
pub const LIMITED_TEAM: &str = "red";
/// The share of the fleet's CPUs that the limited team may use.
pub const LIMITED_SHARE: f64 = 0.4;
const OTHER_TEAM: &str = "blue";

/// A job, and when its user submits and cancels it.
#[derive(Debug, Clone)]
pub struct Job {
    /// The job's name.
    pub id: String,
    /// The team that submits it.
    pub team: &'static str,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// How long a task runs; a service's tasks run until they are stopped.
    pub run: Duration,
    /// Whether the job is a service rather than a job array.
    pub is_service: bool,
    /// The zone that its tasks must run in, if restricted.
    pub zone: Option<&'static str>,
    /// Whether all of its tasks must run in one zone.
    pub one_zone: bool,
    /// Whether its tasks must be spread over the zones.
    pub spread: bool,
    /// Whether its tasks may run on spot machines.
    pub spot: bool,
    /// Indices of the jobs that must complete before it starts; all are earlier in the plan.
    pub dependencies: Vec<usize>,
    /// Planned submission time, since the users started.
    pub submit_at: Duration,
    /// How long after its acceptance its user cancels it, if at all.
    pub cancel_after: Option<Duration>,
    /// Whether it was accepted before the run: its record is in the key-value store.
    pub is_in_backlog: bool,
}

impl Job {
    /// Encodes the request that submits the job; `all` are the jobs of the run.
    pub fn encode_submission(&self, all: &[Job]) -> Value {
        let dependencies = self
            .dependencies
            .iter()
            .filter_map(|&dependency| all.get(dependency))
            .map(|dependency| dependency.id.as_str());
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
            .set("awaits", text_array(dependencies))
            .build()
    }
}

/// Jobs of the backlog that depend on the same job.
const BACKLOG_GROUP: u64 = 50;
/// The users of the backlog send their first requests within this time.
const BACKLOG_FIRST_REQUEST_S: f64 = 5.0;
/// Longer than any run.
const ENDLESS: Duration = Duration::from_secs(24 * 3600);

/// Appends the jobs that are accepted and unfinished when the run begins: groups of jobs that depend
/// on one that does not end during the run.
pub fn append_backlog(jobs: &mut Vec<Job>, seed: u64, count: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xbac);
    let mut first_of_group = jobs.len();
    for number in 0..count {
        let is_first = number % BACKLOG_GROUP == 0;
        if is_first {
            first_of_group = jobs.len();
        }
        jobs.push(Job {
            id: format!("job-{:06}", jobs.len()),
            team: OTHER_TEAM,
            tasks: 1,
            cpus: 0.5,
            run: ENDLESS,
            is_service: false,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            dependencies: if is_first { Vec::new() } else { vec![first_of_group] },
            submit_at: Duration::from_secs_f64(rng.random_range(0.0..BACKLOG_FIRST_REQUEST_S)),
            cancel_after: None,
            is_in_backlog: true,
        });
    }
}

/// The records of the jobs of the backlog.
pub fn backlog_records(jobs: &[Job]) -> Vec<JobRecord> {
    let submitted_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let backlog = jobs.iter().filter(|job| job.is_in_backlog);
    let specs = backlog.map(|job| JobSpec::decode(&job.encode_submission(jobs)));
    specs.map(|spec| JobRecord::new(spec.expect("a valid description"), submitted_ms)).collect()
}

/// Plans the jobs that users submit during a run, for a fleet of this many workers, in the order of
/// submission.
pub fn plan(seed: u64, workers: u64, duration: Duration) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x10b5);
    // A few jobs a second for two dozen machines; the rate grows with the fleet.
    let mean_interval = (6.0 / workers as f64).clamp(0.08, 0.6);
    let mut jobs: Vec<Job> = Vec::new();
    let mut at = 0.5;
    while at < duration.as_secs_f64() {
        jobs.push(random_job(&mut rng, &jobs, at));
        at += mean_interval * rng.random_range(0.3..1.7);
    }
    jobs
}

/// Generates a job that is submitted `at` seconds after the beginning of the run.
fn random_job(rng: &mut SmallRng, earlier: &[Job], at: f64) -> Job {
    let is_service = rng.random_bool(0.08);
    let team = if rng.random_bool(0.5) { LIMITED_TEAM } else { OTHER_TEAM };
    let mut job = Job {
        id: format!("job-{:06}", earlier.len()),
        team,
        tasks: [1, 1, 2, 3, 5, 9][rng.random_range(0..6)],
        cpus: [0.5, 1.0, 2.0, 4.0][rng.random_range(0..4)],
        run: Duration::from_secs_f64(rng.random_range(0.3..5.0)),
        is_service,
        zone: None,
        one_zone: false,
        spread: false,
        spot: rng.random_bool(0.6),
        dependencies: random_dependencies(rng, earlier, is_service),
        submit_at: Duration::from_secs_f64(at),
        cancel_after: None,
        is_in_backlog: false,
    };
    match rng.random_range(0..12) {
        0 => job.one_zone = true,
        1 => job.spread = true,
        2 => job.zone = Some(ZONES[1]),
        _ => {}
    }
    if is_service {
        job.tasks = job.tasks.min(3);
        job.cpus = 1.0;
    }
    if is_service || rng.random_bool(0.25) {
        job.cancel_after = Some(Duration::from_secs_f64(rng.random_range(0.05..8.0)));
    }
    job
}

/// Picks the dependencies of a new job: usually none, otherwise some of the last jobs or of all
/// earlier ones. This produces chains, diamonds and fan-in.
fn random_dependencies(rng: &mut SmallRng, earlier: &[Job], is_service: bool) -> Vec<usize> {
    if is_service || earlier.is_empty() || rng.random_bool(0.55) {
        return Vec::new();
    }
    let mut dependencies = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let first = if rng.random_bool(0.85) { earlier.len().saturating_sub(6) } else { 0 };
        let dependency = rng.random_range(first..earlier.len());
        if !earlier[dependency].is_service && !dependencies.contains(&dependency) {
            dependencies.push(dependency);
        }
    }
    dependencies
}
