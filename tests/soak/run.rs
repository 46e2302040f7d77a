//! A single run: starts the components, injects the faults, and checks the recorded history.

use std::collections::BTreeSet;
use std::fmt;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use shedtally::protocol::cbor::{Fields, decode};
use shedtally::transport::client::HttpCall;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::checker::{self, CheckParameters, Finding};
use super::cloud::Cloud;
use super::history::{Entry, Event, JobState, Recorder, UserRequest};
use super::jobs::{self, Job, LIMITED_SHARE, MACHINE_CPUS};
use super::kv_server::{KvFault, KvRates, KvServer};
use super::network::Delivery;
use super::options::{Options, PROGRAM};
use super::processes::{ClusterSetup, Controllers};
use super::schedule::{self, Fault, PlannedFault, Target, Trigger};
use super::users::{self, MassCancellation, Users};
use super::workers::WorkerContext;
use super::{CANCEL_WITHIN, http};

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
/// Interval for ending faults that are due, and for measuring timer lag.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval for polling the controllers' status; also the timeout of each poll.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// A fault with a trigger waits for a matching response for at most this long, then begins without
/// one.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// No rule was broken.
    Passed,
    /// Rules were broken.
    Failed(Vec<Finding>),
    /// The run gives no result: the harness's own timers were too late, or an I/O error ended it.
    NotJudged(String),
}

/// Result and statistics of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Maximum number of machines in the fleet.
    pub machines: u64,
    /// How long the run took.
    pub duration: Duration,
    /// Number of task starts.
    pub starts: usize,
    /// Number of responses that users received.
    pub answers: usize,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Number of commits that wrote the leader key.
    pub leaders: usize,
    /// Largest delay of the harness's own timers.
    pub lag: Duration,
    /// Outcome of the check.
    pub verdict: Verdict,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match &self.verdict {
            Verdict::Passed => "no rule broken".to_owned(),
            Verdict::Failed(findings) => {
                let rules: BTreeSet<String> = findings.iter().map(|f| format!("{:?}", f.rule)).collect();
                format!("{} findings: {}", findings.len(), rules.into_iter().collect::<Vec<_>>().join(", "))
            }
            Verdict::NotJudged(reason) => format!("not judged: {reason}"),
        };
        write!(
            f,
            "{:>4}  {:>11}  {:>8}  {:>7.0}  {:>6}  {:>7}  {:>6}  {:>7}  {:>6}  {verdict}",
            self.seed,
            self.controllers,
            self.machines,
            self.duration.as_secs_f64(),
            self.starts,
            self.answers,
            self.faults,
            self.leaders,
            self.lag.as_millis()
        )
    }
}

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

/// Collects the history in a background task.
struct Collector {
    history: mpsc::UnboundedReceiver<Vec<Entry>>,
    stop: watch::Sender<bool>,
}

/// A response that may trigger a fault.
#[derive(Debug, Clone, Copy)]
struct TriggerResponse {
    trigger: Trigger,
    /// Index of the controller that sent it.
    controller: usize,
}

/// Starts the collector. The returned channel gets each response that may trigger a fault.
fn start_collector(
    mut recorded: mpsc::UnboundedReceiver<Entry>,
) -> (Collector, mpsc::UnboundedReceiver<TriggerResponse>) {
    let (triggers, responses) = mpsc::unbounded_channel();
    let (history_sender, history_receiver) = mpsc::unbounded_channel();
    let (stop, mut stopped) = watch::channel(false);
    tokio::spawn(async move {
        let mut history = Vec::new();
        loop {
            tokio::select! {
                biased;
                Some(entry) = recorded.recv() => {
                    if let Some(trigger) = trigger_of(&entry.event) {
                        let _ = triggers.send(trigger);
                    }
                    history.push(entry);
                }
                _ = stopped.changed() => break,
            }
        }
        let _ = history_sender.send(history);
    });
    (Collector { history: history_receiver, stop }, responses)
}

impl Collector {
    /// Stops collecting and returns the entries up to `end`, sorted by time.
    async fn history(mut self, end: Duration) -> Vec<Entry> {
        self.stop.send_replace(true);
        let mut history = self.history.recv().await.unwrap_or_default();
        history.retain(|entry| entry.at <= end);
        history.sort_by_key(|entry| entry.at);
        history
    }
}

/// The trigger and sender of a response that may trigger a fault; `None` for other events.
fn trigger_of(event: &Event) -> Option<TriggerResponse> {
    let Event::ResponseReceived { controller, request, status, state, .. } = event else { return None };
    let trigger = match (request, status, state) {
        (UserRequest::Cancel, _, Some(JobState::Cancelled)) => Trigger::CancellationConfirmed,
        (UserRequest::Cancel, ..) => return None,
        (_, 201, _) => Trigger::JobAccepted,
        (_, _, Some(JobState::Done)) => Trigger::JobDone,
        _ => return None,
    };
    Some(TriggerResponse { trigger, controller: *controller })
}

/// Largest delay of the harness's own timers so far.
struct Lag(watch::Receiver<Duration>);

fn measure_lag() -> Lag {
    let (worst, worst_receiver) = watch::channel(Duration::ZERO);
    tokio::spawn(async move {
        loop {
            let due = Instant::now() + TICK_INTERVAL;
            tokio::time::sleep_until(due).await;
            let late = due.elapsed();
            worst.send_if_modified(|worst| {
                late > *worst && {
                    *worst = late;
                    true
                }
            });
        }
    });
    Lag(worst_receiver)
}

impl Lag {
    fn worst(&self) -> Duration {
        *self.0.borrow()
    }
}

/// Polls the controllers' status periodically, and records each non-zero counter of a violated
/// invariant.
fn poll_status(controllers: Vec<std::net::SocketAddr>, recorder: Recorder) -> tokio::task::AbortHandle {
    let polling = tokio::spawn(async move {
        loop {
            for (controller, address) in controllers.iter().enumerate() {
                let (target, response_timeout) = ("/status".into(), STATUS_INTERVAL);
                let call = HttpCall { method: "GET", target, body: Vec::new(), timeout: response_timeout };
                let Some(response) = http::send(*address, call).await else { continue };
                let Ok(body) = decode(&response.body) else { continue };
                let Ok(fields) = Fields::of(&body) else { continue };
                for metric in ["invariantsViolated", "epochsReused"] {
                    if fields.opt_count(metric).ok().flatten().is_some_and(|count| count > 0) {
                        recorder.record(Event::InvariantViolated { controller, metric });
                    }
                }
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    });
    polling.abort_handle()
}

/// All components of a run, and the scheduled ends of active faults.
struct Cluster {
    controllers: Controllers,
    kv: KvServer,
    cloud: Cloud,
    mass_cancellation: watch::Sender<MassCancellation>,
    recorder: Recorder,
    /// When each active fault ends, and the action that ends it.
    fault_ends: Vec<(Instant, FaultEnd)>,
    /// When the last fault so far ends, whoever ends it.
    last_fault_end: Instant,
}

/// An action that ends a fault. The index, if any, is that of the affected controller.
#[derive(Debug, Clone, Copy)]
enum FaultEnd {
    Start(usize),
    Resume(usize),
    RestoreKv(usize),
    RestorePeers(usize),
    RestoreWorkers(usize),
    RestoreAllPeers,
}

impl Cluster {
    async fn start(
        seed: u64,
        options: &Options,
        folder: &Path,
        jobs: &[Job],
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let count = if seed % 3 == 2 { 5 } else { 3 };
        let rates = KvRates::of_backlog(options.backlog);
        let records = jobs::backlog_records(jobs);
        let kv = KvServer::start(seed, count, rates, &records, recorder.clone()).await?;
        let program = std::env::var_os(PROGRAM).map(PathBuf::from);
        let program = program.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_shedtally")));
        let setup = ClusterSetup {
            count,
            workers: options.workers,
            rates,
            latency_sensitive: seed % 2 == 1,
            folder,
            program: &program,
        };
        let mut controllers = Controllers::prepare(&setup, &kv).await?;
        let context = Arc::new(WorkerContext {
            jobs: jobs.to_vec(),
            controllers: controllers.worker_addresses(),
            recorder: recorder.clone(),
        });
        let cloud = Cloud::start(seed, options.workers, context).await?;
        controllers.connect_cloud(cloud.address);
        for index in 0..count {
            controllers.start(index).await?;
        }
        let (mass_cancellation, mass_cancellations) = watch::channel(MassCancellation::default());
        users::start(Arc::new(Users {
            jobs: jobs.to_vec(),
            controllers: controllers.user_addresses(),
            recorder: recorder.clone(),
            begin: Instant::now(),
            mass_cancellations,
            accepted: jobs.iter().map(|_| watch::channel(false).0).collect(),
            seed,
        }));
        Ok(Cluster {
            controllers,
            kv,
            cloud,
            mass_cancellation,
            recorder,
            fault_ends: Vec::new(),
            last_fault_end: Instant::now(),
        })
    }

    /// Waits until the given time. Meanwhile, ends faults that are due and restarts processes that
    /// have exited.
    async fn wait_until(&mut self, until: Instant) -> std::io::Result<()> {
        loop {
            let now = Instant::now();
            let due: Vec<FaultEnd> = self
                .fault_ends
                .iter()
                .filter(|(at, _)| now >= *at)
                .map(|(_, fault_end)| *fault_end)
                .collect();
            self.fault_ends.retain(|(at, _)| now < *at);
            for fault_end in due {
                self.end_fault(fault_end).await?;
            }
            for (controller, status) in self.controllers.take_exited() {
                self.recorder.record(Event::ProcessExited { controller, status });
                self.controllers.start(controller).await?;
            }
            if now >= until {
                return Ok(());
            }
            tokio::time::sleep_until(until.min(now + TICK_INTERVAL)).await;
        }
    }

    async fn end_fault(&mut self, fault_end: FaultEnd) -> std::io::Result<()> {
        match fault_end {
            FaultEnd::Start(index) => self.controllers.start(index).await?,
            FaultEnd::Resume(index) => self.controllers.pause(index, false),
            FaultEnd::RestoreKv(index) => self.controllers.cut_kv(index, None),
            FaultEnd::RestorePeers(index) => self.controllers.cut_peers(index, None),
            FaultEnd::RestoreWorkers(index) => self.controllers.cut_workers(index, None),
            FaultEnd::RestoreAllPeers => self.controllers.delay_peers(Delivery::Immediate),
        }
        Ok(())
    }

    /// Injects the planned faults in order, each at its time or, if it has a trigger, after the next
    /// response of that kind.
    async fn inject_faults(
        &mut self,
        planned: &[PlannedFault],
        mut triggers: mpsc::UnboundedReceiver<TriggerResponse>,
    ) -> std::io::Result<()> {
        let begin = Instant::now() - self.recorder.now();
        for PlannedFault { at, trigger, fault } in planned {
            self.wait_until(begin + *at).await?;
            while triggers.try_recv().is_ok() {}
            let responder = match trigger {
                Some(trigger) => next_trigger(&mut triggers, *trigger).await,
                None => None,
            };
            let leader = self.leader().await;
            self.recorder.record(Event::Fault { description: format!("{fault:?}, c-{leader} leads") });
            self.begin_fault(*fault, leader, responder);
            self.last_fault_end = self.last_fault_end.max(Instant::now() + fault.duration());
        }
        Ok(())
    }

    /// Index of the leader according to the key-value store; 0 if there is none.
    async fn leader(&self) -> usize {
        let name = self.kv.leader().await;
        name.and_then(|name| name.strip_prefix("c-")?.parse().ok()).unwrap_or(0)
    }

    fn schedule_fault_end(&mut self, after: Duration, fault_end: FaultEnd) {
        self.fault_ends.push((Instant::now() + after, fault_end));
    }

    fn begin_fault(&mut self, fault: Fault, leader: usize, responder: Option<usize>) {
        let resolve = |target| match target {
            Target::Leader => leader,
            Target::Responder => responder.unwrap_or(leader),
            Target::Index(index) => index,
        };
        match fault {
            Fault::Kill { target, restart_after } => self.kill(resolve(target), restart_after),
            Fault::KillAll { restart_after } => {
                (0..self.controllers.count()).for_each(|index| self.kill(index, restart_after));
            }
            Fault::Stall { target, duration } => {
                self.controllers.pause(resolve(target), true);
                self.schedule_fault_end(duration, FaultEnd::Resume(resolve(target)));
            }
            Fault::CutKv { target, cut, peers, duration } => {
                self.controllers.cut_kv(resolve(target), Some(cut));
                self.schedule_fault_end(duration, FaultEnd::RestoreKv(resolve(target)));
                if peers {
                    self.controllers.cut_peers(resolve(target), Some(cut));
                    self.schedule_fault_end(duration, FaultEnd::RestorePeers(resolve(target)));
                }
            }
            Fault::CutPeers { target, cut, duration } => {
                self.controllers.cut_peers(resolve(target), Some(cut));
                self.schedule_fault_end(duration, FaultEnd::RestorePeers(resolve(target)));
            }
            Fault::CutWorkers { target, cut, duration } => {
                self.controllers.cut_workers(resolve(target), Some(cut));
                self.schedule_fault_end(duration, FaultEnd::RestoreWorkers(resolve(target)));
            }
            Fault::WorkerResponses { target, delivery, duration } => {
                self.controllers.set_worker_responses(resolve(target), delivery);
                self.schedule_fault_end(duration, FaultEnd::RestoreWorkers(resolve(target)));
            }
            Fault::DelayPeers { by, duration } => {
                self.controllers.delay_peers(Delivery::Delayed(by));
                self.schedule_fault_end(duration, FaultEnd::RestoreAllPeers);
            }
            Fault::RefuseKv { target, duration } => {
                self.kv.inject(KvFault::Refuse { controller: resolve(target), duration });
            }
            Fault::KvStore(fault) => self.kv.inject(fault),
            Fault::CloudOutage { duration } => self.cloud.begin_outage(duration),
            Fault::Machines { share, fault } => self.cloud.inject_machine_fault(share, fault),
            Fault::TerminateMachines { share } => self.cloud.terminate_machines(share),
            Fault::CancelMany { share } => self.mass_cancellation.send_modify(|cancellation| {
                cancellation.number += 1;
                cancellation.share = share;
            }),
        }
    }

    fn kill(&mut self, index: usize, restart_after: Duration) {
        self.controllers.kill(index);
        self.schedule_fault_end(restart_after, FaultEnd::Start(index));
    }
}

/// Waits for the next response of the awaited kind, and returns the index of the controller that
/// sent it; `None` after [`TRIGGER_TIMEOUT`].
async fn next_trigger(
    triggers: &mut mpsc::UnboundedReceiver<TriggerResponse>,
    awaited: Trigger,
) -> Option<usize> {
    let waiting = async {
        while let Some(response) = triggers.recv().await {
            if response.trigger == awaited {
                return Some(response.controller);
            }
        }
        None
    };
    tokio::time::timeout(TRIGGER_TIMEOUT, waiting).await.ok().flatten()
}
