//! Simulated users, which submit, poll and cancel jobs.

use super::*;

/// A request that a user is about to send.
struct UserRequest {
    /// Id of the job, or a placeholder for requests about no job.
    id: String,
    request_kind: RequestKind,
    request: Request,
    /// The controller that receives it; `None` if it is lost.
    at: Option<usize>,
    /// Delay until it is sent.
    after: Duration,
    /// Whether it is sent in addition to the user's regular requests; its answer is only checked.
    is_extra: bool,
}

impl Simulation {
    /// Submits a job with random tasks, priority, placement, dependencies and run time, which
    /// may be cancelled later.
    pub fn submit_random_job(&mut self, now: Instant) {
        self.next_job += 1;
        let number = self.next_job;
        let mut spec = self.random_spec(number);
        spec.dependencies = self.choose_dependencies(number);
        let rng = &mut self.rng;
        let run_s = rng.random_range(self.shape.max_run_s * 0.08..self.shape.max_run_s);
        let is_service = spec.kind == JobKind::Service;
        spec.estimated_run_s = if is_service { 0.0 } else { run_s * rng.random_range(0.5..1.5) };
        let cancels = is_service || rng.random_bool(0.25);
        let cancel_from = cancels.then(|| now + seconds(rng.random_range(1.0..40.0)));
        self.submit(now, spec, run_s, cancel_from);
    }

    /// A job description with random tasks, priority and placement.
    fn random_spec(&mut self, number: usize) -> JobSpec {
        let rng = &mut self.rng;
        let largest = self.shape.max_tasks;
        let tasks = [1, 2, 2, 3, largest.min(4), largest][rng.random_range(0..6)];
        let cpus = [1.0, 2.0, 4.0][rng.random_range(0..3)];
        let team = if rng.random_bool(0.5) { "red" } else { "blue" };
        let mut spec = sample(&format!("job-{number:05}"), team, tasks, cpus);
        spec.spot = rng.random_bool(0.6);
        spec.priority = [Priority::Critical, Priority::High, Priority::Standard, Priority::BestEffort]
            [rng.random_range(0..4)];
        match rng.random_range(0..10) {
            0 => spec.one_zone = true,
            1 => spec.spread = true,
            2 => spec.zone = Some("z2".into()),
            3 if team == "blue" => spec.kind = JobKind::Service,
            _ => {}
        }
        spec
    }

    /// Makes the user of a job request its cancellation from now on.
    pub fn request_cancellation(&mut self, now: Instant, id: &str) {
        self.jobs.get_mut(id).expect("submitted").cancel_from = Some(now);
    }

    /// Chooses the dependencies of a new job: mostly none, otherwise some of the last few or of all
    /// earlier jobs, in any state, so that chains, diamonds and dependencies that have long been
    /// terminal occur.
    fn choose_dependencies(&mut self, number: usize) -> Vec<JobId> {
        let rng = &mut self.rng;
        if self.shape.dependent_probability == 0.0
            || number < 2
            || !rng.random_bool(self.shape.dependent_probability)
        {
            return Vec::new();
        }
        let mut dependencies = BTreeSet::new();
        for _ in 0..rng.random_range(1..4) {
            let first = if rng.random_bool(0.8) { number.saturating_sub(5).max(1) } else { 1 };
            dependencies.insert(format!("job-{:05}", rng.random_range(first..number)));
        }
        let is_array =
            |dependency: &String| self.jobs.get(dependency).is_some_and(|j| j.spec.kind == JobKind::Array);
        dependencies
            .iter()
            .filter(|dependency| is_array(dependency))
            .filter_map(|dependency| JobId::parse(dependency))
            .collect()
    }

    /// All direct and indirect dependencies of a job.
    pub(super) fn ancestors(&self, id: &str) -> Vec<&Job> {
        let mut found: BTreeMap<&str, &Job> = BTreeMap::new();
        let mut unvisited = vec![id];
        while let Some(job) = unvisited.pop().and_then(|id| self.jobs.get(id)) {
            for dependency in &job.spec.dependencies {
                if let Some(ancestor) = self.jobs.get(dependency.as_str())
                    && found.insert(dependency.as_str(), ancestor).is_none()
                {
                    unvisited.push(dependency.as_str());
                }
            }
        }
        found.into_values().collect()
    }

    /// Adds a job that its user submits as soon as all its dependencies are accepted; `run_s` is
    /// the run time of each task in seconds.
    pub fn submit(&mut self, now: Instant, spec: JobSpec, run_s: f64, cancel_from: Option<Instant>) {
        let id = spec.id.as_str().to_owned();
        self.jobs.insert(id, Job::new(now, spec, run_s, cancel_from));
    }

    /// Sends the next request of a job's user, if one is due.
    pub(super) fn step_user(&mut self, now: Instant, id: &str) {
        let resubmits = self.rng.random_bool(0.05);
        let accepted =
            |dependency: &JobId| self.jobs.get(dependency.as_str()).is_some_and(|job| job.accepted.is_some());
        if !self.jobs.get(id).is_some_and(|job| job.spec.dependencies.iter().all(accepted)) {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.in_flight || job.rejected || now < job.next {
            return;
        }
        let wants_cancelled = job.cancel_from.is_some_and(|at| now >= at) && job.terminal.is_none();
        let request_kind = match (job.accepted, wants_cancelled) {
            (None, _) => RequestKind::Submit,
            (Some(_), true) => RequestKind::Cancel,
            _ if resubmits => RequestKind::Submit,
            _ => RequestKind::Poll,
        };
        job.in_flight = true;
        job.submitted = true;
        let request = self.request_about(id, request_kind);
        self.send_to_any_controller(now, id, request_kind, request);
    }

    /// Builds a request of this kind about a job.
    fn request_about(&self, id: &str, request_kind: RequestKind) -> Request {
        match (request_kind, self.jobs.get(id)) {
            (RequestKind::Submit, Some(job)) => post("/api/jobs", encode(&job.spec.encode().build())),
            (RequestKind::Cancel, _) => post(&format!("/api/jobs/{id}/withdraw"), Vec::new()),
            _ => get(&format!("/api/jobs/{id}")),
        }
    }

    /// Sends a request to a random reachable controller.
    fn send_to_any_controller(
        &mut self,
        now: Instant,
        id: &str,
        request_kind: RequestKind,
        request: Request,
    ) {
        let is_partitioned = now < self.zone_partitioned_until;
        let is_up = |at: &usize| {
            !(is_partitioned && *at == PARTITIONED_CONTROLLER) && self.controllers[*at].handle.is_some()
        };
        let reachable: Vec<usize> = (0..self.controllers.len()).filter(is_up).collect();
        let at = (!reachable.is_empty()).then(|| reachable[self.rng.random_range(0..reachable.len())]);
        let (id, after) = (id.to_owned(), Duration::from_millis(2));
        self.send(now, UserRequest { id, request_kind, request, at, after, is_extra: false });
    }

    /// Sends a request; its answer arrives as an [`Event::RequestAnswered`].
    fn send(&mut self, now: Instant, user_request: UserRequest) {
        let UserRequest { id, request_kind, request, at, after, is_extra } = user_request;
        let has_late_copy = self.duplicated_requests.affects(now, &mut self.rng);
        if has_late_copy && !matches!(request_kind, RequestKind::Invalid(_) | RequestKind::Unknown) {
            self.send_late_copy_of_request(&request);
        }
        let timeout = seconds(if request_kind == RequestKind::Poll { 2.0 } else { 5.0 });
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
                return Event::RequestAnswered { job, request_kind, origin, answer: None, is_extra };
            };
            let handled = stalls.run(Handler::handle(&handle, request));
            let answer = tokio::time::timeout(timeout, handled).await.ok();
            let order = answers.fetch_add(1, Ordering::Relaxed);
            Event::RequestAnswered {
                job,
                request_kind,
                origin: Origin { sent, process, order },
                answer,
                is_extra,
            }
        });
    }

    /// Sends a late copy of a request to a random controller; its answer is ignored.
    fn send_late_copy_of_request(&mut self, request: &Request) {
        let after = seconds(self.rng.random_range(1.0..40.0));
        let at = self.rng.random_range(0..self.controllers.len());
        let Some(handle) = self.controllers[at].handle.clone() else { return };
        let (request, stalls) = (request.clone(), self.controllers[at].stalls.clone());
        self.events.spawn(async move {
            tokio::time::sleep(after).await;
            let handled = stalls.run(Handler::handle(&handle, request));
            // The sender no longer waits, and a controller that has ended handles nothing.
            let _ = tokio::time::timeout(seconds(10.0), handled).await;
            Event::Nothing
        });
    }

    /// Sends extra requests about a job to all controllers: the first within milliseconds, the
    /// last after about a second.
    pub(super) fn poll_all_controllers(&mut self, now: Instant, id: &str) {
        for at in 0..self.controllers.len() {
            for after in [0.001, 0.02, 0.2, 0.9] {
                let after = seconds(after * self.rng.random_range(0.5..1.5));
                self.send_extra_request(now, id, at, after);
            }
        }
    }

    /// Sends an extra request about a job: mostly a poll, otherwise a repeated submission, or a
    /// cancellation if the job is terminal or its user has already requested one.
    fn send_extra_request(&mut self, now: Instant, id: &str, at: usize, after: Duration) {
        let Some(job) = self.jobs.get(id) else { return };
        let is_terminal = job.terminal.is_some();
        let is_cancelled = job.cancel_from.is_some_and(|from| now >= from);
        let request_kind = match self.rng.random_range(0..8) {
            0 | 1 => RequestKind::Submit,
            2 if is_terminal || is_cancelled => RequestKind::Cancel,
            _ => RequestKind::Poll,
        };
        let request = self.request_about(id, request_kind);
        let is_partitioned = now < self.zone_partitioned_until && at == PARTITIONED_CONTROLLER;
        let reached = (!is_partitioned).then_some(at);
        let id = id.to_owned();
        self.send(now, UserRequest { id, request_kind, request, at: reached, after, is_extra: true });
    }

    /// Polls every terminal job at every controller, with a pause between requests; returns the
    /// number of jobs.
    pub fn poll_finished_jobs_everywhere(&mut self, pause: Duration) -> usize {
        self.poll_everywhere(pause, |job| job.terminal.is_some())
    }

    /// Polls every accepted job at every controller, with a pause between requests; returns the
    /// number of jobs.
    pub fn poll_accepted_jobs_everywhere(&mut self, pause: Duration) -> usize {
        self.poll_everywhere(pause, |job| job.accepted.is_some())
    }

    /// Polls one accepted job in `stride` at those controllers that have not answered about it since
    /// the end of the faults, spread over an interval.
    pub fn poll_where_unanswered(&mut self, stride: usize, interval: Duration) {
        let all = 0..self.controllers.len();
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted.is_some()).step_by(stride);
        let unanswered = accepted.flat_map(|(id, job)| {
            let not_by = all.clone().filter(|at| !job.answered_by.contains(at));
            not_by.map(|at| (id.clone(), at))
        });
        let unanswered: Vec<(String, usize)> = unanswered.collect();
        let polls = u32::try_from(unanswered.len().max(1)).expect("few jobs");
        self.poll_at(interval / polls, &unanswered);
    }

    fn poll_everywhere(&mut self, pause: Duration, is_polled: impl Fn(&Job) -> bool) -> usize {
        let polled: Vec<String> =
            self.jobs.iter().filter(|(_, job)| is_polled(job)).map(|(id, _)| id.clone()).collect();
        let controllers = 0..self.controllers.len();
        let polls: Vec<(String, usize)> =
            polled.iter().flat_map(|id| controllers.clone().map(move |at| (id.clone(), at))).collect();
        self.poll_at(pause, &polls);
        polled.len()
    }

    /// Sends extra polls of jobs at controllers, with a pause between them.
    fn poll_at(&mut self, pause: Duration, polls: &[(String, usize)]) {
        let (now, mut after) = (Instant::now(), Duration::ZERO);
        for (id, at) in polls {
            let request = self.request_about(id, RequestKind::Poll);
            let (id, request_kind) = (id.clone(), RequestKind::Poll);
            let at = Some(*at);
            self.send(now, UserRequest { id, request_kind, request, at, after, is_extra: true });
            after += pause;
        }
    }

    /// Sends extra requests about random accepted jobs, including those that have long been
    /// terminal.
    pub(super) fn send_extra_requests(&mut self, now: Instant) {
        let expected = self.shape.extra_request_rate * STEP.as_secs_f64();
        let count = expected.floor() as usize + usize::from(self.rng.random_bool(expected.fract()));
        let known: Vec<String> =
            self.jobs.iter().filter(|(_, job)| job.accepted.is_some()).map(|(id, _)| id.clone()).collect();
        for _ in 0..count.min(known.len()) {
            let id = &known[self.rng.random_range(0..known.len())];
            let at = self.rng.random_range(0..self.controllers.len());
            self.send_extra_request(now, id, at, Duration::from_millis(2));
        }
    }

    /// Sends a submission that must be rejected, or a poll of a job that nobody submitted.
    pub(super) fn send_invalid_request(&mut self, now: Instant) {
        let number = self.rng.random_range(0..1000);
        let spec = sample(&format!("job-9{number:05}"), "red", 1, 1.0);
        let kinds = if self.shape.dependent_probability > 0.0 { 7 } else { 4 };
        let kind = self.rng.random_range(0..kinds);
        let Some((request_kind, request)) = self.invalid_request(kind, number, spec) else { return };
        self.send_to_any_controller(now, "odd", request_kind, request);
    }

    /// Builds an invalid request from a valid description; `None` if it needs an accepted service
    /// and there is none.
    fn invalid_request(
        &mut self,
        kind: u32,
        number: usize,
        mut spec: JobSpec,
    ) -> Option<(RequestKind, Request)> {
        let status = match kind {
            // A field is missing.
            0 => {
                let Value::Map(mut fields) = spec.encode().build() else { return None };
                let at = self.rng.random_range(0..fields.len());
                fields.remove(at);
                return Some((RequestKind::Invalid(400), submission(&Value::Map(fields))));
            }
            // A task larger than any machine.
            1 => {
                spec.cpus = 64.0;
                422
            }
            // A service that does not fit the quota.
            2 => {
                (spec.kind, spec.task_count, spec.cpus) = (JobKind::Service, 9, 2.0);
                422
            }
            // A dependency that does not exist, or on itself.
            4 => {
                let dependency = ["job-77777", spec.id.as_str()][number % 2];
                spec.dependencies = JobId::parse(dependency).into_iter().collect();
                422
            }
            // A dependency on a service.
            5 => {
                let is_service = |job: &&Job| job.spec.kind == JobKind::Service && job.accepted.is_some();
                spec.dependencies = vec![self.jobs.values().find(is_service)?.spec.id.clone()];
                422
            }
            // A text where a list of dependencies is expected.
            6 => {
                let body = spec.encode().set("awaits", "job-1").build();
                return Some((RequestKind::Invalid(400), submission(&body)));
            }
            _ => return Some((RequestKind::Unknown, get(&format!("/api/jobs/job-8{number:05}")))),
        };
        Some((RequestKind::Invalid(status), submission(&spec.encode().build())))
    }
}

/// Builds a submission with this body.
fn submission(body: &Value) -> Request {
    post("/api/jobs", encode(body))
}
