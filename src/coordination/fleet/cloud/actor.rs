//! The actor that makes the calls and controls their order, rate and connections.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::coordination::fleet::cloud::codec::{decode_reply, encode_call};
use crate::coordination::fleet::cloud::{CloudCall, CloudError, CloudResult};
use crate::storage::rate_limit::{LogThrottle, TokenBucket};
use crate::transport::client::{Connection, ConnectionPool};
use crate::transport::codec::Limits;

/// The capacity of the queue of waiting requests; the channel to the actor has the same capacity.
pub(super) const QUEUE_CAPACITY: usize = 32;

/// Size limits of a response, in bytes.
const RESPONSE_LIMITS: Limits = Limits { head: 8 * 1024, body: 512 * 1024 };
/// The maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 4;
/// The fraction of the cloud's rate limit that is used.
const RATE_SHARE: f64 = 0.9;
/// The minimum pause before the rate limit is checked again.
const MIN_RATE_PAUSE: Duration = Duration::from_millis(5);
/// The pause while there is nothing to wait for but messages.
const IDLE_PAUSE: Duration = Duration::from_secs(3600);

/// A call and where its result goes.
#[derive(Debug)]
pub(super) struct Request {
    /// The call.
    pub(super) call: CloudCall,
    /// Receives the result.
    pub(super) reply: oneshot::Sender<CloudResult>,
}

impl Request {
    /// Whether the call provisions or deletes machines, which costs or saves money, rather than only
    /// reads.
    fn is_change(&self) -> bool {
        matches!(self.call, CloudCall::Provision(_) | CloudCall::Delete(_))
    }
}

/// A request that is no longer in flight.
struct FinishedRequest {
    /// The connection, if it can be reused.
    connection: Option<Connection>,
    failure: Option<Failure>,
}

/// The failure of a request with [`CloudError::Failed`].
struct Failure {
    /// The status of the response, if there was one.
    status: Option<u16>,
}

/// The state of the actor.
pub(super) struct Actor {
    requests: mpsc::Receiver<Request>,
    /// When the controller's lease as the leader expires.
    lease_expiry: watch::Receiver<Instant>,
    /// The deadline of each request.
    deadline: Duration,
    rate: TokenBucket,
    pool: ConnectionPool,
    waiting: VecDeque<Request>,
    in_flight: usize,
    finished_sender: mpsc::Sender<FinishedRequest>,
    finished: mpsc::Receiver<FinishedRequest>,
    failure_log: LogThrottle,
}

impl Actor {
    /// Creates an actor that calls this address. `rate`: the cloud's limit, in requests a second.
    pub(super) fn new(
        address: SocketAddr,
        rate: f64,
        deadline: Duration,
        lease_expiry: watch::Receiver<Instant>,
        requests: mpsc::Receiver<Request>,
    ) -> Self {
        let (finished_sender, finished) = mpsc::channel(MAX_IN_FLIGHT);
        let rate = rate * RATE_SHARE;
        Actor {
            requests,
            lease_expiry,
            deadline,
            // The burst is limited to one second of requests, since an earlier leader may have used
            // up the cloud's rate limit before a failover.
            rate: TokenBucket::new(rate, rate.max(1.0), Instant::now()),
            pool: ConnectionPool::new(address, RESPONSE_LIMITS, MAX_IN_FLIGHT),
            waiting: VecDeque::new(),
            in_flight: 0,
            finished_sender,
            finished,
            failure_log: LogThrottle::default(),
        }
    }

    /// Makes calls until all senders of requests are dropped.
    pub(super) async fn run(mut self) {
        loop {
            let now = Instant::now();
            self.fail_waiting_past_lease(now);
            let pause = self.start_waiting(now);
            tokio::select! {
                biased;
                request = self.requests.recv(), if self.waiting.len() < QUEUE_CAPACITY => match request {
                    Some(request) => self.enqueue(request),
                    None => return,
                },
                Some(finished) = self.finished.recv() => self.finish(finished),
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn fail_waiting_past_lease(&mut self, now: Instant) {
        if now < *self.lease_expiry.borrow() {
            return;
        }
        for request in self.waiting.drain(..) {
            let _ = request.reply.send(Err(CloudError::Failed));
        }
    }

    /// Starts as many waiting requests as are allowed now, and returns the pause until the next check.
    fn start_waiting(&mut self, now: Instant) -> Duration {
        while self.in_flight < MAX_IN_FLIGHT && !self.waiting.is_empty() {
            if !self.rate.allows(now, 1.0, 0.0) {
                return self.rate.wait(1.0, 0.0).max(MIN_RATE_PAUSE);
            }
            self.rate.spend(1.0);
            if let Some(request) = self.waiting.pop_front() {
                self.start(request);
            }
        }
        IDLE_PAUSE
    }

    fn start(&mut self, request: Request) {
        let prepared = self.pool.prepare(encode_call(&request.call, self.deadline));
        self.in_flight += 1;
        let finished = self.finished_sender.clone();
        tokio::spawn(async move {
            let (result, connection) = prepared.run().await;
            let status = result.as_ref().map(|response| response.status).ok();
            let reply = decode_reply(&request.call, result);
            let failure = (reply == Err(CloudError::Failed)).then_some(Failure { status });
            let _ = request.reply.send(reply);
            let _ = finished.send(FinishedRequest { connection, failure }).await;
        });
    }

    /// Queues a request: changes before reads, otherwise in the order of arrival.
    fn enqueue(&mut self, request: Request) {
        let is_read = |waiting: &Request| !waiting.is_change();
        let first_read = self.waiting.iter().position(is_read).filter(|_| request.is_change());
        self.waiting.insert(first_read.unwrap_or(self.waiting.len()), request);
    }

    fn finish(&mut self, finished: FinishedRequest) {
        self.in_flight -= 1;
        self.pool.put_back(finished.connection);
        if let Some(Failure { status }) = finished.failure
            && let Some(times) = self.failure_log.record_failure(Instant::now())
        {
            tracing::error!(times, ?status, "cloud request failed");
        }
    }
}
