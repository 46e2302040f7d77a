//! A whole cluster in simulated time: real controllers, each with its election,
//! its actors and its paced clients, over a scripted network; beside them a state
//! service, a cloud, workers and users as PROTOCOL describes them. The rules are
//! checked from outside, on what workers run and users are told, never by the
//! controllers' own books.

mod cloud;
mod controllers;
mod faults;
mod rules;
mod stalls;
mod state_service;
mod trace;
mod users;
mod workers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use super::{placement, sample};
use crate::coordination::config::Config;
use crate::coordination::controller::{Controller, ControllerHandle};
use crate::coordination::election::{self, Election};
use crate::coordination::fleet::cloud as cloud_client;
use crate::maps::HashMap;
use crate::policy;
use crate::protocol::cbor::{Fields, MapBuilder, decode, encode, texts};
use crate::protocol::cloud::{MachineType, encode_catalog};
use crate::protocol::jobs::{JobId, JobKind, JobSpec, Priority};
use crate::settings::{self, Settings};
use crate::storage::in_memory_kv;
use crate::storage::kv;
use crate::storage::rate_limit::TokenBucket;
use crate::transport::client::{Call, ClientError};
use crate::transport::codec::{Request, Response};
use crate::transport::peer::{PeerHandler, PeerReply};
use crate::transport::scripted::{self, Ask};
use crate::transport::server::Handler;

pub use faults::Fault;
pub use trace::Trace;

const STEP: Duration = Duration::from_millis(100);
/// Later than any simulation lasts.
const LONG_AFTER: Duration = Duration::from_secs(24 * 3600);
const METRICS_INTERVAL: Duration = Duration::from_secs(2);
const LIST_LAG: Duration = Duration::from_secs(4);

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

struct SimulatedController {
    incarnation: u16,
    handle: Option<ControllerHandle>,
    tasks: Vec<AbortHandle>,
    restart_at: Option<Instant>,
    refused_until: Instant,
    cut_until: Instant,
    isolated_until: Instant,
    /// Until when it stands still: none of its code runs, its clocks do.
    stalls: stalls::Stalls,
}

type TaskKey = (String, u32);

#[derive(Debug, Clone, PartialEq)]
enum RunState {
    Fetching(Instant),
    Running(Instant),
    Exited(&'static str),
}

#[derive(Debug, Clone)]
struct RunningTask {
    attempt: u64,
    state: RunState,
}

#[derive(Debug)]
struct Worker {
    zone: &'static str,
    spot: bool,
    address: SocketAddr,
    provisioned_at: Instant,
    up_at: Instant,
    gone_at: Option<Instant>,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// The sending of the last answered report, or the session's begin.
    lease_from: Instant,
    tasks: Vec<(TaskKey, RunningTask)>,
    target: usize,
    next_heartbeat: Instant,
    in_flight: bool,
    changed: bool,
    deaf_until: Instant,
    mute_until: Instant,
    hung_until: Instant,
    /// Direct orders that wait for a hung machine to go on.
    held_commands: Vec<Vec<u8>>,
    empty_since: Instant,
}

/// One process of a controller: its place in the cluster and its incarnation.
pub type Process = (usize, u16);

/// A final state as a user first heard it.
#[derive(Debug)]
struct TerminalState {
    standing: &'static str,
    at: Instant,
    /// Which processes have said so, and their first answer's number in the order
    /// in which answers were sent.
    by: BTreeMap<Process, u64>,
}

/// When and by whom an answer was sent.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// The sending of the request.
    pub sent: Instant,
    pub process: Process,
    /// The answer's number in the order in which answers were sent.
    pub order: u64,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    run: Duration,
    asked: bool,
    accepted: Option<Instant>,
    given_up: bool,
    cancel_from: Option<Instant>,
    cancelled: Option<Instant>,
    terminal: Option<TerminalState>,
    answered: Instant,
    next: Instant,
    in_flight: bool,
    done: BTreeSet<u32>,
    /// Since when it has waited beside room, its team being under its limit.
    passed_over: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Question {
    Submit,
    Poll,
    Cancel,
    /// Not to be accepted: lacks a field, or fits nothing.
    Invalid(u16),
    /// About a job that nobody submitted.
    Unknown,
}

enum Event {
    HeartbeatAnswered {
        machine: String,
        controller: usize,
        incarnation: u64,
        sent: Instant,
        answer: Option<Response>,
    },
    Answered {
        job: String,
        question: Question,
        origin: Origin,
        answer: Option<Response>,
        is_extra: bool,
    },
    /// Another controller's call was answered.
    PeerReplied {
        sender: usize,
        peer: usize,
        reply: PeerReply,
    },
    /// A controller's own figures.
    Metrics {
        controller: usize,
        answer: Response,
    },
    Nothing,
}

struct Watch {
    controller: usize,
    incarnation: u16,
    prefix: String,
    from: u64,
    until: Instant,
    reply: oneshot::Sender<Result<Response, ClientError>>,
}

/// How large a simulated cluster is, and how busy.
#[derive(Debug, Clone, Copy)]
pub struct ClusterShape {
    pub controllers: usize,
    /// Mean pause between two submissions, in seconds.
    pub mean_submit_interval_s: f64,
    /// Longest run time of a task, in seconds.
    pub max_run_s: f64,
    /// Tasks of the largest arrays.
    pub max_tasks: u32,
    /// Requests a second that users send beside those that they need.
    pub extra_requests: f64,
    /// Changes a second of the state service.
    pub writes: f64,
    /// Largest value of the state service; small ones split done tasks into blocks.
    pub value_kb: f64,
    /// Bounds the final states that a controller remembers.
    pub memory_mb: f64,
    /// Most keys in one page of the state service.
    pub page: usize,
    /// The part of the arrays that await others.
    pub dependent_share: f64,
    /// Limits of the state service are announced, to hold from [`Fault::LimitsFall`] on.
    pub limits_fall: bool,
}

impl ClusterShape {
    pub fn usual(controllers: usize) -> Self {
        ClusterShape {
            controllers,
            mean_submit_interval_s: 4.0,
            max_run_s: 25.0,
            max_tasks: 6,
            extra_requests: 1.0,
            writes: 80.0,
            value_kb: settings::tests::sample().cluster.state.value_kb,
            memory_mb: settings::tests::sample().cluster.limits.memory_mb,
            page: 1000,
            dependent_share: 0.0,
            limits_fall: false,
        }
    }

    /// Many jobs await others, and the state service's limits are going to fall.
    pub fn with_dependencies(self) -> Self {
        ClusterShape { dependent_share: 0.4, limits_fall: true, ..self }
    }

    /// Tens of small jobs, and users that ask a lot.
    pub fn busy(controllers: usize) -> Self {
        ClusterShape {
            mean_submit_interval_s: 1.0,
            max_run_s: 8.0,
            extra_requests: 20.0,
            ..ClusterShape::usual(controllers)
        }
    }

    /// Hundreds of small jobs, some of several blocks, more rows than a page holds
    /// and more final states than are remembered.
    pub fn crowded(controllers: usize) -> Self {
        ClusterShape {
            mean_submit_interval_s: 0.25,
            max_run_s: 6.0,
            max_tasks: 16,
            extra_requests: 20.0,
            writes: 240.0,
            value_kb: 0.002,
            memory_mb: 8.0,
            page: 7,
            ..ClusterShape::usual(controllers)
        }
    }
}

pub struct Simulation {
    rng: SmallRng,
    begin: Instant,
    pub trace: Trace,
    settings: Settings,
    messages: mpsc::UnboundedReceiver<Ask>,
    events: JoinSet<Event>,
    state: in_memory_kv::InMemoryKv,
    renewed: BTreeMap<u64, Instant>,
    outage_until: Instant,
    /// What is left of the changes that the state service takes, once its limits have fallen.
    allowance: Option<TokenBucket>,
    late_writes: (f64, Instant),
    lost_answers: (f64, Instant),
    doubled_writes: (f64, Instant),
    slow_answers: (f64, Instant),
    late_requests: (f64, Instant),
    peers_refuse_until: Instant,
    /// What controllers that stand still have sent, as far as it has not left yet.
    held_messages: Vec<(Instant, Ask)>,
    late: Vec<(Instant, Request)>,
    watches: Vec<Watch>,
    cloud_down_until: Instant,
    node_pools: HashMap<String, Vec<String>>,
    next_machine: usize,
    controllers: Vec<SimulatedController>,
    machines: BTreeMap<String, Worker>,
    late_heartbeats: (f64, Instant),
    cancel_at_end: (f64, Instant),
    jobs: BTreeMap<String, Job>,
    next_job: usize,
    shape: ClusterShape,
    /// Answers sent so far, over all controllers.
    answers: Arc<AtomicU64>,
    next_arrival: Instant,
    arrivals_until: Instant,
    next_invalid_request: Instant,
    /// When the controllers are next asked for their figures.
    next_metrics: Instant,
    zone_cut_until: Instant,
    faults: Vec<(f64, Fault)>,
    pub calm_at: Instant,
    pub violations: Vec<String>,
    pub starts: usize,
    pub late_changes: usize,
    /// Transactions refused for the limits that have come into force.
    pub beyond_limits: usize,
    pub late_copies: usize,
    pub cancellations: usize,
    pub lost_leases: usize,
    /// Answers older than a final state that had arrived before them, though their
    /// requests were sent earlier, and by another process: no controller could know.
    pub overtaken: usize,
    /// Answers about jobs whose final state was known to their users.
    pub repeated_answers: usize,
    pub leaders: BTreeSet<u64>,
}

fn catalog() -> Vec<MachineType> {
    super::catalog().into_iter().map(|kind| MachineType { boot_s: 8.0, ..kind }).collect()
}

fn answer(status: u16, body: &Value) -> Response {
    Response { status, body: encode(body), retry_after_s: None, close: false }
}

fn later(
    reply: oneshot::Sender<Result<Response, ClientError>>,
    result: Result<Response, ClientError>,
    after: Duration,
) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        let _ = reply.send(result);
    });
}

impl Simulation {
    pub fn new(seed: u64, controllers: usize, faults: Vec<(f64, Fault)>, calm: f64) -> Self {
        Simulation::shaped(seed, ClusterShape::usual(controllers), faults, calm)
    }

    pub fn shaped(seed: u64, shape: ClusterShape, mut faults: Vec<(f64, Fault)>, calm: f64) -> Self {
        let controllers = shape.controllers;
        let messages = scripted::install();
        let begin = Instant::now();
        let mut settings = settings::tests::sample();
        settings.cluster.size = controllers as u32;
        settings.cluster.state.rps = 200.0;
        settings.cluster.state.write_rps = shape.writes;
        settings.cluster.state.rps = settings.cluster.state.rps.max(shape.writes * 2.5);
        settings.cluster.state.value_kb = shape.value_kb;
        if shape.limits_fall {
            settings.cluster.state.next = Some(settings::NextState {
                rps: None,
                write_rps: Some(shape.writes * 0.6),
                value_kb: Some(shape.value_kb / 4.0),
                txn_ops: Some(4),
            });
        }
        settings.cluster.limits.memory_mb = shape.memory_mb;
        settings.cluster.workers.lease_s = 20.0;
        settings.cluster.workers.cancel_s = 45.0;
        if seed % 4 >= 2 {
            // Answers to reports are held for prompt starts.
            settings.cluster.objectives.push(placement::latency_objective(&settings.cluster.workers));
        }
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        let controller = || SimulatedController {
            incarnation: 0,
            handle: None,
            tasks: Vec::new(),
            restart_at: Some(begin),
            refused_until: begin,
            cut_until: begin,
            isolated_until: begin,
            stalls: stalls::Stalls::new(begin),
        };
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            begin,
            trace: Trace::default(),
            settings,
            messages,
            events: JoinSet::new(),
            state: in_memory_kv::InMemoryKv::with_pages_of(shape.page),
            renewed: BTreeMap::new(),
            outage_until: begin,
            allowance: None,
            late_writes: (0.0, begin),
            lost_answers: (0.0, begin),
            doubled_writes: (0.0, begin),
            slow_answers: (0.0, begin),
            late_requests: (0.0, begin),
            peers_refuse_until: begin,
            held_messages: Vec::new(),
            late: Vec::new(),
            watches: Vec::new(),
            cloud_down_until: begin,
            node_pools: HashMap::default(),
            next_machine: 0,
            controllers: (0..controllers).map(|_| controller()).collect(),
            machines: BTreeMap::new(),
            late_heartbeats: (0.0, begin),
            cancel_at_end: (0.0, begin),
            jobs: BTreeMap::new(),
            next_job: 0,
            shape,
            answers: Arc::default(),
            next_arrival: begin + seconds(3.0),
            arrivals_until: begin + seconds(calm),
            next_invalid_request: begin + seconds(20.0),
            next_metrics: begin + METRICS_INTERVAL,
            zone_cut_until: begin,
            faults,
            calm_at: begin + seconds(calm),
            violations: Vec::new(),
            starts: 0,
            late_changes: 0,
            beyond_limits: 0,
            late_copies: 0,
            cancellations: 0,
            lost_leases: 0,
            overtaken: 0,
            repeated_answers: 0,
            leaders: BTreeSet::new(),
        }
    }

    fn at(&self) -> f64 {
        (Instant::now() - self.begin).as_secs_f64()
    }

    pub fn record_violation(&mut self, rule: &str, what: String) {
        if self.violations.len() < 50 {
            self.violations.push(format!("{rule} at {:.1} s: {what}", self.at()));
        }
    }

    /// Plays until then.
    pub async fn run(&mut self, until: f64) {
        let end = self.begin + seconds(until);
        let mut step = tokio::time::interval(STEP);
        while Instant::now() < end {
            tokio::select! {
                biased;
                Some(ask) = self.messages.recv() => self.deliver(ask),
                Some(event) = self.events.join_next(), if !self.events.is_empty() => {
                    if let Ok(event) = event { self.event(event) }
                }
                _ = step.tick() => self.step(Instant::now()),
            }
        }
    }

    // Time.

    fn event(&mut self, event: Event) {
        match event {
            Event::HeartbeatAnswered { machine, controller, incarnation, sent, answer } => {
                if let Some(answer) = &answer {
                    self.trace_answer(controller, &machine, answer);
                }
                self.heartbeat_answered(&machine, incarnation, sent, answer);
            }
            Event::Answered { job, question, origin, answer, is_extra } => {
                if let Some(answer) = &answer {
                    self.trace_answer(origin.process.0, &job, answer);
                }
                self.answered(&job, question, origin, answer, is_extra);
            }
            Event::Metrics { controller, answer } => self.check_metrics(controller, &answer),
            Event::PeerReplied { sender, peer, reply } => self.trace_peer_reply(sender, peer, &reply),
            Event::Nothing => {}
        }
    }

    fn step(&mut self, now: Instant) {
        self.step_state(now);
        while self.faults.first().is_some_and(|(at, _)| now >= self.begin + seconds(*at)) {
            let (_, fault) = self.faults.remove(0);
            self.inject_fault(now, fault);
        }
        for at in 0..self.controllers.len() {
            if self.controllers[at].restart_at.is_some_and(|back| now >= back) {
                self.start(at);
            }
        }
        self.leader();
        if now >= self.next_arrival && now < self.arrivals_until {
            self.next_arrival =
                now + seconds(self.rng.random_range(0.2..2.0) * self.shape.mean_submit_interval_s);
            self.submit_random_job(now);
        }
        if now >= self.next_invalid_request {
            self.next_invalid_request = now + seconds(self.rng.random_range(1.0..5.0));
            self.send_invalid_request(now);
        }
        self.release_held_messages(now);
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            self.step_worker(now, &name);
        }
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.step_user(now, &id);
        }
        self.send_extra_requests(now);
        self.check_cancelled(now);
        self.check_waiting(now);
        if now >= self.next_metrics {
            self.next_metrics = now + METRICS_INTERVAL;
            self.request_metrics();
        }
    }
}

fn post(target: &str, body: Vec<u8>) -> Request {
    Request { method: "POST".into(), target: target.into(), body, close: false }
}

fn get(target: &str) -> Request {
    Request { method: "GET".into(), target: target.into(), body: Vec::new(), close: false }
}
