//! A stand-in for the state service, for tests: real HTTP on a free loopback
//! port, one task that owns the data, and a script of mishaps.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ciborium::value::Value;
use tokio::sync::{mpsc, oneshot};

use super::kv::{self, KvClient, RequestClass, Transaction};
use crate::protocol::cbor::{Fields, MapBuilder, decode, encode, json_size, texts};
use crate::protocol::kv::{Change, Compare};
use crate::settings::{State, StateLimits};
use crate::transport::codec::{Limits, Request, Response};
use crate::transport::server::{Handler, ServerOptions, serve};

/// What is done with the next commit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Script {
    /// Carries it out; the answer makes no sense to the client.
    LoseAnswer,
    /// Says nothing sensible, and carries it out when the next one comes.
    Delay,
    /// 503: not carried out.
    Refuse,
}

#[derive(Debug, Clone)]
struct Stored {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// The data and what may be done to it; a test on a clock of its own drives it
/// directly.
#[derive(Default)]
pub struct InMemoryKv {
    entries: BTreeMap<String, Stored>,
    revision: u64,
    /// Leases given out, with their life in milliseconds.
    leases: BTreeMap<u64, u64>,
    made: u64,
    /// Revisions at which keys were last changed or removed.
    touched: BTreeMap<String, u64>,
    late: Option<Value>,
    script: VecDeque<Script>,
    commits: Vec<usize>,
    /// Limits on values and transactions, if any are enforced.
    limits: Option<StateLimits>,
    /// Most keys in one page, if fewer than a request may ask for.
    page: Option<usize>,
}

enum Ask {
    Http(Request, oneshot::Sender<Response>),
    Seed(String, Value, u64),
    Commits(oneshot::Sender<Vec<usize>>),
    Limit(StateLimits),
}

/// Speaks to the stand-in; it ends with the test's runtime.
#[derive(Clone)]
pub struct FakeKvServer {
    asks: mpsc::Sender<Ask>,
    address: SocketAddr,
}

impl Handler for FakeKvServer {
    async fn handle(&self, request: Request) -> Response {
        let (reply, answer) = oneshot::channel();
        let _ = self.asks.send(Ask::Http(request, reply)).await;
        // A watch is dropped unanswered: it waits, as in an outage.
        match answer.await {
            Ok(response) => response,
            Err(_) => std::future::pending().await,
        }
    }
}

impl FakeKvServer {
    pub async fn start(script: &[Script]) -> Self {
        let (asks, mut asked) = mpsc::channel(16);
        let mut state = InMemoryKv { script: script.iter().copied().collect(), ..InMemoryKv::default() };
        tokio::spawn(async move {
            while let Some(ask) = asked.recv().await {
                match ask {
                    Ask::Http(request, reply) => {
                        if let Some((status, body)) = state.answer(&request) {
                            let response =
                                Response { status, body: encode(&body), retry_after_s: None, close: false };
                            let _ = reply.send(response);
                        }
                    }
                    Ask::Seed(key, value, version) => {
                        state.revision = state.revision.max(version);
                        state.entries.insert(key, Stored { value, version, lease: None });
                    }
                    Ask::Limit(limits) => state.limit(limits),
                    Ask::Commits(reply) => drop(reply.send(state.commits.clone())),
                }
            }
        });
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let patience = Duration::from_secs(30);
        let limits = Limits { head: 8192, body: 1 << 20 };
        let options = ServerOptions { limits, connections: 16, idle: patience, patience };
        let stand_in = FakeKvServer { asks, address };
        tokio::spawn(serve(listener, options, stand_in.clone()));
        stand_in
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub async fn seed(&self, key: &str, value: Value, version: u64) {
        assert!(self.asks.send(Ask::Seed(key.to_owned(), value, version)).await.is_ok());
    }

    /// From now on values and transactions beyond these limits are refused.
    pub async fn limit(&self, limits: StateLimits) {
        assert!(self.asks.send(Ask::Limit(limits)).await.is_ok());
    }

    /// How many changes each commit asked for.
    pub async fn commit_sizes(&self) -> Vec<usize> {
        let (reply, answer) = oneshot::channel();
        assert!(self.asks.send(Ask::Commits(reply)).await.is_ok());
        answer.await.expect("the stand-in runs")
    }
}

impl InMemoryKv {
    /// A page never holds more keys than this, whatever is asked for.
    pub fn with_pages_of(most: usize) -> Self {
        InMemoryKv { page: Some(most), ..InMemoryKv::default() }
    }

    /// From now on values and transactions beyond these limits are refused.
    pub fn limit(&mut self, limits: StateLimits) {
        self.limits = Some(limits);
    }

    /// Leases that there are, and how long each lives from its renewal on.
    pub fn leases(&self) -> &BTreeMap<u64, u64> {
        &self.leases
    }

    /// A lease has ended: its keys go with it.
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = |stored: &Stored| stored.lease == Some(lease);
        let keys: Vec<String> =
            self.entries.iter().filter(|(_, s)| attached(s)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.entries.remove(&key);
            self.revision += 1;
            self.touched.insert(key, self.revision);
        }
    }

    /// The revision, if a key with the prefix has changed since that one.
    pub fn changed_since(&self, prefix: &str, from: u64) -> Option<u64> {
        let mut keys = self.touched.iter().filter(|(key, _)| key.starts_with(prefix));
        keys.any(|(_, at)| *at > from).then_some(self.revision)
    }

    pub fn answer(&mut self, request: &Request) -> Option<(u16, Value)> {
        let target = request.target.as_str();
        if let Some(key) = target.strip_prefix("/keys/") {
            return Some(match self.entries.get(key) {
                Some(stored) => (200, entry(key, stored)),
                None => (404, MapBuilder::new().set("ledger", self.revision).build()),
            });
        }
        if let Some(query) = target.strip_prefix("/keys?") {
            return Some((200, self.page(query)));
        }
        if target.starts_with("/watch") {
            return None;
        }
        if target == "/leases" {
            let asked = decode(&request.body).ok();
            let life = asked.and_then(|body| Fields::of(&body).ok()?.count("lifeMs").ok());
            self.made += 1;
            self.leases.insert(self.made, life.unwrap_or_default());
            return Some((200, MapBuilder::new().set("permit", self.made).build()));
        }
        if let Some(rest) = target.strip_prefix("/leases/") {
            let lease: u64 = rest.trim_end_matches("/extend").parse().expect("a lease");
            let known = self.leases.contains_key(&lease);
            if request.method == "DELETE" {
                self.end_lease(lease);
            }
            return Some((if known { 200 } else { 404 }, Value::Map(Vec::new())));
        }
        let body = decode(&request.body).expect("CBOR");
        if let Some(late) = self.late.take() {
            self.commit(&late);
        }
        Some(match self.script.pop_front() {
            None => self.commit(&body),
            Some(Script::LoseAnswer) => {
                self.commit(&body);
                (200, Value::Null)
            }
            Some(Script::Delay) => {
                self.late = Some(body);
                (502, Value::Null)
            }
            Some(Script::Refuse) => (503, Value::Null),
        })
    }

    fn page(&self, query: &str) -> Value {
        let field =
            |name: &str| query.split('&').find_map(|part| part.strip_prefix(name)).unwrap_or_default();
        let (prefix, from) = (field("starts="), field("from="));
        let asked: usize = field("page=").parse().expect("a page size");
        let most = self.page.map_or(asked, |page| page.min(asked));
        let mut found = self.entries.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from);
        let entries = found.by_ref().take(most).map(|(k, stored)| entry(k, stored)).collect();
        MapBuilder::new()
            .set("entries", Value::Array(entries))
            .set("more", found.next().is_some())
            .set("ledger", self.revision)
            .build()
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let f = Fields::of(body).expect("a map");
        let version = |key: &str| self.entries.get(key).map_or(0, |stored| stored.version);
        let failed: Vec<&str> = f
            .list("if")
            .expect("conditions")
            .iter()
            .map(|c| Fields::of(c).expect("a map"))
            .filter(|c| version(c.text("key").expect("key")) != c.count("stamp").expect("stamp"))
            .map(|c| c.text("key").expect("key"))
            .collect();
        let changes = f.list("apply").expect("changes");
        if self.limits.is_some_and(|limits| is_beyond(&limits, changes)) {
            return (400, MapBuilder::new().set("error", "too large").build());
        }
        self.commits.push(changes.len());
        if !failed.is_empty() {
            return (
                409,
                MapBuilder::new().set("failed", texts(failed)).set("ledger", self.revision).build(),
            );
        }
        let gone = |change: &Value| {
            let lease = Fields::of(change).expect("a map").opt_count("permit").expect("a lease");
            lease.is_some_and(|lease| !self.leases.contains_key(&lease))
        };
        if changes.iter().any(gone) {
            return (400, MapBuilder::new().set("error", "no such lease").build());
        }
        self.revision += 1;
        for change in changes {
            let c = Fields::of(change).expect("a map");
            let key = c.opt_text("remove").expect("text").or(c.opt_text("write").expect("text"));
            self.touched.insert(key.expect("a key").to_owned(), self.revision);
            match c.opt_text("remove").expect("text") {
                Some(key) => drop(self.entries.remove(key)),
                None => {
                    let value = c.get("data").expect("data").clone();
                    let lease = c.opt_count("permit").expect("a lease");
                    let stored = Stored { value, version: self.revision, lease };
                    self.entries.insert(c.text("write").expect("key").to_owned(), stored);
                }
            }
        }
        (200, MapBuilder::new().set("ledger", self.revision).build())
    }
}

/// Whether a transaction of these changes is larger than the limits allow.
fn is_beyond(limits: &StateLimits, changes: &[Value]) -> bool {
    let data = |change| Fields::of(change).ok().and_then(|fields| fields.get("data"));
    let too_large = |value: &Value| json_size(value) > limits.value_bytes();
    changes.len() > limits.txn_ops || changes.iter().filter_map(data).any(too_large)
}

fn entry(key: &str, stored: &Stored) -> Value {
    MapBuilder::new()
        .set("key", key)
        .set("data", stored.value.clone())
        .set("stamp", stored.version)
        .set_some("permit", stored.lease)
        .build()
}

/// The real actor, against the stand-in.
pub fn store(address: SocketAddr, txn_ops: usize) -> KvClient {
    store_within(address, limits(txn_ops))
}

/// Limits that tests do not reach but for the size of transactions.
pub fn limits(txn_ops: usize) -> State {
    State { rps: 10_000.0, write_rps: 10_000.0, value_kb: 8.0, txn_ops, next: None }
}

/// The real actor under these limits, against the stand-in.
pub fn store_within(address: SocketAddr, limits: State) -> KvClient {
    let (leads, leading) = tokio::sync::watch::channel(true);
    // The actor would stop if this end were dropped.
    std::mem::forget(leads);
    kv::start(address, limits, 1, Duration::from_millis(50), leading)
}

/// One put, on condition that the key has this version.
pub fn put(epoch: u64, key: &str, version: u64) -> Transaction {
    Transaction {
        class: RequestClass::Admission,
        epoch,
        compares: vec![Compare { key: key.into(), version }],
        changes: vec![Change::Put { key: key.into(), value: MapBuilder::new().build(), lease: None }],
    }
}
