//! The key-value store of a run: one actor owns the data, the leases and the faults. Each
//! controller has a listener of its own, so that requests of one controller alone can be
//! refused.

/// The data is the same code as that of the library's own test double. It is included here
/// by its path, as the library has no test double in its public API.
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
use shedtally::transport::codec::{Request, Response};
// `store` finds these by way of its parent.
use shedtally::{protocol, settings};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use self::store::{CommitOutcome, KvStore, MAX_PAGE, StatusAndBody, error_response, lease_in, query_field};
use super::history::{Event, Recorder};
use super::http::{listen, response};

/// Largest value, in KiB.
pub const VALUE_KB: f64 = 8.0;
/// Most puts and deletes in one transaction.
pub const TXN_OPS: usize = 24;
/// Most bytes in the body of a request.
const MAX_BODY: usize = 1 << 20;
/// Most connections of each controller.
const CONNECTIONS: usize = 256;
/// How often leases and waiting watches are checked; leases may expire late by this much.
const STEP: Duration = Duration::from_millis(20);
/// Time that a response usually takes, in seconds.
const RESPONSE_S: f64 = 0.002;

/// A fault of the key-value store.
#[derive(Debug, Clone, Copy)]
pub enum KvFault {
    /// Every request gets 503.
    Outage { lasts: Duration },
    /// One controller's requests get 503; its open watches wait.
    Refuse { controller: usize, lasts: Duration },
    /// This share of the transactions gets no response and is carried out later.
    LateWrites { share: f64, lasts: Duration },
    /// Requests are carried out, but this share of the responses is lost.
    LostResponses { share: f64, lasts: Duration },
    /// This share of the transactions is carried out, and once more later.
    DoubledWrites { share: f64, lasts: Duration },
    /// This share of the responses is late.
    SlowResponses { share: f64, lasts: Duration },
}

enum Message {
    Request {
        controller: usize,
        request: Request,
        reply: oneshot::Sender<Response>,
    },
    Fault(KvFault),
    /// Who holds the key `leader`.
    Leader(oneshot::Sender<Option<String>>),
    /// A delayed or doubled transaction is carried out now.
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

/// A fault that hits a share of the requests until a time.
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
    /// By controller.
    refused_until: Vec<Instant>,
    late_writes: PartialFault,
    lost_responses: PartialFault,
    doubled_writes: PartialFault,
    slow_responses: PartialFault,
    rng: SmallRng,
    recorder: Recorder,
    messages: mpsc::UnboundedSender<Message>,
}

/// Handle of the key-value store.
#[derive(Debug, Clone)]
pub struct KvServer {
    messages: mpsc::UnboundedSender<Message>,
    /// Where each controller reaches the store.
    pub addresses: Vec<SocketAddr>,
}

impl KvServer {
    /// Starts the store with a listener for each controller.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(seed: u64, controllers: usize, recorder: Recorder) -> std::io::Result<Self> {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        let mut addresses = Vec::new();
        for controller in 0..controllers {
            let to_actor = messages.clone();
            let pass_on = move |request, reply| {
                let _ = to_actor.send(Message::Request { controller, request, reply });
            };
            addresses.push(listen(CONNECTIONS, MAX_BODY, pass_on).await?.address);
        }
        let mut actor = KvActor::new(seed, controllers, recorder, messages.clone());
        tokio::spawn(async move {
            let mut step = tokio::time::interval(STEP);
            loop {
                tokio::select! {
                    message = inbox.recv() => match message {
                        Some(message) => actor.handle(message),
                        None => return,
                    },
                    _ = step.tick() => actor.step(Instant::now()),
                }
            }
        });
        Ok(KvServer { messages, addresses })
    }

    /// Begins a fault.
    pub fn inject(&self, fault: KvFault) {
        let _ = self.messages.send(Message::Fault(fault));
    }

    /// Name of the controller that leads by the store's data.
    pub async fn leader(&self) -> Option<String> {
        let (reply, leader) = oneshot::channel();
        let _ = self.messages.send(Message::Leader(reply));
        leader.await.ok().flatten()
    }
}

fn refused() -> Response {
    response(503, &MapBuilder::new().build())
}

fn malformed() -> StatusAndBody {
    error_response("malformed")
}

impl KvActor {
    fn new(
        seed: u64,
        controllers: usize,
        recorder: Recorder,
        messages: mpsc::UnboundedSender<Message>,
    ) -> Self {
        let now = Instant::now();
        let no_fault = PartialFault { share: 0.0, until: now };
        let limits =
            KvLimits { rps: f64::INFINITY, write_rps: f64::INFINITY, value_kb: VALUE_KB, txn_ops: TXN_OPS };
        KvActor {
            store: KvStore::new(1, Some(limits), MAX_PAGE),
            leases_renewed: BTreeMap::new(),
            watches: Vec::new(),
            outage_until: now,
            refused_until: vec![now; controllers],
            late_writes: no_fault,
            lost_responses: no_fault,
            doubled_writes: no_fault,
            slow_responses: no_fault,
            rng: SmallRng::seed_from_u64(seed ^ 0x57a7e),
            recorder,
            messages,
        }
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
        let partial = |share, lasts| PartialFault { share, until: now + lasts };
        match fault {
            KvFault::Outage { lasts } => self.outage_until = now + lasts,
            KvFault::Refuse { controller, lasts } => self.refused_until[controller] = now + lasts,
            KvFault::LateWrites { share, lasts } => self.late_writes = partial(share, lasts),
            KvFault::LostResponses { share, lasts } => self.lost_responses = partial(share, lasts),
            KvFault::DoubledWrites { share, lasts } => self.doubled_writes = partial(share, lasts),
            KvFault::SlowResponses { share, lasts } => self.slow_responses = partial(share, lasts),
        }
    }

    /// Whether this request is one of those that the fault hits.
    fn is_hit(&mut self, now: Instant, fault: PartialFault) -> bool {
        now < fault.until && self.rng.random_bool(fault.share)
    }

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
            let _ = reply.send(refused());
            return;
        }
        let is_write = request.target == "/commit";
        if is_write && self.is_hit(now, self.late_writes) {
            return self.commit_later(controller, request.body, 1.0..6.0);
        }
        if is_write && self.is_hit(now, self.doubled_writes) {
            self.commit_later(controller, request.body.clone(), 0.01..6.0);
        }
        let (status, body) = self.answer(now, controller, &request).unwrap_or_else(|_| malformed());
        if self.is_hit(now, self.lost_responses) {
            return;
        }
        let is_slow = self.is_hit(now, self.slow_responses);
        let delay_s = if is_slow { self.rng.random_range(0.05..0.8) } else { RESPONSE_S };
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
            let _ = reply.send(response(status, &body));
        });
    }

    fn commit_later(&mut self, controller: usize, body: Vec<u8>, delay_s: std::ops::Range<f64>) {
        let (messages, delay_s) = (self.messages.clone(), self.rng.random_range(delay_s));
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
            let _ = messages.send(Message::Commit { controller, body });
        });
    }

    fn answer(
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
            let _ = reply.send(refused());
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

    /// Ends leases that have expired, and answers watches.
    fn step(&mut self, now: Instant) {
        if now < self.outage_until {
            // After an outage every lease has its full time to live again.
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
