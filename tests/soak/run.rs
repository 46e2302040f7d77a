//! A single run: starts the components, injects the faults, and checks the recorded history.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::Instant;

use super::CANCEL_WITHIN;
use super::checker::{self, CheckParameters};
use super::cluster::Cluster;
use super::collector::start_collector;
use super::history::{Entry, Event, Recorder};
use super::jobs::{self, Job, LIMITED_SHARE, MACHINE_CPUS};
use super::monitors::{measure_lag, poll_status};
use super::options::Options;
use super::report::{Report, Verdict};
use super::schedule::{self, PlannedFault};

/// Each controller must answer about each accepted job within this time, once all faults have ended.
const ANSWER_WITHIN: Duration = Duration::from_secs(75);
/// Time from the end of all faults to the end of the run.
const RECOVERY_TIME: Duration = Duration::from_secs(80);
/// The last new jobs are planned this long before the end of the period for which faults are
/// planned.
const SUBMISSION_END_MARGIN: Duration = Duration::from_secs(2);
/// The run ends all faults of controllers and their links this long after the period for which
/// faults are planned. Faults of the key-value store, the cloud and the machines end by themselves,
/// possibly later.
const FAULT_END_MARGIN: Duration = Duration::from_secs(10);
/// A job that was accepted at least this long before the end must get a response within this time
/// before the end. If it was also ready by then, it must have started by the end.
const SETTLE_TIME: Duration = Duration::from_secs(16);
/// How long a start command that is in flight when a cancellation is confirmed may still arrive in
/// a heartbeat response: the worker drops a response that takes longer. Pushed commands have no
/// such limit; the worker checks their fencing token and incarnation.
const START_IN_FLIGHT: Duration = Duration::from_secs(4);
/// A run is checked only if the harness's timers were late by no more than this, which is a tenth
/// of the shortest time limit in the rules.
const MAX_LAG: Duration = Duration::from_millis(400);

/// Runs one seed and checks its history.
pub fn run_seed(seed: u64, options: &Options) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = runtime.and_then(|runtime| runtime.block_on(run_in_runtime(seed, options)));
    report.unwrap_or_else(|error| Report {
        seed,
        controllers: 0,
        machines: options.workers,
        duration: Duration::ZERO,
        starts: 0,
        answers: 0,
        faults: 0,
        leaders: 0,
        lag: Duration::ZERO,
        verdict: Verdict::NotJudged(error.to_string()),
    })
}

async fn run_in_runtime(seed: u64, options: &Options) -> std::io::Result<Report> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}-{seed}", options.workers));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let begin = Instant::now();
    let (recorder, recorded) = Recorder::new(begin);
    let faults_begin_until = Duration::from_secs(options.seconds);
    let mut jobs =
        jobs::plan(seed, options.workers, faults_begin_until.saturating_sub(SUBMISSION_END_MARGIN));
    jobs::append_backlog(&mut jobs, seed, options.backlog);
    let mut cluster = Cluster::start(seed, options, &folder, &jobs, recorder.clone()).await?;
    let (collector, triggers) = start_collector(recorded);
    let lag = measure_lag();
    let status_polls = poll_status(cluster.controllers.user_addresses(), recorder.clone());
    let planned = schedule::plan(seed, cluster.controllers.count(), faults_begin_until);
    cluster.inject_faults(&planned, triggers).await?;
    cluster.wait_until(begin + faults_begin_until + FAULT_END_MARGIN).await?;
    cluster.controllers.recover().await?;
    let faults_end_at = recorder.now();
    let all_faults_end_at = faults_end_at.max(cluster.last_fault_end - begin);
    cluster.wait_until(begin + all_faults_end_at + RECOVERY_TIME).await?;
    status_polls.abort();
    let end = recorder.now();
    let controllers = cluster.controllers.count();
    let lag = lag.worst();
    drop(cluster);
    let history = collector.history(end).await;
    let parameters = CheckParameters {
        controllers,
        team_cpu_limit: options.workers as f64 * MACHINE_CPUS * LIMITED_SHARE,
        cancel_within: CANCEL_WITHIN,
        start_in_flight: START_IN_FLIGHT,
        faults_end_at,
        all_faults_end_at,
        answer_within: ANSWER_WITHIN,
        end,
        settle_time: SETTLE_TIME,
        max_lag: MAX_LAG,
    };
    let findings = checker::check(&jobs, &parameters, &history);
    let verdict = match findings.is_empty() {
        _ if end < all_faults_end_at + ANSWER_WITHIN + MAX_LAG => {
            Verdict::NotJudged("the run ended too soon after the last fault".into())
        }
        _ if lag > MAX_LAG => Verdict::NotJudged(format!("the harness's timers were late by {lag:?}")),
        true => Verdict::Passed,
        false => Verdict::Failed(findings),
    };
    if verdict == Verdict::Passed {
        std::fs::remove_dir_all(&folder)?;
    } else {
        write_history_file(&folder, &planned, &jobs, &history)?;
    }
    let count = |matches_event: fn(&Event) -> bool| {
        history.iter().filter(|entry| matches_event(&entry.event)).count()
    };
    Ok(Report {
        seed,
        controllers,
        machines: options.workers,
        duration: end,
        starts: count(|event| matches!(event, Event::TaskStarted { .. })),
        answers: count(|event| matches!(event, Event::ResponseReceived { .. })),
        faults: count(|event| matches!(event, Event::Fault { .. })),
        leaders: count(writes_leader_key),
        lag,
        verdict,
    })
}

/// Whether the event is a commit that wrote the leader key.
fn writes_leader_key(event: &Event) -> bool {
    matches!(event, Event::Committed { keys, .. } if keys.iter().any(|key| key == "leader"))
}

/// Writes the schedule, jobs and history of a run that did not pass to `history.txt`, in the
/// folder with the controllers' logs.
fn write_history_file(
    folder: &Path,
    planned: &[PlannedFault],
    jobs: &[Job],
    history: &[Entry],
) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(folder.join("history.txt"))?);
    for fault in planned {
        writeln!(file, "planned {fault:?}")?;
    }
    for job in jobs {
        writeln!(file, "{job:?}")?;
    }
    for Entry { at, event } in history {
        writeln!(file, "{:.3} {event:?}", at.as_secs_f64())?;
    }
    file.flush()
}
