//! Simulated workers, as PROTOCOL describes them: heartbeats, leases, tasks and commands.

use super::*;

/// Workers ignore a reply to a heartbeat that takes longer than this.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// CPUs of every machine.
const CPUS: f64 = 8.0;

/// A decoded command of a controller.
struct WorkerCommand<'a> {
    verb: &'a str,
    key: TaskKey,
    attempt: u64,
}

impl<'a> WorkerCommand<'a> {
    /// Decodes a command. Panics if it is malformed, since only controllers send commands.
    fn decode(command: &'a Value) -> Self {
        let fields = Fields::of(command).expect("a map");
        let task = fields.text("sheet").expect("a task");
        let (job, index) = task.split_once('/').expect("a task");
        let key = (job.to_owned(), index.parse().expect("a number"));
        let attempt = fields.count("try").expect("an attempt");
        WorkerCommand { verb: fields.text("verb").expect("a verb"), key, attempt }
    }
}

impl Worker {
    /// Kills and forgets all tasks at the end of the worker's lease.
    fn expire_lease(&mut self, now: Instant) {
        self.tasks.clear();
        self.incarnation += 1;
        (self.lease_from, self.changed) = (now, true);
    }

    /// Moves the times of all tasks by one step: tasks make no progress while their machine is
    /// stalled.
    fn postpone_tasks(&mut self) {
        for (_, task) in &mut self.tasks {
            match &mut task.state {
                RunState::Fetching(at) | RunState::Running(at) => *at += STEP,
                RunState::Exited(_) => {}
            }
        }
    }

    /// Sends heartbeats to another controller from now on, the first at `next_heartbeat`.
    fn switch_controller(&mut self, target: usize, next_heartbeat: Instant) {
        self.target = target;
        self.next_heartbeat = next_heartbeat;
    }
}

impl Simulation {
    /// Advances a worker by one step: its lease, its tasks and its heartbeat.
    pub(super) fn step_worker(&mut self, now: Instant, name: &str) {
        let lease = self.settings.cluster.workers.lease();
        let Some(worker) = self.machines.get_mut(name).filter(|m| m.gone_at.is_none() && now >= m.up_at)
        else {
            return;
        };
        if now > worker.lease_from + lease {
            self.lost_leases += usize::from(!worker.tasks.is_empty());
            worker.expire_lease(now);
        }
        if now < worker.hung_until {
            return worker.postpone_tasks();
        }
        for body in std::mem::take(&mut worker.held_commands) {
            self.handle_pushed_commands(now, name, &body);
        }
        self.progress_tasks(now, name);
        let is_due = |m: &&Worker| !m.in_flight && now >= m.next_heartbeat;
        if self.machines.get(name).as_ref().is_some_and(is_due) {
            self.send_heartbeat(now, name);
        }
    }

    /// Starts tasks whose image has been fetched, and ends those of array jobs whose run time is
    /// over or which have run to completion before.
    fn progress_tasks(&mut self, now: Instant, name: &str) {
        let Some(worker) = self.machines.get_mut(name) else { return };
        let (mut started, mut ended) = (Vec::new(), Vec::new());
        for (key, task) in &mut worker.tasks {
            let has_run = |since: Instant| {
                self.jobs.get(&key.0).is_some_and(|job| {
                    job.spec.kind == JobKind::Array && (now >= since + job.run || job.done.contains(&key.1))
                })
            };
            match task.state {
                RunState::Fetching(until) if now >= until => {
                    task.state = RunState::Running(now);
                    started.push(key.clone());
                }
                RunState::Running(since) if has_run(since) => {
                    task.state = RunState::Exited("done");
                    ended.push(key.clone());
                }
                _ => {}
            }
        }
        worker.changed |= !started.is_empty() || !ended.is_empty();
        if worker.tasks.iter().any(|(_, task)| task.is_live()) {
            worker.empty_since = now;
        }
        for key in started {
            self.check_start(now, name, &key);
        }
        for key in ended {
            self.note_task_done(now, &key);
        }
    }

    /// Sends a heartbeat to the worker's controller, and possibly a late copy.
    fn send_heartbeat(&mut self, now: Instant, name: &str) {
        let interval = self.settings.cluster.workers.heartbeat_interval();
        let Some(worker) = self.machines.get_mut(name) else { return };
        worker.next_heartbeat = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        worker.changed = false;
        worker.sequence += 1;
        worker.in_flight = true;
        let body = encode_heartbeat(name, worker);
        let (target, incarnation) = (worker.target, worker.incarnation);
        let is_partitioned =
            now < self.zone_partitioned_until && (worker.zone == "z2") != (target == PARTITIONED_CONTROLLER);
        let is_received = now >= worker.heartbeats_lost_until && !is_partitioned;
        let handle = self.controllers[target].handle.clone().filter(|_| is_received);
        if self.duplicated_heartbeats.affects(now, &mut self.rng) {
            self.send_late_copy_of_heartbeat(&body);
        }
        let machine = name.to_owned();
        self.events.spawn(async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let answer = match handle {
                Some(handle) => {
                    let handled = Handler::handle(&handle, post("/agent/beat", body));
                    tokio::time::timeout(REPLY_TIMEOUT, handled).await.ok()
                }
                None => None,
            };
            Event::HeartbeatAnswered { machine, controller: target, incarnation, sent: now, answer }
        });
    }

    /// Sends a late copy of a heartbeat to a random controller.
    fn send_late_copy_of_heartbeat(&mut self, body: &[u8]) {
        self.late_copies += 1;
        let after = seconds(self.rng.random_range(2.0..30.0));
        let receiver = self.rng.random_range(0..self.controllers.len());
        let Some(handle) = self.controllers[receiver].handle.clone() else { return };
        let copy = body.to_vec();
        self.events.spawn(async move {
            tokio::time::sleep(after).await;
            Handler::handle(&handle, post("/agent/beat", copy)).await;
            Event::Nothing
        });
    }

    /// Handles the response to a worker's heartbeat, or its timeout, and chooses the controller for
    /// the next one.
    pub(super) fn heartbeat_answered(
        &mut self,
        machine: &str,
        incarnation: u64,
        sent: Instant,
        answer: Option<Response>,
    ) {
        let (now, controllers) = (Instant::now(), self.controllers.len());
        let Some(worker) = self.machines.get_mut(machine).filter(|m| m.gone_at.is_none()) else { return };
        worker.in_flight = false;
        let is_lost = now < worker.one_way_partitioned_until
            || now < worker.hung_until
            || now < worker.heartbeats_lost_until;
        let answer = answer.filter(|_| !is_lost && now < sent + REPLY_TIMEOUT);
        let next = (worker.target + 1) % controllers;
        match answer.map(|a| (a.status, decode(&a.body).unwrap_or(Value::Null))) {
            Some((200, body)) if incarnation == worker.incarnation => {
                self.accept_reply(now, machine, sent, &body);
                self.send_late_copy_of_reply(now, machine, incarnation, sent, body);
            }
            Some((200, _)) => {}
            Some((421, body)) => {
                let leader = Fields::of(&body).ok().and_then(|f| f.opt_text("foreman").ok().flatten());
                let leader = leader.and_then(|name| name.strip_prefix("c-")?.parse().ok());
                match leader.filter(|to| *to != worker.target) {
                    Some(to) => worker.switch_controller(to, now + seconds(0.3)),
                    None => worker.switch_controller(next, now + seconds(1.0)),
                }
            }
            _ => worker.switch_controller(next, now + seconds(1.0)),
        }
    }

    /// Sends a copy of a reply to its worker that arrives before the worker drops it.
    fn send_late_copy_of_reply(
        &mut self,
        now: Instant,
        machine: &str,
        incarnation: u64,
        sent: Instant,
        body: Value,
    ) {
        if !self.duplicated_commands.affects(now, &mut self.rng) {
            return;
        }
        self.copied_commands += 1;
        let dropped_from = sent + REPLY_TIMEOUT;
        let after = dropped_from.saturating_duration_since(now).mul_f64(self.rng.random_range(0.0..1.0));
        let machine = machine.to_owned();
        self.events.spawn(async move {
            tokio::time::sleep(after).await;
            Event::ReplyCopied { machine, incarnation, sent, body }
        });
    }

    /// Handles a copy of a reply, as the reply itself but for the choice of the controller.
    pub(super) fn handle_copied_reply(
        &mut self,
        machine: &str,
        incarnation: u64,
        sent: Instant,
        body: &Value,
    ) {
        let now = Instant::now();
        let is_valid = |worker: &Worker| {
            let is_reachable = now >= worker.one_way_partitioned_until && now >= worker.hung_until;
            worker.gone_at.is_none() && worker.incarnation == incarnation && is_reachable
        };
        if now < sent + REPLY_TIMEOUT && self.machines.get(machine).is_some_and(is_valid) {
            self.accept_reply(now, machine, sent, body);
        }
    }

    /// Sends a copy of pushed commands to the worker that arrives late.
    fn send_late_copy_of_push(&mut self, now: Instant, machine: &str, body: &[u8]) {
        if !self.duplicated_commands.affects(now, &mut self.rng) {
            return;
        }
        self.copied_commands += 1;
        let after = seconds(self.rng.random_range(2.0..30.0));
        let (machine, body) = (machine.to_owned(), body.to_vec());
        self.events.spawn(async move {
            tokio::time::sleep(after).await;
            Event::PushCopied { machine, body }
        });
    }

    /// Accepts a reply, unless its fencing token is outdated: renews the worker's lease and carries
    /// out the commands.
    fn accept_reply(&mut self, now: Instant, machine: &str, sent: Instant, body: &Value) {
        let Some(worker) = self.machines.get_mut(machine) else { return };
        let fencing_token = Fields::of(body).ok().and_then(|f| f.count("baton").ok()).unwrap_or(0);
        if fencing_token < worker.fencing_token {
            return;
        }
        if fencing_token > worker.fencing_token {
            (worker.fencing_token, worker.changed) = (fencing_token, true);
        }
        worker.lease_from = sent;
        self.carry_out(now, machine, body);
        let Some(worker) = self.machines.get_mut(machine) else { return };
        if worker.changed {
            worker.next_heartbeat = worker.next_heartbeat.min(now + seconds(0.5));
        }
    }

    /// Delivers commands that a controller pushes to the worker with this number.
    pub(super) fn deliver_pushed_commands(
        &mut self,
        number: usize,
        call: &HttpCall,
        reply: oneshot::Sender<Result<Response, ClientError>>,
    ) {
        let now = Instant::now();
        let name = format!("vm-{number:06}");
        let Some(worker) = self.machines.get_mut(&name).filter(|m| m.gone_at.is_none() && now >= m.up_at)
        else {
            return;
        };
        if now < worker.one_way_partitioned_until
            || (now < self.zone_partitioned_until && worker.zone == "z2")
        {
            return;
        }
        if now < worker.hung_until {
            return worker.held_commands.push(call.body.clone());
        }
        self.send_late_copy_of_push(now, &name, &call.body);
        if let Some(response) = self.handle_pushed_commands(now, &name, &call.body) {
            let _ = reply.send(Ok(response));
        }
    }

    /// Carries out pushed commands, unless their fencing token is outdated or they are for another
    /// incarnation of the worker; the response is a heartbeat.
    pub(super) fn handle_pushed_commands(
        &mut self,
        now: Instant,
        name: &str,
        body: &[u8],
    ) -> Option<Response> {
        let body = decode(body).ok()?;
        let fields = Fields::of(&body).ok()?;
        let (fencing_token, incarnation) = (fields.count("baton").ok()?, fields.count("shift").ok()?);
        let worker = self.machines.get_mut(name)?;
        worker.sequence += 1;
        let is_stale = fencing_token < worker.fencing_token || incarnation != worker.incarnation;
        if !is_stale {
            worker.fencing_token = fencing_token;
            self.carry_out(now, name, &body);
        }
        let status = if is_stale { 409 } else { 200 };
        let worker = self.machines.get(name)?;
        Some(Response { status, body: encode_heartbeat(name, worker), retry_after_s: None, close: false })
    }

    /// Carries out the commands in a message to a worker.
    pub fn carry_out(&mut self, now: Instant, name: &str, body: &Value) {
        let Some(commands) = Fields::of(body).ok().and_then(|f| f.list("orders").ok()) else { return };
        for command in commands {
            let command = WorkerCommand::decode(command);
            let fetch = seconds(self.rng.random_range(0.2..2.0));
            let Some(worker) = self.machines.get_mut(name) else { return };
            let is_same_attempt =
                |key: &TaskKey, task: &RunningTask| *key == command.key && task.attempt == command.attempt;
            let attempt = worker.tasks.iter_mut().find(|(key, task)| is_same_attempt(key, task));
            match (command.verb, attempt) {
                ("start", None) => self.start_task(now, name, command.key, command.attempt, now + fetch),
                ("stop", Some((_, task))) if task.is_live() => {
                    task.state = RunState::Exited("halted");
                    worker.changed = true;
                }
                ("reap", Some((_, task))) if !task.is_live() => {
                    worker.tasks.retain(|(key, task)| !is_same_attempt(key, task));
                    worker.changed = true;
                }
                _ => {}
            }
        }
    }

    /// Starts an attempt on a worker, or lists it as ended if it cannot be started.
    fn start_task(&mut self, now: Instant, name: &str, key: TaskKey, attempt: u64, fetched_at: Instant) {
        let Some(worker) = self.machines.get(name) else { return };
        let live = || worker.tasks.iter().filter(|(_, task)| task.is_live());
        let used: f64 = live().filter_map(|(key, _)| self.jobs.get(&key.0)).map(|job| job.spec.cpus).sum();
        let state = match self.jobs.get(&key.0).filter(|job| job.submitted) {
            None => RunState::Exited("unknown"),
            Some(_) if live().any(|(other, _)| *other == key) => RunState::Exited("in_use"),
            Some(job) if used + job.spec.cpus > CPUS + 1e-6 => RunState::Exited("no_room"),
            Some(_) => RunState::Fetching(fetched_at),
        };
        let cancelled = self.jobs.get(&key.0).and_then(|job| job.cancelled);
        let Some(worker) = self.machines.get_mut(name) else { return };
        worker.tasks.push((key.clone(), RunningTask { attempt, state }));
        worker.changed = true;
        // A start command that was in flight when the user was told of the cancellation is
        // dropped by the worker once the reply has timed out.
        if cancelled.is_some_and(|at| now > at + REPLY_TIMEOUT) {
            self.record_violation("started_cancelled", format!("{}/{} on {name}", key.0, key.1));
        }
    }
}

/// Encodes a worker's current heartbeat.
fn encode_heartbeat(name: &str, worker: &Worker) -> Vec<u8> {
    let tasks = worker.tasks.iter().map(|(key, task)| encode_task(key, task)).collect();
    let heartbeat = MapBuilder::new()
        .set("bench", name)
        .set("address", worker.address.to_string())
        .set("build", "m8")
        .set("hall", worker.zone)
        .set("loaners", worker.spot)
        .set("shift", worker.incarnation)
        .set("tick", worker.sequence)
        .set("baton", worker.fencing_token)
        .set("sheets", Value::Array(tasks))
        .build();
    encode(&heartbeat)
}

/// Encodes a task for a heartbeat.
fn encode_task((job, index): &TaskKey, task: &RunningTask) -> Value {
    let (state, cause) = match task.state {
        RunState::Fetching(_) => ("fetching", None),
        RunState::Running(_) => ("running", None),
        RunState::Exited(cause) => ("exited", Some(cause)),
    };
    MapBuilder::new()
        .set("sheet", format!("{job}/{index}"))
        .set("try", task.attempt)
        .set("standing", state)
        .set_some("cause", cause)
        .build()
}
