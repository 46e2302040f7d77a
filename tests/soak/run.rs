//! One run: starts the parts, injects the faults, and has the history judged.

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
use super::kv_server::{KvFault, KvServer};
use super::network::Delivery;
use super::options::{Options, PROGRAM};
use super::processes::{ClusterSetup, Controllers};
use super::schedule::{self, Fault, PlannedFault, Target, Trigger};
use super::users::{self, MassCancellation, Users};
use super::workers::WorkerContext;
use super::{CANCEL_WITHIN, http};

/// From the end of the last fault to the end of the run: the time that a cancellation may take,
/// and what a failover and the proofs about suspected machines take.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Users submit no more jobs from so long before the last faults begin.
const LAST_JOBS_BEFORE: Duration = Duration::from_secs(2);
/// All faults end no later than this after the last one may begin.
const LAST_FAULTS: Duration = Duration::from_secs(10);
/// A job must have got a response and, if ready, have started by the end if it had this time.
const SETTLE_TIME: Duration = Duration::from_secs(16);
/// A start command that was in flight when a user's cancellation was confirmed is dropped by the
/// worker after this time.
const START_IN_FLIGHT: Duration = Duration::from_secs(4);
/// A run is judged if its timers came late by no more than this, a tenth of the shortest
/// time that a rule names.
const MAX_LAG: Duration = Duration::from_millis(400);
/// How often faults that are due to end are looked for, and the lag of timers is measured.
const STEP: Duration = Duration::from_millis(20);
/// How often each controller's status is read, and how long the response may take.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// A fault that waits for a response begins after this time if none comes.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// No rule was broken.
    Passed,
    /// Rules were broken.
    Failed(Vec<Finding>),
    /// The harness's own timers were too late, or it could not be started.
    NotJudged(String),
}

/// A run's result and some counts of what happened in it.
#[derive(Debug, Clone)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Most machines in the fleet.
    pub machines: u64,
    /// How long the run took.
    pub lasted: Duration,
    /// Number of tasks that were started.
    pub starts: usize,
    /// Number of responses that users got.
    pub answers: usize,
    /// Number of faults.
    pub faults: usize,
    /// Number of changes of the leader's key.
    pub leaders: usize,
    /// How late the harness's own timers were at worst.
    pub lag: Duration,
    /// What came of the run.
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
            self.lasted.as_secs_f64(),
            self.starts,
            self.answers,
            self.faults,
            self.leaders,
            self.lag.as_millis()
        )
    }
}

/// Runs a seed to its end.
pub fn run_seed(seed: u64, options: &Options) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = runtime.and_then(|runtime| runtime.block_on(run_in_runtime(seed, options)));
    report.unwrap_or_else(|error| Report {
        seed,
        controllers: 0,
        machines: options.workers,
        lasted: Duration::ZERO,
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
    let faults_until = Duration::from_secs(options.seconds);
    let jobs = jobs::plan(seed, options.workers, faults_until.saturating_sub(LAST_JOBS_BEFORE));
    let mut cluster = Cluster::start(seed, options, &folder, &jobs, recorder.clone()).await?;
    let (collector, triggers) = collect(recorded);
    let lag = measure_lag();
    let status_polls = poll_status(cluster.controllers.for_users(), recorder.clone());
    let planned = schedule::plan(seed, cluster.controllers.count(), faults_until);
    cluster.inject_faults(&planned, triggers).await?;
    cluster.wait_until(begin + faults_until + LAST_FAULTS).await?;
    cluster.controllers.recover().await?;
    let faults_end_at = recorder.now();
    cluster.wait_until(Instant::now() + RECOVERY_TIME).await?;
    status_polls.abort();
    let end = recorder.now();
    let controllers = cluster.controllers.count();
    let lag = lag.worst();
    drop(cluster);
    let history = collector.history(end).await;
    let parameters = CheckParameters {
        team_cpu_limit: options.workers as f64 * MACHINE_CPUS * LIMITED_SHARE,
        cancel_within: CANCEL_WITHIN,
        start_in_flight: START_IN_FLIGHT,
        faults_end_at,
        end,
        settle_time: SETTLE_TIME,
        max_lag: MAX_LAG,
    };
    let findings = checker::check(&jobs, &parameters, &history);
    let verdict = match findings.is_empty() {
        _ if lag > MAX_LAG => Verdict::NotJudged(format!("timers were late by {lag:?}")),
        true => Verdict::Passed,
        false => Verdict::Failed(findings),
    };
    if verdict == Verdict::Passed {
        std::fs::remove_dir_all(&folder)?;
    } else {
        keep_evidence(&folder, &planned, &jobs, &history)?;
    }
    let count = |is_one: fn(&Event) -> bool| history.iter().filter(|entry| is_one(&entry.event)).count();
    Ok(Report {
        seed,
        controllers,
        machines: options.workers,
        lasted: end,
        starts: count(|event| matches!(event, Event::TaskStarted { .. })),
        answers: count(|event| matches!(event, Event::Answered { .. })),
        faults: count(|event| matches!(event, Event::Fault { .. })),
        leaders: count(is_leader_change),
        lag,
        verdict,
    })
}

/// Whether a controller has written the leader's key.
fn is_leader_change(event: &Event) -> bool {
    matches!(event, Event::Committed { keys, .. } if keys.iter().any(|key| key == "leader"))
}

/// Writes schedule, jobs and history of a failed run beside the controllers' logs.
fn keep_evidence(
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

/// Collects the history, and forwards the responses that faults may wait for.
struct Collector {
    entries: mpsc::UnboundedReceiver<Vec<Entry>>,
    stop: watch::Sender<bool>,
}

/// A response that a fault may wait for.
#[derive(Debug, Clone, Copy)]
struct TriggerResponse {
    trigger: Trigger,
    /// Index of the controller that sent it.
    controller: usize,
}

fn collect(
    mut recorded: mpsc::UnboundedReceiver<Entry>,
) -> (Collector, mpsc::UnboundedReceiver<TriggerResponse>) {
    let (triggers, responses) = mpsc::unbounded_channel();
    let (done, entries) = mpsc::unbounded_channel();
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
        let _ = done.send(history);
    });
    (Collector { entries, stop }, responses)
}

impl Collector {
    /// What was recorded until then, in the order of time.
    async fn history(mut self, end: Duration) -> Vec<Entry> {
        self.stop.send_replace(true);
        let mut history = self.entries.recv().await.unwrap_or_default();
        history.retain(|entry| entry.at <= end);
        history.sort_by_key(|entry| entry.at);
        history
    }
}

/// What faults may wait for, if the event is such a response.
fn trigger_of(event: &Event) -> Option<TriggerResponse> {
    let Event::Answered { controller, request, status, state, .. } = event else { return None };
    let trigger = match (request, status, state) {
        (UserRequest::Cancel, _, Some(JobState::Cancelled)) => Trigger::CancellationConfirmed,
        (UserRequest::Cancel, ..) => return None,
        (_, 201, _) => Trigger::JobAccepted,
        (_, _, Some(JobState::Done)) => Trigger::JobDone,
        _ => return None,
    };
    Some(TriggerResponse { trigger, controller: *controller })
}

/// How late the harness's own timers are at worst.
struct Lag(watch::Receiver<Duration>);

fn measure_lag() -> Lag {
    let (worst, seen) = watch::channel(Duration::ZERO);
    tokio::spawn(async move {
        loop {
            let due = Instant::now() + STEP;
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
    Lag(seen)
}

impl Lag {
    fn worst(&self) -> Duration {
        *self.0.borrow()
    }
}

/// Reads the controllers' status again and again, and records counts of violated invariants.
fn poll_status(controllers: Vec<std::net::SocketAddr>, recorder: Recorder) -> tokio::task::AbortHandle {
    let polling = tokio::spawn(async move {
        loop {
            for (controller, address) in controllers.iter().enumerate() {
                let (target, deadline) = ("/status".into(), STATUS_INTERVAL);
                let call = HttpCall { method: "GET", target, body: Vec::new(), timeout: deadline };
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

/// All parts of a run, and the faults that are to end later.
struct Cluster {
    controllers: Controllers,
    kv: KvServer,
    cloud: Cloud,
    mass_cancellation: watch::Sender<MassCancellation>,
    recorder: Recorder,
    /// What ends each fault, and when.
    fault_ends: Vec<(Instant, FaultEnd)>,
}

/// What ends a fault of the controller with this index.
#[derive(Debug, Clone, Copy)]
enum FaultEnd {
    Start(usize),
    Continue(usize),
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
        let kv = KvServer::start(seed, count, recorder.clone()).await?;
        let program = std::env::var_os(PROGRAM).map(PathBuf::from);
        let program = program.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_shedtally")));
        let setup = ClusterSetup {
            count,
            workers: options.workers,
            latency_sensitive: seed % 2 == 1,
            folder,
            program: &program,
        };
        let mut controllers = Controllers::prepare(&setup, &kv).await?;
        let context = Arc::new(WorkerContext {
            jobs: jobs.to_vec(),
            controllers: controllers.for_workers(),
            recorder: recorder.clone(),
        });
        let cloud = Cloud::start(seed, options.workers, context).await?;
        controllers.connect_cloud(cloud.address);
        for at in 0..count {
            controllers.start(at).await?;
        }
        let (mass_cancellation, mass_cancellations) = watch::channel(MassCancellation::default());
        users::start(Arc::new(Users {
            jobs: jobs.to_vec(),
            controllers: controllers.for_users(),
            recorder: recorder.clone(),
            begin: Instant::now(),
            mass_cancellations,
            accepted: jobs.iter().map(|_| watch::channel(false).0).collect(),
            seed,
        }));
        Ok(Cluster { controllers, kv, cloud, mass_cancellation, recorder, fault_ends: Vec::new() })
    }

    /// Waits; meanwhile ends faults that are due, and restarts processes that have exited.
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
                self.end(fault_end).await?;
            }
            for (controller, status) in self.controllers.exited() {
                self.recorder.record(Event::ProcessExited { controller, status });
                self.controllers.start(controller).await?;
            }
            if now >= until {
                return Ok(());
            }
            tokio::time::sleep_until(until.min(now + STEP)).await;
        }
    }

    async fn end(&mut self, fault_end: FaultEnd) -> std::io::Result<()> {
        match fault_end {
            FaultEnd::Start(at) => self.controllers.start(at).await?,
            FaultEnd::Continue(at) => self.controllers.pause(at, false),
            FaultEnd::RestoreKv(at) => self.controllers.cut_kv(at, None),
            FaultEnd::RestorePeers(at) => self.controllers.cut_peers(at, None),
            FaultEnd::RestoreWorkers(at) => self.controllers.cut_workers(at, None),
            FaultEnd::RestoreAllPeers => self.controllers.delay_peers(Delivery::Open),
        }
        Ok(())
    }

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
            self.begin(*fault, leader, responder);
        }
        Ok(())
    }

    /// Index of the controller that leads by the key-value store's data; 0 if none does.
    async fn leader(&self) -> usize {
        let name = self.kv.leader().await;
        name.and_then(|name| name.strip_prefix("c-")?.parse().ok()).unwrap_or(0)
    }

    fn end_later(&mut self, after: Duration, fault_end: FaultEnd) {
        self.fault_ends.push((Instant::now() + after, fault_end));
    }

    fn begin(&mut self, fault: Fault, leader: usize, responder: Option<usize>) {
        let at = |target| match target {
            Target::Leader => leader,
            Target::Responder => responder.unwrap_or(leader),
            Target::Index(index) => index,
        };
        match fault {
            Fault::Kill { target, back_after } => self.kill(at(target), back_after),
            Fault::KillAll { back_after } => {
                (0..self.controllers.count()).for_each(|at| self.kill(at, back_after));
            }
            Fault::Pause { target, lasts } => {
                self.controllers.pause(at(target), true);
                self.end_later(lasts, FaultEnd::Continue(at(target)));
            }
            Fault::CutKv { target, cut, peers, lasts } => {
                self.controllers.cut_kv(at(target), Some(cut));
                self.end_later(lasts, FaultEnd::RestoreKv(at(target)));
                if peers {
                    self.controllers.cut_peers(at(target), Some(cut));
                    self.end_later(lasts, FaultEnd::RestorePeers(at(target)));
                }
            }
            Fault::CutPeers { target, cut, lasts } => {
                self.controllers.cut_peers(at(target), Some(cut));
                self.end_later(lasts, FaultEnd::RestorePeers(at(target)));
            }
            Fault::CutWorkers { target, cut, lasts } => {
                self.controllers.cut_workers(at(target), Some(cut));
                self.end_later(lasts, FaultEnd::RestoreWorkers(at(target)));
            }
            Fault::WorkerResponses { target, delivery, lasts } => {
                self.controllers.set_worker_responses(at(target), delivery);
                self.end_later(lasts, FaultEnd::RestoreWorkers(at(target)));
            }
            Fault::DelayPeers { by, lasts } => {
                self.controllers.delay_peers(Delivery::Delayed(by));
                self.end_later(lasts, FaultEnd::RestoreAllPeers);
            }
            Fault::RefuseKv { target, lasts } => {
                self.kv.inject(KvFault::Refuse { controller: at(target), lasts });
            }
            Fault::KvStore(fault) => self.kv.inject(fault),
            Fault::CloudOutage { lasts } => self.cloud.begin_outage(lasts),
            Fault::Machines { share, fault } => self.cloud.inject_machine_fault(share, fault),
            Fault::EndMachines { share } => self.cloud.end_machines(share),
            Fault::CancelMany { share } => self.mass_cancellation.send_modify(|cancellation| {
                cancellation.number += 1;
                cancellation.share = share;
            }),
        }
    }

    fn kill(&mut self, at: usize, back_after: Duration) {
        self.controllers.kill(at);
        self.end_later(back_after, FaultEnd::Start(at));
    }
}

/// The controller that sends the next response of that kind, if one comes in time.
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
