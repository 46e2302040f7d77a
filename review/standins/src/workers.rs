//! Stand-ins of workers, one per machine, as PROTOCOL describes them: reports, tokens, leases,
//! commands in responses and direct commands.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, encode};
use shedtally::transport::client::HttpCall;
use shedtally::transport::codec::{Request, Response};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::http::{self, MAX_BODY, RunningServer, listen};
use crate::record::Record;

/// A worker drops a response that takes longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// The shortest time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// How fast a machine fetches an image; it then has it.
const FETCH_GB_PER_S: f64 = 0.3;

/// What a worker knows of a job: users upload it.
#[derive(Clone, Copy)]
pub struct JobFacts {
    pub cores: f64,
    pub ram_gb: f64,
    pub tasks: u32,
    /// How long a task runs; `None` until it is stopped.
    pub run: Option<Duration>,
    /// Whether its tasks fail at their end: the job was submitted with a mistake.
    pub mistaken: bool,
    pub bundle: &'static str,
    pub pull_gb: f64,
}

/// What all workers share.
pub struct World {
    pub jobs: Mutex<BTreeMap<String, JobFacts>>,
    pub controllers: Mutex<Vec<SocketAddr>>,
    pub record: Record,
    pub report: Duration,
    pub lease: Duration,
}

/// A machine.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub build: &'static str,
    pub zone: &'static str,
    pub spot: bool,
    pub cores: f64,
    pub ram_gb: f64,
}

enum Message {
    Pushed { request: Request, reply: oneshot::Sender<Response> },
    Responded { shift: u64, sent: Instant, response: Option<Response> },
    /// Suspends the machine for this time.
    Hang(Duration),
    Remove(oneshot::Sender<()>),
}

/// Handle of a worker.
#[derive(Clone)]
pub struct WorkerHandle {
    messages: mpsc::UnboundedSender<Message>,
    pub address: SocketAddr,
}

impl WorkerHandle {
    /// Ends the machine; returns once no task is left on it.
    pub async fn remove(&self) {
        let (reply, removed) = oneshot::channel();
        if self.messages.send(Message::Remove(reply)).is_ok() {
            let _ = removed.await;
        }
    }

    /// Lets the machine hang for some time.
    pub fn hang(&self, time: Duration) {
        let _ = self.messages.send(Message::Hang(time));
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Fetching(Instant),
    Running(Option<Instant>),
    Exited(&'static str),
}

struct Task {
    sheet: String,
    attempt: u64,
    state: State,
}

struct Worker {
    machine: Machine,
    world: Arc<World>,
    address: SocketAddr,
    messages: mpsc::UnboundedSender<Message>,
    rng: SmallRng,
    shift: u64,
    tick: u64,
    baton: u64,
    renewed_at: Instant,
    tasks: Vec<Task>,
    controller: usize,
    next_report: Instant,
    last_report: Instant,
    in_flight: bool,
    hung_until: Instant,
    /// Images that the machine has, or fetches until then.
    images: BTreeMap<&'static str, Instant>,
}

/// Starts a worker.
pub async fn start(machine: Machine, seed: u64, world: Arc<World>) -> std::io::Result<WorkerHandle> {
    let (messages, mut inbox) = mpsc::unbounded_channel();
    let to_worker = messages.clone();
    let forward = move |request: Request, reply| {
        let _ = to_worker.send(Message::Pushed { request, reply });
    };
    let RunningServer { address, abort_handle } = listen(64, MAX_BODY, forward).await?;
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let controllers = world.controllers.lock().map_or(1, |list| list.len().max(1));
    let mut worker = Worker {
        controller: rng.random_range(0..controllers),
        machine,
        world,
        address,
        messages: messages.clone(),
        rng,
        shift: 1,
        tick: 0,
        baton: 0,
        renewed_at: now,
        tasks: Vec::new(),
        next_report: now,
        last_report: now,
        in_flight: false,
        hung_until: now,
        images: BTreeMap::new(),
    };
    tokio::spawn(async move {
        loop {
            let wakeup = worker.next_wakeup();
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(Message::Remove(reply)) => {
                        worker.kill_all("the machine is gone");
                        let _ = reply.send(());
                        break;
                    }
                    Some(message) => worker.handle(message),
                    None => break,
                },
                () = tokio::time::sleep_until(wakeup) => {}
            }
            worker.advance(Instant::now());
        }
        abort_handle.abort();
    });
    Ok(WorkerHandle { messages, address })
}

impl Worker {
    fn next_wakeup(&self) -> Instant {
        let now = Instant::now();
        if now < self.hung_until {
            return self.hung_until;
        }
        let ends = self.tasks.iter().filter_map(|task| match task.state {
            State::Fetching(at) => Some(at),
            State::Running(at) => at,
            State::Exited(_) => None,
        });
        let report = (!self.in_flight).then_some(self.next_report);
        let lease = self.renewed_at + self.world.lease + Duration::from_millis(1);
        ends.chain(report).min().map_or(lease, |at| at.min(lease))
    }

    fn handle(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Pushed { request, reply } => {
                if now < self.hung_until {
                    return;
                }
                self.tick += 1;
                let mut status = 200;
                if request.target == "/commands" {
                    let body = decode(&request.body).unwrap_or(Value::Null);
                    let named = Fields::of(&body).and_then(|f| Ok((f.count("baton")?, f.count("shift")?)));
                    status = match named {
                        Err(_) => 400,
                        Ok((baton, shift)) if baton < self.baton || shift != self.shift => 409,
                        Ok((baton, _)) => {
                            self.baton = baton;
                            self.execute(now, &body, "direct");
                            200
                        }
                    };
                }
                let _ = reply.send(http::response(status, &self.report()));
            }
            Message::Responded { shift, sent, response } => self.responded(now, shift, sent, response),
            Message::Hang(time) => {
                self.hung_until = now + time;
                for task in &mut self.tasks {
                    match &mut task.state {
                        State::Fetching(at) | State::Running(Some(at)) => *at += time,
                        _ => {}
                    }
                }
            }
            Message::Remove(_) => {}
        }
    }

    fn kill_all(&mut self, why: &str) {
        let lost = std::mem::take(&mut self.tasks);
        let running = lost.iter().filter(|task| matches!(task.state, State::Running(_))).count();
        let unreported = lost.iter().filter(|task| task.state == State::Exited("done")).count();
        self.world.record.line(&format!(
            "{} {why}: {running} running tasks killed, {unreported} results forgotten",
            self.machine.name
        ));
        for task in lost.iter().filter(|task| matches!(task.state, State::Running(_))).take(4) {
            self.world.record.line(&format!("{} killed {}", self.machine.name, task.sheet));
        }
    }

    fn advance(&mut self, now: Instant) {
        if now < self.hung_until {
            return;
        }
        if now > self.renewed_at + self.world.lease {
            self.kill_all(&format!("lease of session {} over", self.shift));
            self.shift += 1;
            self.renewed_at = now;
            self.schedule(now);
        }
        let mut changed = false;
        for at in 0..self.tasks.len() {
            let task = &mut self.tasks[at];
            match task.state {
                State::Fetching(until) if now >= until => {
                    let job = task.sheet.split('/').next().unwrap_or_default();
                    let run = self.world.jobs.lock().ok().and_then(|jobs| jobs.get(job).and_then(|job| job.run));
                    task.state = State::Running(run.map(|run| now + run));
                    if job_is_small(&self.world, &task.sheet) {
                        self.world.record.line(&format!("{} runs {} try {}", self.machine.name, task.sheet, task.attempt));
                    }
                }
                State::Running(Some(until)) if now >= until => {
                    let job = task.sheet.split('/').next().unwrap_or_default();
                    let mistaken =
                        self.world.jobs.lock().is_ok_and(|jobs| jobs.get(job).is_some_and(|job| job.mistaken));
                    let cause = if mistaken { "error" } else { "done" };
                    task.state = State::Exited(cause);
                    if job_is_small(&self.world, &task.sheet) {
                        self.world.record.line(&format!("{} {cause} {} try {}", self.machine.name, task.sheet, task.attempt));
                    }
                }
                _ => continue,
            }
            changed = true;
        }
        if changed {
            self.schedule(now);
        }
        if !self.in_flight && now >= self.next_report {
            self.send_report(now);
        }
    }

    fn schedule(&mut self, now: Instant) {
        self.next_report = self.next_report.min(now.max(self.last_report + MIN_INTERVAL));
    }

    fn send_report(&mut self, now: Instant) {
        self.next_report = now + self.world.report.mul_f64(self.rng.random_range(0.75..1.25));
        self.last_report = now;
        self.tick += 1;
        self.in_flight = true;
        let body = encode(&self.report());
        let controllers = self.world.controllers.lock().map(|list| list.clone()).unwrap_or_default();
        let to = controllers[self.controller % controllers.len()];
        let (shift, messages) = (self.shift, self.messages.clone());
        let call = HttpCall { method: "POST", target: "/agent/beat".into(), body, timeout: RESPONSE_TIMEOUT };
        tokio::spawn(async move {
            let response = http::send(to, call).await;
            let _ = messages.send(Message::Responded { shift, sent: now, response });
        });
    }

    fn responded(&mut self, now: Instant, shift: u64, sent: Instant, response: Option<Response>) {
        self.in_flight = false;
        let dropped = now < self.hung_until || now > sent + RESPONSE_TIMEOUT;
        let response = response.filter(|_| !dropped);
        let body = response.as_ref().and_then(|r| decode(&r.body).ok()).unwrap_or(Value::Null);
        let controllers = self.world.controllers.lock().map_or(1, |list| list.len());
        match response.map(|response| response.status) {
            Some(200) => {
                let baton = Fields::of(&body).ok().and_then(|f| f.count("baton").ok()).unwrap_or(0);
                if shift != self.shift || baton < self.baton {
                    return;
                }
                if baton > self.baton {
                    self.baton = baton;
                    self.schedule(now);
                }
                self.renewed_at = sent;
                self.execute(now, &body, "reply");
            }
            Some(421) => {
                let named = Fields::of(&body).ok().and_then(|f| f.opt_text("foreman").ok().flatten());
                let named = named.and_then(|name| name.strip_prefix("shed-")?.parse::<usize>().ok());
                match named.filter(|to| *to < controllers && *to != self.controller) {
                    Some(to) => self.turn_to(now, to, self.rng.clone().random_range(0.0..0.5)),
                    None => self.turn_to(now, (self.controller + 1) % controllers, 1.0),
                }
            }
            status => {
                if let Some(status) = status {
                    self.world.record.line(&format!("{} report answered {status}", self.machine.name));
                }
                self.turn_to(now, (self.controller + 1) % controllers, 1.0);
            }
        }
    }

    fn turn_to(&mut self, now: Instant, controller: usize, after_s: f64) {
        self.controller = controller;
        self.next_report = now + Duration::from_secs_f64(after_s);
    }

    fn execute(&mut self, now: Instant, body: &Value, from: &str) {
        let Some(orders) = Fields::of(body).ok().and_then(|f| f.list("orders").ok()) else { return };
        for order in orders {
            let Ok(fields) = Fields::of(order) else { continue };
            let (Ok(verb), Ok(sheet), Ok(attempt)) =
                (fields.text("verb"), fields.text("sheet"), fields.count("try"))
            else {
                continue;
            };
            match verb {
                "start" => self.start(now, sheet, attempt),
                "stop" => {
                    let named = |task: &&mut Task| task.sheet == sheet && task.attempt == attempt;
                    if let Some(task) = self.tasks.iter_mut().find(named)
                        && !matches!(task.state, State::Exited(_))
                    {
                        task.state = State::Exited("halted");
                        self.world.record.line(&format!(
                            "{} stopped {sheet} try {attempt} ({from})",
                            self.machine.name
                        ));
                    }
                }
                "reap" => self.tasks.retain(|task| {
                    let named = task.sheet == sheet && task.attempt == attempt;
                    !(named && matches!(task.state, State::Exited(_)))
                }),
                _ => {}
            }
        }
        if !orders.is_empty() {
            self.schedule(now);
        }
    }

    fn start(&mut self, now: Instant, sheet: &str, attempt: u64) {
        if self.tasks.iter().any(|task| task.sheet == sheet && task.attempt == attempt) {
            return;
        }
        let jobs = self.world.jobs.lock().map(|jobs| jobs.clone()).unwrap_or_default();
        let facts = |sheet: &str| jobs.get(sheet.split('/').next().unwrap_or_default()).copied();
        let active = |task: &&Task| !matches!(task.state, State::Exited(_));
        let (mut cores, mut ram) = (0.0, 0.0);
        for task in self.tasks.iter().filter(active) {
            cores += facts(&task.sheet).map_or(0.0, |job| job.cores);
            ram += facts(&task.sheet).map_or(0.0, |job| job.ram_gb);
        }
        let state = match facts(sheet) {
            None => State::Exited("unknown"),
            Some(_) if self.tasks.iter().filter(active).any(|task| task.sheet == sheet) => {
                State::Exited("in_use")
            }
            Some(job)
                if cores + job.cores > self.machine.cores + 1e-6
                    || ram + job.ram_gb > self.machine.ram_gb + 1e-6 =>
            {
                State::Exited("no_room")
            }
            Some(job) => {
                let fetch = Duration::from_secs_f64(job.pull_gb / FETCH_GB_PER_S);
                State::Fetching(*self.images.entry(job.bundle).or_insert(now + fetch))
            }
        };
        self.tasks.push(Task { sheet: sheet.to_owned(), attempt, state });
    }

    /// The report: all tasks on the machine.
    fn report(&self) -> Value {
        let sheets = self.tasks.iter().map(|task| {
            let (standing, cause) = match task.state {
                State::Fetching(_) => ("fetching", None),
                State::Running(_) => ("running", None),
                State::Exited(cause) => ("exited", Some(cause)),
            };
            MapBuilder::new()
                .set("sheet", task.sheet.as_str())
                .set("try", task.attempt)
                .set("standing", standing)
                .set_some("cause", cause)
                .build()
        });
        MapBuilder::new()
            .set("bench", self.machine.name.as_str())
            .set("address", self.address.to_string())
            .set("build", self.machine.build)
            .set("hall", self.machine.zone)
            .set("loaners", self.machine.spot)
            .set("shift", self.shift)
            .set("tick", self.tick)
            .set("baton", self.baton)
            .set("sheets", Value::Array(sheets.collect()))
            .build()
    }
}

/// Whether single tasks of the task's job are worth a line of the record.
fn job_is_small(world: &World, sheet: &str) -> bool {
    let job = sheet.split('/').next().unwrap_or_default();
    world.jobs.lock().is_ok_and(|jobs| jobs.get(job).is_none_or(|job| job.tasks <= 20))
}
