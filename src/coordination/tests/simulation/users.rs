//! Users: what they submit, ask and call off, and what they are told.

use super::*;

impl Simulation {
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

    pub(super) fn step_user(&mut self, now: Instant, id: &str) {
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

    pub(super) fn question(&mut self, now: Instant, id: &str, question: Question, request: Request) {
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
    pub(super) fn odd(&mut self, now: Instant) {
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
}
