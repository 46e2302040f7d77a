//! Checks the complete history of a run against every rule.
//!
//! The check is a pure function of the history, the users' jobs and the time limits in the
//! rules. It uses only what is observable from outside the controllers, not their state.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::history::{Elapsed, Entry, Event, JobState, TaskOnMachine, UserRequest};
use super::jobs::{Job, LIMITED_TEAM};

/// A rule that a run can break. The rules come from the protocol specification and from later
/// user requirements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task ran on two machines at the same time.
    RanTwice,
    /// A team used more CPUs than its quota.
    Quota,
    /// A task ran in a zone or on a spot machine that its job does not allow.
    WrongPlace,
    /// A task kept running, or started, too long after its job or a dependency of the job was
    /// reported cancelled.
    RanCancelled,
    /// A worker received a start command too long after the job or a dependency of it was reported
    /// cancelled.
    StartedCancelled,
    /// A valid submission was rejected, an accepted job was later reported as unknown or rejected,
    /// or requests about it stopped getting responses.
    Forgotten,
    /// A valid submission was not accepted for too long after all faults had ended.
    NotAccepted,
    /// A controller did not answer about an accepted job for too long after all faults had ended.
    Unanswered,
    /// A job that was never submitted was reported as existing, or was started.
    Invented,
    /// A job was reported done before all of its tasks had completed.
    NotDone,
    /// A reported terminal state changed, a job was reported cancelled although no user had
    /// cancelled it or a dependency, or the response to a cancellation had a state that is not
    /// terminal.
    WentBack,
    /// No task was started during the run.
    NothingRan,
    /// A task started before its job's dependencies had completed.
    TooEarly,
    /// A job was reported queued or running long after one of its dependencies was cancelled.
    OrphanedJob,
    /// A task kept running for too long after its job was reported done.
    OrphanedTask,
    /// A malformed or unsatisfiable submission was accepted, or was rejected with the wrong
    /// status.
    AcceptedOdd,
    /// An accepted and ready job had not started by the end of the run, long after the last
    /// fault.
    Starved,
    /// A controller process exited without being killed.
    ProcessEnded,
    /// A controller reported an internal invariant violation in its status.
    InvariantViolated,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was broken.
    pub at: Elapsed,
    /// The job, task or controller that broke it, and details.
    pub description: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.2} s: {}", self.rule, self.at.as_secs_f64(), self.description)
    }
}

/// Time and resource limits that the rules apply.
#[derive(Debug, Clone)]
pub struct CheckParameters {
    /// Number of controllers.
    pub controllers: usize,
    /// CPUs that the limited team may use.
    pub team_cpu_limit: f64,
    /// How long tasks of a cancelled job may keep running.
    pub cancel_within: Duration,
    /// How long a start command may stay in flight after a cancellation is confirmed.
    pub start_in_flight: Duration,
    /// When the last faults of the controllers and their links ended.
    pub faults_end_at: Elapsed,
    /// When the last fault of any component ended.
    pub all_faults_end_at: Elapsed,
    /// Each controller must answer about each accepted job within this time, from when all faults have
    /// ended; users ask each controller about each job more often than that.
    pub answer_within: Duration,
    /// End of the run.
    pub end: Elapsed,
    /// A job that was accepted at least this long before the end must get a response within this
    /// time before the end. If it was also ready by then, it must have started by the end.
    pub settle_time: Duration,
    /// Maximum tolerated delay of the harness's own timers; added to every time limit.
    pub max_lag: Duration,
}

/// What has been observed about a job so far.
#[derive(Debug, Default, Clone)]
struct ObservedJob {
    submission_begun_at: Option<Elapsed>,
    accepted_at: Option<Elapsed>,
    cancel_requested_at: Option<Elapsed>,
    /// The first terminal state that a user received, and when.
    reported: Option<(JobState, Elapsed)>,
    completed_tasks: BTreeSet<u32>,
    started: bool,
    /// When a user last received a response with the job's state.
    last_response_at: Elapsed,
    /// The same for each controller that has sent one.
    answered_at: BTreeMap<usize, Elapsed>,
    /// The controllers that have left the job without an answer for too long.
    silent_controllers: BTreeSet<usize>,
}

impl ObservedJob {
    /// A job before the first event. Jobs of the backlog were accepted before the run.
    fn at_the_beginning(job: &Job) -> Self {
        ObservedJob { accepted_at: job.is_in_backlog.then_some(Duration::ZERO), ..Default::default() }
    }
}

struct Checker<'a> {
    jobs: &'a [Job],
    parameters: &'a CheckParameters,
    observed_jobs: Vec<ObservedJob>,
    /// Tasks that are running, with their zone and start time.
    running: BTreeMap<TaskOnMachine, (&'static str, Elapsed)>,
    /// All dependencies of each job, direct and indirect.
    ancestors: Vec<BTreeSet<usize>>,
    findings: Vec<Finding>,
    /// Number of task starts.
    task_starts: usize,
}

/// Returns all findings in a history. Its entries must be sorted by time.
pub fn check(jobs: &[Job], parameters: &CheckParameters, history: &[Entry]) -> Vec<Finding> {
    let mut checker = Checker {
        jobs,
        parameters,
        observed_jobs: jobs.iter().map(ObservedJob::at_the_beginning).collect(),
        running: BTreeMap::new(),
        ancestors: ancestors(jobs),
        findings: Vec::new(),
        task_starts: 0,
    };
    for Entry { at, event } in history {
        checker.handle(*at, event);
    }
    checker.finish();
    checker.findings
}

/// Returns the transitive dependencies of each job.
fn ancestors(jobs: &[Job]) -> Vec<BTreeSet<usize>> {
    let mut all: Vec<BTreeSet<usize>> = Vec::new();
    for job in jobs {
        // A job depends only on earlier jobs.
        let mut all_dependencies: BTreeSet<usize> = job.dependencies.iter().copied().collect();
        for &dependency in &job.dependencies {
            all_dependencies.extend(all.get(dependency).into_iter().flatten().copied());
        }
        all.push(all_dependencies);
    }
    all
}

impl Checker<'_> {
    fn add_finding(&mut self, rule: Rule, at: Elapsed, description: String) {
        self.findings.push(Finding { rule, at, description });
    }

    fn handle(&mut self, at: Elapsed, event: &Event) {
        match event {
            Event::ResponseReceived { job, request, sent_at, controller, status, state } => {
                self.handle_response(at, *job, *request, *sent_at, *controller, (*status, *state));
            }
            Event::SubmissionBegun { job } => {
                self.observed_jobs[*job].submission_begun_at.get_or_insert(at);
            }
            Event::CancelRequested { job } => {
                self.observed_jobs[*job].cancel_requested_at.get_or_insert(at);
            }
            Event::InvalidRequest { expected, status } => self.handle_invalid_request(at, *expected, *status),
            Event::StartReceived { task, .. } => self.handle_start_received(at, task),
            Event::UnknownStartReceived { machine } => {
                self.add_finding(
                    Rule::Invented,
                    at,
                    format!("start command for an unknown job on {machine}"),
                );
            }
            Event::TaskStarted { task, zone, spot } => self.handle_task_started(at, task, zone, *spot),
            Event::TaskCompleted { job, index } => {
                self.observed_jobs[*job].completed_tasks.insert(*index);
            }
            Event::TaskRemoved { task } => self.handle_task_removed(at, task),
            Event::ProcessExited { controller, status } => {
                self.add_finding(Rule::ProcessEnded, at, format!("c-{controller}: {status}"));
            }
            Event::InvariantViolated { controller, metric } => {
                self.add_finding(Rule::InvariantViolated, at, format!("{metric} of c-{controller}"));
            }
            Event::Committed { .. } | Event::Fault { .. } => {}
        }
    }

    /// When a user was first told that a job, or one of its direct or indirect dependencies, is
    /// cancelled.
    fn cancellation_reported_at(&self, job: usize) -> Option<Elapsed> {
        let reported = |job: &usize| match self.observed_jobs[*job].reported {
            Some((JobState::Cancelled, at)) => Some(at),
            _ => None,
        };
        self.ancestors[job].iter().chain([&job]).filter_map(reported).min()
    }

    fn name(&self, job: usize) -> &str {
        &self.jobs[job].id
    }

    fn handle_start_received(&mut self, at: Elapsed, task: &TaskOnMachine) {
        let allowed = self.parameters.start_in_flight + self.parameters.max_lag;
        if self.cancellation_reported_at(task.job).is_some_and(|reported| at > reported + allowed) {
            let description = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
            self.add_finding(Rule::StartedCancelled, at, description);
        }
    }

    fn handle_task_started(&mut self, at: Elapsed, task: &TaskOnMachine, zone: &'static str, spot: bool) {
        self.task_starts += 1;
        self.observed_jobs[task.job].started = true;
        let name = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
        self.check_not_running_elsewhere(at, task, &name);
        self.check_dependencies(at, task.job, &name);
        self.running.insert(task.clone(), (zone, at));
        self.check_placement(at, task.job, zone, spot, &name);
        self.check_quota(at, task.job);
        if let Some(reported) = self.cancellation_reported_at(task.job)
            && at > reported + self.parameters.cancel_within + self.parameters.max_lag
        {
            self.add_finding(
                Rule::RanCancelled,
                at,
                format!("{name} started too long after the cancellation was reported"),
            );
        }
    }

    /// Checks that a starting task is not already running on another machine.
    fn check_not_running_elsewhere(&mut self, at: Elapsed, task: &TaskOnMachine, name: &str) {
        let same = |other: &&TaskOnMachine| other.job == task.job && other.index == task.index;
        if let Some(other) = self.running.keys().find(same) {
            let description = format!("{name} started while running on {}", other.machine);
            self.add_finding(Rule::RanTwice, at, description);
        }
    }

    /// Checks that all tasks of a starting job's dependencies have completed.
    fn check_dependencies(&mut self, at: Elapsed, job: usize, name: &str) {
        let is_incomplete = |dependency: &&usize| {
            (self.observed_jobs[**dependency].completed_tasks.len() as u32) < self.jobs[**dependency].tasks
        };
        if let Some(&dependency) = self.jobs[job].dependencies.iter().find(is_incomplete) {
            let description = format!("{name} started before {} was done", self.name(dependency));
            self.add_finding(Rule::TooEarly, at, description);
        }
    }

    /// Checks a task's zone, and whether its machine is a spot machine, against the placement
    /// constraints of its job.
    fn check_placement(&mut self, at: Elapsed, job: usize, zone: &'static str, spot: bool, name: &str) {
        let tasks_of_job = self.running.iter().filter(|(other, _)| other.job == job);
        let zones: Vec<&str> = tasks_of_job.map(|(_, (zone, _))| *zone).collect();
        let in_zone = zones.iter().filter(|other| **other == zone).count() as u32;
        let job = &self.jobs[job];
        let is_misplaced = (spot && !job.spot)
            || job.zone.is_some_and(|allowed| allowed != zone)
            || (job.one_zone && zones.iter().any(|other| *other != zone))
            || (job.spread && in_zone > job.tasks.div_ceil(2));
        if is_misplaced {
            self.add_finding(
                Rule::WrongPlace,
                at,
                format!("{name} in {zone}, the job's tasks are in {zones:?}"),
            );
        }
    }

    /// Checks that the running tasks of the limited team stay within its quota.
    fn check_quota(&mut self, at: Elapsed, job: usize) {
        let running_jobs = self.running.keys().map(|other| &self.jobs[other.job]);
        let of_team = running_jobs.filter(|job| job.team == LIMITED_TEAM);
        let used: f64 = of_team.map(|job| job.cpus).sum();
        let limit = self.parameters.team_cpu_limit;
        if self.jobs[job].team == LIMITED_TEAM && used > limit + 1e-6 {
            self.add_finding(Rule::Quota, at, format!("{used} CPUs used, the quota is {limit}"));
        }
    }

    fn handle_task_removed(&mut self, at: Elapsed, task: &TaskOnMachine) {
        if let Some((_, since)) = self.running.remove(task) {
            self.check_task_end(task, since, at);
        }
    }

    /// Checks that a task that ran from `since` to `until` ended soon enough after its job was
    /// reported cancelled or done.
    fn check_task_end(&mut self, task: &TaskOnMachine, since: Elapsed, until: Elapsed) {
        let name = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
        let bound = self.parameters.cancel_within + self.parameters.max_lag;
        if let Some(reported) = self.cancellation_reported_at(task.job)
            && until > reported + bound
            && since <= reported + bound
        {
            self.add_finding(
                Rule::RanCancelled,
                until,
                format!("{name} was still running, cancellation reported at {reported:?}"),
            );
        }
        if let Some((JobState::Done, reported)) = self.observed_jobs[task.job].reported
            && until > reported + bound
        {
            self.add_finding(
                Rule::OrphanedTask,
                until,
                format!("{name} still ran after its job was reported done"),
            );
        }
    }

    fn handle_invalid_request(&mut self, at: Elapsed, expected: u16, status: u16) {
        let is_allowed = status == expected || matches!(status, 429 | 503 | 504);
        match (is_allowed, expected) {
            (true, _) => {}
            (false, 404) => {
                self.add_finding(Rule::Invented, at, format!("status {status} for an unknown job"));
            }
            (false, _) => {
                self.add_finding(Rule::AcceptedOdd, at, format!("status {status}, expected {expected}"));
            }
        }
    }

    fn handle_response(
        &mut self,
        at: Elapsed,
        job: usize,
        request: UserRequest,
        sent_at: Elapsed,
        controller: usize,
        status_and_state: (u16, Option<JobState>),
    ) {
        let (status, state) = status_and_state;
        let response = format!("c-{controller} responded {status} {state:?} to {request:?}");
        let description =
            format!("{}: {response}, request sent at {:.2} s", self.name(job), sent_at.as_secs_f64());
        let was_accepted =
            self.observed_jobs[job].accepted_at.is_some_and(|accepted_at| accepted_at < sent_at);
        match status_and_state {
            (404, _) if was_accepted => self.add_finding(Rule::Forgotten, at, description),
            (400 | 422, _) if was_accepted || request == UserRequest::Submit => {
                self.add_finding(Rule::Forgotten, at, description);
            }
            (200 | 201, Some(state)) => {
                self.check_acceptance_delay(at, job);
                self.check_answer_gap(at, job, controller);
                let observed = &mut self.observed_jobs[job];
                observed.accepted_at.get_or_insert(at);
                observed.last_response_at = at;
                observed.answered_at.insert(controller, at);
                self.check_state(at, job, request, sent_at, state, description);
            }
            _ => {}
        }
    }

    /// Checks that a submission that is accepted now, or has not been by the end of the run, did not
    /// wait for too long since it began and all faults ended.
    fn check_acceptance_delay(&mut self, at: Elapsed, job: usize) {
        let observed = &self.observed_jobs[job];
        let Some(begun_at) = observed.submission_begun_at.filter(|_| observed.accepted_at.is_none()) else {
            return;
        };
        let since = begun_at.max(self.parameters.all_faults_end_at);
        if at > since + self.parameters.answer_within + self.parameters.max_lag {
            let description = format!("{}: not accepted since {since:?}", self.name(job));
            self.add_finding(Rule::NotAccepted, at, description);
        }
    }

    /// Checks that a controller that answers about an accepted job, or has not by the end of the run,
    /// did so in time since its last answer, the acceptance and the end of all faults.
    fn check_answer_gap(&mut self, at: Elapsed, job: usize, controller: usize) {
        let observed = &mut self.observed_jobs[job];
        let Some(accepted_at) = observed.accepted_at else { return };
        let answered_at = observed.answered_at.get(&controller).copied().unwrap_or(accepted_at);
        let since = answered_at.max(self.parameters.all_faults_end_at);
        let bound = self.parameters.answer_within + self.parameters.max_lag;
        if at > since + bound && observed.silent_controllers.insert(controller) {
            let description = format!("{}: no answer of c-{controller} since {since:?}", self.name(job));
            self.add_finding(Rule::Unanswered, at, description);
        }
    }

    fn check_state(
        &mut self,
        at: Elapsed,
        job: usize,
        request: UserRequest,
        sent_at: Elapsed,
        state: JobState,
        description: String,
    ) {
        let observed = &self.observed_jobs[job];
        let reverts_terminal_state =
            observed.reported.is_some_and(|(reported, when)| reported != state && when < sent_at);
        let cancellation_requested = self.ancestors[job].iter().chain([&job]).any(|other| {
            let other = &self.observed_jobs[*other];
            other.cancel_requested_at.is_some() && !matches!(other.reported, Some((JobState::Done, _)))
        });
        let cancel_without_effect = request == UserRequest::Cancel && !state.is_terminal();
        if reverts_terminal_state
            || cancel_without_effect
            || (state == JobState::Cancelled && !cancellation_requested)
        {
            self.add_finding(Rule::WentBack, at, description.clone());
        }
        let complete = self.observed_jobs[job].completed_tasks.len() as u32 == self.jobs[job].tasks;
        if state == JobState::Done && !complete {
            self.add_finding(Rule::NotDone, at, description.clone());
        }
        let bound = self.parameters.cancel_within + self.parameters.max_lag;
        let reported_cancellations = self.ancestors[job].iter().filter_map(|dependency| {
            match self.observed_jobs[*dependency].reported {
                Some((JobState::Cancelled, reported)) => Some(reported),
                _ => None,
            }
        });
        if !state.is_terminal()
            && reported_cancellations.min().is_some_and(|reported| sent_at > reported + bound)
        {
            self.add_finding(Rule::OrphanedJob, at, description);
        }
        if state.is_terminal() {
            self.observed_jobs[job].reported.get_or_insert((state, at));
        }
    }

    fn finish(&mut self) {
        let end = self.parameters.end;
        for (task, (_, since)) in std::mem::take(&mut self.running) {
            self.check_task_end(&task, since, end);
        }
        if self.task_starts == 0 {
            self.add_finding(Rule::NothingRan, end, "no task was started".into());
        }
        for job in 0..self.jobs.len() {
            self.check_acceptance_delay(end, job);
            for controller in 0..self.parameters.controllers {
                self.check_answer_gap(end, job, controller);
            }
        }
        let settled_by = end.saturating_sub(self.parameters.settle_time);
        for job in 0..self.jobs.len() {
            let observed = &self.observed_jobs[job];
            let Some(accepted_at) = observed.accepted_at.filter(|accepted_at| *accepted_at < settled_by)
            else {
                continue;
            };
            if observed.last_response_at < settled_by.max(self.parameters.faults_end_at) {
                let description = format!(
                    "{}: no response since {:?}",
                    self.name(job),
                    self.observed_jobs[job].last_response_at
                );
                self.add_finding(Rule::Forgotten, end, description);
                continue;
            }
            let is_ready = |dependency: &usize| {
                self.observed_jobs[*dependency]
                    .reported
                    .is_some_and(|(reported, at)| reported == JobState::Done && at < settled_by)
            };
            let ready = self.jobs[job].dependencies.iter().all(is_ready);
            if ready
                && !observed.started
                && observed.reported.is_none()
                && observed.cancel_requested_at.is_none()
            {
                let description = format!("{}: accepted at {accepted_at:?}, not started", self.name(job));
                self.add_finding(Rule::Starved, end, description);
            }
        }
    }
}
