//! Judges a whole history by every rule, from what showed outside the controllers.
//!
//! A pure function over the history: it knows the users' jobs and the times that rules
//! name, and nothing of what the controllers think.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::history::{At, Entry, Event, JobState, Question, TaskOn};
use super::jobs::{Job, LIMITED_TEAM};

/// The rules, by the names that PROTOCOL and the users' later pages give them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    /// A start that was carried out well after the user was told.
    StartedCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    TooEarly,
    /// A job is called queued or running long after one before it was cancelled.
    OrphanedJob,
    /// A task of a job that is over goes on.
    OrphanedTask,
    /// What cannot run, or is malformed, was accepted.
    AcceptedOdd,
    /// Accepted, and not begun at the end though all was calm.
    Starved,
    /// A controller's process has ended by itself.
    ProcessEnded,
    /// A controller had to refuse an act of its own.
    InvariantViolated,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    pub at: At,
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.2} s: {}", self.rule, self.at.as_secs_f64(), self.what)
    }
}

/// What a history is judged by.
#[derive(Debug, Clone)]
pub struct Terms {
    /// CPUs that the limited team may use.
    pub limit: f64,
    pub cancel: Duration,
    /// After a confirmed cancellation a start may still be on its way for so long.
    pub start_on_its_way: Duration,
    /// All troubles are over from then on.
    pub calm_at: At,
    pub end: At,
    /// So long before the end all must have been settled that needs no more than time.
    pub settled_before_end: Duration,
    /// The harness's own lag, which is forgiven.
    pub lag: Duration,
}

/// What is known of a job at a point of the history.
#[derive(Debug, Default, Clone)]
struct ObservedJob {
    accepted: Option<At>,
    calls_off: Option<At>,
    told: Option<(JobState, At)>,
    completed: BTreeSet<u32>,
    begun: bool,
    answered: At,
}

struct Checker<'a> {
    jobs: &'a [Job],
    terms: &'a Terms,
    states: Vec<ObservedJob>,
    /// Every task on a machine, with its zone and since when.
    on: BTreeMap<TaskOn, (&'static str, At)>,
    /// All jobs that each one needs, directly or not.
    ancestors: Vec<BTreeSet<usize>>,
    findings: Vec<Finding>,
    starts: usize,
}

/// Everything that breaks a rule in a history, whose entries are in the order of time.
pub fn check(jobs: &[Job], terms: &Terms, history: &[Entry]) -> Vec<Finding> {
    let mut checker = Checker {
        jobs,
        terms,
        states: vec![ObservedJob::default(); jobs.len()],
        on: BTreeMap::new(),
        ancestors: ancestors(jobs),
        findings: Vec::new(),
        starts: 0,
    };
    for Entry { at, event } in history {
        checker.take(*at, event);
    }
    checker.finish();
    checker.findings
}

fn ancestors(jobs: &[Job]) -> Vec<BTreeSet<usize>> {
    let mut all: Vec<BTreeSet<usize>> = Vec::new();
    for job in jobs {
        // A job names only earlier ones.
        let mut needed: BTreeSet<usize> = job.awaits.iter().copied().collect();
        for &need in &job.awaits {
            needed.extend(all.get(need).into_iter().flatten().copied());
        }
        all.push(needed);
    }
    all
}

impl Checker<'_> {
    fn breaks(&mut self, rule: Rule, at: At, what: String) {
        self.findings.push(Finding { rule, at, what });
    }

    fn take(&mut self, at: At, event: &Event) {
        match event {
            Event::Answered { job, question, asked, controller, status, standing } => {
                let by = format!("c-{controller} answers {status} {standing:?} to {question:?}");
                self.answered(at, *job, *question, *asked, (*status, *standing), &by);
            }
            Event::CallsOff { job } => drop(self.states[*job].calls_off.get_or_insert(at)),
            Event::Odd { expected, status } => self.odd(at, *expected, *status),
            Event::StartTaken { task, .. } => self.start_taken(at, task),
            Event::UnknownStart { machine } => {
                self.breaks(Rule::Invented, at, format!("a start of an unknown job on {machine}"));
            }
            Event::Began { task, zone, spot } => self.began(at, task, zone, *spot),
            Event::Completed { job, index } => drop(self.states[*job].completed.insert(*index)),
            Event::Left { task } => self.left(at, task),
            Event::Ended { controller, how } => {
                self.breaks(Rule::ProcessEnded, at, format!("c-{controller}: {how}"));
            }
            Event::Violated { controller, figure } => {
                self.breaks(Rule::InvariantViolated, at, format!("{figure} of c-{controller}"));
            }
            Event::Committed { .. } | Event::Fault { .. } => {}
        }
    }

    /// When users were told that a job, or one that it needs, is cancelled.
    fn cancelled_since(&self, job: usize) -> Option<At> {
        let told = |job: &usize| match self.states[*job].told {
            Some((JobState::Cancelled, at)) => Some(at),
            _ => None,
        };
        self.ancestors[job].iter().chain([&job]).filter_map(told).min()
    }

    fn name(&self, job: usize) -> &str {
        &self.jobs[job].id
    }

    fn start_taken(&mut self, at: At, task: &TaskOn) {
        let allowed = self.terms.start_on_its_way + self.terms.lag;
        if self.cancelled_since(task.job).is_some_and(|told| at > told + allowed) {
            let what = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
            self.breaks(Rule::StartedCancelled, at, what);
        }
    }

    fn began(&mut self, at: At, task: &TaskOn, zone: &'static str, spot: bool) {
        self.starts += 1;
        self.states[task.job].begun = true;
        let name = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
        let same = |other: &&TaskOn| other.job == task.job && other.index == task.index;
        if let Some(other) = self.on.keys().find(same) {
            let what = format!("{name} while on {}", other.machine);
            self.breaks(Rule::RanTwice, at, what);
        }
        let job = &self.jobs[task.job];
        let unmet = |need: &&usize| (self.states[**need].completed.len() as u32) < self.jobs[**need].tasks;
        if let Some(&need) = job.awaits.iter().find(unmet) {
            let what = format!("{name} before {} is done", self.name(need));
            self.breaks(Rule::TooEarly, at, what);
        }
        self.on.insert(task.clone(), (zone, at));
        let zones: Vec<&str> =
            self.on.iter().filter(|(on, _)| on.job == task.job).map(|(_, (zone, _))| *zone).collect();
        let here = zones.iter().filter(|other| **other == zone).count() as u32;
        let wrong = (spot && !job.spot)
            || job.zone.is_some_and(|allowed| allowed != zone)
            || (job.one_zone && zones.iter().any(|other| *other != zone))
            || (job.spread && here > job.tasks.div_ceil(2));
        if wrong {
            self.breaks(Rule::WrongPlace, at, format!("{name} in {zone}, its tasks are in {zones:?}"));
        }
        let of_team = self.on.keys().map(|on| &self.jobs[on.job]).filter(|job| job.team == LIMITED_TEAM);
        let used: f64 = of_team.map(|job| job.cpus).sum();
        if job.team == LIMITED_TEAM && used > self.terms.limit + 1e-6 {
            self.breaks(Rule::Quota, at, format!("{used} CPUs of {}", self.terms.limit));
        }
        if let Some(told) = self.cancelled_since(task.job)
            && at > told + self.terms.cancel + self.terms.lag
        {
            self.breaks(Rule::RanCancelled, at, format!("{name} begins"));
        }
    }

    fn left(&mut self, at: At, task: &TaskOn) {
        if let Some((_, since)) = self.on.remove(task) {
            self.check_stay(task, since, at);
        }
    }

    /// A task was on its machine from then until now.
    fn check_stay(&mut self, task: &TaskOn, since: At, until: At) {
        let name = format!("{}/{} on {}", self.name(task.job), task.index, task.machine);
        let bound = self.terms.cancel + self.terms.lag;
        if let Some(told) = self.cancelled_since(task.job)
            && until > told + bound
            && since <= told + bound
        {
            self.breaks(Rule::RanCancelled, until, format!("{name} until then, told at {told:?}"));
        }
        if let Some((JobState::Done, told)) = self.states[task.job].told
            && until > told + bound
        {
            self.breaks(Rule::OrphanedTask, until, format!("{name} after its job was done"));
        }
    }

    fn odd(&mut self, at: At, expected: u16, status: u16) {
        let refused = status == expected || matches!(status, 429 | 503 | 504);
        match (refused, expected) {
            (true, _) => {}
            (false, 404) => self.breaks(Rule::Invented, at, format!("{status} for an unknown job")),
            (false, _) => self.breaks(Rule::AcceptedOdd, at, format!("{status} where {expected} was due")),
        }
    }

    fn answered(
        &mut self,
        at: At,
        job: usize,
        question: Question,
        asked: At,
        answer: (u16, Option<JobState>),
        by: &str,
    ) {
        let what = format!("{}: {by}, asked at {:.2} s", self.name(job), asked.as_secs_f64());
        let accepted_before = self.states[job].accepted.is_some_and(|accepted| accepted < asked);
        match answer {
            (404, _) if accepted_before => self.breaks(Rule::Forgotten, at, what),
            (400 | 422, _) if accepted_before || question == Question::Submit => {
                self.breaks(Rule::Forgotten, at, what);
            }
            (200 | 201, Some(standing)) => {
                let state = &mut self.states[job];
                state.accepted.get_or_insert(at);
                state.answered = at;
                self.check_standing(at, job, question, asked, standing, what);
            }
            _ => {}
        }
    }

    fn check_standing(
        &mut self,
        at: At,
        job: usize,
        question: Question,
        asked: At,
        standing: JobState,
        what: String,
    ) {
        let state = &self.states[job];
        let goes_back = state.told.is_some_and(|(told, when)| told != standing && when < asked);
        let may_be_cancelled = self.ancestors[job].iter().chain([&job]).any(|other| {
            let other = &self.states[*other];
            other.calls_off.is_some() && !matches!(other.told, Some((JobState::Done, _)))
        });
        let withdrawn_to_nothing = question == Question::Withdraw && !standing.is_terminal();
        if goes_back || withdrawn_to_nothing || (standing == JobState::Cancelled && !may_be_cancelled) {
            self.breaks(Rule::WentBack, at, what.clone());
        }
        let complete = self.states[job].completed.len() as u32 == self.jobs[job].tasks;
        if standing == JobState::Done && !complete {
            self.breaks(Rule::NotDone, at, what.clone());
        }
        let bound = self.terms.cancel + self.terms.lag;
        let before = self.ancestors[job].iter().filter_map(|need| match self.states[*need].told {
            Some((JobState::Cancelled, told)) => Some(told),
            _ => None,
        });
        if !standing.is_terminal() && before.min().is_some_and(|told| asked > told + bound) {
            self.breaks(Rule::OrphanedJob, at, what);
        }
        if standing.is_terminal() {
            self.states[job].told.get_or_insert((standing, at));
        }
    }

    fn finish(&mut self) {
        let end = self.terms.end;
        for (task, (_, since)) in std::mem::take(&mut self.on) {
            self.check_stay(&task, since, end);
        }
        if self.starts == 0 {
            self.breaks(Rule::NothingRan, end, "no task was started".into());
        }
        let due = end.saturating_sub(self.terms.settled_before_end);
        for job in 0..self.jobs.len() {
            let state = &self.states[job];
            let Some(accepted) = state.accepted.filter(|accepted| *accepted < due) else { continue };
            if state.answered < due.max(self.terms.calm_at) {
                let what = format!("{}: no answer since {:?}", self.name(job), self.states[job].answered);
                self.breaks(Rule::Forgotten, end, what);
                continue;
            }
            let is_released = |need: &usize| {
                self.states[*need].told.is_some_and(|(told, at)| told == JobState::Done && at < due)
            };
            let waits = self.jobs[job].awaits.iter().all(is_released);
            if waits && !state.begun && state.told.is_none() && state.calls_off.is_none() {
                let what = format!("{}: accepted at {accepted:?}", self.name(job));
                self.breaks(Rule::Starved, end, what);
            }
        }
    }
}
