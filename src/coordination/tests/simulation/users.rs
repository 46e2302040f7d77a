//! Users: what they submit, ask and call off, and what they are told.

use super::*;

/// A request that a user is about to send.
struct UserRequest {
    id: String,
    question: Question,
    request: Request,
    /// The controller that it reaches, if it reaches any.
    at: Option<usize>,
    after: Duration,
    /// Beside those that its user needs.
    is_extra: bool,
}

impl Simulation {
    pub fn submit_random_job(&mut self, now: Instant) {
        self.next_job += 1;
        let n = self.next_job;
        let r = &mut self.rng;
        let largest = self.shape.max_tasks;
        let tasks = [1, 2, 2, 3, largest.min(4), largest][r.random_range(0..6)];
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
            3 if team == "blue" => spec.kind = JobKind::Service,
            _ => {}
        }
        spec.dependencies = self.choose_dependencies(n);
        let r = &mut self.rng;
        let run = r.random_range(self.shape.max_run_s * 0.08..self.shape.max_run_s);
        spec.estimated_run_s =
            if spec.kind == JobKind::Service { 0.0 } else { run * r.random_range(0.5..1.5) };
        let cancels = spec.kind == JobKind::Service || r.random_bool(0.25);
        let cancel_from = cancels.then(|| now + seconds(r.random_range(1.0..40.0)));
        self.submit(now, spec, run, cancel_from);
    }

    /// Its user wants the job cancelled from now on.
    pub fn request_cancellation(&mut self, now: Instant, id: &str) {
        self.jobs.get_mut(id).expect("submitted").cancel_from = Some(now);
    }

    /// Jobs that a new one awaits: mostly none, else some of the last few or of all before,
    /// in whatever state they are, so that chains, diamonds and long finished needs occur.
    fn choose_dependencies(&mut self, n: usize) -> Vec<JobId> {
        let r = &mut self.rng;
        if self.shape.dependent_share == 0.0 || n < 2 || !r.random_bool(self.shape.dependent_share) {
            return Vec::new();
        }
        let mut dependencies = BTreeSet::new();
        for _ in 0..r.random_range(1..4) {
            let first = if r.random_bool(0.8) { n.saturating_sub(5).max(1) } else { 1 };
            dependencies.insert(format!("job-{:05}", r.random_range(first..n)));
        }
        let arrays =
            |dependency: &String| self.jobs.get(dependency).is_some_and(|j| j.spec.kind == JobKind::Array);
        dependencies
            .iter()
            .filter(|dependency| arrays(dependency))
            .filter_map(|dependency| JobId::parse(dependency))
            .collect()
    }

    /// All jobs that a job needs, directly or not.
    pub(super) fn ancestors(&self, id: &str) -> Vec<&Job> {
        let mut found: BTreeMap<&str, &Job> = BTreeMap::new();
        let mut work = vec![id];
        while let Some(job) = work.pop().and_then(|id| self.jobs.get(id)) {
            for dependency in &job.spec.dependencies {
                if let Some(needed) = self.jobs.get(dependency.as_str())
                    && found.insert(dependency.as_str(), needed).is_none()
                {
                    work.push(dependency.as_str());
                }
            }
        }
        found.into_values().collect()
    }

    pub fn submit(&mut self, now: Instant, spec: JobSpec, run: f64, cancel_from: Option<Instant>) {
        let job = Job {
            run: seconds(run),
            asked: false,
            accepted: None,
            given_up: false,
            cancel_from,
            cancelled: None,
            terminal: None,
            answered: now,
            next: now,
            in_flight: false,
            done: BTreeSet::new(),
            passed_over: None,
            spec,
        };
        self.jobs.insert(job.spec.id.as_str().to_owned(), job);
    }

    pub(super) fn step_user(&mut self, now: Instant, id: &str) {
        let resubmits = self.rng.random_bool(0.05);
        let accepted =
            |dependency: &JobId| self.jobs.get(dependency.as_str()).is_some_and(|job| job.accepted.is_some());
        if !self.jobs.get(id).is_some_and(|job| job.spec.dependencies.iter().all(accepted)) {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.in_flight || job.given_up || now < job.next {
            return;
        }
        let wants_off = job.cancel_from.is_some_and(|at| now >= at) && job.terminal.is_none();
        let question = match (job.accepted, wants_off) {
            (None, _) => Question::Submit,
            (Some(_), true) => Question::Cancel,
            _ if resubmits => Question::Submit,
            _ => Question::Poll,
        };
        job.in_flight = true;
        job.asked = true;
        let request = self.request_about(id, question);
        self.send_to_any_controller(now, id, question, request);
    }

    fn request_about(&self, id: &str, question: Question) -> Request {
        match (question, self.jobs.get(id)) {
            (Question::Submit, Some(job)) => post("/api/jobs", encode(&job.spec.encode().build())),
            (Question::Cancel, _) => post(&format!("/api/jobs/{id}/withdraw"), Vec::new()),
            _ => get(&format!("/api/jobs/{id}")),
        }
    }

    pub(super) fn send_to_any_controller(
        &mut self,
        now: Instant,
        id: &str,
        question: Question,
        request: Request,
    ) {
        let cut = now < self.zone_cut_until;
        let up = |at: &usize| !(cut && *at == 1) && self.controllers[*at].handle.is_some();
        let reached: Vec<usize> = (0..self.controllers.len()).filter(up).collect();
        let at = (!reached.is_empty()).then(|| reached[self.rng.random_range(0..reached.len())]);
        let (id, after) = (id.to_owned(), Duration::from_millis(2));
        self.send(now, UserRequest { id, question, request, at, after, is_extra: false });
    }

    fn send(&mut self, now: Instant, user_request: UserRequest) {
        let UserRequest { id, question, request, at, after, is_extra } = user_request;
        let (share, until) = self.late_requests;
        let late = now < until && self.rng.random_bool(share);
        if late && !matches!(question, Question::Invalid(_) | Question::Unknown) {
            self.late_copy(&request);
        }
        let patience = seconds(if question == Question::Poll { 2.0 } else { 5.0 });
        let (job, answers) = (id, self.answers.clone());
        let reached = at.and_then(|at| {
            let controller = &self.controllers[at];
            let handle = controller.handle.clone()?;
            Some(((at, controller.incarnation), handle, controller.stalls.clone()))
        });
        self.events.spawn(async move {
            tokio::time::sleep(after).await;
            let sent = Instant::now();
            let Some((process, handle, stalls)) = reached else {
                let origin = Origin { sent, process: (usize::MAX, 0), order: 0 };
                return Event::Answered { job, question, origin, answer: None, is_extra };
            };
            let handled = stalls.run(Handler::handle(&handle, request));
            let answer = tokio::time::timeout(patience, handled).await.ok();
            let order = answers.fetch_add(1, Ordering::Relaxed);
            Event::Answered { job, question, origin: Origin { sent, process, order }, answer, is_extra }
        });
    }

    /// A copy of a request arrives again later, wherever; nobody waits for its answer.
    fn late_copy(&mut self, request: &Request) {
        let after = seconds(self.rng.random_range(1.0..40.0));
        let at = self.rng.random_range(0..self.controllers.len());
        let Some(handle) = self.controllers[at].handle.clone() else { return };
        let (request, stalls) = (request.clone(), self.controllers[at].stalls.clone());
        self.events.spawn(async move {
            tokio::time::sleep(after).await;
            let handled = stalls.run(Handler::handle(&handle, request));
            // Its sender has gone, and a controller that has ended takes nothing in.
            let _ = tokio::time::timeout(seconds(10.0), handled).await;
            Event::Nothing
        });
    }

    /// Asks all controllers within milliseconds, and again within a second.
    fn poll_all_controllers(&mut self, now: Instant, id: &str) {
        for at in 0..self.controllers.len() {
            for after in [0.001, 0.02, 0.2, 0.9] {
                let after = seconds(after * self.rng.random_range(0.5..1.5));
                self.send_extra_request(now, id, at, after);
            }
        }
    }

    fn send_extra_request(&mut self, now: Instant, id: &str, at: usize, after: Duration) {
        let Some(job) = self.jobs.get(id) else { return };
        let over = job.terminal.is_some();
        let cancelled = job.cancel_from.is_some_and(|from| now >= from);
        let question = match self.rng.random_range(0..8) {
            0 | 1 => Question::Submit,
            2 if over || cancelled => Question::Cancel,
            _ => Question::Poll,
        };
        let request = self.request_about(id, question);
        let reached = (!(now < self.zone_cut_until && at == 1)).then_some(at);
        let id = id.to_owned();
        self.send(now, UserRequest { id, question, request, at: reached, after, is_extra: true });
    }

    /// Polls every job that is over at every controller, one after the other; returns how
    /// many jobs there are.
    pub fn poll_finished_jobs_everywhere(&mut self, pause: Duration) -> usize {
        let over: Vec<String> =
            self.jobs.iter().filter(|(_, job)| job.terminal.is_some()).map(|(id, _)| id.clone()).collect();
        let (now, mut after) = (Instant::now(), Duration::ZERO);
        for id in &over {
            for at in 0..self.controllers.len() {
                let request = self.request_about(id, Question::Poll);
                let (id, question) = (id.clone(), Question::Poll);
                self.send(now, UserRequest { id, question, request, at: Some(at), after, is_extra: true });
                after += pause;
            }
        }
        over.len()
    }

    /// Users ask about any job, also long after it is over, beside what they need.
    pub(super) fn send_extra_requests(&mut self, now: Instant) {
        let chance = self.shape.extra_requests * STEP.as_secs_f64();
        let extra_requests = chance.floor() as usize + usize::from(self.rng.random_bool(chance.fract()));
        let known: Vec<String> =
            self.jobs.iter().filter(|(_, job)| job.accepted.is_some()).map(|(id, _)| id.clone()).collect();
        for _ in 0..extra_requests.min(known.len()) {
            let id = &known[self.rng.random_range(0..known.len())];
            let at = self.rng.random_range(0..self.controllers.len());
            self.send_extra_request(now, id, at, Duration::from_millis(2));
        }
    }

    /// Requests that must be refused, and questions about what nobody submitted.
    pub(super) fn send_invalid_request(&mut self, now: Instant) {
        let n = self.rng.random_range(0..1000);
        let mut spec = sample(&format!("job-9{n:05}"), "red", 1, 1.0);
        let kinds = if self.shape.dependent_share > 0.0 { 7 } else { 4 };
        match self.rng.random_range(0..kinds) {
            4 => {
                let awaits = ["job-77777", spec.id.as_str()][n % 2];
                spec.dependencies = JobId::parse(awaits).into_iter().collect();
                let request = post("/api/jobs", encode(&spec.encode().build()));
                self.send_to_any_controller(now, "odd", Question::Invalid(422), request);
            }
            5 => {
                let service = |job: &&Job| job.spec.kind == JobKind::Service && job.accepted.is_some();
                let Some(service) = self.jobs.values().find(service) else { return };
                spec.dependencies = vec![service.spec.id.clone()];
                let request = post("/api/jobs", encode(&spec.encode().build()));
                self.send_to_any_controller(now, "odd", Question::Invalid(422), request);
            }
            6 => {
                let request = post("/api/jobs", encode(&spec.encode().set("awaits", "job-1").build()));
                self.send_to_any_controller(now, "odd", Question::Invalid(400), request);
            }
            0 => {
                let Value::Map(mut fields) = spec.encode().build() else { return };
                let at = self.rng.random_range(0..fields.len());
                fields.remove(at);
                let request = post("/api/jobs", encode(&Value::Map(fields)));
                self.send_to_any_controller(now, "odd", Question::Invalid(400), request);
            }
            1 => {
                spec.cpus = 64.0;
                let request = post("/api/jobs", encode(&spec.encode().build()));
                self.send_to_any_controller(now, "odd", Question::Invalid(422), request);
            }
            2 => {
                (spec.kind, spec.tasks, spec.cpus) = (JobKind::Service, 9, 2.0);
                let request = post("/api/jobs", encode(&spec.encode().build()));
                self.send_to_any_controller(now, "odd", Question::Invalid(422), request);
            }
            _ => self.send_to_any_controller(
                now,
                "odd",
                Question::Unknown,
                get(&format!("/api/jobs/job-8{n:05}")),
            ),
        }
    }

    pub fn answered(
        &mut self,
        id: &str,
        question: Question,
        origin: Origin,
        answer: Option<Response>,
        is_extra: bool,
    ) {
        let now = Instant::now();
        let status = answer.as_ref().map_or(0, |a| a.status);
        let body = answer.as_ref().and_then(|a| decode(&a.body).ok()).unwrap_or(Value::Null);
        let standing = Fields::of(&body).ok().and_then(|f| f.text("standing").ok().map(str::to_owned));
        match question {
            Question::Invalid(expected) => {
                if !(status == expected || matches!(status, 0 | 429 | 503 | 504)) {
                    self.record_violation("accepted_odd", format!("{status} where {expected} was due"));
                }
                return;
            }
            Question::Unknown if status == 200 => return self.record_violation("invented", "200".into()),
            Question::Unknown => return,
            _ => {}
        }
        let known = |job: &Job| (job.accepted.is_some(), job.terminal.is_some());
        let before = self.jobs.get(id).map(known);
        let cancels_job = question == Question::Cancel;
        self.note_answer(now, id, origin, status, standing.as_deref(), cancels_job);
        if self.shape.extra_requests > 1.0 && self.jobs.get(id).map(known) != before {
            self.poll_all_controllers(now, id);
        }
        if is_extra {
            return;
        }
        let wait = seconds(self.rng.random_range(1.0..1.5));
        let often = seconds(if now > self.calm_at { 5.0 } else { 3.0 });
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.in_flight = false;
        job.next = now + if status == 200 || status == 201 { often } else { wait };
        job.given_up |= job.accepted.is_none() && matches!(status, 400 | 422);
        if job.given_up {
            self.record_violation("refused", format!("{id} got {status}"));
        }
    }

    /// What a user is told, against what it was told before and what has happened.
    pub fn note_answer(
        &mut self,
        now: Instant,
        id: &str,
        origin: Origin,
        status: u16,
        standing: Option<&str>,
        cancels_job: bool,
    ) {
        let within = self.settings.cluster.workers.cancellation();
        let ancestors = self.ancestors(id);
        let cancels = |a: &&Job| {
            a.cancel_from.is_some_and(|at| now >= at)
                && a.terminal.as_ref().is_none_or(|t| t.standing != "done")
        };
        let ancestor_cancelled = ancestors.iter().any(cancels);
        let orphaned = ancestors.iter().any(|a| a.cancelled.is_some_and(|at| origin.sent > at + within));
        let Some(job) = self.jobs.get_mut(id) else { return };
        let accepted = job.accepted.is_some_and(|at| at < origin.sent);
        if matches!(status, 200 | 201 | 404) {
            job.answered = now;
        }
        let mut wrong = Vec::new();
        match (status, standing) {
            (404, _) if accepted => wrong.push(("forgotten", "404")),
            (400 | 422, _) if accepted => wrong.push(("forgotten", "refused as new")),
            (200 | 201, Some(standing)) => {
                job.accepted.get_or_insert(now);
                if let Some(told) = &job.terminal {
                    self.repeated_answers += 1;
                    let same_process = told.by.get(&origin.process).is_some_and(|at| *at < origin.order);
                    match told.standing != standing {
                        true if told.at < origin.sent => wrong.push(("went_back", "told otherwise before")),
                        true if same_process => wrong.push(("went_back", "its sender had told otherwise")),
                        true => self.overtaken += 1,
                        false => {}
                    }
                }
                match standing {
                    "done" if (job.done.len() as u32) < job.spec.tasks => {
                        wrong.push(("not_done", "tasks are left"));
                    }
                    "queued" | "running" if orphaned => {
                        wrong.push(("orphaned", "a job before it was cancelled long ago"));
                    }
                    "cancelled" if job.cancel_from.is_none_or(|at| now < at) && !ancestor_cancelled => {
                        wrong.push(("went_back", "its user did not cancel it"));
                    }
                    "done" | "cancelled" => {}
                    _ if cancels_job => wrong.push(("withdrawn", "200 with no final standing")),
                    _ => {}
                }
                if let Some(last) = ["done", "cancelled"].into_iter().find(|last| *last == standing) {
                    let first = || TerminalState { standing: last, at: now, by: BTreeMap::new() };
                    let told = job.terminal.get_or_insert_with(first);
                    told.by.entry(origin.process).or_insert(origin.order);
                    if last == "cancelled" {
                        self.cancellations += usize::from(job.cancelled.is_none());
                        job.cancelled.get_or_insert(now);
                    }
                }
            }
            _ => {}
        }
        for (rule, what) in wrong {
            self.record_violation(
                rule,
                format!("{id}: {what} ({status} {standing:?} by {:?})", origin.process),
            );
        }
    }
}
