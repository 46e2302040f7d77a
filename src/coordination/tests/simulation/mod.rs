//! A whole cluster in simulated time.
//!
//! The state service ([`state_service`]), the cloud ([`cloud`]), the workers ([`workers`]),
//! the users ([`users`]) and the network ([`network`]) are simulated as PROTOCOL describes
//! them. The controllers are real: each has its election, its actors and its rate-limited
//! clients ([`controllers`]). Faults are injected at given times ([`faults`]). The rules are
//! checked from outside, on the tasks that workers run ([`rules`]) and on the answers that
//! users get ([`answers`]), never on the state of the controllers.
//!
//! A simulation is deterministic for a seed: one thread, a paused clock that advances only
//! when every task waits, one random number generator for all draws, ordered maps wherever the
//! order of iteration matters, and one loop ([`Simulation::run`]) that handles messages first,
//! then results of tasks, then steps of the clock. A change in the order of draws, of spawned
//! tasks or of messages changes everything after it; the trace ([`trace`]) shows it.

mod accepted_jobs;
mod answers;
mod cloud;
mod cluster;
mod controllers;
mod events;
mod faults;
mod network;
mod rules;
mod shape;
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
use crate::protocol::cbor::{Fields, MapBuilder, decode, encode, text_array};
use crate::protocol::cloud::{MachineType, encode_catalog};
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState, Priority};
use crate::settings::{self, Settings};
use crate::storage::in_memory_kv;
use crate::storage::kv;
use crate::storage::rate_limit::TokenBucket;
use crate::storage::records::{JobRecord, archived_row_key, encode_row, job_record_key, live_row_key};
use crate::transport::client::{ClientError, HttpCall};
use crate::transport::codec::{Request, Response};
use crate::transport::peer::{PeerCall, PeerHandler, PeerReply};
use crate::transport::server::Handler;
use crate::transport::simulated_network::{self, SimulatedRequest};

use cluster::{
    Job, RandomFault, RunState, RunningTask, SimulatedController, TaskKey, TerminalState, Watch, Worker,
};
use events::Event;

pub use accepted_jobs::AcceptedJob;
pub use cluster::Origin;
pub use events::RequestKind;
pub use faults::Fault;
pub use shape::ClusterShape;
pub use trace::Trace;

/// Interval between two steps of workers, users and faults.
const STEP: Duration = Duration::from_millis(100);
/// Longer than any simulation lasts.
const AFTER_THE_END: Duration = Duration::from_secs(24 * 3600);
/// Interval between two requests for the metrics of all controllers, and the timeout of each.
const METRICS_INTERVAL: Duration = Duration::from_secs(2);
/// How long the inventory of the cloud lags behind.
const LIST_LAG: Duration = Duration::from_secs(4);
/// The controller in the zone that [`Fault::ZonePartition`] partitions.
const PARTITIONED_CONTROLLER: usize = 1;

/// Converts seconds to a duration.
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A simulated cluster and the findings of the checker.
pub struct Simulation {
    rng: SmallRng,
    begin: Instant,
    /// The messages of the controllers, if recording.
    pub trace: Trace,
    settings: Settings,

    // The network.
    /// Messages that controllers have sent.
    messages: mpsc::UnboundedReceiver<SimulatedRequest>,
    /// The async tasks that the simulation has spawned.
    events: JoinSet<Event>,
    /// Messages of stalled controllers, each with its time of delivery.
    held_messages: Vec<(Instant, SimulatedRequest)>,
    delayed_responses: RandomFault,
    /// Calls between controllers are lost until this time.
    peers_unreachable_until: Instant,
    /// The zone with workers and one controller is partitioned until this time.
    zone_partitioned_until: Instant,

    // The state service.
    state: in_memory_kv::InMemoryKv,
    /// When each lease was last extended.
    lease_renewals: BTreeMap<u64, Instant>,
    outage_until: Instant,
    /// Limits the changes per second once the announced limits are in force.
    write_limiter: Option<TokenBucket>,
    delayed_writes: RandomFault,
    lost_responses: RandomFault,
    duplicated_writes: RandomFault,
    /// Delayed transactions and late copies of duplicated ones, each with the time at which it is
    /// applied.
    delayed_transactions: Vec<(Instant, Request)>,
    watches: Vec<Watch>,

    // The cloud.
    cloud_outage_until: Instant,
    /// Names of the machines of each node pool request.
    node_pools: HashMap<String, Vec<String>>,
    /// Number of machines provisioned so far.
    next_machine: usize,

    controllers: Vec<SimulatedController>,

    // Workers.
    machines: BTreeMap<String, Worker>,
    duplicated_heartbeats: RandomFault,
    duplicated_commands: RandomFault,

    // Users.
    jobs: BTreeMap<String, Job>,
    /// Number of jobs submitted so far.
    next_job: usize,
    shape: ClusterShape,
    cancel_at_end: RandomFault,
    duplicated_requests: RandomFault,
    /// Answers sent so far, over all controllers.
    answers: Arc<AtomicU64>,
    next_arrival: Instant,
    arrivals_until: Instant,
    next_invalid_request: Instant,

    /// When the metrics of the controllers are next requested.
    next_metrics: Instant,
    /// Faults not injected yet, ordered by their times in seconds.
    faults: Vec<(f64, Fault)>,
    /// Jobs arrive until this time, and the time limits of waiting jobs and unanswered users count
    /// from it at the earliest. Some tests have later faults, and end before these limits.
    pub faults_end_at: Instant,

    /// Violated rules, each with its time; at most [`MAX_VIOLATIONS`].
    pub violations: Vec<String>,
    /// Tasks started on workers.
    pub starts: usize,
    /// Delayed transactions and late copies of duplicated ones that were applied.
    pub late_transactions: usize,
    /// Transactions rejected because of the limits in force.
    pub over_limits: usize,
    /// Heartbeats chosen for a late copy, including copies whose receiver was down.
    pub late_copies: usize,
    /// Replies to heartbeats and pushed commands of which a copy was sent.
    pub copied_commands: usize,
    /// Jobs whose users learned that they are cancelled.
    pub cancellations: usize,
    /// Leases of workers that expired while they had tasks.
    pub lost_leases: usize,
    /// Answers that contradict a terminal state received earlier, but were requested before it
    /// arrived and came from a process that had not reported it: not a violation, since the
    /// sender could not know of it.
    pub reordered_answers: usize,
    /// Answers about jobs whose terminal state was known to their users.
    pub repeated_answers: usize,
    /// Epochs of the leaders so far.
    pub leaders: BTreeSet<u64>,
}

/// Maximum number of recorded violations; most later ones only follow from the first.
const MAX_VIOLATIONS: usize = 50;

/// The catalog of the tests, with machines that boot faster.
fn catalog() -> Vec<MachineType> {
    super::catalog().into_iter().map(|machine_type| MachineType { boot_s: 8.0, ..machine_type }).collect()
}

/// Builds a response of the state service or the cloud.
fn answer(status: u16, body: &Value) -> Response {
    Response { status, body: encode(body), retry_after_s: None, close: false }
}

/// Sends a reply after a delay.
fn reply_after(
    reply: oneshot::Sender<Result<Response, ClientError>>,
    result: Result<Response, ClientError>,
    after: Duration,
) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        let _ = reply.send(result);
    });
}

/// The settings of a cluster of this shape. Every other pair of seeds has a latency objective,
/// which makes controllers defer replies to heartbeats.
fn settings_of(seed: u64, shape: &ClusterShape) -> Settings {
    let mut settings = settings::tests::sample();
    let cluster = &mut settings.cluster;
    cluster.size = shape.controllers as u32;
    cluster.kv.write_rps = shape.writes;
    cluster.kv.rps = (shape.writes * 2.5).max(200.0);
    cluster.kv.value_kb = shape.value_kb;
    if shape.limits_lowered {
        cluster.kv.next = Some(settings::AnnouncedLimits {
            rps: None,
            write_rps: Some(shape.writes * 0.6),
            value_kb: Some(shape.value_kb / 4.0),
            txn_ops: Some(4),
        });
    }
    cluster.limits.memory_mb = shape.memory_mb;
    cluster.limits.max_connections = shape.sockets;
    cluster.workers.lease_s = 20.0;
    cluster.workers.cancel_s = 45.0;
    if seed % 4 >= 2 {
        cluster.objectives.push(placement::latency_objective(&cluster.workers));
    }
    settings
}

impl Simulation {
    /// A cluster of the usual shape. The times of `faults` are in seconds, as is `faults_end`,
    /// which sets [`Simulation::faults_end_at`].
    pub fn new(seed: u64, controllers: usize, faults: Vec<(f64, Fault)>, faults_end: f64) -> Self {
        Simulation::shaped(seed, ClusterShape::usual(controllers), faults, faults_end)
    }

    /// A cluster of the given shape.
    pub fn shaped(seed: u64, shape: ClusterShape, mut faults: Vec<(f64, Fault)>, faults_end: f64) -> Self {
        let messages = simulated_network::install();
        let begin = Instant::now();
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            begin,
            trace: Trace::default(),
            settings: settings_of(seed, &shape),
            messages,
            events: JoinSet::new(),
            held_messages: Vec::new(),
            delayed_responses: RandomFault::inactive(begin),
            peers_unreachable_until: begin,
            zone_partitioned_until: begin,
            state: in_memory_kv::InMemoryKv::with_pages_of(shape.page),
            lease_renewals: BTreeMap::new(),
            outage_until: begin,
            write_limiter: None,
            delayed_writes: RandomFault::inactive(begin),
            lost_responses: RandomFault::inactive(begin),
            duplicated_writes: RandomFault::inactive(begin),
            delayed_transactions: Vec::new(),
            watches: Vec::new(),
            cloud_outage_until: begin,
            node_pools: HashMap::default(),
            next_machine: 0,
            controllers: (0..shape.controllers).map(|_| SimulatedController::new(begin)).collect(),
            machines: BTreeMap::new(),
            duplicated_heartbeats: RandomFault::inactive(begin),
            duplicated_commands: RandomFault::inactive(begin),
            jobs: BTreeMap::new(),
            next_job: 0,
            shape,
            cancel_at_end: RandomFault::inactive(begin),
            duplicated_requests: RandomFault::inactive(begin),
            answers: Arc::default(),
            next_arrival: begin + seconds(3.0),
            arrivals_until: begin + seconds(faults_end),
            next_invalid_request: begin + seconds(20.0),
            next_metrics: begin + METRICS_INTERVAL,
            faults,
            faults_end_at: begin + seconds(faults_end),
            violations: Vec::new(),
            starts: 0,
            late_transactions: 0,
            over_limits: 0,
            late_copies: 0,
            copied_commands: 0,
            cancellations: 0,
            lost_leases: 0,
            reordered_answers: 0,
            repeated_answers: 0,
            leaders: BTreeSet::new(),
        }
    }

    /// Records a violation of a rule at the current time.
    pub fn record_violation(&mut self, rule: &str, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            let at = (Instant::now() - self.begin).as_secs_f64();
            self.violations.push(format!("{rule} at {at:.1} s: {what}"));
        }
    }

    /// Runs the simulation until this time, in seconds since its start.
    pub async fn run(&mut self, until: f64) {
        let end = self.begin + seconds(until);
        let mut step = tokio::time::interval(STEP);
        while Instant::now() < end {
            tokio::select! {
                biased;
                Some(request) = self.messages.recv() => self.deliver(request),
                Some(event) = self.events.join_next(), if !self.events.is_empty() => {
                    if let Ok(event) = event { self.event(event) }
                }
                _ = step.tick() => self.step(Instant::now()),
            }
        }
    }

    /// Advances all simulated parts by one step, in a fixed order.
    fn step(&mut self, now: Instant) {
        self.step_state(now);
        self.inject_due_faults(now);
        self.restart_due_controllers(now);
        // Called only to record the leader's epoch.
        self.leader();
        self.submit_due_requests(now);
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

    /// Injects the faults that are due.
    fn inject_due_faults(&mut self, now: Instant) {
        while self.faults.first().is_some_and(|(at, _)| now >= self.begin + seconds(*at)) {
            let (_, fault) = self.faults.remove(0);
            self.inject_fault(now, fault);
        }
    }

    /// Starts the controllers that are due, at the beginning and after they were killed.
    fn restart_due_controllers(&mut self, now: Instant) {
        for at in 0..self.controllers.len() {
            if self.controllers[at].restart_at.is_some_and(|restart| now >= restart) {
                self.start(at);
            }
        }
    }

    /// Submits a new job and sends an invalid request, each at random intervals.
    fn submit_due_requests(&mut self, now: Instant) {
        if now >= self.next_arrival && now < self.arrivals_until {
            let pause = self.rng.random_range(0.2..2.0) * self.shape.mean_submit_interval_s;
            self.next_arrival = now + seconds(pause);
            self.submit_random_job(now);
        }
        if now >= self.next_invalid_request {
            self.next_invalid_request = now + seconds(self.rng.random_range(1.0..5.0));
            self.send_invalid_request(now);
        }
    }
}

/// A POST request to a controller.
fn post(target: &str, body: Vec<u8>) -> Request {
    Request { method: "POST".into(), target: target.into(), body, close: false }
}

/// A GET request to a controller.
fn get(target: &str) -> Request {
    Request { method: "GET".into(), target: target.into(), body: Vec::new(), close: false }
}
