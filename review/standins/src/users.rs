//! Stand-ins of users: they submit, ask about and call off jobs.

use std::net::SocketAddr;
use std::time::Duration;

use ciborium::value::Value;
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, encode, text_array};
use shedtally::transport::client::{ConnectionPool, HttpCall};
use shedtally::transport::codec::Limits;

use crate::http::send;

/// A job as its user describes it. The defaults are those of an ordinary array of one task.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub team: &'static str,
    pub class: &'static str,
    pub service: bool,
    pub urgency: &'static str,
    pub tasks: u32,
    pub cores: f64,
    pub ram_gb: f64,
    pub estimate_s: f64,
    pub due_s: Option<f64>,
    pub awaits: Vec<String>,
    pub together: bool,
    pub loaners: bool,
    pub bundle: &'static str,
    pub pull_gb: f64,
    /// How long a task really runs; not part of the submission.
    pub run: Duration,
    /// Whether its tasks fail on every machine; not part of the submission.
    pub mistaken: bool,
}

impl Job {
    /// An array of one task that takes one core and runs this long.
    pub fn new(number: u32, team: &'static str, run: Duration) -> Self {
        Job {
            id: format!("job-{number:06}"),
            team,
            class: "asr-pass",
            service: false,
            urgency: "standard",
            tasks: 1,
            cores: 1.0,
            ram_gb: 1.0,
            estimate_s: run.as_secs_f64(),
            due_s: None,
            awaits: Vec::new(),
            together: false,
            loaners: false,
            bundle: "img-07",
            pull_gb: 0.1,
            run,
            mistaken: false,
        }
    }

    /// The body of the submission.
    pub fn encode(&self) -> Value {
        let awaits =
            (!self.awaits.is_empty()).then(|| text_array(self.awaits.iter().map(String::as_str)));
        MapBuilder::new()
            .set("nameId", self.id.as_str())
            .set("docket", self.class)
            .set("crew", self.team)
            .set("form", if self.service { "daemon" } else { "array" })
            .set("urgency", self.urgency)
            .set("sheets", self.tasks)
            .set("cores", self.cores)
            .set("accelerators", 0.0)
            .set("ramGb", self.ram_gb)
            .set("bundle", self.bundle)
            .set("pullGb", self.pull_gb)
            .set("together", self.together)
            .set("scatter", false)
            .set("loaners", self.loaners)
            .set("reckonS", self.estimate_s)
            .set("bookmarkS", 0.0)
            .set("stashS", 0.0)
            .set_some("dueS", self.due_s)
            .set_some("awaits", awaits)
            .build()
    }
}

/// What a user received: the status, 0 if there was no response, and the state of the job.
#[derive(Debug, Clone, PartialEq)]
pub struct Received {
    pub status: u16,
    pub standing: Option<String>,
}

async fn call(to: SocketAddr, call: HttpCall) -> Received {
    match send(to, call).await {
        None => Received { status: 0, standing: None },
        Some(response) => {
            let body = decode(&response.body).unwrap_or(Value::Null);
            let standing =
                Fields::of(&body).ok().and_then(|fields| fields.text("standing").ok().map(str::to_owned));
            Received { status: response.status, standing }
        }
    }
}

/// Submits a job once; users wait 5 s for the response.
pub async fn submit(to: SocketAddr, job: &Job) -> Received {
    let body = encode(&job.encode());
    let timeout = Duration::from_secs(5);
    call(to, HttpCall { method: "POST", target: "/api/jobs".into(), body, timeout }).await
}

/// Asks about a job; users wait 2 s for the response.
pub async fn poll(to: SocketAddr, id: &str) -> Received {
    let timeout = Duration::from_secs(2);
    call(to, HttpCall { method: "GET", target: format!("/api/jobs/{id}"), body: Vec::new(), timeout }).await
}

/// Calls a job off; users wait 5 s for the response.
pub async fn cancel(to: SocketAddr, id: &str) -> Received {
    let target = format!("/api/jobs/{id}/withdraw");
    let timeout = Duration::from_secs(5);
    call(to, HttpCall { method: "POST", target, body: Vec::new(), timeout }).await
}

/// Whether a controller says that it is ready.
pub async fn is_ready(to: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let call = HttpCall { method: "GET", target: "/ready".into(), body: Vec::new(), timeout };
    send(to, call).await.is_some_and(|response| response.status == 200)
}

/// Asks about several jobs at the same time.
pub async fn poll_all(to: SocketAddr, ids: &[String]) -> Vec<(String, Received)> {
    let mut asked = tokio::task::JoinSet::new();
    for id in ids.iter().cloned() {
        asked.spawn(async move {
            let received = poll(to, &id).await;
            (id, received)
        });
    }
    asked.join_all().await
}

/// A user whose connection stays open at the node that the load balancer chose for it. A question that
/// gets no response in time closes the connection.
pub struct ConnectedUser(ConnectionPool);

impl ConnectedUser {
    /// A user whose connection is at this node.
    pub fn new(node: SocketAddr) -> Self {
        ConnectedUser(ConnectionPool::new(node, Limits { head: 8192, body: 64 * 1024 }, 1))
    }

    /// Asks about a job on the open connection.
    pub async fn poll(&mut self, id: &str) -> Received {
        let timeout = Duration::from_secs(2);
        let call = HttpCall { method: "GET", target: format!("/api/jobs/{id}"), body: Vec::new(), timeout };
        let (result, connection) = self.0.prepare(call).run().await;
        self.0.put_back(connection);
        let Ok(response) = result else { return Received { status: 0, standing: None } };
        let body = decode(&response.body).unwrap_or(Value::Null);
        let standing = Fields::of(&body).ok().and_then(|fields| fields.text("standing").ok().map(str::to_owned));
        Received { status: response.status, standing }
    }
}
