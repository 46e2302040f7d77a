//! One run: sets the parts up, brings the faults about, and has the history judged.

use std::collections::BTreeSet;
use std::fmt;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use shedtally::protocol::cbor::{Fields, decode};
use shedtally::transport::client::{Call, PreparedCall};
use shedtally::transport::codec::Limits;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::CANCEL;
use super::checker::{self, Finding, Terms};
use super::cloud::Cloud;
use super::history::{Entry, Event, JobState, Question, Recorder};
use super::jobs::{self, Job, LIMITED_PART, MACHINE_CPUS};
use super::network::Passage;
use super::options::{Options, PROGRAM};
use super::processes::{Controllers, Site};
use super::schedule::{self, Fault, Moment, Planned, Whom};
use super::state_service::{Mishap, StateService};
use super::users::{self, CallOff, Users};
use super::workers::Surroundings;

/// From the last fault to the end: the time of a cancellation, and what a takeover and the
/// proofs about silent machines take.
const CALM: Duration = Duration::from_secs(30);
/// Users submit until so long before the faults end.
const LAST_JOBS: Duration = Duration::from_secs(2);
/// Faults that last longer end with this time after the last one has begun.
const FAULTS_LAST: Duration = Duration::from_secs(10);
/// What must begin or be answered by the end had this time for it.
const SETTLED_BEFORE_END: Duration = Duration::from_secs(16);
/// A start that was on its way when a user was told is dropped by the worker after that.
const START_ON_ITS_WAY: Duration = Duration::from_secs(4);
/// A run is judged if its timers came late by no more than this, a tenth of the shortest
/// time that a rule names.
const MOST_LAG: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(20);
/// How often the controllers are asked for their figures, and how long they may take.
const FIGURES_EVERY: Duration = Duration::from_millis(500);
/// A fault that waits for a moment that does not come begins after this time.
const MOMENT_PATIENCE: Duration = Duration::from_secs(2);

/// What came of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    Kept,
    Broken(Vec<Finding>),
    /// The harness itself came too late, or could not be set up.
    NotJudged(String),
}

#[derive(Debug, Clone)]
pub struct Report {
    pub seed: u64,
    pub controllers: usize,
    pub machines: u64,
    pub lasted: Duration,
    pub starts: usize,
    pub answers: usize,
    pub faults: usize,
    pub leaders: usize,
    pub lag: Duration,
    pub verdict: Verdict,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match &self.verdict {
            Verdict::Kept => "no rule broken".to_owned(),
            Verdict::Broken(findings) => {
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

/// Plays a seed to its end.
pub fn play(seed: u64, options: &Options) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let played = runtime.and_then(|runtime| runtime.block_on(play_in_runtime(seed, options)));
    played.unwrap_or_else(|error| Report {
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

async fn play_in_runtime(seed: u64, options: &Options) -> std::io::Result<Report> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}-{seed}", options.workers));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let begin = Instant::now();
    let (recorder, noted) = Recorder::new(begin);
    let faults_until = Duration::from_secs(options.seconds);
    let jobs = jobs::plan(seed, options.workers, faults_until.saturating_sub(LAST_JOBS));
    let mut stage = Stage::set(seed, options, &folder, &jobs, recorder.clone()).await?;
    let (collector, moments) = collect(noted);
    let lag = measure_lag();
    let figures = ask_figures(stage.controllers.for_users(), recorder.clone());
    let planned = schedule::plan(seed, stage.controllers.count(), faults_until);
    stage.bring_about(&planned, moments).await?;
    stage.wait_until(begin + faults_until + FAULTS_LAST).await?;
    stage.controllers.calm().await?;
    let calm_at = recorder.now();
    stage.wait_until(Instant::now() + CALM).await?;
    figures.abort();
    let end = recorder.now();
    let controllers = stage.controllers.count();
    let lag = lag.worst();
    drop(stage);
    let history = collector.history(end).await;
    let terms = Terms {
        limit: options.workers as f64 * MACHINE_CPUS * LIMITED_PART,
        cancel: CANCEL,
        start_on_its_way: START_ON_ITS_WAY,
        calm_at,
        end,
        settled_before_end: SETTLED_BEFORE_END,
        lag: MOST_LAG,
    };
    let findings = checker::check(&jobs, &terms, &history);
    let verdict = match findings.is_empty() {
        _ if lag > MOST_LAG => Verdict::NotJudged(format!("timers were late by {lag:?}")),
        true => Verdict::Kept,
        false => Verdict::Broken(findings),
    };
    if verdict == Verdict::Kept {
        std::fs::remove_dir_all(&folder)?;
    } else {
        keep(&folder, &planned, &jobs, &history)?;
    }
    let count = |is_one: fn(&Event) -> bool| history.iter().filter(|entry| is_one(&entry.event)).count();
    Ok(Report {
        seed,
        controllers,
        machines: options.workers,
        lasted: end,
        starts: count(|event| matches!(event, Event::Began { .. })),
        answers: count(|event| matches!(event, Event::Answered { .. })),
        faults: count(|event| matches!(event, Event::Fault { .. })),
        leaders: count(takes_the_lead),
        lag,
        verdict,
    })
}

/// Whether a controller has become the leader.
fn takes_the_lead(event: &Event) -> bool {
    matches!(event, Event::Committed { keys, .. } if keys.iter().any(|key| key == "leader"))
}

/// Keeps what a run has left for whoever looks into it.
fn keep(folder: &Path, planned: &[Planned], jobs: &[Job], history: &[Entry]) -> std::io::Result<()> {
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

/// Gathers the history, and passes on the moments that faults may wait for.
struct Collector {
    entries: mpsc::UnboundedReceiver<Vec<Entry>>,
    stop: watch::Sender<bool>,
}

/// A moment, and the controller that gave the answer.
type Told = (Moment, usize);

fn collect(mut noted: mpsc::UnboundedReceiver<Entry>) -> (Collector, mpsc::UnboundedReceiver<Told>) {
    let (moments, told) = mpsc::unbounded_channel();
    let (done, entries) = mpsc::unbounded_channel();
    let (stop, mut stopped) = watch::channel(false);
    tokio::spawn(async move {
        let mut history = Vec::new();
        loop {
            tokio::select! {
                biased;
                Some(entry) = noted.recv() => {
                    if let Some(moment) = moment_of(&entry.event) {
                        let _ = moments.send(moment);
                    }
                    history.push(entry);
                }
                _ = stopped.changed() => break,
            }
        }
        let _ = done.send(history);
    });
    (Collector { entries, stop }, told)
}

impl Collector {
    /// What was noted until then, in the order of time.
    async fn history(mut self, end: Duration) -> Vec<Entry> {
        self.stop.send_replace(true);
        let mut history = self.entries.recv().await.unwrap_or_default();
        history.retain(|entry| entry.at <= end);
        history.sort_by_key(|entry| entry.at);
        history
    }
}

fn moment_of(event: &Event) -> Option<Told> {
    match event {
        Event::Answered { controller, question: Question::Withdraw, standing, .. } => {
            (*standing == Some(JobState::Cancelled)).then_some((Moment::Confirmed, *controller))
        }
        Event::Answered { controller, status: 201, .. } => Some((Moment::Accepted, *controller)),
        Event::Answered { controller, standing: Some(JobState::Done), .. } => {
            Some((Moment::Settled, *controller))
        }
        _ => None,
    }
}

/// How late the harness's own timers come at worst.
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

/// Asks the controllers now and then whether they had to refuse acts of their own.
fn ask_figures(controllers: Vec<std::net::SocketAddr>, recorder: Recorder) -> tokio::task::AbortHandle {
    let asking = tokio::spawn(async move {
        loop {
            for (controller, address) in controllers.iter().enumerate() {
                let call = Call {
                    method: "GET",
                    target: "/status".into(),
                    body: Vec::new(),
                    deadline: FIGURES_EVERY,
                };
                let limits = Limits { head: 8192, body: 64 * 1024 };
                let Ok(answer) = PreparedCall::without_pool(*address, limits, call).run().await.0 else {
                    continue;
                };
                let Ok(body) = decode(&answer.body) else { continue };
                let Ok(fields) = Fields::of(&body) else { continue };
                for figure in ["invariantsViolated", "epochsReused"] {
                    if fields.opt_count(figure).ok().flatten().is_some_and(|count| count > 0) {
                        recorder.note(Event::Violated { controller, figure });
                    }
                }
            }
            tokio::time::sleep(FIGURES_EVERY).await;
        }
    });
    asking.abort_handle()
}

/// All parts of a run, and what is to be undone later.
struct Stage {
    controllers: Controllers,
    state: StateService,
    cloud: Cloud,
    call_off: watch::Sender<CallOff>,
    recorder: Recorder,
    /// What ends a fault, and when.
    endings: Vec<(Instant, Ending)>,
}

#[derive(Debug, Clone, Copy)]
enum Ending {
    Start(usize),
    GoOn(usize),
    MendState(usize),
    MendPeers(usize),
    MendWorkers(usize),
    MendAllPeers,
}

impl Stage {
    async fn set(
        seed: u64,
        options: &Options,
        folder: &Path,
        jobs: &[Job],
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let count = if seed % 3 == 2 { 5 } else { 3 };
        let state = StateService::start(seed, count, recorder.clone()).await?;
        let program = std::env::var_os(PROGRAM).map(PathBuf::from);
        let program = program.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_shedtally")));
        let site = Site { count, workers: options.workers, prompt: seed % 2 == 1, folder, program: &program };
        let mut controllers = Controllers::prepare(&site, &state).await?;
        let surroundings = Arc::new(Surroundings {
            jobs: jobs.to_vec(),
            controllers: controllers.for_workers(),
            recorder: recorder.clone(),
        });
        let cloud = Cloud::start(seed, options.workers, surroundings).await?;
        controllers.lead_to_cloud(cloud.address);
        for at in 0..count {
            controllers.start(at).await?;
        }
        let (call_off, calls) = watch::channel((0, 0.0));
        users::start(Arc::new(Users {
            jobs: jobs.to_vec(),
            controllers: controllers.for_users(),
            recorder: recorder.clone(),
            begin: Instant::now(),
            call_off: calls,
            accepted: jobs.iter().map(|_| watch::channel(false).0).collect(),
            seed,
        }));
        Ok(Stage { controllers, state, cloud, call_off, recorder, endings: Vec::new() })
    }

    /// Lets time pass; faults end when their time is over.
    async fn wait_until(&mut self, until: Instant) -> std::io::Result<()> {
        loop {
            let now = Instant::now();
            let due: Vec<Ending> =
                self.endings.iter().filter(|(at, _)| now >= *at).map(|(_, ending)| *ending).collect();
            self.endings.retain(|(at, _)| now < *at);
            for ending in due {
                self.end(ending).await?;
            }
            for (controller, how) in self.controllers.ended() {
                self.recorder.note(Event::Ended { controller, how });
                self.controllers.start(controller).await?;
            }
            if now >= until {
                return Ok(());
            }
            tokio::time::sleep_until(until.min(now + STEP)).await;
        }
    }

    async fn end(&mut self, ending: Ending) -> std::io::Result<()> {
        match ending {
            Ending::Start(at) => self.controllers.start(at).await?,
            Ending::GoOn(at) => self.controllers.pause(at, false),
            Ending::MendState(at) => self.controllers.cut_state(at, None),
            Ending::MendPeers(at) => self.controllers.cut_peers(at, None),
            Ending::MendWorkers(at) => self.controllers.cut_workers(at, None),
            Ending::MendAllPeers => self.controllers.delay_peers(Passage::Open),
        }
        Ok(())
    }

    async fn bring_about(
        &mut self,
        planned: &[Planned],
        mut moments: mpsc::UnboundedReceiver<Told>,
    ) -> std::io::Result<()> {
        let begin = Instant::now() - self.recorder.now();
        for Planned { at, moment, fault } in planned {
            self.wait_until(begin + *at).await?;
            while moments.try_recv().is_ok() {}
            let answering = match moment {
                Some(moment) => next_moment(&mut moments, *moment).await,
                None => None,
            };
            let leader = self.leader().await;
            self.recorder.note(Event::Fault { what: format!("{fault:?}, c-{leader} leads") });
            self.begin(*fault, leader, answering);
        }
        Ok(())
    }

    /// Who leads by the state service's word; with nobody, any.
    async fn leader(&self) -> usize {
        let name = self.state.leader().await;
        name.and_then(|name| name.strip_prefix("c-")?.parse().ok()).unwrap_or(0)
    }

    fn later(&mut self, after: Duration, ending: Ending) {
        self.endings.push((Instant::now() + after, ending));
    }

    fn begin(&mut self, fault: Fault, leader: usize, answering: Option<usize>) {
        let at = |whom| match whom {
            Whom::Leader => leader,
            Whom::Answering => answering.unwrap_or(leader),
            Whom::Number(number) => number,
        };
        match fault {
            Fault::Kill { whom, back } => self.kill(at(whom), back),
            Fault::KillAll { back } => (0..self.controllers.count()).for_each(|at| self.kill(at, back)),
            Fault::Pause { whom, lasts } => {
                self.controllers.pause(at(whom), true);
                self.later(lasts, Ending::GoOn(at(whom)));
            }
            Fault::CutState { whom, cut, peers, lasts } => {
                self.controllers.cut_state(at(whom), Some(cut));
                self.later(lasts, Ending::MendState(at(whom)));
                if peers {
                    self.controllers.cut_peers(at(whom), Some(cut));
                    self.later(lasts, Ending::MendPeers(at(whom)));
                }
            }
            Fault::CutPeers { whom, cut, lasts } => {
                self.controllers.cut_peers(at(whom), Some(cut));
                self.later(lasts, Ending::MendPeers(at(whom)));
            }
            Fault::CutWorkers { whom, cut, lasts } => {
                self.controllers.cut_workers(at(whom), Some(cut));
                self.later(lasts, Ending::MendWorkers(at(whom)));
            }
            Fault::SpoilAnswers { whom, back, lasts } => {
                self.controllers.spoil_answers(at(whom), back);
                self.later(lasts, Ending::MendWorkers(at(whom)));
            }
            Fault::DelayPeers { by, lasts } => {
                self.controllers.delay_peers(Passage::Delayed(by));
                self.later(lasts, Ending::MendAllPeers);
            }
            Fault::RefuseState { whom, lasts } => {
                self.state.suffer(Mishap::Refuse { controller: at(whom), lasts });
            }
            Fault::State(mishap) => self.state.suffer(mishap),
            Fault::CloudDown { lasts } => self.cloud.go_down(lasts),
            Fault::Machines { share, mishap } => self.cloud.trouble_machines(share, mishap),
            Fault::MachinesDie { share } => self.cloud.end_machines(share),
            Fault::CallOff { share } => self.call_off.send_modify(|(number, of)| {
                *number += 1;
                *of = share;
            }),
        }
    }

    fn kill(&mut self, at: usize, back: Duration) {
        self.controllers.kill(at);
        self.later(back, Ending::Start(at));
    }
}

/// The controller that gives the next answer of that kind, if one comes in time.
async fn next_moment(moments: &mut mpsc::UnboundedReceiver<Told>, awaited: Moment) -> Option<usize> {
    let waiting = async {
        while let Some((moment, controller)) = moments.recv().await {
            if moment == awaited {
                return Some(controller);
            }
        }
        None
    };
    tokio::time::timeout(MOMENT_PATIENCE, waiting).await.ok().flatten()
}
