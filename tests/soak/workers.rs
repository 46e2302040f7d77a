//! Stand-ins for the machines' workers: reports, leases, tasks and orders as PROTOCOL
//! describes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, encode};
use shedtally::transport::client::{Call, PreparedCall};
use shedtally::transport::codec::{Limits, Request, Response};
use shedtally::transport::server::{Handler, ServerOptions, serve};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::history::{Event, Recorder, TaskOn};
use super::jobs::{Job, MACHINE_CPUS};

pub const REPORT: Duration = Duration::from_secs(1);
pub const LEASE: Duration = Duration::from_secs(8);
/// An answer that takes longer is dropped.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
/// Least time between two reports that are sent for a change.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);
const HTTP_LIMITS: Limits = Limits { head: 8192, body: 64 * 1024 };

/// What all workers of a run share.
#[derive(Debug)]
pub struct Surroundings {
    pub jobs: Vec<Job>,
    /// Where each controller takes reports, by its name's number.
    pub controllers: Vec<SocketAddr>,
    pub recorder: Recorder,
}

/// What goes wrong with a machine.
#[derive(Debug, Clone, Copy)]
pub enum Mishap {
    /// Its reports arrive; answers and direct orders don't.
    Deaf { lasts: Duration },
    /// It reaches no controller; direct orders reach it.
    Mute { lasts: Duration },
    /// Nothing on it goes on.
    Hang { lasts: Duration },
    /// Copies of that share of its reports arrive again later.
    LateReports { share: f64, lasts: Duration },
}

enum Message {
    /// An order sent straight to it, or a question for its report.
    Direct {
        body: Option<Vec<u8>>,
        reply: oneshot::Sender<Response>,
    },
    Reported {
        session: u64,
        sent: Instant,
        answer: Option<Response>,
    },
    Suffer(Mishap),
    /// The cloud takes it away, with all that is on it.
    Remove(oneshot::Sender<()>),
}

/// Speaks to a machine.
#[derive(Debug, Clone)]
pub struct WorkerHandle {
    messages: mpsc::UnboundedSender<Message>,
    pub address: SocketAddr,
}

impl WorkerHandle {
    pub fn suffer(&self, mishap: Mishap) {
        let _ = self.messages.send(Message::Suffer(mishap));
    }

    /// Returns once everything on it is gone.
    pub async fn remove(&self) {
        let (reply, gone) = oneshot::channel();
        if self.messages.send(Message::Remove(reply)).is_ok() {
            let _ = gone.await;
        }
    }
}

#[derive(Clone)]
struct Door(mpsc::UnboundedSender<Message>);

impl Handler for Door {
    async fn handle(&self, request: Request) -> Response {
        let (reply, answer) = oneshot::channel();
        let body = (request.target == "/commands").then_some(request.body);
        let _ = self.0.send(Message::Direct { body, reply });
        match answer.await {
            Ok(response) => response,
            Err(_) => std::future::pending().await,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum TaskState {
    Fetching(Instant),
    /// Until then; `None`: until it is stopped.
    Running(Option<Instant>),
    Exited(&'static str),
}

#[derive(Debug)]
struct Task {
    job: usize,
    index: u32,
    attempt: u64,
    state: TaskState,
}

/// What a machine is.
#[derive(Debug, Clone)]
pub struct Identity {
    pub name: String,
    pub zone: &'static str,
    pub spot: bool,
}

struct Worker {
    identity: Identity,
    surroundings: Arc<Surroundings>,
    address: SocketAddr,
    messages: mpsc::UnboundedSender<Message>,
    rng: SmallRng,
    session: u64,
    tick: u64,
    token: u64,
    /// The sending of the last answered report, or the session's begin.
    lease_from: Instant,
    tasks: Vec<Task>,
    target: usize,
    next_report: Instant,
    last_report: Instant,
    in_flight: bool,
    deaf_until: Instant,
    mute_until: Instant,
    hung_until: Instant,
    late_reports: (f64, Instant),
    /// Direct orders that wait for a hung machine to go on.
    held: Vec<(Option<Vec<u8>>, oneshot::Sender<Response>)>,
}

/// Starts a machine's worker; it reports from now on.
pub async fn start(
    identity: Identity,
    seed: u64,
    surroundings: Arc<Surroundings>,
) -> std::io::Result<WorkerHandle> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (messages, inbox) = mpsc::unbounded_channel();
    let patience = Duration::from_secs(60);
    let options = ServerOptions { limits: HTTP_LIMITS, connections: 64, idle: patience, patience };
    let serving = tokio::spawn(serve(listener, options, Door(messages.clone()))).abort_handle();
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let worker = Worker {
        target: rng.random_range(0..surroundings.controllers.len()),
        identity,
        surroundings,
        address,
        messages: messages.clone(),
        rng,
        session: 1,
        tick: 0,
        token: 0,
        lease_from: now,
        tasks: Vec::new(),
        next_report: now,
        last_report: now,
        in_flight: false,
        deaf_until: now,
        mute_until: now,
        hung_until: now,
        late_reports: (0.0, now),
        held: Vec::new(),
    };
    tokio::spawn(async move {
        worker.run(inbox).await;
        serving.abort();
    });
    Ok(WorkerHandle { messages, address })
}

impl Worker {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wake = self.wakes_at();
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(Message::Remove(gone)) => {
                        self.kill_all();
                        let _ = gone.send(());
                        return;
                    }
                    Some(message) => self.take(message),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => {}
            }
            self.go_on(Instant::now());
        }
    }

    /// When something happens by itself.
    fn wakes_at(&self) -> Instant {
        let now = Instant::now();
        if now < self.hung_until {
            return self.hung_until.min(self.lease_from + LEASE);
        }
        let tasks = self.tasks.iter().filter_map(|task| match task.state {
            TaskState::Fetching(until) => Some(until),
            TaskState::Running(until) => until,
            TaskState::Exited(_) => None,
        });
        let report = (!self.in_flight).then_some(self.next_report);
        let first = tasks.chain(report).min();
        first.map_or(self.lease_from + LEASE, |at| at.min(self.lease_from + LEASE))
    }

    fn take(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Direct { body, reply } => {
                if now < self.deaf_until {
                    return;
                }
                if now < self.hung_until {
                    return self.held.push((body, reply));
                }
                self.direct(now, body, reply);
            }
            Message::Reported { session, sent, answer } => self.reported(now, session, sent, answer),
            Message::Suffer(mishap) => match mishap {
                Mishap::Deaf { lasts } => self.deaf_until = now + lasts,
                Mishap::Mute { lasts } => self.mute_until = now + lasts,
                Mishap::Hang { lasts } => self.hang(now, lasts),
                Mishap::LateReports { share, lasts } => self.late_reports = (share, now + lasts),
            },
            Message::Remove(_) => {}
        }
    }

    /// What it runs neither goes on nor ends meanwhile.
    fn hang(&mut self, now: Instant, lasts: Duration) {
        self.hung_until = now + lasts;
        for task in &mut self.tasks {
            match &mut task.state {
                TaskState::Fetching(at) | TaskState::Running(Some(at)) => *at += lasts,
                TaskState::Running(None) | TaskState::Exited(_) => {}
            }
        }
    }

    fn task_on(&self, job: usize, index: u32) -> TaskOn {
        TaskOn { job, index, machine: self.identity.name.clone() }
    }

    fn note(&self, event: Event) {
        self.surroundings.recorder.note(event);
    }

    fn kill_all(&mut self) {
        for task in std::mem::take(&mut self.tasks) {
            if matches!(task.state, TaskState::Running(_)) {
                self.note(Event::Left { task: self.task_on(task.job, task.index) });
            }
        }
    }

    fn go_on(&mut self, now: Instant) {
        if now > self.lease_from + LEASE {
            self.kill_all();
            self.session += 1;
            self.lease_from = now;
            self.report_soon(now);
        }
        if now < self.hung_until {
            return;
        }
        for (body, reply) in std::mem::take(&mut self.held) {
            self.direct(now, body, reply);
        }
        self.run_tasks(now);
        if !self.in_flight && now >= self.next_report {
            self.report(now);
        }
    }

    fn run_tasks(&mut self, now: Instant) {
        let mut changed = false;
        for at in 0..self.tasks.len() {
            let (job, index, state) = (self.tasks[at].job, self.tasks[at].index, self.tasks[at].state);
            let next = match state {
                TaskState::Fetching(until) if now >= until => {
                    let (zone, spot) = (self.identity.zone, self.identity.spot);
                    self.note(Event::Began { task: self.task_on(job, index), zone, spot });
                    let planned = &self.surroundings.jobs[job];
                    TaskState::Running((!planned.is_service).then(|| now + planned.run))
                }
                TaskState::Running(Some(until)) if now >= until => {
                    self.note(Event::Completed { job, index });
                    self.note(Event::Left { task: self.task_on(job, index) });
                    TaskState::Exited("done")
                }
                _ => continue,
            };
            self.tasks[at].state = next;
            changed = true;
        }
        if changed {
            self.report_soon(now);
        }
    }

    /// A change is reported at once, if the last report is not too young.
    fn report_soon(&mut self, now: Instant) {
        self.next_report = self.next_report.min(now.max(self.last_report + CHANGE_PAUSE));
    }

    fn report(&mut self, now: Instant) {
        self.next_report = now + REPORT.mul_f64(self.rng.random_range(0.75..1.25));
        self.last_report = now;
        self.tick += 1;
        let body = self.describe();
        let (share, until) = self.late_reports;
        if now < until && self.rng.random_bool(share) {
            let controllers = &self.surroundings.controllers;
            let other = controllers[self.rng.random_range(0..controllers.len())];
            let after = Duration::from_secs_f64(self.rng.random_range(0.5..LEASE.as_secs_f64() * 1.5));
            let copy = body.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let _ = send(other, copy).await;
            });
        }
        self.in_flight = true;
        let (target, session) = (self.surroundings.controllers[self.target], self.session);
        let (messages, mute) = (self.messages.clone(), now < self.mute_until);
        tokio::spawn(async move {
            let answer = match mute {
                true => {
                    tokio::time::sleep(REPORT).await;
                    None
                }
                false => send(target, body).await,
            };
            let _ = messages.send(Message::Reported { session, sent: now, answer });
        });
    }

    fn reported(&mut self, now: Instant, session: u64, sent: Instant, answer: Option<Response>) {
        self.in_flight = false;
        let unheard = now < self.deaf_until || now < self.hung_until || now > sent + ANSWER_WITHIN;
        let answer = answer.filter(|_| !unheard);
        let body = answer.as_ref().and_then(|answer| decode(&answer.body).ok()).unwrap_or(Value::Null);
        let controllers = self.surroundings.controllers.len();
        match answer.map(|answer| answer.status) {
            Some(200) => self.obey_answer(now, session, sent, &body),
            Some(421) => {
                let named = Fields::of(&body).ok().and_then(|f| f.opt_text("foreman").ok().flatten());
                let named = named.and_then(|name| name.strip_prefix("c-")?.parse().ok());
                match named.filter(|&to: &usize| to < controllers && to != self.target) {
                    Some(to) => self.turn_to(now, to, self.rng.clone().random_range(0.0..0.5)),
                    None => self.turn_to(now, (self.target + 1) % controllers, 1.0),
                }
            }
            _ => self.turn_to(now, (self.target + 1) % controllers, 1.0),
        }
    }

    fn turn_to(&mut self, now: Instant, target: usize, after_s: f64) {
        self.target = target;
        self.next_report = now + Duration::from_secs_f64(after_s);
    }

    fn obey_answer(&mut self, now: Instant, session: u64, sent: Instant, body: &Value) {
        let token = Fields::of(body).ok().and_then(|f| f.count("baton").ok()).unwrap_or(0);
        if session != self.session || token < self.token {
            return;
        }
        if token > self.token {
            self.token = token;
            self.report_soon(now);
        }
        self.lease_from = sent;
        self.carry_out(now, body);
    }

    fn direct(&mut self, now: Instant, body: Option<Vec<u8>>, reply: oneshot::Sender<Response>) {
        self.tick += 1;
        let mut status = 200;
        if let Some(body) = body {
            let body = decode(&body).unwrap_or(Value::Null);
            let fields = Fields::of(&body);
            let named = fields.and_then(|f| Ok((f.count("baton")?, f.count("shift")?)));
            status = match named {
                Err(_) => 400,
                Ok((token, session)) if token < self.token || session != self.session => 409,
                Ok((token, _)) => {
                    self.token = token;
                    self.carry_out(now, &body);
                    200
                }
            };
        }
        let body = self.describe();
        let _ = reply.send(Response { status, body, retry_after_s: None, close: false });
    }

    fn carry_out(&mut self, now: Instant, body: &Value) {
        let Some(orders) = Fields::of(body).ok().and_then(|f| f.list("orders").ok()) else { return };
        for order in orders {
            let Ok(fields) = Fields::of(order) else { continue };
            let (Ok(verb), Ok(sheet), Ok(attempt)) =
                (fields.text("verb"), fields.text("sheet"), fields.count("try"))
            else {
                continue;
            };
            let Some((job, index)) = parse_task(sheet) else { continue };
            match verb {
                "start" => self.start_task(now, job, index, attempt),
                "stop" => self.stop_task(now, job, index, attempt),
                "reap" => self.tasks.retain(|task| {
                    let named = task.job == job && task.index == index && task.attempt == attempt;
                    !(named && matches!(task.state, TaskState::Exited(_)))
                }),
                _ => {}
            }
        }
    }

    fn start_task(&mut self, now: Instant, job: usize, index: u32, attempt: u64) {
        let same = |task: &Task| task.job == job && task.index == index;
        if self.tasks.iter().any(|task| same(task) && task.attempt == attempt) {
            return;
        }
        match job < self.surroundings.jobs.len() {
            true => self.note(Event::StartTaken { task: self.task_on(job, index), attempt }),
            false => self.note(Event::UnknownStart { machine: self.identity.name.clone() }),
        }
        let is_there = |task: &&Task| !matches!(task.state, TaskState::Exited(_));
        let cpus = |job: usize| self.surroundings.jobs.get(job).map_or(0.0, |job| job.cpus);
        let used: f64 = self.tasks.iter().filter(is_there).map(|task| cpus(task.job)).sum();
        let state = match self.surroundings.jobs.get(job) {
            Some(planned) if index < planned.tasks => {
                if self.tasks.iter().filter(is_there).any(same) {
                    TaskState::Exited("in_use")
                } else if used + planned.cpus > MACHINE_CPUS + 1e-6 {
                    TaskState::Exited("no_room")
                } else {
                    TaskState::Fetching(now + Duration::from_secs_f64(self.rng.random_range(0.02..0.6)))
                }
            }
            _ => TaskState::Exited("unknown"),
        };
        self.tasks.push(Task { job, index, attempt, state });
        self.report_soon(now);
    }

    fn stop_task(&mut self, now: Instant, job: usize, index: u32, attempt: u64) {
        let named = |task: &&mut Task| task.job == job && task.index == index && task.attempt == attempt;
        let Some(task) = self.tasks.iter_mut().find(named) else { return };
        let was = task.state;
        if matches!(was, TaskState::Exited(_)) {
            return;
        }
        task.state = TaskState::Exited("halted");
        if matches!(was, TaskState::Running(_)) {
            self.note(Event::Left { task: self.task_on(job, index) });
        }
        self.report_soon(now);
    }

    /// Its report.
    fn describe(&self) -> Vec<u8> {
        let tasks = self.tasks.iter().map(|task| {
            let (standing, cause) = match task.state {
                TaskState::Fetching(_) => ("fetching", None),
                TaskState::Running(_) => ("running", None),
                TaskState::Exited(cause) => ("exited", Some(cause)),
            };
            MapBuilder::new()
                .set("sheet", format!("job-{:06}/{}", task.job, task.index))
                .set("try", task.attempt)
                .set("standing", standing)
                .set_some("cause", cause)
                .build()
        });
        let report = MapBuilder::new()
            .set("bench", self.identity.name.as_str())
            .set("address", self.address.to_string())
            .set("build", "m8")
            .set("hall", self.identity.zone)
            .set("loaners", self.identity.spot)
            .set("shift", self.session)
            .set("tick", self.tick)
            .set("baton", self.token)
            .set("sheets", Value::Array(tasks.collect()));
        encode(&report.build())
    }
}

fn parse_task(text: &str) -> Option<(usize, u32)> {
    let (job, index) = text.strip_prefix("job-")?.split_once('/')?;
    Some((job.parse().ok()?, index.parse().ok()?))
}

async fn send(to: SocketAddr, body: Vec<u8>) -> Option<Response> {
    let call = Call { method: "POST", target: "/agent/beat".into(), body, deadline: ANSWER_WITHIN };
    PreparedCall::without_pool(to, HTTP_LIMITS, call).run().await.0.ok()
}
