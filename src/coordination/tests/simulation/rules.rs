//! The rules, as they show on the workers and by what is left waiting.

use super::*;

impl Simulation {
    /// Every task that is on a machine, with its machine's name.
    pub(super) fn on_machines(&self) -> impl Iterator<Item = (&str, &Worker, &TaskKey)> {
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
            self.record_violation("ran_twice", format!("{}/{} on {name} and {others:?}", key.0, key.1));
        }
        let (Some(job), Some(m)) = (self.jobs.get(&key.0), self.machines.get(name)) else {
            return self.record_violation("unknown_job", format!("{}/{}", key.0, key.1));
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
            self.record_violation("wrong_place", format!("{}/{} on {name}, zones {zones:?}", key.0, key.1));
        }
        let has_unfinished_jobs = |dependency: &JobId| {
            self.jobs.get(dependency.as_str()).is_none_or(|job| (job.done.len() as u32) < job.spec.tasks)
        };
        if let Some(dependency) = spec.dependencies.iter().find(|dependency| has_unfinished_jobs(dependency))
        {
            self.record_violation(
                "too_early",
                format!("{}/{} starts before {dependency} is done", key.0, key.1),
            );
        }
        let cancelled = self.settings.cluster.workers.cancellation();
        if told.is_some_and(|at| now > at + cancelled) {
            self.record_violation("ran_cancelled", format!("{}/{} starts on {name}", key.0, key.1));
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
                self.record_violation("quota", format!("{} uses {used}", team.name));
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
            self.record_violation("ran_cancelled", what);
        }
    }

    pub(super) fn task_done(&mut self, now: Instant, key: &TaskKey) {
        let (share, until) = self.cancel_at_end;
        let cancelled = now < until && self.rng.random_bool(share);
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        job.done.insert(key.1);
        if cancelled && job.done.len() as u32 == job.spec.tasks {
            job.cancel_from.get_or_insert(now);
            job.next = now;
        }
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
        let over =
            |dependency: &JobId| self.jobs.get(dependency.as_str()).is_some_and(|job| job.terminal.is_some());
        let passed_over = |job: &Job| {
            let spec = &job.spec;
            let waits = job.terminal.is_none()
                && job.accepted.is_some()
                && (job.done.len() as u32) < spec.tasks
                && spec.dependencies.iter().all(over)
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
            self.record_violation(rule, what);
        }
    }

    /// Asks each controller for its figures.
    pub(super) fn request_metrics(&mut self) {
        for (controller, c) in self.controllers.iter().enumerate() {
            let Some(handle) = c.handle.clone() else { continue };
            let stalls = c.stalls.clone();
            self.events.spawn(async move {
                let handled = stalls.run(Handler::handle(&handle, get("/status")));
                match tokio::time::timeout(METRICS_INTERVAL, handled).await {
                    Ok(answer) => Event::Metrics { controller, answer },
                    Err(_) => Event::Nothing,
                }
            });
        }
    }

    /// No controller has had to refuse an act that would have broken an invariant.
    pub fn check_metrics(&mut self, controller: usize, answer: &Response) {
        let Ok(metrics) = decode(&answer.body) else { return };
        let Ok(fields) = Fields::of(&metrics) else { return };
        for metric in ["invariantsViolated", "epochsReused"] {
            if fields.opt_count(metric).ok().flatten().is_some_and(|count| count > 0) {
                self.record_violation("violated", format!("{metric} of controller {controller}"));
            }
        }
    }

    pub fn has_unfinished_jobs(&self) -> bool {
        self.jobs.values().any(|job| job.accepted.is_some() && job.terminal.is_none())
    }

    /// At the end everything has run, or was called off.
    pub fn check_end(&mut self) {
        let left: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.accepted.is_some() && job.terminal.is_none())
            .map(|(_, job)| format!("{} done of {:?}", job.done.len(), job.spec))
            .collect();
        for what in left {
            self.record_violation("unfinished", what);
        }
    }

    pub fn add_idle_machine(&mut self, zone: &'static str) {
        let now = Instant::now();
        let name = self.provision(now, zone, false);
        let m = self.machines.get_mut(&name).expect("just rented");
        (m.up_at, m.empty_since) = (now, now);
    }

    /// Puts a task on a new machine as if it had been started there.
    pub fn force_start(&mut self, job: &str, index: u32, zone: &'static str, spot: bool) -> String {
        let now = Instant::now();
        let name = self.provision(now, zone, spot);
        let key = (job.to_owned(), index);
        let m = self.machines.get_mut(&name).expect("just rented");
        m.up_at = now;
        let task = RunningTask { attempt: 1, state: RunState::Running(now) };
        m.tasks.push((key.clone(), task));
        self.check_start(now, &name, &key);
        name
    }
}
