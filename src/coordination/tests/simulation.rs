//! A whole cluster in simulated time: real controllers, each with its election,
//! its actors and its paced clients, over a scripted network; beside them a state
//! service, a cloud, workers and users as PROTOCOL describes them. The rules are
//! checked from outside, on what workers run and users are told, never by the
//! controllers' own books.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use super::super::cloud;
use super::super::election::{self, Election};
use super::super::leader::Config;
use super::super::node::{Node, NodeHandle};
use super::{placing, sample};
use crate::maps::HashMap;
use crate::policy;
use crate::protocol::cbor::{Fields, MapBuilder, decode, encode, texts};
use crate::protocol::cloud::{MachineType, encode_catalog};
use crate::protocol::jobs::{Form, JobSpec, Priority};
use crate::settings::{self, Settings};
use crate::storage::service;
use crate::storage::stand_in;
use crate::transport::client::{Call, ClientError};
use crate::transport::codec::{Request, Response};
use crate::transport::peer::PeerHandler;
use crate::transport::scripted::{self, Ask};
use crate::transport::server::Handler;

const STEP: Duration = Duration::from_millis(100);
const LAG: Duration = Duration::from_secs(4);

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// What goes wrong; where no controller is named, it is the one that leads by the
/// state service's own word.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Crash {
        controller: Option<usize>,
        back: f64,
    },
    CrashAll {
        back: f64,
    },
    Outage {
        lasts: f64,
    },
    /// The state service refuses one controller; with `peers` the others, too.
    Refused {
        lasts: f64,
        peers: bool,
    },
    /// The same, but its requests hang.
    Cut {
        lasts: f64,
        peers: bool,
    },
    Deaf {
        share: f64,
        lasts: f64,
    },
    Mute {
        share: f64,
        lasts: f64,
    },
    Hung {
        share: f64,
        lasts: f64,
    },
    Die {
        share: f64,
    },
    CloudDown {
        lasts: f64,
    },
    LateWrites {
        share: f64,
        lasts: f64,
    },
    LateReports {
        share: f64,
        lasts: f64,
    },
    /// Users call off jobs that run; with `hang` their machines hang at once.
    CancelNow {
        count: usize,
        hang: f64,
    },
    CancelAtEnd {
        share: f64,
        lasts: f64,
    },
    Burst {
        jobs: usize,
    },
    /// The zone with workers and one controller in it is cut off from everything.
    ZoneCut {
        lasts: f64,
    },
}

struct Controller {
    incarnation: u16,
    handle: Option<NodeHandle>,
    tasks: Vec<AbortHandle>,
    back_at: Option<Instant>,
    refused_until: Instant,
    cut_until: Instant,
    alone_until: Instant,
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
    rented: Instant,
    up_at: Instant,
    gone_at: Option<Instant>,
    session: u64,
    tick: u64,
    token: u64,
    /// The sending of the last answered report, or the session's begin.
    lease_from: Instant,
    tasks: Vec<(TaskKey, RunningTask)>,
    target: usize,
    next_report: Instant,
    in_flight: bool,
    changed: bool,
    deaf_until: Instant,
    mute_until: Instant,
    hung_until: Instant,
    /// Direct orders that wait for a hung machine to go on.
    held: Vec<Vec<u8>>,
    empty_since: Instant,
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
    told: Option<(&'static str, Instant)>,
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
    Withdraw,
    /// Not to be accepted: lacks a field, or fits nothing.
    Odd(u16),
    /// About a job that nobody submitted.
    Unknown,
}

enum Event {
    Reported { machine: String, session: u64, sent: Instant, answer: Option<Response> },
    Answered { job: String, question: Question, sent: Instant, answer: Option<Response> },
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

pub struct Simulation {
    rng: SmallRng,
    begin: Instant,
    settings: Settings,
    asks: mpsc::UnboundedReceiver<Ask>,
    events: JoinSet<Event>,
    state: stand_in::StoreState,
    renewed: BTreeMap<u64, Instant>,
    outage_until: Instant,
    late_writes: (f64, Instant),
    late: Vec<(Instant, Request)>,
    watches: Vec<Watch>,
    cloud_down_until: Instant,
    rentals: HashMap<String, Vec<String>>,
    next_machine: usize,
    controllers: Vec<Controller>,
    machines: BTreeMap<String, Worker>,
    late_reports: (f64, Instant),
    cancel_at_end: (f64, Instant),
    jobs: BTreeMap<String, Job>,
    next_job: usize,
    job_every: f64,
    next_arrival: Instant,
    arrivals_until: Instant,
    odd_from: Instant,
    zone_cut_until: Instant,
    faults: Vec<(f64, Fault)>,
    pub calm_at: Instant,
    pub broken: Vec<String>,
    pub starts: usize,
    pub late_changes: usize,
    pub late_copies: usize,
    pub called_off: usize,
    pub lost_leases: usize,
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
    pub fn new(seed: u64, controllers: usize, mut faults: Vec<(f64, Fault)>, calm: f64) -> Self {
        let asks = scripted::install();
        let begin = Instant::now();
        let mut settings = settings::tests::sample();
        settings.cluster.size = controllers as u32;
        settings.cluster.state.rps = 200.0;
        settings.cluster.state.write_rps = 80.0;
        settings.cluster.workers.lease_s = 20.0;
        settings.cluster.workers.cancel_s = 45.0;
        if seed % 4 >= 2 {
            // Answers to reports are held for prompt starts.
            settings.cluster.objectives.push(placing::prompt_aim(&settings.cluster.workers));
        }
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        let controller = || Controller {
            incarnation: 0,
            handle: None,
            tasks: Vec::new(),
            back_at: Some(begin),
            refused_until: begin,
            cut_until: begin,
            alone_until: begin,
        };
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            begin,
            settings,
            asks,
            events: JoinSet::new(),
            state: stand_in::StoreState::default(),
            renewed: BTreeMap::new(),
            outage_until: begin,
            late_writes: (0.0, begin),
            late: Vec::new(),
            watches: Vec::new(),
            cloud_down_until: begin,
            rentals: HashMap::default(),
            next_machine: 0,
            controllers: (0..controllers).map(|_| controller()).collect(),
            machines: BTreeMap::new(),
            late_reports: (0.0, begin),
            cancel_at_end: (0.0, begin),
            jobs: BTreeMap::new(),
            next_job: 0,
            job_every: 4.0,
            next_arrival: begin + seconds(3.0),
            arrivals_until: begin + seconds(calm),
            odd_from: begin + seconds(20.0),
            zone_cut_until: begin,
            faults,
            calm_at: begin + seconds(calm),
            broken: Vec::new(),
            starts: 0,
            late_changes: 0,
            late_copies: 0,
            called_off: 0,
            lost_leases: 0,
            leaders: BTreeSet::new(),
        }
    }

    fn at(&self) -> f64 {
        (Instant::now() - self.begin).as_secs_f64()
    }

    pub fn breaks(&mut self, rule: &str, what: String) {
        if self.broken.len() < 50 {
            self.broken.push(format!("{rule} at {:.1} s: {what}", self.at()));
        }
    }

    /// Plays until then.
    pub async fn run(&mut self, until: f64) {
        let end = self.begin + seconds(until);
        let mut step = tokio::time::interval(STEP);
        while Instant::now() < end {
            tokio::select! {
                biased;
                Some(ask) = self.asks.recv() => self.ask(ask),
                Some(event) = self.events.join_next(), if !self.events.is_empty() => {
                    if let Ok(event) = event { self.event(event) }
                }
                _ = step.tick() => self.step(Instant::now()),
            }
        }
    }

    // Controllers.

    fn start(&mut self, at: usize) {
        let now = Instant::now();
        let controllers = self.controllers.len();
        let c = &mut self.controllers[at];
        c.incarnation += 1;
        c.back_at = None;
        let port = 1000 + c.incarnation;
        let here = |kind: u8, other: usize| SocketAddr::from(([127, kind, at as u8, other as u8], port));
        let mut settings = self.settings.clone();
        settings.name = format!("c-{at}");
        settings.zone = if at == 1 { "z2".into() } else { "z1".into() };
        settings.services = settings::Services { cloud: here(2, 0), state: here(1, 0) };
        settings.peers = (0..controllers)
            .filter(|other| *other != at)
            .map(|other| settings::Peer { name: format!("c-{other}"), address: here(3, other) })
            .collect();
        let cluster = settings.cluster.clone();
        let tuning = policy::Tuning::load(&cluster, None).expect("the default policy is sound");
        let ttl = tuning.lease;
        let (leads, leading) = watch::channel(false);
        let store = service::start(settings.services.state, cluster.state, cluster.size, ttl / 6, leading);
        let (term, until) = watch::channel(now);
        let cloud = cloud::start(settings.services.cloud, cluster.cloud.rps, seconds(4.0), until);
        let incarnation = format!("{at}-{}", c.incarnation);
        let election = Election::new(&settings.name, &incarnation, ttl);
        let (roles_in, roles) = mpsc::channel(16);
        let (abandoned, given_up) = watch::channel(0);
        let address = settings.peer_listen.to_string();
        let running = tokio::spawn(election::run(election, store.clone(), address, roles_in, given_up));
        let config = Arc::new(Config { settings, tuning });
        let (node, inputs, handle) = Node::new(config, store, cloud, leads, term, abandoned, roles);
        let acting = tokio::spawn(node.run(inputs));
        c.tasks = vec![running.abort_handle(), acting.abort_handle()];
        c.handle = Some(handle);
    }

    fn crash(&mut self, at: usize, back: f64) {
        let c = &mut self.controllers[at];
        c.tasks.drain(..).for_each(|task| task.abort());
        c.handle = None;
        c.back_at = Some(Instant::now() + seconds(back));
    }

    /// Who leads by the state service's word.
    fn leader(&mut self) -> Option<usize> {
        let body = self.read("/keys/leader")?;
        let f = Fields::of(&body).ok()?;
        self.leaders.insert(f.count("stamp").ok()?);
        let name = Fields::of(f.get("data")?).ok()?.text("name").ok()?;
        name.strip_prefix("c-")?.parse().ok()
    }

    fn read(&mut self, target: &str) -> Option<Value> {
        let request = Request { method: "GET".into(), target: target.into(), body: Vec::new(), close: false };
        self.state.answer(&request).filter(|(status, _)| *status == 200).map(|(_, body)| body)
    }

    // The network.

    fn ask(&mut self, ask: Ask) {
        let now = Instant::now();
        match ask {
            Ask::Peer { to, call, relay, reply } => {
                let SocketAddr::V4(v4) = to else { return };
                let [_, _, from, other] = v4.ip().octets();
                let (from, other) = (usize::from(from), usize::from(other));
                let alive = self.controllers[from].incarnation + 1000 == to.port();
                let apart = |c: &Controller| now < c.alone_until;
                if !alive || apart(&self.controllers[from]) || apart(&self.controllers[other]) {
                    return;
                }
                let Some(handle) = self.controllers[other].handle.clone() else { return };
                self.events.spawn(async move {
                    let answered = PeerHandler::handle(&handle, call, relay).await;
                    let _ = reply.send(answered);
                    Event::Nothing
                });
            }
            Ask::Http { to, call, reply } => {
                let SocketAddr::V4(v4) = to else { return };
                let [_, kind, from, other] = v4.ip().octets();
                if kind == 9 {
                    return self.order(usize::from(from) * 256 + usize::from(other), &call, reply);
                }
                let at = usize::from(from);
                if self.controllers[at].incarnation + 1000 != to.port() {
                    return;
                }
                if at == 1 && now < self.zone_cut_until {
                    return;
                }
                match kind {
                    1 => self.ask_state(now, at, call, reply),
                    _ => {
                        let result = self.ask_cloud(now, &call);
                        later(reply, Ok(result), Duration::from_millis(50));
                    }
                }
            }
        }
    }

    // The state service.

    fn ask_state(
        &mut self,
        now: Instant,
        at: usize,
        call: Call,
        reply: oneshot::Sender<Result<Response, ClientError>>,
    ) {
        let soon = Duration::from_millis(self.rng.random_range(2..6));
        let c = &self.controllers[at];
        if now < c.cut_until {
            return;
        }
        if call.target.starts_with("/watch?") {
            let field = |name: &str| {
                let query = call.target.trim_start_matches("/watch?");
                query.split('&').find_map(|part| part.strip_prefix(name)).unwrap_or_default().to_owned()
            };
            let wait: u64 = field("waitMs=").parse().unwrap_or(0);
            self.watches.push(Watch {
                controller: at,
                incarnation: c.incarnation,
                prefix: field("starts="),
                from: field("from=").parse().unwrap_or(0),
                until: now + Duration::from_millis(wait),
                reply,
            });
            return;
        }
        if now < c.refused_until || now < self.outage_until {
            return later(reply, Ok(answer(503, &Value::Null)), soon);
        }
        let request = Request {
            method: call.method.into(),
            target: call.target.clone(),
            body: call.body,
            close: false,
        };
        let (share, until) = self.late_writes;
        if call.target == "/commit" && now < until && self.rng.random_bool(share) {
            // No answer; and the change comes, late, after newer ones.
            let after = seconds(self.rng.random_range(2.0..12.0));
            self.late.push((now + after, request));
            return;
        }
        if let Some((status, body)) = self.state.answer(&request) {
            self.note_leases(now, &request, status);
            later(reply, Ok(answer(status, &body)), soon);
        }
    }

    fn note_leases(&mut self, now: Instant, request: &Request, status: u16) {
        if request.target == "/leases" && status == 200 {
            if let Some(newest) = self.state.leases().keys().last() {
                self.renewed.insert(*newest, now);
            }
        } else if let Some(rest) = request.target.strip_prefix("/leases/")
            && let Some(lease) = rest.strip_suffix("/extend").and_then(|id| id.parse().ok())
            && status == 200
        {
            self.renewed.insert(lease, now);
        }
    }

    fn step_state(&mut self, now: Instant) {
        if now < self.outage_until {
            // After an outage every lease has its full time again.
            self.renewed.values_mut().for_each(|at| *at = now);
            return;
        }
        let due: Vec<Request> = {
            let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| now >= *at);
            self.late = rest;
            let mut due: Vec<(Instant, Request)> = due;
            due.sort_by_key(|(at, _)| *at);
            due.into_iter().map(|(_, request)| request).collect()
        };
        self.late_changes += due.len();
        for request in due {
            self.state.answer(&request);
        }
        let ended: Vec<u64> = self
            .state
            .leases()
            .iter()
            .filter(|(id, life)| {
                now >= self.renewed.get(id).copied().unwrap_or(now) + Duration::from_millis(**life)
            })
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.state.end_lease(lease);
        }
        for watch in std::mem::take(&mut self.watches) {
            let c = &self.controllers[watch.controller];
            if c.incarnation != watch.incarnation || c.handle.is_none() {
                continue;
            }
            // Of one that is refused, the watches that are open go on waiting.
            let served = now >= c.refused_until && now >= c.cut_until;
            let changed = self.state.changed_since(&watch.prefix, watch.from).filter(|_| served);
            if changed.is_some() || (now >= watch.until && served) {
                let body = MapBuilder::new().set("ledger", changed.unwrap_or(watch.from)).build();
                let _ = watch.reply.send(Ok(answer(200, &body)));
            } else {
                self.watches.push(watch);
            }
        }
    }

    // The cloud.

    fn ask_cloud(&mut self, now: Instant, call: &Call) -> Response {
        if now < self.cloud_down_until {
            return answer(503, &MapBuilder::new().set("error", "trouble").build());
        }
        let body = decode(&call.body).unwrap_or(Value::Null);
        let path = call.target.split('?').next().unwrap_or_default();
        match path {
            "/catalog" => answer(200, &encode_catalog(&catalog())),
            "/machines/delete" => {
                let f = Fields::of(&body).expect("a map");
                for name in f.opt_texts("benches").expect("names").unwrap_or_default() {
                    self.remove(now, &name);
                }
                answer(200, &Value::Map(Vec::new()))
            }
            "/machines" if call.method == "POST" => {
                let f = Fields::of(&body).expect("a map");
                let name = f.text("hire").expect("a name").to_owned();
                if !self.rentals.contains_key(&name) {
                    let zone = if f.text("hall").expect("a zone") == "z2" { "z2" } else { "z1" };
                    let spot = f.bool("loaners").expect("a kind");
                    let up = self.machines.values().filter(|m| m.gone_at.is_none()).count();
                    let most = 24usize.saturating_sub(up) as u64;
                    let count = f.count("howMany").expect("a count").min(most);
                    if count == 0 {
                        return answer(503, &MapBuilder::new().set("error", "no capacity").build());
                    }
                    let names = (0..count).map(|_| self.rent(now, zone, spot)).collect();
                    self.rentals.insert(name.clone(), names);
                }
                let names = texts(self.rentals[&name].iter().map(String::as_str));
                answer(200, &MapBuilder::new().set("benches", names).build())
            }
            _ => {
                let query = call.target.split('?').nth(1).unwrap_or_default();
                let from = query.split('&').find_map(|part| part.strip_prefix("from=")).unwrap_or_default();
                let shown = |m: &&(&String, &Worker)| {
                    now >= m.1.rented + LAG && m.1.gone_at.is_none_or(|at| now < at + LAG)
                };
                let listed = self
                    .machines
                    .iter()
                    .filter(|(name, _)| name.as_str() > from)
                    .filter(|m| shown(&m))
                    .map(|(name, m)| {
                        MapBuilder::new()
                            .set("nameId", name.as_str())
                            .set("address", m.address.to_string())
                            .set("build", "m8")
                            .set("hall", m.zone)
                            .set("loaners", m.spot)
                            .set("standing", if now < m.up_at { "starting" } else { "running" })
                            .build()
                    })
                    .collect();
                let page = MapBuilder::new().set("benches", Value::Array(listed)).set("more", false);
                answer(200, &page.build())
            }
        }
    }

    fn rent(&mut self, now: Instant, zone: &'static str, spot: bool) -> String {
        self.next_machine += 1;
        let n = self.next_machine;
        let up_at = now + seconds(self.rng.random_range(4.0..12.0));
        let name = format!("vm-{n:06}");
        let worker = Worker {
            zone,
            spot,
            address: SocketAddr::from(([127, 9, (n / 256) as u8, (n % 256) as u8], 9000)),
            rented: now,
            up_at,
            gone_at: None,
            session: 1,
            tick: 0,
            token: 0,
            lease_from: up_at,
            tasks: Vec::new(),
            target: self.rng.random_range(0..self.controllers.len()),
            next_report: up_at,
            in_flight: false,
            changed: false,
            deaf_until: now,
            mute_until: now,
            hung_until: now,
            held: Vec::new(),
            empty_since: up_at,
        };
        self.machines.insert(name.clone(), worker);
        name
    }

    fn remove(&mut self, now: Instant, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.gone_at.get_or_insert(now);
            m.tasks.clear();
        }
    }

    // Workers.

    fn step_worker(&mut self, now: Instant, name: &str) {
        let (lease, report) = (self.settings.cluster.workers.lease(), self.settings.cluster.workers.report());
        let Some(m) = self.machines.get_mut(name).filter(|m| m.gone_at.is_none() && now >= m.up_at) else {
            return;
        };
        if now > m.lease_from + lease {
            // The lease is over: everything is killed and forgotten.
            self.lost_leases += usize::from(!m.tasks.is_empty());
            m.tasks.clear();
            m.session += 1;
            (m.lease_from, m.changed) = (now, true);
        }
        if now < m.hung_until {
            // What it runs neither goes on nor ends.
            for (_, task) in &mut m.tasks {
                match &mut task.state {
                    RunState::Fetching(at) | RunState::Running(at) => *at += STEP,
                    RunState::Exited(_) => {}
                }
            }
            return;
        }
        for body in std::mem::take(&mut m.held) {
            self.direct(now, name, &body);
        }
        let Some(m) = self.machines.get_mut(name) else { return };
        let (mut begun, mut ended) = (Vec::new(), Vec::new());
        for (key, task) in &mut m.tasks {
            match task.state {
                RunState::Fetching(until) if now >= until => {
                    task.state = RunState::Running(now);
                    begun.push(key.clone());
                }
                RunState::Running(since)
                    if self.jobs.get(&key.0).is_some_and(|j| {
                        j.spec.form == Form::Array && (now >= since + j.run || j.done.contains(&key.1))
                    }) =>
                {
                    task.state = RunState::Exited("done");
                    ended.push(key.clone());
                }
                _ => {}
            }
        }
        m.changed |= !begun.is_empty() || !ended.is_empty();
        if m.tasks.iter().any(|(_, t)| !matches!(t.state, RunState::Exited(_))) {
            m.empty_since = now;
        }
        for key in begun {
            self.check_start(now, name, &key);
        }
        for key in ended {
            self.task_done(now, &key);
        }
        let Some(m) = self.machines.get_mut(name) else { return };
        if m.in_flight || now < m.next_report {
            return;
        }
        let pause = report.mul_f64(self.rng.random_range(0.75..1.25));
        m.next_report = now + pause;
        m.changed = false;
        m.tick += 1;
        let body = report_of(name, m);
        let target = m.target;
        let apart = now < self.zone_cut_until && (m.zone == "z2") != (target == 1);
        let handle = self.controllers[target].handle.clone().filter(|_| now >= m.mute_until && !apart);
        let (machine, session, sent) = (name.to_owned(), m.session, now);
        m.in_flight = true;
        let (share, until) = self.late_reports;
        if now < until && self.rng.random_bool(share) {
            // A copy arrives again, wherever.
            self.late_copies += 1;
            let copy = body.clone();
            let after = seconds(self.rng.random_range(2.0..30.0));
            let other = self.rng.random_range(0..self.controllers.len());
            if let Some(handle) = self.controllers[other].handle.clone() {
                self.events.spawn(async move {
                    tokio::time::sleep(after).await;
                    Handler::handle(&handle, post("/agent/beat", copy)).await;
                    Event::Nothing
                });
            }
        }
        self.events.spawn(async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let answer = match handle {
                Some(handle) => {
                    let asked = Handler::handle(&handle, post("/agent/beat", body));
                    tokio::time::timeout(seconds(4.0), asked).await.ok()
                }
                None => None,
            };
            Event::Reported { machine, session, sent, answer }
        });
    }

    fn reported(&mut self, machine: &str, session: u64, sent: Instant, answer: Option<Response>) {
        let (now, controllers) = (Instant::now(), self.controllers.len());
        let Some(m) = self.machines.get_mut(machine).filter(|m| m.gone_at.is_none()) else { return };
        m.in_flight = false;
        let lost = now < m.deaf_until || now < m.hung_until || now < m.mute_until;
        let answer = answer.filter(|_| !lost && now < sent + seconds(4.0));
        let next = (m.target + 1) % controllers;
        let turn = |m: &mut Worker, target: usize, after: f64| {
            m.target = target;
            m.next_report = now + seconds(after);
        };
        match answer.map(|a| (a.status, decode(&a.body).unwrap_or(Value::Null))) {
            Some((200, body)) if session == m.session => {
                let token = Fields::of(&body).ok().and_then(|f| f.count("baton").ok()).unwrap_or(0);
                if token < m.token {
                    return;
                }
                if token > m.token {
                    (m.token, m.changed) = (token, true);
                }
                m.lease_from = sent;
                self.carry_out(now, machine, &body);
                let Some(m) = self.machines.get_mut(machine) else { return };
                if m.changed {
                    m.next_report = m.next_report.min(now + seconds(0.5));
                }
            }
            Some((200, _)) => {}
            Some((421, body)) => {
                let named = Fields::of(&body).ok().and_then(|f| f.opt_text("foreman").ok().flatten());
                match named.and_then(|n| n.strip_prefix("c-")?.parse().ok()).filter(|to| *to != m.target) {
                    Some(to) => turn(m, to, 0.3),
                    None => turn(m, next, 1.0),
                }
            }
            _ => turn(m, next, 1.0),
        }
    }

    /// Orders straight to a worker.
    fn order(&mut self, n: usize, call: &Call, reply: oneshot::Sender<Result<Response, ClientError>>) {
        let now = Instant::now();
        let name = format!("vm-{n:06}");
        let Some(m) = self.machines.get_mut(&name).filter(|m| m.gone_at.is_none() && now >= m.up_at) else {
            return;
        };
        if now < m.deaf_until || (now < self.zone_cut_until && m.zone == "z2") {
            return;
        }
        if now < m.hung_until {
            return m.held.push(call.body.clone());
        }
        if let Some(response) = self.direct(now, &name, &call.body) {
            let _ = reply.send(Ok(response));
        }
    }

    fn direct(&mut self, now: Instant, name: &str, body: &[u8]) -> Option<Response> {
        let body = decode(body).ok()?;
        let f = Fields::of(&body).ok()?;
        let (token, session) = (f.count("baton").ok()?, f.count("shift").ok()?);
        let m = self.machines.get_mut(name)?;
        m.tick += 1;
        let status = if token < m.token || session != m.session { 409 } else { 200 };
        if status == 200 {
            m.token = token;
            self.carry_out(now, name, &body);
        }
        let m = self.machines.get(name)?;
        Some(Response { status, body: report_of(name, m), retry_after_s: None, close: false })
    }

    pub fn carry_out(&mut self, now: Instant, name: &str, body: &Value) {
        let Some(orders) = Fields::of(body).ok().and_then(|f| f.list("orders").ok()) else { return };
        for order in orders {
            let f = Fields::of(order).expect("a map");
            let sheet = f.text("sheet").expect("a task");
            let (job, index) = sheet.split_once('/').expect("a task");
            let key: TaskKey = (job.to_owned(), index.parse().expect("a number"));
            let attempt = f.count("try").expect("an attempt");
            let verb = f.text("verb").expect("a verb");
            let fetch = seconds(self.rng.random_range(0.2..2.0));
            let Some(m) = self.machines.get_mut(name) else { return };
            let held = m.tasks.iter_mut().find(|(k, t)| *k == key && t.attempt == attempt);
            match (verb, held) {
                ("start", None) => {
                    let known = self.jobs.get(&key.0).filter(|j| j.asked);
                    let live = |t: &RunningTask| !matches!(t.state, RunState::Exited(_));
                    let used: f64 = m
                        .tasks
                        .iter()
                        .filter(|(_, t)| live(t))
                        .filter_map(|(k, _)| self.jobs.get(&k.0))
                        .map(|j| j.spec.cpus)
                        .sum();
                    let state = match known {
                        None => RunState::Exited("unknown"),
                        Some(_) if m.tasks.iter().any(|(k, t)| *k == key && live(t)) => {
                            RunState::Exited("in_use")
                        }
                        Some(j) if used + j.spec.cpus > 8.0 + 1e-6 => RunState::Exited("no_room"),
                        Some(_) => RunState::Fetching(now + fetch),
                    };
                    m.tasks.push((key.clone(), RunningTask { attempt, state }));
                    m.changed = true;
                    // Whatever was on its way when the user was told is dropped by
                    // the worker four seconds later.
                    let told = self.jobs.get(&key.0).and_then(|j| j.cancelled);
                    if told.is_some_and(|at| now > at + seconds(4.0)) {
                        self.breaks("started_cancelled", format!("{}/{} on {name}", key.0, key.1));
                    }
                }
                ("stop", Some((_, task))) if !matches!(task.state, RunState::Exited(_)) => {
                    task.state = RunState::Exited("halted");
                    m.changed = true;
                }
                ("reap", Some((_, task))) if matches!(task.state, RunState::Exited(_)) => {
                    m.tasks.retain(|(k, t)| !(*k == key && t.attempt == attempt));
                    m.changed = true;
                }
                _ => {}
            }
        }
    }

    // Rules, as they show on the workers.

    /// Every task that is on a machine, with its machine's name.
    fn on_machines(&self) -> impl Iterator<Item = (&str, &Worker, &TaskKey)> {
        self.machines.iter().filter(|(_, m)| m.gone_at.is_none()).flat_map(|(name, m)| {
            let running = m.tasks.iter().filter(|(_, t)| matches!(t.state, RunState::Running(_)));
            running.map(move |(key, _)| (name.as_str(), m, key))
        })
    }

    pub fn check_start(&mut self, now: Instant, name: &str, key: &TaskKey) {
        self.starts += 1;
        let others: Vec<String> = self
            .on_machines()
            .filter(|(m, _, k)| *k == key && *m != name)
            .map(|(m, ..)| m.to_owned())
            .collect();
        if !others.is_empty() {
            self.breaks("ran_twice", format!("{}/{} on {name} and {others:?}", key.0, key.1));
        }
        let (Some(job), Some(m)) = (self.jobs.get(&key.0), self.machines.get(name)) else {
            return self.breaks("unknown_job", format!("{}/{}", key.0, key.1));
        };
        let (spec, told) = (job.spec.clone(), job.cancelled);
        let zones: Vec<&str> =
            self.on_machines().filter(|(_, _, k)| k.0 == key.0).map(|(_, m, _)| m.zone).collect();
        let here = zones.iter().filter(|zone| **zone == m.zone).count() as u32;
        let wrong = (m.spot && !spec.spot)
            || spec.zone.as_ref().is_some_and(|zone| zone != m.zone)
            || (spec.one_zone && zones.iter().any(|zone| *zone != m.zone))
            || (spec.spread && here > spec.tasks.div_ceil(2));
        if wrong {
            self.breaks("wrong_place", format!("{}/{} on {name}, zones {zones:?}", key.0, key.1));
        }
        let cancelled = self.settings.cluster.workers.cancellation();
        if told.is_some_and(|at| now > at + cancelled) {
            self.breaks("ran_cancelled", format!("{}/{} starts on {name}", key.0, key.1));
        }
        self.check_limits();
    }

    pub fn check_limits(&mut self) {
        for team in self.settings.cluster.teams.clone().into_iter().filter(|t| t.cpus_max > 0.0) {
            let used: f64 = self
                .on_machines()
                .filter_map(|(_, _, key)| self.jobs.get(&key.0))
                .filter(|job| job.spec.team == team.name)
                .map(|job| job.spec.cpus)
                .sum();
            if used > team.cpus_max + 1e-6 {
                self.breaks("quota", format!("{} uses {used}", team.name));
            }
        }
    }

    pub fn check_cancelled(&mut self, now: Instant) {
        let within = self.settings.cluster.workers.cancellation();
        let late: Vec<String> = self
            .on_machines()
            .filter(|(_, _, key)| {
                self.jobs.get(&key.0).and_then(|j| j.cancelled).is_some_and(|at| now > at + within)
            })
            .map(|(name, _, key)| format!("{}/{} is still on {name}", key.0, key.1))
            .collect();
        for what in late {
            self.breaks("ran_cancelled", what);
        }
    }

    fn task_done(&mut self, now: Instant, key: &TaskKey) {
        let (share, until) = self.cancel_at_end;
        let called_off = now < until && self.rng.random_bool(share);
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        job.done.insert(key.1);
        if called_off && job.done.len() as u32 == job.spec.tasks {
            job.cancel_from.get_or_insert(now);
            job.next = now;
        }
    }

    // Users.

    pub fn arrive(&mut self, now: Instant) {
        self.next_job += 1;
        let n = self.next_job;
        let r = &mut self.rng;
        let tasks = [1, 2, 2, 3, 4, 6][r.random_range(0..6)];
        let cpus = [1.0, 2.0, 4.0][r.random_range(0..3)];
        let team = if r.random_bool(0.5) { "red" } else { "blue" };
        let mut spec = sample(&format!("job-{n:05}"), team, tasks, cpus);
        spec.spot = r.random_bool(0.6);
        spec.priority = [Priority::Critical, Priority::High, Priority::Standard, Priority::BestEffort]
            [r.random_range(0..4)];
        match r.random_range(0..10) {
            0 => spec.one_zone = true,
            1 => spec.spread = true,
            2 => spec.zone = Some("z2".into()),
            3 if team == "blue" => spec.form = Form::Service,
            _ => {}
        }
        let run = r.random_range(2.0..25.0);
        spec.estimate_s = if spec.form == Form::Service { 0.0 } else { run * r.random_range(0.5..1.5) };
        let cancels = spec.form == Form::Service || r.random_bool(0.25);
        let cancel_from = cancels.then(|| now + seconds(r.random_range(1.0..40.0)));
        self.submit(now, spec, run, cancel_from);
    }

    pub fn submit(&mut self, now: Instant, spec: JobSpec, run: f64, cancel_from: Option<Instant>) {
        let job = Job {
            run: seconds(run),
            asked: false,
            accepted: None,
            given_up: false,
            cancel_from,
            cancelled: None,
            told: None,
            answered: now,
            next: now,
            in_flight: false,
            done: BTreeSet::new(),
            passed_over: None,
            spec,
        };
        self.jobs.insert(job.spec.id.as_str().to_owned(), job);
    }

    fn step_user(&mut self, now: Instant, id: &str) {
        let resubmits = self.rng.random_bool(0.05);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.in_flight || job.given_up || now < job.next {
            return;
        }
        let wants_off = job.cancel_from.is_some_and(|at| now >= at) && job.told.is_none();
        let question = match (job.accepted, wants_off) {
            (None, _) => Question::Submit,
            (Some(_), true) => Question::Withdraw,
            _ if resubmits => Question::Submit,
            _ => Question::Poll,
        };
        job.in_flight = true;
        job.asked = true;
        let request = match question {
            Question::Submit => post("/api/jobs", encode(&job.spec.encode().build())),
            Question::Withdraw => post(&format!("/api/jobs/{id}/withdraw"), Vec::new()),
            _ => get(&format!("/api/jobs/{id}")),
        };
        self.question(now, id, question, request);
    }

    fn question(&mut self, now: Instant, id: &str, question: Question, request: Request) {
        let cut = now < self.zone_cut_until;
        let reached = self.controllers.iter().enumerate().filter(|(at, _)| !(cut && *at == 1));
        let up: Vec<NodeHandle> = reached.filter_map(|(_, c)| c.handle.clone()).collect();
        let handle = (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())].clone());
        let patience = seconds(if question == Question::Poll { 2.0 } else { 5.0 });
        let job = id.to_owned();
        self.events.spawn(async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let answer = match handle {
                Some(handle) => tokio::time::timeout(patience, Handler::handle(&handle, request)).await.ok(),
                None => None,
            };
            Event::Answered { job, question, sent: now, answer }
        });
    }

    /// Requests that must be refused, and questions about what nobody submitted.
    fn odd(&mut self, now: Instant) {
        let n = self.rng.random_range(0..1000);
        let mut spec = sample(&format!("job-9{n:05}"), "red", 1, 1.0);
        match self.rng.random_range(0..4) {
            0 => {
                let Value::Map(mut fields) = spec.encode().build() else { return };
                let at = self.rng.random_range(0..fields.len());
                fields.remove(at);
                let request = post("/api/jobs", encode(&Value::Map(fields)));
                self.question(now, "odd", Question::Odd(400), request);
            }
            1 => {
                spec.cpus = 64.0;
                let request = post("/api/jobs", encode(&spec.encode().build()));
                self.question(now, "odd", Question::Odd(422), request);
            }
            2 => {
                (spec.form, spec.tasks, spec.cpus) = (Form::Service, 9, 2.0);
                let request = post("/api/jobs", encode(&spec.encode().build()));
                self.question(now, "odd", Question::Odd(422), request);
            }
            _ => self.question(now, "odd", Question::Unknown, get(&format!("/api/jobs/job-8{n:05}"))),
        }
    }

    pub fn answered(&mut self, id: &str, question: Question, sent: Instant, answer: Option<Response>) {
        let now = Instant::now();
        let status = answer.as_ref().map_or(0, |a| a.status);
        let body = answer.as_ref().and_then(|a| decode(&a.body).ok()).unwrap_or(Value::Null);
        let standing = Fields::of(&body).ok().and_then(|f| f.text("standing").ok().map(str::to_owned));
        match question {
            Question::Odd(expected) => {
                if !(status == expected || matches!(status, 0 | 429 | 503 | 504)) {
                    self.breaks("accepted_odd", format!("{status} where {expected} was due"));
                }
                return;
            }
            Question::Unknown if status == 200 => return self.breaks("invented", "200".into()),
            Question::Unknown => return,
            _ => {}
        }
        let withdraws = question == Question::Withdraw;
        self.note_answer(now, id, sent, status, standing.as_deref(), withdraws);
        let wait = seconds(self.rng.random_range(1.0..1.5));
        let often = seconds(if now > self.calm_at { 5.0 } else { 3.0 });
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.in_flight = false;
        job.next = now + if status == 200 || status == 201 { often } else { wait };
        job.given_up |= job.accepted.is_none() && matches!(status, 400 | 422);
        if job.given_up {
            self.breaks("refused", format!("{id} got {status}"));
        }
    }

    /// What a user is told, against what it was told before and what has happened.
    pub fn note_answer(
        &mut self,
        now: Instant,
        id: &str,
        sent: Instant,
        status: u16,
        standing: Option<&str>,
        withdraws: bool,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let accepted = job.accepted.is_some_and(|at| at < sent);
        if matches!(status, 200 | 201 | 404) {
            job.answered = now;
        }
        let mut wrong = Vec::new();
        match (status, standing) {
            (404, _) if accepted => wrong.push(("forgotten", "404")),
            (400 | 422, _) if accepted => wrong.push(("forgotten", "refused as new")),
            (200 | 201, Some(standing)) => {
                job.accepted.get_or_insert(now);
                let before = job.told.filter(|(_, at)| *at < sent).map(|(told, _)| told);
                if before.is_some_and(|told| told != standing) {
                    wrong.push(("went_back", "told otherwise before"));
                }
                match standing {
                    "done" => {
                        if (job.done.len() as u32) < job.spec.tasks {
                            wrong.push(("not_done", "tasks are left"));
                        }
                        job.told.get_or_insert(("done", now));
                    }
                    "cancelled" => {
                        if job.cancel_from.is_none_or(|at| now < at) {
                            wrong.push(("went_back", "its user did not cancel it"));
                        }
                        job.told.get_or_insert(("cancelled", now));
                        self.called_off += usize::from(job.cancelled.is_none());
                        job.cancelled.get_or_insert(now);
                    }
                    _ if withdraws => wrong.push(("withdrawn", "200 with no final standing")),
                    _ => {}
                }
            }
            _ => {}
        }
        for (rule, what) in wrong {
            self.breaks(rule, format!("{id}: {what} ({status} {standing:?})"));
        }
    }

    // Time.

    fn event(&mut self, event: Event) {
        match event {
            Event::Reported { machine, session, sent, answer } => {
                self.reported(&machine, session, sent, answer);
            }
            Event::Answered { job, question, sent, answer } => self.answered(&job, question, sent, answer),
            Event::Nothing => {}
        }
    }

    fn step(&mut self, now: Instant) {
        self.step_state(now);
        while self.faults.first().is_some_and(|(at, _)| now >= self.begin + seconds(*at)) {
            let (_, fault) = self.faults.remove(0);
            self.begin_trouble(now, fault);
        }
        for at in 0..self.controllers.len() {
            if self.controllers[at].back_at.is_some_and(|back| now >= back) {
                self.start(at);
            }
        }
        self.leader();
        if now >= self.next_arrival && now < self.arrivals_until {
            self.next_arrival = now + seconds(self.rng.random_range(0.2..2.0) * self.job_every);
            self.arrive(now);
        }
        if now >= self.odd_from {
            self.odd_from = now + seconds(self.rng.random_range(1.0..5.0));
            self.odd(now);
        }
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            self.step_worker(now, &name);
        }
        for id in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.step_user(now, &id);
        }
        self.check_cancelled(now);
        self.check_waiting(now);
    }

    /// Nobody is forgotten, and nothing waits beside room once all is calm.
    pub fn check_waiting(&mut self, now: Instant) {
        let up = self.machines.values().filter(|m| m.gone_at.is_none());
        let held = up.flat_map(|m| m.tasks.iter()).filter(|(_, t)| !matches!(t.state, RunState::Exited(_)));
        let busy: BTreeSet<&str> = held.map(|(key, _)| key.0.as_str()).collect();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for job in self.on_machines().filter_map(|(_, _, key)| self.jobs.get(&key.0)) {
            *used.entry(job.spec.team.as_str()).or_default() += job.spec.cpus;
        }
        let passed_over = |job: &Job| {
            let spec = &job.spec;
            let waits = job.told.is_none()
                && job.accepted.is_some()
                && (job.done.len() as u32) < spec.tasks
                && !busy.contains(spec.id.as_str());
            let limit = self.settings.cluster.teams.iter().find(|t| t.name == spec.team);
            let limit = limit.map_or(0.0, |t| if t.cpus_max > 0.0 { t.cpus_max } else { f64::INFINITY });
            let free = |m: &Worker| {
                m.gone_at.is_none()
                    && now > m.up_at.max(m.empty_since)
                    && (spec.spot || !m.spot)
                    && spec.zone.as_ref().is_none_or(|zone| zone == m.zone)
            };
            waits
                && used.get(spec.team.as_str()).copied().unwrap_or(0.0) + spec.cpus <= limit
                && self.machines.values().any(free)
        };
        let over: BTreeSet<String> =
            self.jobs.iter().filter(|(_, job)| passed_over(job)).map(|(id, _)| id.clone()).collect();
        let calm_at = self.calm_at;
        let mut wrong = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.accepted.is_some()) {
            if now > job.answered.max(calm_at) + seconds(75.0) {
                wrong.push(("forgotten", format!("{id}: no answer for 75 s")));
            }
            let since = over.contains(id).then(|| *job.passed_over.get_or_insert(now));
            job.passed_over = since;
            if since.is_some_and(|since| now > since.max(calm_at) + seconds(90.0)) {
                wrong.push(("neglected", format!("waits beside room: {:?}", job.spec)));
            }
        }
        for (rule, what) in wrong {
            self.breaks(rule, what);
        }
    }

    pub fn unfinished(&self) -> bool {
        self.jobs.values().any(|job| job.accepted.is_some() && job.told.is_none())
    }

    /// At the end everything has run, or was called off.
    pub fn check_end(&mut self) {
        let left: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.accepted.is_some() && job.told.is_none())
            .map(|(_, job)| format!("{} done of {:?}", job.done.len(), job.spec))
            .collect();
        for what in left {
            self.breaks("unfinished", what);
        }
    }

    fn some_machines(&mut self, now: Instant, share: f64) -> Vec<String> {
        let up = self.machines.iter().filter(|(_, m)| m.gone_at.is_none() && now >= m.up_at);
        let names: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        names.into_iter().filter(|_| self.rng.random_bool(share)).collect()
    }

    fn begin_trouble(&mut self, now: Instant, fault: Fault) {
        let lead = self.leader().unwrap_or(0);
        let until = |lasts: f64| now + seconds(lasts);
        match fault {
            Fault::Crash { controller, back } => self.crash(controller.unwrap_or(lead), back),
            Fault::CrashAll { back } => (0..self.controllers.len()).for_each(|at| self.crash(at, back)),
            Fault::Outage { lasts } => self.outage_until = until(lasts),
            Fault::Refused { lasts, peers } => {
                self.controllers[lead].refused_until = until(lasts);
                if peers {
                    self.controllers[lead].alone_until = until(lasts);
                }
            }
            Fault::Cut { lasts, peers } => {
                self.controllers[lead].cut_until = until(lasts);
                if peers {
                    self.controllers[lead].alone_until = until(lasts);
                }
            }
            Fault::Deaf { share, lasts } => {
                for name in self.some_machines(now, share) {
                    self.machines.get_mut(&name).expect("there").deaf_until = until(lasts);
                }
            }
            Fault::Mute { share, lasts } => {
                for name in self.some_machines(now, share) {
                    self.machines.get_mut(&name).expect("there").mute_until = until(lasts);
                }
            }
            Fault::Hung { share, lasts } => {
                for name in self.some_machines(now, share) {
                    self.machines.get_mut(&name).expect("there").hung_until = until(lasts);
                }
            }
            Fault::Die { share } => {
                for name in self.some_machines(now, share) {
                    self.remove(now, &name);
                }
            }
            Fault::CloudDown { lasts } => self.cloud_down_until = until(lasts),
            Fault::LateWrites { share, lasts } => self.late_writes = (share, until(lasts)),
            Fault::LateReports { share, lasts } => self.late_reports = (share, until(lasts)),
            Fault::CancelAtEnd { share, lasts } => self.cancel_at_end = (share, until(lasts)),
            Fault::CancelNow { count, hang } => {
                let running: Vec<(String, String)> =
                    self.on_machines().map(|(name, _, key)| (name.to_owned(), key.0.clone())).collect();
                let jobs: BTreeSet<String> = running.iter().map(|(_, job)| job.clone()).take(count).collect();
                for (name, job) in running.iter().filter(|(_, job)| jobs.contains(job)) {
                    self.machines.get_mut(name).expect("there").hung_until = until(hang);
                    let job = self.jobs.get_mut(job).expect("there");
                    job.cancel_from.get_or_insert(now);
                    job.cancel_from = job.cancel_from.min(Some(now));
                    job.next = now;
                }
            }
            Fault::Burst { jobs } => (0..jobs).for_each(|_| self.arrive(now)),
            Fault::ZoneCut { lasts } => {
                self.zone_cut_until = until(lasts);
                let c = &mut self.controllers[1];
                (c.cut_until, c.alone_until) = (until(lasts), until(lasts));
            }
        }
    }

    // For checks of the checker: what a wrong scheduler would have done.

    pub fn idle_machine(&mut self, zone: &'static str) {
        let now = Instant::now();
        let name = self.rent(now, zone, false);
        let m = self.machines.get_mut(&name).expect("just rented");
        (m.up_at, m.empty_since) = (now, now);
    }

    /// Puts a task on a new machine as if it had been started there.
    pub fn place_wrongly(&mut self, job: &str, index: u32, zone: &'static str, spot: bool) -> String {
        let now = Instant::now();
        let name = self.rent(now, zone, spot);
        let key = (job.to_owned(), index);
        let m = self.machines.get_mut(&name).expect("just rented");
        m.up_at = now;
        let task = RunningTask { attempt: 1, state: RunState::Running(now) };
        m.tasks.push((key.clone(), task));
        self.check_start(now, &name, &key);
        name
    }
}

fn post(target: &str, body: Vec<u8>) -> Request {
    Request { method: "POST".into(), target: target.into(), body, close: false }
}

fn get(target: &str) -> Request {
    Request { method: "GET".into(), target: target.into(), body: Vec::new(), close: false }
}

fn report_of(name: &str, m: &Worker) -> Vec<u8> {
    let sheets = m
        .tasks
        .iter()
        .map(|((job, index), task)| {
            let (standing, cause) = match task.state {
                RunState::Fetching(_) => ("fetching", None),
                RunState::Running(_) => ("running", None),
                RunState::Exited(cause) => ("exited", Some(cause)),
            };
            MapBuilder::new()
                .set("sheet", format!("{job}/{index}"))
                .set("try", task.attempt)
                .set("standing", standing)
                .set_some("cause", cause)
                .build()
        })
        .collect();
    let report = MapBuilder::new()
        .set("bench", name)
        .set("address", m.address.to_string())
        .set("build", "m8")
        .set("hall", m.zone)
        .set("loaners", m.spot)
        .set("shift", m.session)
        .set("tick", m.tick)
        .set("baton", m.token)
        .set("sheets", Value::Array(sheets))
        .build();
    encode(&report)
}
