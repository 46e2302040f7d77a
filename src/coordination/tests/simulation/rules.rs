//! The rules, checked from outside the controllers: on the tasks that workers run, on the
//! answers that users get, and on the jobs that wait.

use super::*;

/// After the end of the faults, a user gets an answer about each accepted job within this time.
const ANSWERED_WITHIN: Duration = Duration::from_secs(75);
/// After the end of the faults, no job waits for longer than this while an idle machine could run
/// it.
const STARTED_WITHIN: Duration = Duration::from_secs(90);

impl Simulation {
    /// Every task that runs on a machine, with the machine's name.
    pub(super) fn on_machines(&self) -> impl Iterator<Item = (&str, &Worker, &TaskKey)> {
        let machines = self.machines.iter().filter(|(_, worker)| worker.gone_at.is_none());
        machines.flat_map(|(name, worker)| {
            let running = worker.tasks.iter().filter(|(_, t)| matches!(t.state, RunState::Running(_)));
            running.map(move |(key, _)| (name.as_str(), worker, key))
        })
    }

    /// Checks the start of a task on a worker.
    pub fn check_start(&mut self, now: Instant, name: &str, key: &TaskKey) {
        self.starts += 1;
        self.check_runs_once(name, key);
        let Some(job) = self.jobs.get(&key.0).filter(|_| self.machines.contains_key(name)) else {
            return self.record_violation("unknown_job", format!("{}/{}", key.0, key.1));
        };
        let (spec, cancelled) = (job.spec.clone(), job.cancelled);
        self.check_placement(name, key, &spec);
        self.check_dependencies(key, &spec);
        let cancellation_limit = self.settings.cluster.workers.cancellation();
        if cancelled.is_some_and(|at| now > at + cancellation_limit) {
            self.record_violation("ran_cancelled", format!("{}/{} starts on {name}", key.0, key.1));
        }
        self.check_quotas();
    }

    /// Checks that no task runs on two machines at once.
    fn check_runs_once(&mut self, name: &str, key: &TaskKey) {
        let others: Vec<String> = self
            .on_machines()
            .filter(|(other, _, running)| *running == key && *other != name)
            .map(|(other, ..)| other.to_owned())
            .collect();
        if !others.is_empty() {
            self.record_violation("ran_twice", format!("{}/{} on {name} and {others:?}", key.0, key.1));
        }
    }

    /// Checks the placement constraints of a task's job: zone, spot machines, one zone for all
    /// tasks, and spread.
    fn check_placement(&mut self, name: &str, key: &TaskKey, spec: &JobSpec) {
        let Some(worker) = self.machines.get(name) else { return };
        let same_job = self.on_machines().filter(|(_, _, running)| running.0 == key.0);
        let zones: Vec<&str> = same_job.map(|(_, worker, _)| worker.zone).collect();
        let in_zone = zones.iter().filter(|zone| **zone == worker.zone).count() as u32;
        let is_wrong = (worker.spot && !spec.spot)
            || spec.zone.as_ref().is_some_and(|zone| zone != worker.zone)
            || (spec.one_zone && zones.iter().any(|zone| *zone != worker.zone))
            || (spec.spread && in_zone > spec.task_count.div_ceil(2));
        if is_wrong {
            let what = format!("{}/{} on {name}, zones {zones:?}", key.0, key.1);
            self.record_violation("wrong_place", what);
        }
    }

    /// Checks that all dependencies are done before a task starts.
    fn check_dependencies(&mut self, key: &TaskKey, spec: &JobSpec) {
        let is_unfinished = |job: &&JobId| self.jobs.get(job.as_str()).is_none_or(Job::has_unfinished_tasks);
        if let Some(dependency) = spec.dependencies.iter().find(is_unfinished) {
            let what = format!("{}/{} starts before {dependency} is done", key.0, key.1);
            self.record_violation("too_early", what);
        }
    }

    /// Checks that no team uses more than its quota.
    pub fn check_quotas(&mut self) {
        for team in self.settings.cluster.teams.clone().into_iter().filter(|t| t.cpus_max > 0.0) {
            let used: f64 = self
                .on_machines()
                .filter_map(|(_, _, key)| self.jobs.get(&key.0))
                .filter(|job| job.spec.team == team.name)
                .map(|job| job.spec.cpus)
                .sum();
            if used > team.cpus_max + 1e-6 {
                self.record_violation("quota", format!("{} uses {used}", team.name));
            }
        }
    }

    /// Checks that no task of a cancelled job runs beyond the cancellation limit.
    pub fn check_cancelled(&mut self, now: Instant) {
        let cancellation_limit = self.settings.cluster.workers.cancellation();
        let is_late = |key: &TaskKey| {
            self.jobs
                .get(&key.0)
                .and_then(|job| job.cancelled)
                .is_some_and(|at| now > at + cancellation_limit)
        };
        let late: Vec<String> = self
            .on_machines()
            .filter(|(_, _, key)| is_late(key))
            .map(|(name, _, key)| format!("{}/{} is still on {name}", key.0, key.1))
            .collect();
        for what in late {
            self.record_violation("ran_cancelled", what);
        }
    }

    /// Records that a worker has run a task to completion. During [`Fault::CancelAtEnd`] the user
    /// may cancel the job at the end of its last task.
    pub(super) fn note_task_done(&mut self, now: Instant, key: &TaskKey) {
        let is_cancelled = self.cancel_at_end.affects(now, &mut self.rng);
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        job.done.insert(key.1);
        if is_cancelled && !job.has_unfinished_tasks() {
            job.cancel_from.get_or_insert(now);
            job.next = now;
        }
    }

    /// Checks that users keep getting answers about accepted jobs, and that no job waits for too
    /// long while an idle machine could run it; both after the end of the faults.
    pub fn check_waiting(&mut self, now: Instant) {
        let passed_over = self.passed_over_jobs(now);
        let faults_end_at = self.faults_end_at;
        let mut violations = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.accepted.is_some()) {
            if now > job.last_answer_at.max(faults_end_at) + ANSWERED_WITHIN {
                let what = format!("{id}: no answer for {} s", ANSWERED_WITHIN.as_secs());
                violations.push(("forgotten", what));
            }
            job.passed_over_since = passed_over.contains(id).then(|| job.passed_over_since.unwrap_or(now));
            if job.passed_over_since.is_some_and(|since| now > since.max(faults_end_at) + STARTED_WITHIN) {
                violations.push((
                    "neglected",
                    format!("waits although a machine has free capacity: {:?}", job.spec),
                ));
            }
        }
        for (rule, what) in violations {
            self.record_violation(rule, what);
        }
    }

    /// Checks that every controller has answered 200 about every accepted job since the end of the
    /// faults. To be called after [`Self::poll_accepted_jobs_everywhere`] and time for the answers.
    pub fn check_answered_everywhere(&mut self) {
        self.check_one_answered_everywhere_in(1);
    }

    /// As [`Self::check_answered_everywhere`], for one job in `stride`; to be called after
    /// [`Self::poll_where_unanswered`].
    pub fn check_one_answered_everywhere_in(&mut self, stride: usize) {
        let all: BTreeSet<usize> = (0..self.controllers.len()).collect();
        let accepted = self.jobs.iter().filter(|(_, job)| job.accepted.is_some()).step_by(stride);
        let unanswered: Vec<String> = accepted
            .filter(|(_, job)| job.answered_by != all)
            .map(|(id, job)| format!("{id}: answered only by {:?}", job.answered_by))
            .collect();
        for what in unanswered {
            self.record_violation("unanswered", what);
        }
    }

    /// Jobs that wait although an idle machine could run one of their tasks within the quota of
    /// their team.
    fn passed_over_jobs(&self, now: Instant) -> BTreeSet<String> {
        let up = self.machines.values().filter(|worker| worker.gone_at.is_none());
        let live = up.flat_map(|worker| &worker.tasks).filter(|(_, task)| task.is_live());
        let on_workers: BTreeSet<&str> = live.map(|(key, _)| key.0.as_str()).collect();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for job in self.on_machines().filter_map(|(_, _, key)| self.jobs.get(&key.0)) {
            *used.entry(job.spec.team.as_str()).or_default() += job.spec.cpus;
        }
        let is_passed_over = |job: &Job| {
            let team = job.spec.team.as_str();
            self.is_ready(job)
                && !on_workers.contains(job.spec.id.as_str())
                && used.get(team).copied().unwrap_or(0.0) + job.spec.cpus <= self.quota(team)
                && self.machines.values().any(|worker| is_idle_for(now, worker, &job.spec))
        };
        self.jobs.iter().filter(|(_, job)| is_passed_over(job)).map(|(id, _)| id.clone()).collect()
    }

    /// Whether a job has tasks to start and its dependencies are terminal for its user.
    fn is_ready(&self, job: &Job) -> bool {
        let is_terminal = |job: &JobId| self.jobs.get(job.as_str()).is_some_and(|job| job.terminal.is_some());
        job.terminal.is_none()
            && job.accepted.is_some()
            && job.has_unfinished_tasks()
            && job.spec.dependencies.iter().all(is_terminal)
    }

    /// CPUs that a team may use: 0 for a team without settings, unlimited if its maximum is 0.
    fn quota(&self, team: &str) -> f64 {
        let team = self.settings.cluster.teams.iter().find(|t| t.name == team);
        team.map_or(0.0, |t| if t.cpus_max > 0.0 { t.cpus_max } else { f64::INFINITY })
    }

    /// Requests the metrics of each controller.
    pub(super) fn request_metrics(&mut self) {
        for (at, controller) in self.controllers.iter().enumerate() {
            let Some(handle) = controller.handle.clone() else { continue };
            let stalls = controller.stalls.clone();
            self.events.spawn(async move {
                let handled = stalls.run(Handler::handle(&handle, get("/status")));
                match tokio::time::timeout(METRICS_INTERVAL, handled).await {
                    Ok(answer) => Event::Metrics { controller: at, answer },
                    Err(_) => Event::Nothing,
                }
            });
        }
    }

    /// Checks the metrics of a controller: it has neither had to prevent an invariant violation
    /// nor reused an epoch.
    pub fn check_metrics(&mut self, controller: usize, answer: &Response) {
        let Ok(metrics) = decode(&answer.body) else { return };
        let Ok(fields) = Fields::of(&metrics) else { return };
        for metric in ["invariantsViolated", "epochsReused"] {
            if fields.opt_count(metric).ok().flatten().is_some_and(|count| count > 0) {
                self.record_violation("violated", format!("{metric} of controller {controller}"));
            }
        }
    }

    /// Jobs that were accepted and are not terminal for their users.
    fn unfinished_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.accepted.is_some() && job.terminal.is_none())
    }

    /// Whether any accepted job is not terminal for its user.
    pub fn has_unfinished_jobs(&self) -> bool {
        self.unfinished_jobs().next().is_some()
    }

    /// Checks that every accepted job is done or cancelled at the end.
    pub fn check_end(&mut self) {
        let left: Vec<String> =
            self.unfinished_jobs().map(|job| format!("{} done of {:?}", job.done.len(), job.spec)).collect();
        for what in left {
            self.record_violation("unfinished", what);
        }
    }

    /// For tests of the checker: a new machine that is up and has no tasks.
    pub fn add_idle_machine(&mut self, zone: &'static str) {
        let now = Instant::now();
        let name = self.provision(now, zone, false);
        let worker = self.machines.get_mut(&name).expect("just provisioned");
        (worker.up_at, worker.empty_since) = (now, now);
    }

    /// For tests of the checker: runs a task on a new machine, as if it had been started there.
    pub fn force_start(&mut self, job: &str, index: u32, zone: &'static str, spot: bool) -> String {
        let now = Instant::now();
        let name = self.provision(now, zone, spot);
        let key = (job.to_owned(), index);
        let worker = self.machines.get_mut(&name).expect("just provisioned");
        worker.up_at = now;
        worker.tasks.push((key.clone(), RunningTask { attempt: 1, state: RunState::Running(now) }));
        self.check_start(now, &name, &key);
        name
    }
}

/// Whether a machine has been up without live tasks and meets the constraints of a job.
fn is_idle_for(now: Instant, worker: &Worker, spec: &JobSpec) -> bool {
    worker.gone_at.is_none()
        && now > worker.up_at.max(worker.empty_since)
        && (spec.spot || !worker.spot)
        && spec.zone.as_ref().is_none_or(|zone| zone == worker.zone)
}
