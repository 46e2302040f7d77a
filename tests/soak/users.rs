//! Stand-ins for the users: they submit, ask, repeat and call off through any controller,
//! several at a time for one job.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, encode};
use shedtally::transport::client::{Call, PreparedCall};
use shedtally::transport::codec::{Limits, Response};
use tokio::sync::watch;
use tokio::time::Instant;

use super::history::{Event, JobState, Question, Recorder};
use super::jobs::Job;

const HTTP_LIMITS: Limits = Limits { head: 8192, body: 64 * 1024 };
const SUBMIT_PATIENCE: Duration = Duration::from_secs(5);
const POLL_PATIENCE: Duration = Duration::from_secs(2);

/// Users call off that share of their unfinished jobs, each time the number rises.
pub type CallOff = (u64, f64);

/// What the users of a run share.
#[derive(Debug)]
pub struct Users {
    pub jobs: Vec<Job>,
    /// Where each controller takes users.
    pub controllers: Vec<SocketAddr>,
    pub recorder: Recorder,
    pub begin: Instant,
    pub call_off: watch::Receiver<CallOff>,
    /// Which jobs have been accepted, by their number.
    pub accepted: Vec<watch::Sender<bool>>,
    pub seed: u64,
}

/// Starts all users; they go on until the runtime ends.
pub fn start(users: Arc<Users>) {
    for job in 0..users.jobs.len() {
        tokio::spawn(User::new(users.clone(), job).run());
    }
    tokio::spawn(odd_requests(users));
}

#[derive(Clone)]
struct User {
    users: Arc<Users>,
    job: usize,
    rng: SmallRng,
}

impl User {
    fn new(users: Arc<Users>, job: usize) -> Self {
        let rng = SmallRng::seed_from_u64(users.seed ^ (job as u64) << 20);
        User { users, job, rng }
    }

    fn plan(&self) -> &Job {
        &self.users.jobs[self.job]
    }

    async fn run(mut self) {
        tokio::time::sleep_until(self.users.begin + self.plan().at).await;
        for need in self.plan().awaits.clone() {
            let mut accepted = self.users.accepted[need].subscribe();
            let _ = accepted.wait_for(|accepted| *accepted).await;
        }
        loop {
            let (status, standing) = self.ask_anybody(Question::Submit).await;
            match status {
                200 | 201 if standing.is_some() => break,
                400 | 422 => return,
                _ => self.pause(0.2..0.8).await,
            }
        }
        self.users.accepted[self.job].send_replace(true);
        self.look_closely();
        if let Some(after) = self.plan().cancel_after {
            tokio::spawn(self.other().call_off(after));
        }
        tokio::spawn(self.other().follow_calls());
        self.poll().await;
    }

    /// The same user, doing something else at the same time.
    fn other(&mut self) -> User {
        User { rng: SmallRng::seed_from_u64(self.rng.random()), ..self.clone() }
    }

    async fn pause(&mut self, seconds: std::ops::Range<f64>) {
        let time = self.rng.random_range(seconds);
        tokio::time::sleep(Duration::from_secs_f64(time)).await;
    }

    /// Asks now and then, also long after the job is over.
    async fn poll(mut self) {
        let mut known = None;
        loop {
            let repeats = self.rng.random_bool(0.06);
            let question = if repeats { Question::Submit } else { Question::Poll };
            let (_, standing) = self.ask_anybody(question).await;
            if standing.is_some_and(JobState::is_terminal) && known != standing {
                known = standing;
                self.look_closely();
            }
            let often = if known.is_some() { 2.0..5.0 } else { 0.3..1.3 };
            self.pause(often).await;
        }
    }

    async fn call_off(mut self, after: Duration) {
        tokio::time::sleep(after).await;
        self.users.recorder.note(Event::CallsOff { job: self.job });
        loop {
            let (_, standing) = self.ask_anybody(Question::Withdraw).await;
            if standing.is_some_and(JobState::is_terminal) {
                return;
            }
            self.pause(0.1..0.5).await;
        }
    }

    /// Calls off when many users do at once.
    async fn follow_calls(mut self) {
        let mut calls = self.users.call_off.clone();
        calls.mark_unchanged();
        while calls.changed().await.is_ok() {
            let (_, share) = *calls.borrow_and_update();
            if self.rng.random_bool(share) {
                return self.call_off(Duration::ZERO).await;
            }
        }
    }

    /// Asks all controllers within milliseconds.
    fn look_closely(&mut self) {
        for controller in 0..self.users.controllers.len() {
            let mut other = self.other();
            tokio::spawn(async move {
                other.pause(0.0..0.05).await;
                let question = if other.rng.random_bool(0.3) { Question::Submit } else { Question::Poll };
                other.ask(question, controller).await;
            });
        }
    }

    async fn ask_anybody(&mut self, question: Question) -> (u16, Option<JobState>) {
        let controller = self.rng.random_range(0..self.users.controllers.len());
        self.ask(question, controller).await
    }

    async fn ask(&mut self, question: Question, controller: usize) -> (u16, Option<JobState>) {
        let asked = self.users.recorder.now();
        let id = &self.plan().id;
        let (method, target, body) = match question {
            Question::Submit => {
                ("POST", "/api/jobs".to_owned(), encode(&self.plan().submission(&self.users.jobs)))
            }
            Question::Poll => ("GET", format!("/api/jobs/{id}"), Vec::new()),
            Question::Withdraw => ("POST", format!("/api/jobs/{id}/withdraw"), Vec::new()),
        };
        let deadline = if question == Question::Poll { POLL_PATIENCE } else { SUBMIT_PATIENCE };
        let call = Call { method, target, body, deadline };
        let Some(answer) = send(self.users.controllers[controller], call).await else { return (0, None) };
        let (status, job) = (answer.status, self.job);
        let standing = standing_in(&answer);
        self.users.recorder.note(Event::Answered { job, question, asked, controller, status, standing });
        (status, standing)
    }
}

fn standing_in(answer: &Response) -> Option<JobState> {
    let body = decode(&answer.body).ok()?;
    JobState::parse(Fields::of(&body).ok()?.text("standing").ok()?)
}

async fn send(to: SocketAddr, call: Call) -> Option<Response> {
    PreparedCall::without_pool(to, HTTP_LIMITS, call).run().await.0.ok()
}

/// What must be refused, and questions about what nobody submitted.
async fn odd_requests(users: Arc<Users>) {
    let mut rng = SmallRng::seed_from_u64(users.seed ^ 0x0dd);
    loop {
        tokio::time::sleep(Duration::from_secs_f64(rng.random_range(0.3..1.5))).await;
        let Some(sample) = users.jobs.first() else { return };
        let odd = Job { id: "job-900000".into(), awaits: Vec::new(), ..sample.clone() };
        let sound = odd.submission(&users.jobs);
        let (method, target, body, expected) = match rng.random_range(0..5) {
            0 => ("GET", "/api/jobs/job-800000", Vec::new(), 404),
            1 => ("POST", "/api/jobs", without_a_field(&mut rng, &sound), 400),
            2 => ("POST", "/api/jobs", with_field(&sound, "awaits", Value::from("job-000001")), 400),
            3 => ("POST", "/api/jobs", with_field(&sound, "awaits", list("job-777777")), 422),
            _ => ("POST", "/api/jobs", with_field(&sound, "cores", Value::from(999.0)), 422),
        };
        let deadline = SUBMIT_PATIENCE;
        let call = Call { method, target: target.into(), body, deadline };
        let controller = users.controllers[rng.random_range(0..users.controllers.len())];
        if let Some(answer) = send(controller, call).await {
            users.recorder.note(Event::Odd { expected, status: answer.status });
        }
    }
}

fn list(item: &str) -> Value {
    Value::Array(vec![Value::from(item)])
}

fn with_field(submission: &Value, name: &str, value: Value) -> Vec<u8> {
    let Value::Map(fields) = submission.clone() else { return Vec::new() };
    let mut changed = MapBuilder::new();
    for (key, old) in fields {
        let key = key.as_text().unwrap_or_default().to_owned();
        if key != name {
            changed = changed.set(&key, old);
        }
    }
    encode(&changed.set(name, value).build())
}

/// Any but those that may be left out.
fn without_a_field(rng: &mut SmallRng, submission: &Value) -> Vec<u8> {
    let Value::Map(mut fields) = submission.clone() else { return Vec::new() };
    let optional = ["builds", "hall", "dueS", "awaits"];
    let needed = |at: &usize| fields[*at].0.as_text().is_some_and(|name| !optional.contains(&name));
    let needed: Vec<usize> = (0..fields.len()).filter(needed).collect();
    fields.remove(needed[rng.random_range(0..needed.len())]);
    encode(&Value::Map(fields))
}
