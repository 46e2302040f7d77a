//! Test doubles of the workers on the machines. They implement heartbeats, leases, tasks and
//! commands according to the protocol specification.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, encode};
use shedtally::transport::client::HttpCall;
use shedtally::transport::codec::{Request, Response};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::history::{Event, Recorder, TaskOnMachine};
use super::http::{self, MAX_BODY, RunningServer, listen};
use super::jobs::{Job, MACHINE_CPUS};

/// Average interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A worker kills its tasks and starts a new incarnation if more than this has passed since it sent
/// the last heartbeat that renewed its lease.
pub const LEASE: Duration = Duration::from_secs(8);
/// Longest delay of a copy of a heartbeat: well over a lease.
const MAX_HEARTBEAT_COPY_DELAY: Duration = Duration::from_secs(12);
/// Workers drop responses that take longer than this.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum interval before a heartbeat that is sent because of a change.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of connections to a worker.
const CONNECTIONS: usize = 64;

/// State that all workers of a run share.
#[derive(Debug)]
pub struct WorkerContext {
    /// The users' jobs.
    pub jobs: Vec<Job>,
    /// The address at which each controller receives heartbeats, by the number in its name.
    pub controllers: Vec<SocketAddr>,
    /// Records what happens to tasks.
    pub recorder: Recorder,
}

/// A fault of a machine.
#[derive(Debug, Clone, Copy)]
pub enum MachineFault {
    /// Its heartbeats arrive, but responses to them and pushed commands are lost.
    OneWayPartition { duration: Duration },
    /// Its heartbeats are lost, but pushed commands arrive.
    HeartbeatsLost { duration: Duration },
    /// Its worker and tasks are suspended, but the lease still expires.
    Hang { duration: Duration },
    /// Copies of this share of its heartbeats arrive later.
    DuplicatedHeartbeats { share: f64, duration: Duration },
}

impl MachineFault {
    /// How long the fault lasts, with the copies of heartbeats that it delays.
    pub fn duration(&self) -> Duration {
        match *self {
            MachineFault::OneWayPartition { duration }
            | MachineFault::HeartbeatsLost { duration }
            | MachineFault::Hang { duration } => duration,
            MachineFault::DuplicatedHeartbeats { duration, .. } => duration + MAX_HEARTBEAT_COPY_DELAY,
        }
    }
}

enum Message {
    /// A pushed command or, without a body, a request for the worker's status.
    Pushed {
        body: Option<Vec<u8>>,
        reply: oneshot::Sender<Response>,
    },
    /// A heartbeat got a response, or timed out.
    Responded {
        incarnation: u64,
        sent: Instant,
        response: Option<Response>,
    },
    Inject(MachineFault),
    /// The cloud deletes the machine, with all tasks on it.
    Remove(oneshot::Sender<()>),
}

/// Handle of a machine's worker.
#[derive(Debug, Clone)]
pub struct WorkerHandle {
    messages: mpsc::UnboundedSender<Message>,
    /// The address at which the worker receives pushed commands.
    pub address: SocketAddr,
}

impl WorkerHandle {
    /// Begins a fault.
    pub fn inject(&self, fault: MachineFault) {
        let _ = self.messages.send(Message::Inject(fault));
    }

    /// Stops the worker. Returns once no task is left on the machine.
    pub async fn remove(&self) {
        let (reply, removed) = oneshot::channel();
        if self.messages.send(Message::Remove(reply)).is_ok() {
            let _ = removed.await;
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum TaskState {
    /// Fetching its image until this time.
    Fetching(Instant),
    /// Running until this time; `None` for until it is stopped.
    Running(Option<Instant>),
    /// Exited with this cause, as named in the protocol.
    Exited(&'static str),
}

#[derive(Debug)]
struct Task {
    job: usize,
    index: u32,
    attempt: u64,
    state: TaskState,
}

/// Identity and placement of a machine.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: &'static str,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A fault that sends delayed copies of a share of the heartbeats.
#[derive(Debug, Clone, Copy)]
struct DuplicatedHeartbeats {
    share: f64,
    until: Instant,
}

struct Worker {
    identity: Identity,
    context: Arc<WorkerContext>,
    address: SocketAddr,
    messages: mpsc::UnboundedSender<Message>,
    rng: SmallRng,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// Send time of the last heartbeat that renewed the lease, or the start of the incarnation.
    lease_renewed_at: Instant,
    tasks: Vec<Task>,
    controller: usize,
    next_heartbeat: Instant,
    last_heartbeat: Instant,
    in_flight: bool,
    incoming_lost_until: Instant,
    outgoing_lost_until: Instant,
    hung_until: Instant,
    duplicated_heartbeats: DuplicatedHeartbeats,
    /// Pushed commands that arrived while the machine was suspended.
    held_commands: Vec<(Option<Vec<u8>>, oneshot::Sender<Response>)>,
}

/// Starts a machine's worker, which begins to send heartbeats.
///
/// # Errors
///
/// If no port is free.
pub async fn start(
    identity: Identity,
    seed: u64,
    context: Arc<WorkerContext>,
) -> std::io::Result<WorkerHandle> {
    let (messages, inbox) = mpsc::unbounded_channel();
    let to_actor = messages.clone();
    let forward = move |request: Request, reply| {
        let body = (request.target == "/commands").then_some(request.body);
        let _ = to_actor.send(Message::Pushed { body, reply });
    };
    let RunningServer { address, abort_handle } = listen(CONNECTIONS, MAX_BODY, forward).await?;
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let worker = Worker {
        controller: rng.random_range(0..context.controllers.len()),
        identity,
        context,
        address,
        messages: messages.clone(),
        rng,
        incarnation: 1,
        sequence: 0,
        fencing_token: 0,
        lease_renewed_at: now,
        tasks: Vec::new(),
        next_heartbeat: now,
        last_heartbeat: now,
        in_flight: false,
        incoming_lost_until: now,
        outgoing_lost_until: now,
        hung_until: now,
        duplicated_heartbeats: DuplicatedHeartbeats { share: 0.0, until: now },
        held_commands: Vec::new(),
    };
    tokio::spawn(async move {
        worker.run(inbox).await;
        abort_handle.abort();
    });
    Ok(WorkerHandle { messages, address })
}

impl Worker {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(Message::Remove(reply)) => {
                        self.kill_all();
                        let _ = reply.send(());
                        return;
                    }
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = tokio::time::sleep_until(wakeup) => {}
            }
            self.advance(Instant::now());
        }
    }

    /// When the worker must act next if no message arrives.
    fn next_wakeup(&self) -> Instant {
        let now = Instant::now();
        if now < self.hung_until {
            return self.hung_until.min(self.lease_renewed_at + LEASE);
        }
        let tasks = self.tasks.iter().filter_map(|task| match task.state {
            TaskState::Fetching(until) => Some(until),
            TaskState::Running(until) => until,
            TaskState::Exited(_) => None,
        });
        let heartbeat = (!self.in_flight).then_some(self.next_heartbeat);
        let first = tasks.chain(heartbeat).min();
        first.map_or(self.lease_renewed_at + LEASE, |at| at.min(self.lease_renewed_at + LEASE))
    }

    fn handle(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Pushed { body, reply } => {
                if now < self.incoming_lost_until {
                    return;
                }
                if now < self.hung_until {
                    return self.held_commands.push((body, reply));
                }
                self.handle_pushed(now, body, reply);
            }
            Message::Responded { incarnation, sent, response } => {
                self.handle_response(now, incarnation, sent, response);
            }
            Message::Inject(fault) => match fault {
                MachineFault::OneWayPartition { duration } => self.incoming_lost_until = now + duration,
                MachineFault::HeartbeatsLost { duration } => self.outgoing_lost_until = now + duration,
                MachineFault::Hang { duration } => self.hang(now, duration),
                MachineFault::DuplicatedHeartbeats { share, duration } => {
                    self.duplicated_heartbeats = DuplicatedHeartbeats { share, until: now + duration };
                }
            },
            Message::Remove(_) => {}
        }
    }

    /// Suspends the worker and its tasks: image fetches and runs end later by `duration`.
    fn hang(&mut self, now: Instant, duration: Duration) {
        self.hung_until = now + duration;
        for task in &mut self.tasks {
            match &mut task.state {
                TaskState::Fetching(at) | TaskState::Running(Some(at)) => *at += duration,
                TaskState::Running(None) | TaskState::Exited(_) => {}
            }
        }
    }

    fn task_on(&self, job: usize, index: u32) -> TaskOnMachine {
        TaskOnMachine { job, index, machine: self.identity.name.clone() }
    }

    fn record(&self, event: Event) {
        self.context.recorder.record(event);
    }

    /// Kills all tasks on the machine.
    fn kill_all(&mut self) {
        for task in std::mem::take(&mut self.tasks) {
            if matches!(task.state, TaskState::Running(_)) {
                self.record(Event::TaskRemoved { task: self.task_on(task.job, task.index) });
            }
        }
    }

    /// Performs all actions that are due: lease expiry, held commands, tasks and heartbeats.
    fn advance(&mut self, now: Instant) {
        if now > self.lease_renewed_at + LEASE {
            self.kill_all();
            self.incarnation += 1;
            self.lease_renewed_at = now;
            self.schedule_heartbeat(now);
        }
        if now < self.hung_until {
            return;
        }
        for (body, reply) in std::mem::take(&mut self.held_commands) {
            self.handle_pushed(now, body, reply);
        }
        self.run_tasks(now);
        if !self.in_flight && now >= self.next_heartbeat {
            self.begin_heartbeat(now);
        }
    }

    fn run_tasks(&mut self, now: Instant) {
        let mut changed = false;
        for position in 0..self.tasks.len() {
            let (job, index, state) =
                (self.tasks[position].job, self.tasks[position].index, self.tasks[position].state);
            let next = match state {
                TaskState::Fetching(until) if now >= until => {
                    let (zone, spot) = (self.identity.zone, self.identity.spot);
                    self.record(Event::TaskStarted { task: self.task_on(job, index), zone, spot });
                    let planned = &self.context.jobs[job];
                    TaskState::Running((!planned.is_service).then(|| now + planned.run))
                }
                TaskState::Running(Some(until)) if now >= until => {
                    self.record(Event::TaskCompleted { job, index });
                    self.record(Event::TaskRemoved { task: self.task_on(job, index) });
                    TaskState::Exited("done")
                }
                _ => continue,
            };
            self.tasks[position].state = next;
            changed = true;
        }
        if changed {
            self.schedule_heartbeat(now);
        }
    }

    /// Schedules a heartbeat because of a change: as soon as [`MIN_CHANGE_INTERVAL`] has passed since
    /// the last one, unless one is due earlier.
    fn schedule_heartbeat(&mut self, now: Instant) {
        self.next_heartbeat = self.next_heartbeat.min(now.max(self.last_heartbeat + MIN_CHANGE_INTERVAL));
    }

    fn begin_heartbeat(&mut self, now: Instant) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
        self.last_heartbeat = now;
        self.sequence += 1;
        let body = encode(&self.encode_heartbeat());
        if now < self.duplicated_heartbeats.until && self.rng.random_bool(self.duplicated_heartbeats.share) {
            let controllers = &self.context.controllers;
            let other = controllers[self.rng.random_range(0..controllers.len())];
            let after =
                Duration::from_secs_f64(self.rng.random_range(0.5..MAX_HEARTBEAT_COPY_DELAY.as_secs_f64()));
            let copy = body.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let _ = send_heartbeat(other, copy).await;
            });
        }
        self.in_flight = true;
        let (controller, incarnation) = (self.context.controllers[self.controller], self.incarnation);
        let (messages, outgoing_lost) = (self.messages.clone(), now < self.outgoing_lost_until);
        tokio::spawn(async move {
            let response = match outgoing_lost {
                true => {
                    tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                    None
                }
                false => send_heartbeat(controller, body).await,
            };
            let _ = messages.send(Message::Responded { incarnation, sent: now, response });
        });
    }

    fn handle_response(&mut self, now: Instant, incarnation: u64, sent: Instant, response: Option<Response>) {
        self.in_flight = false;
        let ignored =
            now < self.incoming_lost_until || now < self.hung_until || now > sent + RESPONSE_TIMEOUT;
        let response = response.filter(|_| !ignored);
        let body = response.as_ref().and_then(|response| decode(&response.body).ok()).unwrap_or(Value::Null);
        let controllers = self.context.controllers.len();
        match response.map(|response| response.status) {
            Some(200) => self.handle_ok_response(now, incarnation, sent, &body),
            Some(421) => {
                let named = Fields::of(&body).ok().and_then(|f| f.opt_text("foreman").ok().flatten());
                let named = named.and_then(|name| name.strip_prefix("c-")?.parse().ok());
                match named.filter(|&to: &usize| to < controllers && to != self.controller) {
                    Some(to) => self.switch_controller(now, to, self.rng.clone().random_range(0.0..0.5)),
                    None => self.switch_controller(now, (self.controller + 1) % controllers, 1.0),
                }
            }
            _ => self.switch_controller(now, (self.controller + 1) % controllers, 1.0),
        }
    }

    fn switch_controller(&mut self, now: Instant, controller: usize, after_s: f64) {
        self.controller = controller;
        self.next_heartbeat = now + Duration::from_secs_f64(after_s);
    }

    fn handle_ok_response(&mut self, now: Instant, incarnation: u64, sent: Instant, body: &Value) {
        let fencing_token = Fields::of(body).ok().and_then(|f| f.count("baton").ok()).unwrap_or(0);
        if incarnation != self.incarnation || fencing_token < self.fencing_token {
            return;
        }
        if fencing_token > self.fencing_token {
            self.fencing_token = fencing_token;
            self.schedule_heartbeat(now);
        }
        self.lease_renewed_at = sent;
        self.execute_commands(now, body);
    }

    fn handle_pushed(&mut self, now: Instant, body: Option<Vec<u8>>, reply: oneshot::Sender<Response>) {
        self.sequence += 1;
        let mut status = 200;
        if let Some(body) = body {
            let body = decode(&body).unwrap_or(Value::Null);
            let fields = Fields::of(&body);
            let named = fields.and_then(|f| Ok((f.count("baton")?, f.count("shift")?)));
            status = match named {
                Err(_) => 400,
                Ok((fencing_token, incarnation))
                    if fencing_token < self.fencing_token || incarnation != self.incarnation =>
                {
                    409
                }
                Ok((fencing_token, _)) => {
                    self.fencing_token = fencing_token;
                    self.execute_commands(now, &body);
                    200
                }
            };
        }
        let body = self.encode_heartbeat();
        let _ = reply.send(http::response(status, &body));
    }

    fn execute_commands(&mut self, now: Instant, body: &Value) {
        let Some(commands) = Fields::of(body).ok().and_then(|f| f.list("orders").ok()) else { return };
        for command in commands {
            let Ok(fields) = Fields::of(command) else { continue };
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
        match job < self.context.jobs.len() {
            true => self.record(Event::StartReceived { task: self.task_on(job, index), attempt }),
            false => self.record(Event::UnknownStartReceived { machine: self.identity.name.clone() }),
        }
        let is_active = |task: &&Task| !matches!(task.state, TaskState::Exited(_));
        let cpus = |job: usize| self.context.jobs.get(job).map_or(0.0, |job| job.cpus);
        let used: f64 = self.tasks.iter().filter(is_active).map(|task| cpus(task.job)).sum();
        let state = match self.context.jobs.get(job) {
            Some(planned) if index < planned.tasks => {
                if self.tasks.iter().filter(is_active).any(same) {
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
        self.schedule_heartbeat(now);
    }

    fn stop_task(&mut self, now: Instant, job: usize, index: u32, attempt: u64) {
        let named = |task: &&mut Task| task.job == job && task.index == index && task.attempt == attempt;
        let Some(task) = self.tasks.iter_mut().find(named) else { return };
        let previous = task.state;
        if matches!(previous, TaskState::Exited(_)) {
            return;
        }
        task.state = TaskState::Exited("halted");
        if matches!(previous, TaskState::Running(_)) {
            self.record(Event::TaskRemoved { task: self.task_on(job, index) });
        }
        self.schedule_heartbeat(now);
    }

    /// Encodes a heartbeat with the status of all tasks.
    fn encode_heartbeat(&self) -> Value {
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
        let heartbeat = MapBuilder::new()
            .set("bench", self.identity.name.as_str())
            .set("address", self.address.to_string())
            .set("build", "m8")
            .set("hall", self.identity.zone)
            .set("loaners", self.identity.spot)
            .set("shift", self.incarnation)
            .set("tick", self.sequence)
            .set("baton", self.fencing_token)
            .set("sheets", Value::Array(tasks.collect()));
        heartbeat.build()
    }
}

fn parse_task(text: &str) -> Option<(usize, u32)> {
    let (job, index) = text.strip_prefix("job-")?.split_once('/')?;
    Some((job.parse().ok()?, index.parse().ok()?))
}

async fn send_heartbeat(to: SocketAddr, body: Vec<u8>) -> Option<Response> {
    let call = HttpCall { method: "POST", target: "/agent/beat".into(), body, timeout: RESPONSE_TIMEOUT };
    http::send(to, call).await
}
