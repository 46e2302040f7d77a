//! The key-value store of a run. One actor owns the data, the leases and the faults. Each
//! controller has its own listener, so that the requests of a single controller can be refused.

/// The data of the store, shared with the library's own test double. The file is included by its
/// path because the library's public API has no test double.
#[path = "../../src/storage/in_memory_kv/store.rs"]
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, Malformed, MapBuilder, decode};
use shedtally::settings::KvLimits;
use shedtally::storage::rate_limit::TokenBucket;
use shedtally::storage::records::{JobRecord, encode_row, job_record_key, live_row_key};
use shedtally::transport::codec::{Request, Response};
// `store` imports these through `super`.
use shedtally::{protocol, settings};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use self::store::{
    CommitOutcome, KvStore, MAX_PAGE, StatusAndBody, Stored, error_response, lease_in, query_field,
};
use super::history::{Event, JobState, Recorder};
use super::http::{listen, response};

/// Maximum size of a value, in KiB.
pub const VALUE_KB: f64 = 8.0;
/// Maximum number of puts and deletes in a transaction.
pub const TXN_OPS: usize = 24;
/// Maximum size of a request body, in bytes.
const MAX_BODY: usize = 1 << 20;
/// Maximum number of connections of each controller.
const CONNECTIONS: usize = 256;
/// Interval for checking leases and waiting watches; leases may expire late by this much.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest delay of a delayed or duplicated transaction.
const MAX_COMMIT_DELAY: Duration = Duration::from_secs(6);
/// Delay before a response when there is no fault, in seconds.
const RESPONSE_DELAY_S: f64 = 0.002;

/// A fault of the key-value store.
#[derive(Debug, Clone, Copy)]
pub enum KvFault {
    /// Every request gets 503; open watches stay pending.
    Outage { duration: Duration },
    /// One controller's requests get 503; its open watches stay pending.
    Refuse { controller: usize, duration: Duration },
    /// This share of the transactions gets no response and is executed later.
    DelayedWrites { share: f64, duration: Duration },
    /// Requests are executed, but this share of the responses is lost.
    LostResponses { share: f64, duration: Duration },
    /// This share of the transactions is executed, and executed again later.
    DuplicatedWrites { share: f64, duration: Duration },
    /// This share of the responses is delayed.
    DelayedResponses { share: f64, duration: Duration },
}

impl KvFault {
    /// How long the fault lasts, with the transactions that it delays.
    pub fn duration(&self) -> Duration {
        match *self {
            KvFault::Outage { duration }
            | KvFault::Refuse { duration, .. }
            | KvFault::LostResponses { duration, .. }
            | KvFault::DelayedResponses { duration, .. } => duration,
            KvFault::DelayedWrites { duration, .. } | KvFault::DuplicatedWrites { duration, .. } => {
                duration + MAX_COMMIT_DELAY
            }
        }
    }
}

/// Requests, and puts and deletes, that the store carries out per second.
#[derive(Debug, Clone, Copy)]
pub struct KvRates {
    /// Requests per second.
    pub requests: f64,
    /// Puts and deletes per second.
    pub writes: f64,
}

impl KvRates {
    /// Rates that small runs do not reach.
    const AMPLE: KvRates = KvRates { requests: 4000.0, writes: 1500.0 };
    /// Writes per second of a large deployment.
    const LARGE_DEPLOYMENT_WRITES: f64 = 100.0;

    /// The rates of a run that begins with this many unfinished jobs, for which the store serves this
    /// many requests per second.
    pub fn of_backlog(jobs: u64, request_rate: u64) -> Self {
        if jobs == 0 {
            return KvRates::AMPLE;
        }
        KvRates { requests: request_rate as f64, writes: KvRates::LARGE_DEPLOYMENT_WRITES }
    }

    /// Full buckets with bursts of one second's worth.
    fn buckets(self, now: Instant) -> [TokenBucket; 2] {
        [self.requests, self.writes].map(|rate| TokenBucket::new(rate, rate, now))
    }
}

enum Message {
    Request {
        controller: usize,
        request: Request,
        reply: oneshot::Sender<Response>,
    },
    Fault(KvFault),
    /// Requests the name of the controller that is the leader according to the key `leader`.
    Leader(oneshot::Sender<Option<String>>),
    /// Executes a delayed or duplicated transaction.
    Commit {
        controller: usize,
        body: Vec<u8>,
    },
}

struct Watch {
    controller: usize,
    prefix: String,
    from: u64,
    until: Instant,
    reply: oneshot::Sender<Response>,
}

/// A fault that affects a share of the requests until a given time.
#[derive(Debug, Clone, Copy)]
struct PartialFault {
    share: f64,
    until: Instant,
}

struct KvActor {
    store: KvStore,
    /// When each lease was granted or last extended.
    leases_renewed: BTreeMap<u64, Instant>,
    watches: Vec<Watch>,
    outage_until: Instant,
    /// When the refusal of each controller's requests ends, by controller index.
    refused_until: Vec<Instant>,
    delayed_writes: PartialFault,
    lost_responses: PartialFault,
    duplicated_writes: PartialFault,
    delayed_responses: PartialFault,
    rng: SmallRng,
    recorder: Recorder,
    messages: mpsc::UnboundedSender<Message>,
    requests: TokenBucket,
    writes: TokenBucket,
}

/// Handle of the key-value store.
#[derive(Debug, Clone)]
pub struct KvServer {
    messages: mpsc::UnboundedSender<Message>,
    /// The address at which each controller reaches the store.
    pub addresses: Vec<SocketAddr>,
}

impl KvServer {
    /// Starts the store with the records of these jobs, and a listener for each controller.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(
        seed: u64,
        controllers: usize,
        rates: KvRates,
        backlog: &[JobRecord],
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        let mut addresses = Vec::new();
        for controller in 0..controllers {
            let to_actor = messages.clone();
            let forward = move |request, reply| {
                let _ = to_actor.send(Message::Request { controller, request, reply });
            };
            addresses.push(listen(CONNECTIONS, MAX_BODY, forward).await?.address);
        }
        let mut actor = KvActor::new(seed, controllers, rates, recorder, messages.clone());
        backlog.iter().for_each(|record| actor.store_record(record));
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(TICK_INTERVAL);
            loop {
                tokio::select! {
                    message = inbox.recv() => match message {
                        Some(message) => actor.handle(message),
                        None => return,
                    },
                    _ = interval.tick() => actor.tick(Instant::now()),
                }
            }
        });
        Ok(KvServer { messages, addresses })
    }

    /// Begins a fault.
    pub fn inject(&self, fault: KvFault) {
        let _ = self.messages.send(Message::Fault(fault));
    }

    /// Name of the leader according to the store's data.
    pub async fn leader(&self) -> Option<String> {
        let (reply, leader) = oneshot::channel();
        let _ = self.messages.send(Message::Leader(reply));
        leader.await.ok().flatten()
    }
}

fn unavailable() -> Response {
    response(503, &MapBuilder::new().build())
}

/// Number of puts and deletes in the body of a commit; 0 if it is malformed.
fn number_of_changes(body: &[u8]) -> f64 {
    let Ok(body) = decode(body) else { return 0.0 };
    Fields::of(&body).and_then(|fields| fields.list("apply")).map_or(0.0, |changes| changes.len() as f64)
}

fn malformed() -> StatusAndBody {
    error_response("malformed")
}

impl KvActor {
    fn new(
        seed: u64,
        controllers: usize,
        rates: KvRates,
        recorder: Recorder,
        messages: mpsc::UnboundedSender<Message>,
    ) -> Self {
        let now = Instant::now();
        let [requests, writes] = rates.buckets(now);
        let no_fault = PartialFault { share: 0.0, until: now };
        let limits =
            KvLimits { rps: f64::INFINITY, write_rps: f64::INFINITY, value_kb: VALUE_KB, txn_ops: TXN_OPS };
        KvActor {
            store: KvStore::new(1, Some(limits), MAX_PAGE),
            leases_renewed: BTreeMap::new(),
            watches: Vec::new(),
            outage_until: now,
            refused_until: vec![now; controllers],
            delayed_writes: no_fault,
            lost_responses: no_fault,
            duplicated_writes: no_fault,
            delayed_responses: no_fault,
            rng: SmallRng::seed_from_u64(seed ^ 0x57a7e),
            recorder,
            messages,
            requests,
            writes,
        }
    }

    /// Stores the record and the live row of an unfinished job.
    fn store_record(&mut self, record: &JobRecord) {
        let id = &record.spec.id;
        let row = encode_row(JobState::Queued);
        for (key, value) in [(job_record_key(id), record.encode(VALUE_KB)), (live_row_key(id), row)] {
            self.store.entries.insert(key, Stored { value, version: self.store.revision, lease: None });
        }
    }

    /// Whether the rates allow the request, which is then charged.
    fn is_within_rates(&mut self, now: Instant, request: &Request) -> bool {
        let changes = if request.target == "/commit" { number_of_changes(&request.body) } else { 0.0 };
        let allowed = self.requests.allows(now, 1.0, 0.0) && self.writes.allows(now, changes, 0.0);
        if allowed {
            self.requests.spend(1.0);
            self.writes.spend(changes);
        }
        allowed
    }

    fn handle(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Request { controller, request, reply } => {
                self.handle_request(now, controller, request, reply);
            }
            Message::Fault(fault) => self.begin_fault(now, fault),
            Message::Leader(reply) => drop(reply.send(self.leader())),
            Message::Commit { controller, body } => drop(self.commit(controller, &body)),
        }
    }

    fn leader(&self) -> Option<String> {
        let value = &self.store.entries.get("leader")?.value;
        Fields::of(value).ok()?.text("name").ok().map(str::to_owned)
    }

    fn begin_fault(&mut self, now: Instant, fault: KvFault) {
        let partial = |share, duration| PartialFault { share, until: now + duration };
        match fault {
            KvFault::Outage { duration } => self.outage_until = now + duration,
            KvFault::Refuse { controller, duration } => self.refused_until[controller] = now + duration,
            KvFault::DelayedWrites { share, duration } => self.delayed_writes = partial(share, duration),
            KvFault::LostResponses { share, duration } => self.lost_responses = partial(share, duration),
            KvFault::DuplicatedWrites { share, duration } => {
                self.duplicated_writes = partial(share, duration);
            }
            KvFault::DelayedResponses { share, duration } => {
                self.delayed_responses = partial(share, duration);
            }
        }
    }

    /// Decides at random whether the fault affects this request.
    fn is_affected(&mut self, now: Instant, fault: PartialFault) -> bool {
        now < fault.until && self.rng.random_bool(fault.share)
    }

    /// Whether requests from the controller are served.
    fn serves(&self, now: Instant, controller: usize) -> bool {
        now >= self.outage_until && now >= self.refused_until[controller]
    }

    fn handle_request(
        &mut self,
        now: Instant,
        controller: usize,
        request: Request,
        reply: oneshot::Sender<Response>,
    ) {
        if request.target.starts_with("/watch?") {
            return self.watch(now, controller, &request.target, reply);
        }
        if !self.serves(now, controller) {
            let _ = reply.send(unavailable());
            return;
        }
        if !self.is_within_rates(now, &request) {
            let _ = reply.send(response(429, &MapBuilder::new().build()));
            return;
        }
        let is_write = request.target == "/commit";
        if is_write && self.is_affected(now, self.delayed_writes) {
            return self.schedule_commit(controller, request.body, 1.0..MAX_COMMIT_DELAY.as_secs_f64());
        }
        if is_write && self.is_affected(now, self.duplicated_writes) {
            self.schedule_commit(controller, request.body.clone(), 0.01..MAX_COMMIT_DELAY.as_secs_f64());
        }
        let (status, body) = self.execute(now, controller, &request).unwrap_or_else(|_| malformed());
        if self.is_affected(now, self.lost_responses) {
            return;
        }
        let is_delayed = self.is_affected(now, self.delayed_responses);
        let delay_s = if is_delayed { self.rng.random_range(0.05..0.8) } else { RESPONSE_DELAY_S };
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
            let _ = reply.send(response(status, &body));
        });
    }

    fn schedule_commit(&mut self, controller: usize, body: Vec<u8>, delay_s: std::ops::Range<f64>) {
        let (messages, delay_s) = (self.messages.clone(), self.rng.random_range(delay_s));
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
            let _ = messages.send(Message::Commit { controller, body });
        });
    }

    fn execute(
        &mut self,
        now: Instant,
        controller: usize,
        request: &Request,
    ) -> Result<StatusAndBody, Malformed> {
        let target = request.target.as_str();
        if let Some(key) = target.strip_prefix("/keys/") {
            return Ok(self.store.read(key));
        }
        match target {
            "/commit" => self.commit(controller, &request.body),
            "/leases" => self.grant_lease(now, &request.body),
            _ if target.starts_with("/leases/") => self.extend_or_revoke(now, &request.method, target),
            _ => self.store.read_page(target),
        }
    }

    fn grant_lease(&mut self, now: Instant, body: &[u8]) -> Result<StatusAndBody, Malformed> {
        let (lease, response) = self.store.grant_lease(body)?;
        self.leases_renewed.insert(lease, now);
        Ok(response)
    }

    fn extend_or_revoke(
        &mut self,
        now: Instant,
        method: &str,
        target: &str,
    ) -> Result<StatusAndBody, Malformed> {
        let lease = lease_in(target)?;
        let response = self.store.lease_response(lease);
        if method == "DELETE" {
            self.end_lease(lease);
        } else if let Some(renewed) = self.leases_renewed.get_mut(&lease) {
            *renewed = now;
        }
        Ok(response)
    }

    fn end_lease(&mut self, lease: u64) {
        self.store.end_lease(lease);
        self.leases_renewed.remove(&lease);
    }

    fn commit(&mut self, controller: usize, body: &[u8]) -> Result<StatusAndBody, Malformed> {
        let attempt = self.store.commit(&decode(body)?)?;
        if attempt.outcome == CommitOutcome::Committed {
            let (revision, keys) = (self.store.revision, attempt.keys);
            self.recorder.record(Event::Committed { controller, revision, keys });
        }
        Ok(self.store.commit_response(&attempt.outcome))
    }

    fn watch(&mut self, now: Instant, controller: usize, target: &str, reply: oneshot::Sender<Response>) {
        let (Some(prefix), Some(from)) = (query_field(target, "starts"), query_field(target, "from")) else {
            let (status, body) = malformed();
            let _ = reply.send(response(status, &body));
            return;
        };
        if !self.serves(now, controller) {
            let _ = reply.send(unavailable());
            return;
        }
        let wait_ms = query_field(target, "waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        self.watches.push(Watch {
            controller,
            prefix: prefix.to_owned(),
            from: from.parse().unwrap_or(0),
            until: now + Duration::from_millis(wait_ms),
            reply,
        });
    }

    /// Ends expired leases, and responds to watches that have changes or have timed out.
    fn tick(&mut self, now: Instant) {
        if now < self.outage_until {
            // After an outage, every lease starts with its full time to live.
            self.leases_renewed.values_mut().for_each(|renewed| *renewed = now);
            return;
        }
        for lease in self.expired_leases(now) {
            self.end_lease(lease);
        }
        for watch in std::mem::take(&mut self.watches) {
            let changed = self.store.has_changed_since(&watch.prefix, watch.from);
            if self.serves(now, watch.controller) && (changed || now >= watch.until) {
                let log = Value::Array(Vec::new());
                let body = MapBuilder::new().set("ledger", self.store.revision).set("log", log);
                let _ = watch.reply.send(response(200, &body.build()));
            } else {
                self.watches.push(watch);
            }
        }
    }

    fn expired_leases(&self, now: Instant) -> Vec<u64> {
        let has_expired = |(lease, ttl_ms): &(&u64, &u64)| {
            let renewed = self.leases_renewed.get(lease);
            renewed.is_none_or(|renewed| now >= *renewed + Duration::from_millis(**ttl_ms))
        };
        self.store.leases.iter().filter(has_expired).map(|(lease, _)| *lease).collect()
    }
}
