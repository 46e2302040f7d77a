//! Workers as PROTOCOL describes them: reports, leases, tasks and orders.

use super::*;

impl Simulation {
    pub(super) fn step_worker(&mut self, now: Instant, name: &str) {
        let (lease, heartbeat) =
            (self.settings.cluster.workers.lease(), self.settings.cluster.workers.report());
        let Some(m) = self.machines.get_mut(name).filter(|m| m.gone_at.is_none() && now >= m.up_at) else {
            return;
        };
        if now > m.lease_from + lease {
            // The lease is over: everything is killed and forgotten.
            self.lost_leases += usize::from(!m.tasks.is_empty());
            m.tasks.clear();
            m.incarnation += 1;
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
        for body in std::mem::take(&mut m.held_commands) {
            self.handle_pushed_commands(now, name, &body);
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
                        j.spec.kind == JobKind::Array && (now >= since + j.run || j.done.contains(&key.1))
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
        if m.in_flight || now < m.next_heartbeat {
            return;
        }
        let pause = heartbeat.mul_f64(self.rng.random_range(0.75..1.25));
        m.next_heartbeat = now + pause;
        m.changed = false;
        m.sequence += 1;
        let body = encode_heartbeat(name, m);
        let target = m.target;
        let apart = now < self.zone_cut_until && (m.zone == "z2") != (target == 1);
        let handle = self.controllers[target].handle.clone().filter(|_| now >= m.mute_until && !apart);
        let (machine, incarnation, sent) = (name.to_owned(), m.incarnation, now);
        m.in_flight = true;
        let (share, until) = self.late_heartbeats;
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
            Event::HeartbeatAnswered { machine, controller: target, incarnation, sent, answer }
        });
    }

    pub(super) fn heartbeat_answered(
        &mut self,
        machine: &str,
        incarnation: u64,
        sent: Instant,
        answer: Option<Response>,
    ) {
        let (now, controllers) = (Instant::now(), self.controllers.len());
        let Some(m) = self.machines.get_mut(machine).filter(|m| m.gone_at.is_none()) else { return };
        m.in_flight = false;
        let lost = now < m.deaf_until || now < m.hung_until || now < m.mute_until;
        let answer = answer.filter(|_| !lost && now < sent + seconds(4.0));
        let next = (m.target + 1) % controllers;
        let turn = |m: &mut Worker, target: usize, after: f64| {
            m.target = target;
            m.next_heartbeat = now + seconds(after);
        };
        match answer.map(|a| (a.status, decode(&a.body).unwrap_or(Value::Null))) {
            Some((200, body)) if incarnation == m.incarnation => {
                let fencing_token = Fields::of(&body).ok().and_then(|f| f.count("baton").ok()).unwrap_or(0);
                if fencing_token < m.fencing_token {
                    return;
                }
                if fencing_token > m.fencing_token {
                    (m.fencing_token, m.changed) = (fencing_token, true);
                }
                m.lease_from = sent;
                self.carry_out(now, machine, &body);
                let Some(m) = self.machines.get_mut(machine) else { return };
                if m.changed {
                    m.next_heartbeat = m.next_heartbeat.min(now + seconds(0.5));
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
    pub(super) fn deliver_pushed_commands(
        &mut self,
        n: usize,
        call: &Call,
        reply: oneshot::Sender<Result<Response, ClientError>>,
    ) {
        let now = Instant::now();
        let name = format!("vm-{n:06}");
        let Some(m) = self.machines.get_mut(&name).filter(|m| m.gone_at.is_none() && now >= m.up_at) else {
            return;
        };
        if now < m.deaf_until || (now < self.zone_cut_until && m.zone == "z2") {
            return;
        }
        if now < m.hung_until {
            return m.held_commands.push(call.body.clone());
        }
        if let Some(response) = self.handle_pushed_commands(now, &name, &call.body) {
            let _ = reply.send(Ok(response));
        }
    }

    pub(super) fn handle_pushed_commands(
        &mut self,
        now: Instant,
        name: &str,
        body: &[u8],
    ) -> Option<Response> {
        let body = decode(body).ok()?;
        let f = Fields::of(&body).ok()?;
        let (fencing_token, incarnation) = (f.count("baton").ok()?, f.count("shift").ok()?);
        let m = self.machines.get_mut(name)?;
        m.sequence += 1;
        let status = if fencing_token < m.fencing_token || incarnation != m.incarnation { 409 } else { 200 };
        if status == 200 {
            m.fencing_token = fencing_token;
            self.carry_out(now, name, &body);
        }
        let m = self.machines.get(name)?;
        Some(Response { status, body: encode_heartbeat(name, m), retry_after_s: None, close: false })
    }

    pub fn carry_out(&mut self, now: Instant, name: &str, body: &Value) {
        let Some(commands) = Fields::of(body).ok().and_then(|f| f.list("orders").ok()) else { return };
        for command in commands {
            let f = Fields::of(command).expect("a map");
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
                        self.record_violation("started_cancelled", format!("{}/{} on {name}", key.0, key.1));
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
}

fn encode_heartbeat(name: &str, m: &Worker) -> Vec<u8> {
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
    let heartbeat = MapBuilder::new()
        .set("bench", name)
        .set("address", m.address.to_string())
        .set("build", "m8")
        .set("hall", m.zone)
        .set("loaners", m.spot)
        .set("shift", m.incarnation)
        .set("tick", m.sequence)
        .set("baton", m.fencing_token)
        .set("sheets", Value::Array(sheets))
        .build();
    encode(&heartbeat)
}
