//! A stand-in for the state service: one task owns the data, the leases and what goes
//! wrong; each controller has a listener of its own, so that one alone can be refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, Malformed, MapBuilder, decode, encode, json_size, texts};
use shedtally::transport::codec::{Limits, Request, Response};
use shedtally::transport::server::{Handler, ServerOptions, serve};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::history::{Event, Recorder};

pub const VALUE_KB: f64 = 8.0;
pub const TXN_OPS: usize = 24;
const HTTP_LIMITS: Limits = Limits { head: 8192, body: 1 << 20 };
/// How often leases and waiting watches are looked at; leases may end so much late.
const STEP: Duration = Duration::from_millis(20);

/// What goes wrong with the state service.
#[derive(Debug, Clone, Copy)]
pub enum Mishap {
    /// Every request gets 503.
    Outage { lasts: Duration },
    /// One controller's requests get 503; its open watches wait.
    Refuse { controller: usize, lasts: Duration },
    /// That share of transactions gets no answer and is carried out later.
    LateWrites { share: f64, lasts: Duration },
    /// Carried out; that share of the answers is lost.
    LostAnswers { share: f64, lasts: Duration },
    /// Carried out, and once more later.
    DoubledWrites { share: f64, lasts: Duration },
    /// That share of the answers comes late.
    Slow { share: f64, lasts: Duration },
}

pub enum Message {
    Asked {
        controller: usize,
        request: Request,
        reply: oneshot::Sender<Response>,
    },
    Mishap(Mishap),
    /// Who holds the key `leader`.
    Leader(oneshot::Sender<Option<String>>),
    /// A transaction that was held up is carried out now.
    CarryOut {
        controller: usize,
        body: Vec<u8>,
    },
}

#[derive(Debug, Clone)]
struct Stored {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    life: Duration,
    renewed: Instant,
}

struct Watch {
    controller: usize,
    prefix: String,
    from: u64,
    until: Instant,
    reply: oneshot::Sender<Response>,
}

/// A share of something, for a while.
type Share = (f64, Instant);

struct Service {
    entries: BTreeMap<String, Stored>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    made: u64,
    /// When keys were last changed or removed.
    touched: BTreeMap<String, u64>,
    watches: Vec<Watch>,
    outage_until: Instant,
    refused_until: Vec<Instant>,
    late_writes: Share,
    lost_answers: Share,
    doubled_writes: Share,
    slow: Share,
    rng: SmallRng,
    recorder: Recorder,
    itself: mpsc::UnboundedSender<Message>,
}

/// Speaks to the service.
#[derive(Debug, Clone)]
pub struct StateService {
    messages: mpsc::UnboundedSender<Message>,
    /// Where each controller finds it.
    pub addresses: Vec<SocketAddr>,
}

#[derive(Clone)]
struct Door {
    controller: usize,
    messages: mpsc::UnboundedSender<Message>,
}

impl Handler for Door {
    async fn handle(&self, request: Request) -> Response {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.send(Message::Asked { controller: self.controller, request, reply });
        match answer.await {
            Ok(response) => response,
            // Whoever asked never hears of it.
            Err(_) => std::future::pending().await,
        }
    }
}

impl StateService {
    pub async fn start(seed: u64, controllers: usize, recorder: Recorder) -> std::io::Result<Self> {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        let mut addresses = Vec::new();
        for controller in 0..controllers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let patience = Duration::from_secs(60);
            let options = ServerOptions { limits: HTTP_LIMITS, connections: 256, idle: patience, patience };
            tokio::spawn(serve(listener, options, Door { controller, messages: messages.clone() }));
        }
        let now = Instant::now();
        let mut service = Service {
            entries: BTreeMap::new(),
            revision: 1,
            leases: BTreeMap::new(),
            made: 0,
            touched: BTreeMap::new(),
            watches: Vec::new(),
            outage_until: now,
            refused_until: vec![now; controllers],
            late_writes: (0.0, now),
            lost_answers: (0.0, now),
            doubled_writes: (0.0, now),
            slow: (0.0, now),
            rng: SmallRng::seed_from_u64(seed ^ 0x57a7e),
            recorder,
            itself: messages.clone(),
        };
        tokio::spawn(async move {
            let mut step = tokio::time::interval(STEP);
            loop {
                tokio::select! {
                    message = inbox.recv() => match message {
                        Some(message) => service.take(message),
                        None => return,
                    },
                    _ = step.tick() => service.step(Instant::now()),
                }
            }
        });
        Ok(StateService { messages, addresses })
    }

    pub fn suffer(&self, mishap: Mishap) {
        let _ = self.messages.send(Message::Mishap(mishap));
    }

    /// The controller that leads by the service's own word.
    pub async fn leader(&self) -> Option<String> {
        let (reply, answer) = oneshot::channel();
        let _ = self.messages.send(Message::Leader(reply));
        answer.await.ok().flatten()
    }
}

fn response(status: u16, body: &Value) -> Response {
    Response { status, body: encode(body), retry_after_s: None, close: false }
}

fn malformed() -> Response {
    response(400, &MapBuilder::new().set("error", "malformed").build())
}

fn entry(key: &str, stored: &Stored) -> Value {
    MapBuilder::new()
        .set("key", key)
        .set("data", stored.value.clone())
        .set("stamp", stored.version)
        .set_some("permit", stored.lease)
        .build()
}

/// The value of a field in the query of a target.
fn field<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn refused() -> Response {
    response(503, &Value::Map(Vec::new()))
}

impl Service {
    fn take(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Asked { controller, request, reply } => self.asked(now, controller, request, reply),
            Message::Mishap(mishap) => self.suffer(now, mishap),
            Message::Leader(reply) => {
                let name = self.entries.get("leader").and_then(|stored| {
                    let fields = Fields::of(&stored.value).ok()?;
                    fields.text("name").ok().map(str::to_owned)
                });
                let _ = reply.send(name);
            }
            Message::CarryOut { controller, body } => drop(self.commit(controller, &body)),
        }
    }

    fn suffer(&mut self, now: Instant, mishap: Mishap) {
        match mishap {
            Mishap::Outage { lasts } => self.outage_until = now + lasts,
            Mishap::Refuse { controller, lasts } => self.refused_until[controller] = now + lasts,
            Mishap::LateWrites { share, lasts } => self.late_writes = (share, now + lasts),
            Mishap::LostAnswers { share, lasts } => self.lost_answers = (share, now + lasts),
            Mishap::DoubledWrites { share, lasts } => self.doubled_writes = (share, now + lasts),
            Mishap::Slow { share, lasts } => self.slow = (share, now + lasts),
        }
    }

    fn happens(&mut self, now: Instant, (share, until): Share) -> bool {
        now < until && self.rng.random_bool(share)
    }

    fn serves(&self, now: Instant, controller: usize) -> bool {
        now >= self.outage_until && now >= self.refused_until[controller]
    }

    fn asked(&mut self, now: Instant, controller: usize, request: Request, reply: oneshot::Sender<Response>) {
        if request.target.starts_with("/watch?") {
            return self.watch(now, controller, &request.target, reply);
        }
        if !self.serves(now, controller) {
            let _ = reply.send(refused());
            return;
        }
        let writes = request.target == "/commit";
        if writes && self.happens(now, self.late_writes) {
            return self.carry_out_later(controller, request.body, 1.0..6.0);
        }
        if writes && self.happens(now, self.doubled_writes) {
            self.carry_out_later(controller, request.body.clone(), 0.01..6.0);
        }
        let answer = self.answer(now, controller, &request);
        if self.happens(now, self.lost_answers) {
            return;
        }
        let late = if self.happens(now, self.slow) { self.rng.random_range(0.05..0.8) } else { 0.002 };
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(late)).await;
            let _ = reply.send(answer);
        });
    }

    fn carry_out_later(&mut self, controller: usize, body: Vec<u8>, after: std::ops::Range<f64>) {
        let (itself, after) = (self.itself.clone(), self.rng.random_range(after));
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(after)).await;
            let _ = itself.send(Message::CarryOut { controller, body });
        });
    }

    fn answer(&mut self, now: Instant, controller: usize, request: &Request) -> Response {
        let target = request.target.as_str();
        let found = match target {
            "/commit" => self.commit(controller, &request.body),
            "/leases" => self.make_lease(now, &request.body),
            _ if target.starts_with("/leases/") => self.lease(now, &request.method, target),
            _ if target.starts_with("/keys?") => self.page(target),
            _ => target.strip_prefix("/keys/").map(|key| self.read(key)),
        };
        found.unwrap_or_else(malformed)
    }

    fn read(&self, key: &str) -> Response {
        match self.entries.get(key) {
            Some(stored) => response(200, &entry(key, stored)),
            None => response(404, &MapBuilder::new().set("ledger", self.revision).build()),
        }
    }

    fn page(&self, target: &str) -> Option<Response> {
        let prefix = field(target, "starts")?;
        let from = field(target, "from").unwrap_or_default();
        let most: usize = field(target, "page")?.parse().ok().filter(|most| (1..=1000).contains(most))?;
        let mut found = self.entries.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > from);
        let entries = found.by_ref().take(most).map(|(key, stored)| entry(key, stored)).collect();
        let page = MapBuilder::new()
            .set("entries", Value::Array(entries))
            .set("more", found.next().is_some())
            .set("ledger", self.revision);
        Some(response(200, &page.build()))
    }

    fn make_lease(&mut self, now: Instant, body: &[u8]) -> Option<Response> {
        let body = decode(body).ok()?;
        let life = Fields::of(&body).ok()?.count("lifeMs").ok()?;
        self.made += 1;
        self.leases.insert(self.made, Lease { life: Duration::from_millis(life), renewed: now });
        Some(response(200, &MapBuilder::new().set("permit", self.made).build()))
    }

    fn lease(&mut self, now: Instant, method: &str, target: &str) -> Option<Response> {
        let rest = target.strip_prefix("/leases/")?;
        let id: u64 = rest.trim_end_matches("/extend").parse().ok()?;
        let Some(lease) = self.leases.get_mut(&id) else { return Some(response(404, &Value::Null)) };
        if method == "DELETE" {
            self.end_lease(id);
        } else {
            lease.renewed = now;
        }
        Some(response(200, &Value::Map(Vec::new())))
    }

    /// The keys attached to a lease go with it.
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.entries.iter().filter(|(_, stored)| stored.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.entries.remove(&key);
            self.revision += 1;
            self.touched.insert(key, self.revision);
        }
    }

    fn commit(&mut self, controller: usize, body: &[u8]) -> Option<Response> {
        let body = decode(body).ok()?;
        let fields = Fields::of(&body).ok()?;
        let failed = self.failed_conditions(fields.list("if").ok()?).ok()?;
        let changes = fields.opt_list("apply").ok()?.unwrap_or_default();
        if !failed.is_empty() {
            let failed = texts(failed.iter().map(String::as_str));
            let body = MapBuilder::new().set("failed", failed).set("ledger", self.revision);
            return Some(response(409, &body.build()));
        }
        if changes.len() > TXN_OPS || changes.iter().any(is_too_large) {
            return None;
        }
        let lost_lease = |change: &Value| {
            let lease = Fields::of(change).ok().and_then(|f| f.opt_count("permit").ok().flatten());
            lease.is_some_and(|lease| !self.leases.contains_key(&lease))
        };
        if changes.iter().any(lost_lease) {
            return Some(response(400, &MapBuilder::new().set("error", "no such lease").build()));
        }
        self.revision += 1;
        let keys: Vec<String> = changes.iter().filter_map(|change| self.apply(change)).collect();
        self.recorder.note(Event::Committed { controller, revision: self.revision, keys });
        Some(response(200, &MapBuilder::new().set("ledger", self.revision).build()))
    }

    fn failed_conditions(&self, conditions: &[Value]) -> Result<Vec<String>, Malformed> {
        let mut failed = Vec::new();
        for condition in conditions {
            let fields = Fields::of(condition)?;
            let key = fields.text("key")?;
            if self.entries.get(key).map_or(0, |stored| stored.version) != fields.count("stamp")? {
                failed.push(key.to_owned());
            }
        }
        Ok(failed)
    }

    fn apply(&mut self, change: &Value) -> Option<String> {
        let fields = Fields::of(change).ok()?;
        if let Some(key) = fields.opt_text("remove").ok()? {
            self.entries.remove(key);
            self.touched.insert(key.to_owned(), self.revision);
            return Some(key.to_owned());
        }
        let key = fields.text("write").ok()?.to_owned();
        let value = fields.get("data").cloned().unwrap_or(Value::Null);
        let lease = fields.opt_count("permit").ok()?;
        self.entries.insert(key.clone(), Stored { value, version: self.revision, lease });
        self.touched.insert(key.clone(), self.revision);
        Some(key)
    }

    fn watch(&mut self, now: Instant, controller: usize, target: &str, reply: oneshot::Sender<Response>) {
        let (Some(prefix), Some(from)) = (field(target, "starts"), field(target, "from")) else {
            let _ = reply.send(malformed());
            return;
        };
        if !self.serves(now, controller) {
            let _ = reply.send(refused());
            return;
        }
        let wait = field(target, "waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        self.watches.push(Watch {
            controller,
            prefix: prefix.to_owned(),
            from: from.parse().unwrap_or(0),
            until: now + Duration::from_millis(wait),
            reply,
        });
    }

    fn step(&mut self, now: Instant) {
        if now < self.outage_until {
            // After an outage every lease has its full time again.
            self.leases.values_mut().for_each(|lease| lease.renewed = now);
            return;
        }
        let over = self.leases.iter().filter(|(_, lease)| now >= lease.renewed + lease.life);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end_lease(id));
        for watch in std::mem::take(&mut self.watches) {
            let is_later = |(key, at): (&String, &u64)| key.starts_with(&watch.prefix) && *at > watch.from;
            let changed = self.touched.iter().any(is_later);
            if self.serves(now, watch.controller) && (changed || now >= watch.until) {
                let body =
                    MapBuilder::new().set("ledger", self.revision).set("log", Value::Array(Vec::new()));
                let _ = watch.reply.send(response(200, &body.build()));
            } else {
                self.watches.push(watch);
            }
        }
    }
}

fn is_too_large(change: &Value) -> bool {
    let value = Fields::of(change).ok().and_then(|fields| fields.get("data"));
    value.is_some_and(|value| json_size(value) as f64 > VALUE_KB * 1024.0)
}
