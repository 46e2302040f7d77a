//! Test doubles of the users. They submit, poll, resubmit and cancel jobs through any controller,
//! with several concurrent requests for the same job.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, encode};
use shedtally::transport::client::HttpCall;
use shedtally::transport::codec::Response;
use tokio::sync::watch;
use tokio::time::Instant;

use super::history::{Event, JobState, Recorder, UserRequest};
use super::http::send;
use super::jobs::Job;

/// How long users wait for the response to a submission or cancellation.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long users wait for the response to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Tells users to cancel a share of their accepted jobs each time `number` increases.
#[derive(Debug, Clone, Copy, Default)]
pub struct MassCancellation {
    /// Number of mass cancellations so far.
    pub number: u64,
    /// The probability that the user of an accepted job cancels it.
    pub share: f64,
}

/// State that the users of a run share.
#[derive(Debug)]
pub struct Users {
    /// The users' jobs.
    pub jobs: Vec<Job>,
    /// The address at which users reach each controller.
    pub controllers: Vec<SocketAddr>,
    /// Records responses.
    pub recorder: Recorder,
    /// When the users started; submission times are relative to this.
    pub begin: Instant,
    /// Receives mass cancellations.
    pub mass_cancellations: watch::Receiver<MassCancellation>,
    /// Whether each job has been accepted, by its index.
    pub accepted: Vec<watch::Sender<bool>>,
    /// Seed of the run.
    pub seed: u64,
}

/// Starts all users. They run until the runtime ends.
pub fn start(users: Arc<Users>) {
    for job in 0..users.jobs.len() {
        tokio::spawn(User::new(users.clone(), job).run());
    }
    tokio::spawn(send_invalid_requests(users));
}

/// A user with one job.
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

    fn planned_job(&self) -> &Job {
        &self.users.jobs[self.job]
    }

    async fn run(mut self) {
        tokio::time::sleep_until(self.users.begin + self.planned_job().submit_at).await;
        for dependency in self.planned_job().dependencies.clone() {
            let mut accepted = self.users.accepted[dependency].subscribe();
            let _ = accepted.wait_for(|accepted| *accepted).await;
        }
        if !self.planned_job().is_in_backlog && !self.submit().await {
            return;
        }
        self.users.accepted[self.job].send_replace(true);
        self.query_all_controllers();
        if let Some(after) = self.planned_job().cancel_after {
            tokio::spawn(self.concurrent().cancel(after));
        }
        tokio::spawn(self.concurrent().await_mass_cancellations());
        self.poll().await;
    }

    /// Submits the job until it is accepted; returns false if it is rejected.
    async fn submit(&mut self) -> bool {
        self.users.recorder.record(Event::SubmissionBegun { job: self.job });
        loop {
            let (status, state) = self.send_to_any_controller(UserRequest::Submit).await;
            match status {
                200 | 201 if state.is_some() => return true,
                400 | 422 => return false,
                _ => self.pause(0.2..0.8).await,
            }
        }
    }

    /// A copy of the user with its own random numbers, for a concurrent request.
    fn concurrent(&mut self) -> User {
        User { rng: SmallRng::seed_from_u64(self.rng.random()), ..self.clone() }
    }

    async fn pause(&mut self, seconds: std::ops::Range<f64>) {
        let time = self.rng.random_range(seconds);
        tokio::time::sleep(Duration::from_secs_f64(time)).await;
    }

    /// Polls the job, or sometimes resubmits it, until the end of the run, even after it is terminal.
    async fn poll(mut self) {
        let mut known_terminal = None;
        // In turn, so that each controller is asked about each job.
        for controller in (0..self.users.controllers.len()).cycle().skip(self.job) {
            let resubmits = self.rng.random_bool(0.06);
            let request = if resubmits { UserRequest::Submit } else { UserRequest::Poll };
            let (_, state) = self.send_request(request, controller).await;
            if state.is_some_and(JobState::is_terminal) && known_terminal != state {
                known_terminal = state;
                self.query_all_controllers();
            }
            let is_urgent = known_terminal.is_none() && !self.planned_job().is_in_backlog;
            self.pause(if is_urgent { 0.3..1.3 } else { 2.0..5.0 }).await;
        }
    }

    /// Cancels the job after a delay, and repeats the request until the job is terminal.
    async fn cancel(mut self, after: Duration) {
        tokio::time::sleep(after).await;
        self.users.recorder.record(Event::CancelRequested { job: self.job });
        loop {
            let (_, state) = self.send_to_any_controller(UserRequest::Cancel).await;
            if state.is_some_and(JobState::is_terminal) {
                return;
            }
            self.pause(0.1..0.5).await;
        }
    }

    /// Cancels the job if a mass cancellation selects it.
    async fn await_mass_cancellations(mut self) {
        let mut mass_cancellations = self.users.mass_cancellations.clone();
        mass_cancellations.mark_unchanged();
        while mass_cancellations.changed().await.is_ok() {
            let share = mass_cancellations.borrow_and_update().share;
            if self.rng.random_bool(share) {
                return self.cancel(Duration::ZERO).await;
            }
        }
    }

    /// Sends requests to all controllers within milliseconds, to check that their responses agree.
    fn query_all_controllers(&mut self) {
        for controller in 0..self.users.controllers.len() {
            let mut concurrent = self.concurrent();
            tokio::spawn(async move {
                concurrent.pause(0.0..0.05).await;
                let request =
                    if concurrent.rng.random_bool(0.3) { UserRequest::Submit } else { UserRequest::Poll };
                concurrent.send_request(request, controller).await;
            });
        }
    }

    async fn send_to_any_controller(&mut self, request: UserRequest) -> (u16, Option<JobState>) {
        let controller = self.rng.random_range(0..self.users.controllers.len());
        self.send_request(request, controller).await
    }

    async fn send_request(&mut self, request: UserRequest, controller: usize) -> (u16, Option<JobState>) {
        let sent_at = self.users.recorder.now();
        let id = &self.planned_job().id;
        let (method, target, body) = match request {
            UserRequest::Submit => (
                "POST",
                "/api/jobs".to_owned(),
                encode(&self.planned_job().encode_submission(&self.users.jobs)),
            ),
            UserRequest::Poll => ("GET", format!("/api/jobs/{id}"), Vec::new()),
            UserRequest::Cancel => ("POST", format!("/api/jobs/{id}/withdraw"), Vec::new()),
        };
        let response_timeout = if request == UserRequest::Poll { POLL_TIMEOUT } else { CHANGE_TIMEOUT };
        let call = HttpCall { method, target, body, timeout: response_timeout };
        let Some(response) = send(self.users.controllers[controller], call).await else { return (0, None) };
        let (status, job) = (response.status, self.job);
        let state = parse_state(&response);
        self.users.recorder.record(Event::ResponseReceived {
            job,
            request,
            sent_at,
            controller,
            status,
            state,
        });
        (status, state)
    }
}

fn parse_state(response: &Response) -> Option<JobState> {
    let body = decode(&response.body).ok()?;
    JobState::parse(Fields::of(&body).ok()?.text("standing").ok()?)
}

/// Sends submissions that must be rejected, and polls jobs that were never submitted.
async fn send_invalid_requests(users: Arc<Users>) {
    let mut rng = SmallRng::seed_from_u64(users.seed ^ 0x0dd);
    loop {
        tokio::time::sleep(Duration::from_secs_f64(rng.random_range(0.3..1.5))).await;
        let Some(sample) = users.jobs.first() else { return };
        let unsubmitted = Job { id: "job-900000".into(), dependencies: Vec::new(), ..sample.clone() };
        let valid = unsubmitted.encode_submission(&users.jobs);
        let (method, target, body, expected) = match rng.random_range(0..5) {
            0 => ("GET", "/api/jobs/job-800000", Vec::new(), 404),
            1 => ("POST", "/api/jobs", without_required_field(&mut rng, &valid), 400),
            2 => ("POST", "/api/jobs", with_field(&valid, "awaits", Value::from("job-000001")), 400),
            3 => ("POST", "/api/jobs", with_field(&valid, "awaits", single_item_array("job-777777")), 422),
            _ => ("POST", "/api/jobs", with_field(&valid, "cores", Value::from(999.0)), 422),
        };
        let response_timeout = CHANGE_TIMEOUT;
        let call = HttpCall { method, target: target.into(), body, timeout: response_timeout };
        let controller = users.controllers[rng.random_range(0..users.controllers.len())];
        if let Some(response) = send(controller, call).await {
            users.recorder.record(Event::InvalidRequest { expected, status: response.status });
        }
    }
}

fn single_item_array(item: &str) -> Value {
    Value::Array(vec![Value::from(item)])
}

/// Encodes the submission with one field set to another value.
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

/// Encodes the submission without one of its required fields.
fn without_required_field(rng: &mut SmallRng, submission: &Value) -> Vec<u8> {
    let Value::Map(mut fields) = submission.clone() else { return Vec::new() };
    let optional = ["builds", "hall", "dueS", "awaits"];
    let required = |at: &usize| fields[*at].0.as_text().is_some_and(|name| !optional.contains(&name));
    let required: Vec<usize> = (0..fields.len()).filter(required).collect();
    fields.remove(required[rng.random_range(0..required.len())]);
    encode(&Value::Map(fields))
}
