//! Test double of the key-value store for the library's tests. Tests with their own clock call
//! it directly in memory; other tests use it over HTTP on a free loopback port, with scripted
//! faults.

mod store;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ciborium::value::Value;
use tokio::sync::{mpsc, oneshot};

use self::store::{CommitOutcome, KvStore, MAX_PAGE, Stored, lease_in};
use super::kv::{self, KvClient, RequestClass, Transaction};
use crate::protocol::cbor::{MapBuilder, decode, encode};
use crate::protocol::kv::{Change, Compare};
use crate::settings::{KvLimits, KvSettings};
use crate::transport::codec::{Limits, Request, Response};
use crate::transport::server::{Handler, ServerOptions, serve};
// `store` imports these from its parent module.
use crate::{protocol, settings};

/// How the next commit fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Script {
    /// It is committed, but its response is unusable.
    LoseAnswer,
    /// Its response is unusable, and it is committed when the next commit arrives.
    Delay,
    /// It gets status 503 and is not committed.
    Refuse,
}

/// The store in memory. Tests with their own clock call it directly.
pub struct InMemoryKv {
    store: KvStore,
    /// Body of a commit that is applied when the next one arrives.
    delayed: Option<Value>,
    /// How the next commits fail.
    script: VecDeque<Script>,
    /// Number of changes in each commit that was checked against the store, without those
    /// beyond the limits.
    commit_sizes: Vec<usize>,
}

enum Message {
    Http(Request, oneshot::Sender<Response>),
    Seed(String, Value, u64),
    CommitSizes(oneshot::Sender<Vec<usize>>),
    Limit(KvLimits),
}

/// The store served over HTTP. It stops with the test's runtime.
#[derive(Clone)]
pub struct FakeKvServer {
    messages: mpsc::Sender<Message>,
    address: SocketAddr,
}

impl Handler for FakeKvServer {
    async fn handle(&self, request: Request) -> Response {
        let (reply, response) = oneshot::channel();
        let _ = self.messages.send(Message::Http(request, reply)).await;
        match response.await {
            Ok(response) => response,
            // A watch gets no response, as in an outage, and waits.
            Err(_) => std::future::pending().await,
        }
    }
}

impl FakeKvServer {
    /// Starts the server; the next commits fail as scripted.
    pub async fn start(script: &[Script]) -> Self {
        let (messages, inbox) = mpsc::channel(16);
        let mut state = InMemoryKv::with_pages_of(MAX_PAGE);
        state.script = script.iter().copied().collect();
        tokio::spawn(state.serve_messages(inbox));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let timeout = Duration::from_secs(30);
        let limits = Limits { head: 8192, body: 1 << 20 };
        let options =
            ServerOptions { limits, max_connections: 16, idle_timeout: timeout, io_timeout: timeout };
        let server = FakeKvServer { messages, address };
        tokio::spawn(serve(listener, options, server.clone()));
        server
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stores a value with this version.
    pub async fn seed(&self, key: &str, value: Value, version: u64) {
        assert!(self.messages.send(Message::Seed(key.to_owned(), value, version)).await.is_ok());
    }

    /// From now on values and transactions beyond these limits are rejected.
    pub async fn limit(&self, limits: KvLimits) {
        assert!(self.messages.send(Message::Limit(limits)).await.is_ok());
    }

    /// Number of changes in each commit that was checked against the store, without those
    /// beyond the limits.
    pub async fn commit_sizes(&self) -> Vec<usize> {
        let (reply, sizes) = oneshot::channel();
        assert!(self.messages.send(Message::CommitSizes(reply)).await.is_ok());
        sizes.await.expect("the server runs")
    }
}

impl InMemoryKv {
    /// Creates an empty store whose pages hold at most this many keys, whatever is requested.
    pub fn with_pages_of(max_keys: usize) -> Self {
        let store = KvStore::new(0, None, max_keys);
        InMemoryKv { store, delayed: None, script: VecDeque::new(), commit_sizes: Vec::new() }
    }

    async fn serve_messages(mut self, mut inbox: mpsc::Receiver<Message>) {
        while let Some(message) = inbox.recv().await {
            match message {
                Message::Http(request, reply) => {
                    if let Some((status, body)) = self.answer(&request) {
                        let body = encode(&body);
                        let _ = reply.send(Response { status, body, retry_after_s: None, close: false });
                    }
                }
                Message::Seed(key, value, version) => self.seed(&key, value, version),
                Message::Limit(limits) => self.limit(limits),
                Message::CommitSizes(reply) => drop(reply.send(self.commit_sizes.clone())),
            }
        }
    }

    /// Stores a value with this version.
    pub fn seed(&mut self, key: &str, value: Value, version: u64) {
        self.store.revision = self.store.revision.max(version);
        self.store.entries.insert(key.to_owned(), Stored { value, version, lease: None });
    }

    /// From now on values and transactions beyond these limits are rejected.
    pub fn limit(&mut self, limits: KvLimits) {
        self.store.limits = Some(limits);
    }

    /// Leases that exist, and their time to live in milliseconds.
    pub fn leases(&self) -> &BTreeMap<u64, u64> {
        &self.store.leases
    }

    /// Ends a lease: its keys are removed.
    pub fn end_lease(&mut self, lease: u64) {
        self.store.end_lease(lease);
    }

    /// The store's revision, if a key with the prefix has changed since revision `from`.
    pub fn changed_since(&self, prefix: &str, from: u64) -> Option<u64> {
        self.store.has_changed_since(prefix, from).then_some(self.store.revision)
    }

    /// Status and body of the response to a request; `None` for a watch, which waits. Panics
    /// if the request is malformed, since controllers never send malformed requests.
    pub fn answer(&mut self, request: &Request) -> Option<(u16, Value)> {
        let target = request.target.as_str();
        if target.starts_with("/watch") {
            return None;
        }
        if let Some(key) = target.strip_prefix("/keys/") {
            return Some(self.store.read(key));
        }
        if target.starts_with("/keys?") {
            return Some(self.store.read_page(target).expect("a well-formed page request"));
        }
        if target == "/leases" {
            let (_, response) = self.store.grant_lease(&request.body).expect("a well-formed lease request");
            return Some(response);
        }
        if target.starts_with("/leases/") {
            return Some(self.answer_lease(request));
        }
        Some(self.answer_commit(&request.body))
    }

    fn answer_lease(&mut self, request: &Request) -> (u16, Value) {
        let lease = lease_in(&request.target).expect("a lease");
        let response = self.store.lease_response(lease);
        if request.method == "DELETE" {
            self.store.end_lease(lease);
        }
        response
    }

    fn answer_commit(&mut self, body: &[u8]) -> (u16, Value) {
        let body = decode(body).expect("CBOR");
        if let Some(delayed) = self.delayed.take() {
            self.commit(&delayed);
        }
        match self.script.pop_front() {
            None => self.commit(&body),
            Some(Script::LoseAnswer) => {
                self.commit(&body);
                (200, Value::Null)
            }
            Some(Script::Delay) => {
                self.delayed = Some(body);
                (502, Value::Null)
            }
            Some(Script::Refuse) => (503, Value::Null),
        }
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let attempt = self.store.commit(body).expect("a well-formed transaction");
        if attempt.outcome != CommitOutcome::TooLarge {
            self.commit_sizes.push(attempt.keys.len());
        }
        self.store.commit_response(&attempt.outcome)
    }
}

/// A client with the real actor, for the test double at this address.
pub fn kv_client(address: SocketAddr, txn_ops: usize) -> KvClient {
    kv_client_within(address, limits(txn_ops))
}

/// Limits that tests do not reach, except for the changes in one transaction.
pub fn limits(txn_ops: usize) -> KvSettings {
    KvSettings { rps: 10_000.0, write_rps: 10_000.0, value_kb: 8.0, txn_ops, next: None }
}

/// A client with the real actor under these limits, for the test double at this address.
pub fn kv_client_within(address: SocketAddr, limits: KvSettings) -> KvClient {
    let (leader_sender, is_leader) = tokio::sync::watch::channel(true);
    // The actor stops when this sender is dropped.
    std::mem::forget(leader_sender);
    kv::start(address, &limits, 1, Duration::from_millis(50), is_leader)
}

/// A transaction of one put that requires the key to have this version.
pub fn put(epoch: u64, key: &str, version: u64) -> Transaction {
    Transaction {
        class: RequestClass::Admission,
        epoch,
        compares: vec![Compare { key: key.into(), version }],
        changes: vec![Change::Put { key: key.into(), value: MapBuilder::new().build(), lease: None }],
    }
}
