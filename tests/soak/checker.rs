//! Judges a whole history by every rule, from what could be observed outside the controllers.
//!
//! A pure function of the history: it knows the users' jobs and the times that the rules
//! name, and nothing of the controllers' state.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::history::{At, Entry, Event, JobState, TaskOnMachine, UserRequest};
use super::jobs::{Job, LIMITED_TEAM};

/// A rule that can be broken. PROTOCOL and the users' later pages are their source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task ran on two machines at the same time.
    RanTwice,
    /// A team used more CPUs than its quota.
    Quota,
    /// A task ran in a zone or on a spot instance that its job does not allow.
    WrongPlace,
    /// A task of a cancelled job ran on for too long, or started too late.
    RanCancelled,
    /// A worker received a start well after the user was told that the job is cancelled.
    StartedCancelled,
    /// An accepted job was unknown or rejected later, or got no response any more.
    Forgotten,
    /// A job that nobody has submitted was known, or started.
    Invented,
    /// A job was called done although not all of its tasks had completed.
    NotDone,
    /// A terminal state was taken back, a job was called cancelled that nobody had cancelled, or
    /// a cancellation was confirmed without effect.
    WentBack,
    /// No task was started in the whole run.
    NothingRan,
    /// A task started before its job's dependencies had completed.
    TooEarly,
    /// A job was called queued or running long after one of its dependencies was cancelled.
    OrphanedJob,
    /// A task ran on for too long after its job was called done.
    OrphanedTask,
    /// A submission that is malformed or cannot run was accepted, or rejected with another
    /// status than is due.
    AcceptedOdd,
    /// An accepted and ready job had not started by the end, long after the last fault.
    Starved,
    /// A controller's process exited by itself.
    ProcessEnded,
    /// A controller counted a violated invariant of its own.
    InvariantViolated,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Which rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: At,
    /// By which job, task or controller.
    pub description: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.2} s: {}", self.rule, self.at.as_secs_f64(), self.description)
    }
}

/// Times and limits that a history is judged by.
#[derive(Debug, Clone)]
pub struct CheckParameters {
    /// CPUs that the limited team may use.
    pub team_cpu_limit: f64,
    /// How long tasks of a cancelled job may run on.
    pub cancel_within: Duration,
    /// For how long a start command may be in flight after a confirmed cancellation.
    pub start_in_flight: Duration,
    /// When all faults had ended.
    pub faults_end_at: At,
    /// End of the run.
    pub end: At,
    /// Jobs that were accepted and ready so long before the end must have started by then.
    pub settle_time: Duration,
    /// How late the harness's own timers may have been: allowed on top of every time.
    pub max_lag: Duration,
}

/// What has been observed of a job so far.
#[derive(Debug, Default, Clone)]
struct ObservedJob {
    accepted_at: Option<At>,
    cancel_requested_at: Option<At>,
    /// The terminal state that a user was first given, and when.
    reported: Option<(JobState, At)>,
    completed_tasks: BTreeSet<u32>,
    started: bool,
    /// When a user last got a response with the job's state.
    answered_at: At,
}

struct Checker<'a> {
    jobs: &'a [Job],
    parameters: &'a CheckParameters,
    observed_jobs: Vec<ObservedJob>,
    /// Every task on a machine, with its zone and its start.
    running: BTreeMap<TaskOnMachine, (&'static str, At)>,
    /// All dependencies of each job, direct and indirect.
    ancestors: Vec<BTreeSet<usize>>,
    findings: Vec<Finding>,
    /// Number of tasks that were started.
    starts: usize,
}

/// All findings in a history, whose entries are in the order of time.
pub fn check(jobs: &[Job], parameters: &CheckParameters, history: &[Entry]) -> Vec<Finding> {
    let mut checker = Checker {
        jobs,
        parameters,
        observed_jobs: vec![ObservedJob::default(); jobs.len()],
        running: BTreeMap::new(),
        ancestors: ancestors(jobs),
        findings: Vec::new(),
        starts: 0,
    };
    for Entry { at, event } in history {
        checker.handle(*at, event);
    }
    checker.finish();
    checker.findings
}

fn ancestors(jobs: &[Job]) -> Vec<BTreeSet<usize>> {
    let mut all: Vec<BTreeSet<usize>> = Vec::new();
    for job in jobs {
        // A job depends only on earlier ones.
        let mut all_dependencies: BTreeSet<usize> = job.dependencies.iter().copied().collect();
        for &dependency in &job.dependencies {
            all_dependencies.extend(all.get(dependency).into_iter().flatten().copied());
        }
        all.push(all_dependencies);
    }
    all
}

impl Checker<'_> {
    fn add_finding(&mut self, rule: Rule, at: At, description: String) {
        self.findings.push(Finding { rule, at, description });
    }

    fn handle(&mut self, at: At, event: &Event) {
        match event {
            Event::Answered { job, request, asked, controller, status, state } => {
                let by = format!("c-{controller} answers {status} {state:?} to {request:?}");
                self.handle_answer(at, *job, *request, *asked, (*status, *state), &by);
            }
            Event::CancelRequested { job } => {
                self.observed_jobs[*job].cancel_requested_at.get_or_insert(at);
            }
            Event::InvalidRequest { expected, status } => self.handle_invalid_request(at, *expected, *status),
            Event::StartReceived { task, .. } => self.handle_start_received(at, task),
            Event::UnknownStartReceived { machine } => {
                self.add_finding(Rule::Invented, at, format!("a start of an unknown job on {machine}"));
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

    /// When a user was first told that a job, or one of its dependencies, is cancelled.
    fn cancellation_reported_at(&self, job: usize) -> Option<At> {
        let reported = |job: &usize| match self.observed_jobs[*job].reported {
            Some((JobState::Cancelled, at)) => Some(at),
            _ => None,
        };
        self.ancestors[job].iter().chain([&job]).filter_map(reported).min()
    }

    fn name(&self, job: usize) -> &str {
        &self.jobs[job].id
    }

    fn handle_start_received(&mut self, at: At, task: &TaskOnMachine) {
        let allowed = self.parameters.start_in_flight + self.parameters.max_lag;
        if self.cancellation_reported_at(task.job).is_some_and(|reported| at > reported + allowed) {
            let description = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
            self.add_finding(Rule::StartedCancelled, at, description);
        }
    }

    fn handle_task_started(&mut self, at: At, task: &TaskOnMachine, zone: &'static str, spot: bool) {
        self.starts += 1;
        self.observed_jobs[task.job].started = true;
        let name = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
        self.check_runs_once(at, task, &name);
        self.check_dependencies(at, task.job, &name);
        self.running.insert(task.clone(), (zone, at));
        self.check_place(at, task.job, zone, spot, &name);
        self.check_quota(at, task.job);
        if let Some(reported) = self.cancellation_reported_at(task.job)
            && at > reported + self.parameters.cancel_within + self.parameters.max_lag
        {
            self.add_finding(Rule::RanCancelled, at, format!("{name} begins"));
        }
    }

    /// A task that starts runs on no machine yet.
    fn check_runs_once(&mut self, at: At, task: &TaskOnMachine, name: &str) {
        let same = |other: &&TaskOnMachine| other.job == task.job && other.index == task.index;
        if let Some(other) = self.running.keys().find(same) {
            let description = format!("{name} while on {}", other.machine);
            self.add_finding(Rule::RanTwice, at, description);
        }
    }

    /// All tasks of the dependencies of a job that starts have completed.
    fn check_dependencies(&mut self, at: At, job: usize, name: &str) {
        let is_incomplete = |dependency: &&usize| {
            (self.observed_jobs[**dependency].completed_tasks.len() as u32) < self.jobs[**dependency].tasks
        };
        if let Some(&dependency) = self.jobs[job].dependencies.iter().find(is_incomplete) {
            let description = format!("{name} before {} is done", self.name(dependency));
            self.add_finding(Rule::TooEarly, at, description);
        }
    }

    /// A task runs where its job allows, together with the job's other tasks.
    fn check_place(&mut self, at: At, job: usize, zone: &'static str, spot: bool, name: &str) {
        let of_job = self.running.iter().filter(|(other, _)| other.job == job);
        let zones: Vec<&str> = of_job.map(|(_, (zone, _))| *zone).collect();
        let in_zone = zones.iter().filter(|other| **other == zone).count() as u32;
        let job = &self.jobs[job];
        let is_misplaced = (spot && !job.spot)
            || job.zone.is_some_and(|allowed| allowed != zone)
            || (job.one_zone && zones.iter().any(|other| *other != zone))
            || (job.spread && in_zone > job.tasks.div_ceil(2));
        if is_misplaced {
            self.add_finding(Rule::WrongPlace, at, format!("{name} in {zone}, its tasks are in {zones:?}"));
        }
    }

    /// The running tasks of the limited team stay within its quota.
    fn check_quota(&mut self, at: At, job: usize) {
        let running_jobs = self.running.keys().map(|other| &self.jobs[other.job]);
        let of_team = running_jobs.filter(|job| job.team == LIMITED_TEAM);
        let used: f64 = of_team.map(|job| job.cpus).sum();
        let limit = self.parameters.team_cpu_limit;
        if self.jobs[job].team == LIMITED_TEAM && used > limit + 1e-6 {
            self.add_finding(Rule::Quota, at, format!("{used} CPUs of {limit}"));
        }
    }

    fn handle_task_removed(&mut self, at: At, task: &TaskOnMachine) {
        if let Some((_, since)) = self.running.remove(task) {
            self.check_stay(task, since, at);
        }
    }

    /// A task was on its machine from `since` to `until`.
    fn check_stay(&mut self, task: &TaskOnMachine, since: At, until: At) {
        let name = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
        let bound = self.parameters.cancel_within + self.parameters.max_lag;
        if let Some(reported) = self.cancellation_reported_at(task.job)
            && until > reported + bound
            && since <= reported + bound
        {
            self.add_finding(
                Rule::RanCancelled,
                until,
                format!("{name} until then, reported at {reported:?}"),
            );
        }
        if let Some((JobState::Done, reported)) = self.observed_jobs[task.job].reported
            && until > reported + bound
        {
            self.add_finding(Rule::OrphanedTask, until, format!("{name} after its job was done"));
        }
    }

    fn handle_invalid_request(&mut self, at: At, expected: u16, status: u16) {
        let refused = status == expected || matches!(status, 429 | 503 | 504);
        match (refused, expected) {
            (true, _) => {}
            (false, 404) => self.add_finding(Rule::Invented, at, format!("{status} for an unknown job")),
            (false, _) => {
                self.add_finding(Rule::AcceptedOdd, at, format!("{status} where {expected} was due"));
            }
        }
    }

    fn handle_answer(
        &mut self,
        at: At,
        job: usize,
        request: UserRequest,
        asked: At,
        answer: (u16, Option<JobState>),
        by: &str,
    ) {
        let description = format!("{}: {by}, asked at {:.2} s", self.name(job), asked.as_secs_f64());
        let was_accepted = self.observed_jobs[job].accepted_at.is_some_and(|accepted_at| accepted_at < asked);
        match answer {
            (404, _) if was_accepted => self.add_finding(Rule::Forgotten, at, description),
            (400 | 422, _) if was_accepted || request == UserRequest::Submit => {
                self.add_finding(Rule::Forgotten, at, description);
            }
            (200 | 201, Some(state)) => {
                let observed = &mut self.observed_jobs[job];
                observed.accepted_at.get_or_insert(at);
                observed.answered_at = at;
                self.check_state(at, job, request, asked, state, description);
            }
            _ => {}
        }
    }

    fn check_state(
        &mut self,
        at: At,
        job: usize,
        request: UserRequest,
        asked: At,
        state: JobState,
        description: String,
    ) {
        let observed = &self.observed_jobs[job];
        let goes_back = observed.reported.is_some_and(|(reported, when)| reported != state && when < asked);
        let may_be_cancelled = self.ancestors[job].iter().chain([&job]).any(|other| {
            let other = &self.observed_jobs[*other];
            other.cancel_requested_at.is_some() && !matches!(other.reported, Some((JobState::Done, _)))
        });
        let cancel_without_effect = request == UserRequest::Cancel && !state.is_terminal();
        if goes_back || cancel_without_effect || (state == JobState::Cancelled && !may_be_cancelled) {
            self.add_finding(Rule::WentBack, at, description.clone());
        }
        let complete = self.observed_jobs[job].completed_tasks.len() as u32 == self.jobs[job].tasks;
        if state == JobState::Done && !complete {
            self.add_finding(Rule::NotDone, at, description.clone());
        }
        let bound = self.parameters.cancel_within + self.parameters.max_lag;
        let cancelled_dependencies = self.ancestors[job].iter().filter_map(|dependency| {
            match self.observed_jobs[*dependency].reported {
                Some((JobState::Cancelled, reported)) => Some(reported),
                _ => None,
            }
        });
        if !state.is_terminal()
            && cancelled_dependencies.min().is_some_and(|reported| asked > reported + bound)
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
            self.check_stay(&task, since, end);
        }
        if self.starts == 0 {
            self.add_finding(Rule::NothingRan, end, "no task was started".into());
        }
        let settled_by = end.saturating_sub(self.parameters.settle_time);
        for job in 0..self.jobs.len() {
            let observed = &self.observed_jobs[job];
            let Some(accepted_at) = observed.accepted_at.filter(|accepted_at| *accepted_at < settled_by)
            else {
                continue;
            };
            if observed.answered_at < settled_by.max(self.parameters.faults_end_at) {
                let description =
                    format!("{}: no answer since {:?}", self.name(job), self.observed_jobs[job].answered_at);
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
                let description = format!("{}: accepted at {accepted_at:?}", self.name(job));
                self.add_finding(Rule::Starved, end, description);
            }
        }
    }
}
