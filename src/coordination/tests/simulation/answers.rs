//! The answers to users, and how each is checked against earlier ones and against what has
//! happened on the workers.

use super::*;

/// An answer to a user that names the state of a job, as the checker takes it.
struct UserAnswer<'a> {
    /// When it arrived.
    now: Instant,
    /// The job that it is about.
    id: &'a str,
    origin: Origin,
    /// The request was a cancellation.
    is_cancellation: bool,
}

/// A violated rule and what happened.
type Violation = (&'static str, &'static str);

impl Simulation {
    /// A user takes the answer to its request, or none; sends more after a change.
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
            Question::Invalid(expected) => return self.check_rejected(status, expected),
            Question::Unknown if status == 200 => return self.record_violation("invented", "200".into()),
            Question::Unknown => return,
            _ => {}
        }
        let progress = |job: &Job| (job.accepted.is_some(), job.terminal.is_some());
        let before = self.jobs.get(id).map(progress);
        let is_cancellation = question == Question::Cancel;
        self.note_answer(now, id, origin, status, standing.as_deref(), is_cancellation);
        if self.shape.extra_requests > 1.0 && self.jobs.get(id).map(progress) != before {
            self.poll_all_controllers(now, id);
        }
        if !is_extra {
            self.schedule_next_request(now, id, status);
        }
    }

    /// An invalid request must be rejected, unless it was not answered or is to be retried.
    fn check_rejected(&mut self, status: u16, expected: u16) {
        if !(status == expected || matches!(status, 0 | 429 | 503 | 504)) {
            self.record_violation("accepted_odd", format!("{status} where {expected} was due"));
        }
    }

    /// When the user of a job sends its next request; never if the job was rejected.
    fn schedule_next_request(&mut self, now: Instant, id: &str, status: u16) {
        let retry_after = seconds(self.rng.random_range(1.0..1.5));
        let poll_interval = seconds(if now > self.calm_at { 5.0 } else { 3.0 });
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.in_flight = false;
        job.next = now + if status == 200 || status == 201 { poll_interval } else { retry_after };
        job.given_up |= job.accepted.is_none() && matches!(status, 400 | 422);
        if job.given_up {
            self.record_violation("refused", format!("{id} got {status}"));
        }
    }

    /// Checks an answer against earlier ones and against what has happened.
    pub fn note_answer(
        &mut self,
        now: Instant,
        id: &str,
        origin: Origin,
        status: u16,
        standing: Option<&str>,
        is_cancellation: bool,
    ) {
        let answer = UserAnswer { now, id, origin, is_cancellation };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let was_accepted = job.accepted.is_some_and(|at| at < origin.sent);
        if matches!(status, 200 | 201 | 404) {
            job.answered = now;
        }
        let violations = match (status, standing) {
            (404, _) if was_accepted => vec![("forgotten", "404")],
            (400 | 422, _) if was_accepted => vec![("forgotten", "refused as new")],
            (200 | 201, Some(standing)) => self.check_state(&answer, standing),
            _ => Vec::new(),
        };
        for (rule, what) in violations {
            let what = format!("{id}: {what} ({status} {standing:?} by {:?})", origin.process);
            self.record_violation(rule, what);
        }
    }

    /// Checks a state that a user was answered, and notes it.
    fn check_state(&mut self, answer: &UserAnswer<'_>, standing: &str) -> Vec<Violation> {
        let mut violations = Vec::new();
        if let Some(job) = self.jobs.get_mut(answer.id) {
            job.accepted.get_or_insert(answer.now);
        }
        violations.extend(self.check_monotonic(answer, standing));
        violations.extend(self.check_reason(answer, standing));
        self.note_terminal_state(answer, standing);
        violations
    }

    /// After a terminal state no other may follow, unless its sender could not know of it.
    /// `docs/incidents/inc-went-back.md` quotes what this says.
    fn check_monotonic(&mut self, answer: &UserAnswer<'_>, standing: &str) -> Option<Violation> {
        let terminal = self.jobs.get(answer.id)?.terminal.as_ref()?;
        self.repeated_answers += 1;
        if terminal.standing == standing {
            return None;
        }
        if terminal.at < answer.origin.sent {
            return Some(("went_back", "told otherwise before"));
        }
        if terminal.by.get(&answer.origin.process).is_some_and(|order| *order < answer.origin.order) {
            return Some(("went_back", "its sender had told otherwise"));
        }
        self.overtaken += 1;
        None
    }

    /// A state must have a reason: the tasks that have ended, or a cancellation.
    fn check_reason(&self, answer: &UserAnswer<'_>, standing: &str) -> Option<Violation> {
        let job = self.jobs.get(answer.id)?;
        let wants_cancelled = |job: &Job| job.cancel_from.is_some_and(|at| answer.now >= at);
        let was_done = |job: &Job| job.terminal.as_ref().is_some_and(|terminal| terminal.standing == "done");
        let ancestors = self.ancestors(answer.id);
        let is_ancestor_cancelled = ancestors.iter().any(|job| wants_cancelled(job) && !was_done(job));
        let within = self.settings.cluster.workers.cancellation();
        let is_orphaned =
            ancestors.iter().any(|job| job.cancelled.is_some_and(|at| answer.origin.sent > at + within));
        match standing {
            "done" if job.has_unfinished_tasks() => Some(("not_done", "tasks are left")),
            "queued" | "running" if is_orphaned => Some(("orphaned", "a dependency was cancelled long ago")),
            "cancelled" if !wants_cancelled(job) && !is_ancestor_cancelled => {
                Some(("went_back", "its user did not cancel it"))
            }
            "done" | "cancelled" => None,
            _ if answer.is_cancellation => Some(("withdrawn", "200 without a terminal state")),
            _ => None,
        }
    }

    /// Notes a terminal state, by whom it was answered, and the first answer of a cancellation.
    fn note_terminal_state(&mut self, answer: &UserAnswer<'_>, standing: &str) {
        let Some(job) = self.jobs.get_mut(answer.id) else { return };
        let Some(standing) = ["done", "cancelled"].into_iter().find(|last| *last == standing) else { return };
        let first = || TerminalState { standing, at: answer.now, by: BTreeMap::new() };
        let terminal = job.terminal.get_or_insert_with(first);
        terminal.by.entry(answer.origin.process).or_insert(answer.origin.order);
        if standing == "cancelled" {
            self.cancellations += usize::from(job.cancelled.is_none());
            job.cancelled.get_or_insert(answer.now);
        }
    }
}
