//! Checks of the answers to users, against earlier answers and against the simulated workers.

use super::*;

/// An answer to a user about the state of a job.
struct UserAnswer<'a> {
    /// When the answer arrived.
    now: Instant,
    /// Id of the job.
    id: &'a str,
    origin: Origin,
    /// Whether the request was a cancellation.
    is_cancellation: bool,
}

/// The name of a violated rule and a description of the violation.
type Violation = (&'static str, &'static str);

impl Simulation {
    /// Handles the answer to a user's request, or its timeout. If the user learned that the job
    /// was accepted or is terminal, and the extra request rate is above 1, extra requests go to
    /// all controllers.
    pub fn request_answered(
        &mut self,
        id: &str,
        request_kind: RequestKind,
        origin: Origin,
        answer: Option<Response>,
        is_extra: bool,
    ) {
        let now = Instant::now();
        let status = answer.as_ref().map_or(0, |a| a.status);
        let body = answer.as_ref().and_then(|a| decode(&a.body).ok()).unwrap_or(Value::Null);
        let state = Fields::of(&body).ok().and_then(|f| f.text("standing").ok().map(str::to_owned));
        match request_kind {
            RequestKind::Invalid(expected) => return self.check_rejected(status, expected),
            RequestKind::Unknown if status == 200 => return self.record_violation("invented", "200".into()),
            RequestKind::Unknown => return,
            _ => {}
        }
        let progress = |job: &Job| (job.accepted.is_some(), job.terminal.is_some());
        let before = self.jobs.get(id).map(progress);
        let is_cancellation = request_kind == RequestKind::Cancel;
        self.note_answer(now, id, origin, status, state.as_deref(), is_cancellation);
        if self.shape.extra_request_rate > 1.0 && self.jobs.get(id).map(progress) != before {
            self.poll_all_controllers(now, id);
        }
        if !is_extra {
            self.schedule_next_request(now, id, status);
        }
    }

    /// Checks that an invalid request was rejected, unless it got no answer or is to be retried.
    fn check_rejected(&mut self, status: u16, expected: u16) {
        if !(status == expected || matches!(status, 0 | 429 | 503 | 504)) {
            self.record_violation("accepted_odd", format!("got status {status}, expected {expected}"));
        }
    }

    /// Schedules the next request of a job's user; none is sent if the job was rejected.
    fn schedule_next_request(&mut self, now: Instant, id: &str, status: u16) {
        let retry_after = seconds(self.rng.random_range(1.0..1.5));
        let usual_interval = seconds(if now > self.faults_end_at { 5.0 } else { 3.0 });
        let fixed_interval = self.shape.poll_interval_s.map(seconds);
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.in_flight = false;
        let is_answered = status == 200 || status == 201;
        let fixed_interval = fixed_interval.filter(|_| job.accepted.is_some());
        job.next = now + fixed_interval.unwrap_or(if is_answered { usual_interval } else { retry_after });
        job.rejected |= job.accepted.is_none() && matches!(status, 400 | 422);
        if job.rejected {
            self.record_violation(
                "refused",
                format!("valid submission of {id} rejected with status {status}"),
            );
        }
    }

    /// Checks an answer against earlier ones and against the simulated workers.
    pub fn note_answer(
        &mut self,
        now: Instant,
        id: &str,
        origin: Origin,
        status: u16,
        state: Option<&str>,
        is_cancellation: bool,
    ) {
        let answer = UserAnswer { now, id, origin, is_cancellation };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let was_accepted = job.accepted.is_some_and(|at| at < origin.sent);
        if matches!(status, 200 | 201 | 404) {
            job.last_answer_at = now;
        }
        if status == 200 && origin.sent > self.faults_end_at {
            job.answered_by.insert(origin.process.0);
        }
        let violations = match (status, state) {
            (404, _) if was_accepted => vec![("forgotten", "accepted job not found")],
            (400 | 422, _) if was_accepted => {
                vec![("forgotten", "accepted job rejected as a new submission")]
            }
            (200 | 201, Some(state)) => self.check_state(&answer, state),
            _ => Vec::new(),
        };
        for (rule, what) in violations {
            let what = format!("{id}: {what} ({status} {state:?} by {:?})", origin.process);
            self.record_violation(rule, what);
        }
    }

    /// Checks the job state in an answer and records it.
    fn check_state(&mut self, answer: &UserAnswer<'_>, state: &str) -> Vec<Violation> {
        let mut violations = Vec::new();
        if let Some(job) = self.jobs.get_mut(answer.id) {
            job.accepted.get_or_insert(answer.now);
        }
        violations.extend(self.check_monotonic(answer, state));
        violations.extend(self.check_reason(answer, state));
        self.note_terminal_state(answer, state);
        violations
    }

    /// Checks that no other state follows a terminal one, unless its sender could not know of the
    /// terminal one. `docs/incidents/inc-went-back.md` quotes the violation texts.
    fn check_monotonic(&mut self, answer: &UserAnswer<'_>, state: &str) -> Option<Violation> {
        let terminal = self.jobs.get(answer.id)?.terminal.as_ref()?;
        self.repeated_answers += 1;
        if terminal.state == state {
            return None;
        }
        if terminal.reported_at < answer.origin.sent {
            return Some(("went_back", "told otherwise before"));
        }
        if terminal.reporters.get(&answer.origin.process).is_some_and(|order| *order < answer.origin.order) {
            return Some(("went_back", "its sender had told otherwise"));
        }
        self.reordered_answers += 1;
        None
    }

    /// Checks that a state is justified by the tasks that have ended or by a cancellation.
    fn check_reason(&self, answer: &UserAnswer<'_>, state: &str) -> Option<Violation> {
        let job = self.jobs.get(answer.id)?;
        let wants_cancelled = |job: &Job| job.cancel_from.is_some_and(|at| answer.now >= at);
        let was_done = |job: &Job| job.terminal.as_ref().is_some_and(|terminal| terminal.state == "done");
        let ancestors = self.ancestors(answer.id);
        let is_ancestor_cancelled = ancestors.iter().any(|job| wants_cancelled(job) && !was_done(job));
        let cancellation_limit = self.settings.cluster.workers.cancellation();
        let is_orphaned = ancestors
            .iter()
            .any(|job| job.cancelled.is_some_and(|at| answer.origin.sent > at + cancellation_limit));
        match state {
            "done" if job.has_unfinished_tasks() => Some(("not_done", "tasks are unfinished")),
            "queued" | "running" if is_orphaned => Some(("orphaned", "a dependency was cancelled long ago")),
            "cancelled" if !wants_cancelled(job) && !is_ancestor_cancelled => {
                Some(("went_back", "its user did not cancel it"))
            }
            "done" | "cancelled" => None,
            _ if answer.is_cancellation => Some(("withdrawn", "200 without a terminal state")),
            _ => None,
        }
    }

    /// Records a terminal state, the process that reported it, and when a cancellation was first
    /// reported.
    fn note_terminal_state(&mut self, answer: &UserAnswer<'_>, state: &str) {
        let Some(job) = self.jobs.get_mut(answer.id) else { return };
        let Some(state) = ["done", "cancelled"].into_iter().find(|terminal| *terminal == state) else {
            return;
        };
        let first = || TerminalState { state, reported_at: answer.now, reporters: BTreeMap::new() };
        let terminal = job.terminal.get_or_insert_with(first);
        terminal.reporters.entry(answer.origin.process).or_insert(answer.origin.order);
        if state == "cancelled" {
            self.cancellations += usize::from(job.cancelled.is_none());
            job.cancelled.get_or_insert(answer.now);
        }
    }
}
