//! The client of the consensus-backed key-value store, and the actor that owns all requests
//! to it.
//!
//! The actor keeps requests below the store's rate limits, with lease renewals first
//! (`rates`, `queue`); packs changes of several callers into one transaction (`batch`);
//! makes each transaction depend on the leader's epoch, which serves as fencing token; and
//! before it reports the result of a transaction without a usable response, determines whether
//! the transaction was committed (`outcome`).

mod actor;
mod batch;
mod capacity;
mod outcome;
mod queue;
mod rates;
mod statistics;

use std::time::Duration;

use ciborium::value::Value;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

pub use actor::start;
pub use queue::CLASSES;
use queue::{PendingTransaction, Request};
pub use statistics::{ClassStatistics, QueueStatistics};

use crate::numeric::whole_usize;
use crate::protocol::cbor::{MapBuilder, decode, max_json_size};
use crate::protocol::kv::{Change, Compare, Entry, Page, decode_entry, decode_page};
use crate::settings::KvLimits;
use crate::transport::client::{ClientError, HttpCall};
use crate::transport::codec::Response;

/// Field of a stored value that identifies the write that stored the value.
const WRITE_MARKER: &str = "by";
/// Number of keys requested per page of a scan.
const SCAN_PAGE_SIZE: usize = 500;
/// Malformed responses in a row after which a repeated read ends.
const MAX_MALFORMED_RESPONSES: u32 = 5;
/// Bytes that a comparison takes in a transaction in addition to its key, rounded up.
const COMPARE_OVERHEAD_BYTES: usize = 48;
/// Bytes that a change takes in a transaction in addition to its key and value, rounded up.
const CHANGE_OVERHEAD_BYTES: usize = 64;

/// Priority of a request, the highest first. If the rate limits are exhausted, requests of
/// higher priority are sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// The leader's lease and election.
    Renewal,
    /// Cancellations of jobs.
    Cancellation,
    /// Submissions, and reads that a user waits for.
    Admission,
    /// Completions of jobs, cancellations due to a cancelled dependency, and raises of the
    /// started high-water mark, without which no further task may start.
    Completion,
    /// Done tasks of jobs.
    Progress,
    /// Requests that nobody waits for, such as scans and repairs.
    Background,
}

impl RequestClass {
    /// The name of the class in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Renewal => "renewal",
            RequestClass::Cancellation => "cancellation",
            RequestClass::Admission => "admission",
            RequestClass::Completion => "completion",
            RequestClass::Progress => "progress",
            RequestClass::Background => "background",
        }
    }
}

/// Why a request to the key-value store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KvError {
    /// The epoch is over, and none of its changes can be committed any more. An earlier
    /// attempt without a response may have been committed before, so this error does not
    /// tell what is stored.
    Fenced,
    /// A key has another version than the caller expected.
    Conflict,
    /// The request was not carried out, or there was no response, or a page that cannot be used.
    /// Only reads return this error.
    Unavailable,
    /// The response about a key cannot be decoded, or is about another key. Only reads return this
    /// error; those that are repeated do so after several such responses in a row.
    Malformed,
    /// The store rejects this request and would reject every retry.
    Rejected,
}

/// One caller's changes, which are committed atomically.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction {
    /// Priority of the transaction.
    pub class: RequestClass,
    /// Epoch of the leader that requests the changes. They are committed only while the
    /// election key has this version.
    pub epoch: u64,
    /// Versions that keys must have for the changes to be committed.
    pub compares: Vec<Compare>,
    /// Puts and deletes.
    pub changes: Vec<Change>,
}

/// Result of an HTTP exchange with the store.
type HttpResult = Result<Response, ClientError>;

/// Handle to the actor. Clones share the actor, which stops when all of them are dropped.
#[derive(Debug, Clone)]
pub struct KvClient {
    /// Requests of class [`RequestClass::Renewal`], which wait behind no other class.
    renewals: mpsc::Sender<Request>,
    requests: mpsc::Sender<Request>,
    deadline: Duration,
    limits: watch::Receiver<KvLimits>,
    statistics: watch::Receiver<QueueStatistics>,
    /// Pause after which a read without a usable response is repeated; `None` to report it.
    read_retry_pause: Option<Duration>,
}

impl KvClient {
    /// Returns a client whose reads are repeated, after this pause, until there is a usable
    /// response, or several in a row are malformed. The caller ends them by dropping the future.
    #[must_use]
    pub fn with_read_retries(&self, pause: Duration) -> Self {
        KvClient { read_retry_pause: Some(pause), ..self.clone() }
    }

    /// Number of reads worth starting at the same time: enough to use the rate of the requests.
    /// Further ones would only wait, and keep requests of the same class from being sent.
    pub fn concurrent_reads(&self) -> usize {
        capacity::concurrent_reads(self.limits().rps)
    }

    /// Number of reads that this controller's share of the request rate serves in this time, if
    /// there are no other requests.
    pub fn reads_served_within(&self, time: Duration) -> usize {
        whole_usize(self.statistics().request_rate * time.as_secs_f64())
    }

    /// The store's limits in force, as far as known.
    pub fn limits(&self) -> KvLimits {
        *self.limits.borrow()
    }

    /// How requests have waited in this client.
    pub fn statistics(&self) -> QueueStatistics {
        *self.statistics.borrow()
    }

    /// Sends a request unchanged, without retries.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there was no usable response. Only [`ClientError::NotSent`] proves
    /// that the request was not carried out.
    pub async fn send_raw(&self, class: RequestClass, call: HttpCall) -> HttpResult {
        let (reply, response) = oneshot::channel();
        let channel = if class == RequestClass::Renewal { &self.renewals } else { &self.requests };
        if channel.send(Request::Raw { class, call, reply, since: Instant::now() }).await.is_err() {
            return Err(ClientError::NotSent);
        }
        response.await.unwrap_or(Err(ClientError::NotSent))
    }

    /// Timeout of each request.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Reads the resource at the target; `None` if it does not exist.
    async fn read(&self, class: RequestClass, target: String) -> Result<Option<Value>, KvError> {
        let call = HttpCall { method: "GET", target, body: Vec::new(), timeout: self.deadline };
        match self.send_raw(class, call).await {
            Ok(response) if response.status == 200 => {
                decode(&response.body).map(Some).map_err(|_| KvError::Malformed)
            }
            Ok(response) if response.status == 404 => Ok(None),
            Ok(response) if response.status == 400 => Err(KvError::Rejected),
            _ => Err(KvError::Unavailable),
        }
    }

    /// Runs a read, and repeats it while it is unavailable or malformed if this client repeats reads.
    /// A response that is malformed again and again says that the record is, and ends the read.
    async fn retrying<T, R>(&self, read: impl Fn() -> R) -> Result<T, KvError>
    where
        R: Future<Output = Result<T, KvError>>,
    {
        let mut malformed = 0;
        loop {
            let result = read().await;
            malformed = if matches!(result, Err(KvError::Malformed)) { malformed + 1 } else { 0 };
            let is_final = match result {
                Err(KvError::Unavailable) => false,
                Err(KvError::Malformed) => malformed >= MAX_MALFORMED_RESPONSES,
                _ => true,
            };
            match self.read_retry_pause.filter(|_| !is_final) {
                Some(pause) => tokio::time::sleep(pause).await,
                None => return result,
            }
        }
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`KvError::Rejected`] if the store rejects the request, [`KvError::Unavailable`] if
    /// there was no response and this client does not repeat reads, [`KvError::Malformed`] if the
    /// response cannot be used.
    pub async fn get(&self, class: RequestClass, key: &str) -> Result<Option<Entry>, KvError> {
        self.retrying(|| self.get_once(class, key)).await
    }

    async fn get_once(&self, class: RequestClass, key: &str) -> Result<Option<Entry>, KvError> {
        let Some(value) = self.read(class, format!("/keys/{key}")).await? else { return Ok(None) };
        decode_entry(&value).ok().filter(|entry| entry.key == key).map(Some).ok_or(KvError::Malformed)
    }

    /// Reads one page of the keys with a prefix, in order: at most `most` keys after the key
    /// `from`, or the first keys if `from` is empty.
    ///
    /// # Errors
    ///
    /// [`KvError::Rejected`] if the store rejects the request, [`KvError::Unavailable`] if
    /// there was no usable response and this client does not repeat reads. A page with keys of
    /// another prefix, or one that is empty although more keys are to follow, is not usable.
    pub async fn read_page(
        &self,
        class: RequestClass,
        prefix: &str,
        from: &str,
        most: usize,
    ) -> Result<Page, KvError> {
        self.retrying(|| self.read_page_once(class, prefix, from, most)).await
    }

    async fn read_page_once(
        &self,
        class: RequestClass,
        prefix: &str,
        from: &str,
        most: usize,
    ) -> Result<Page, KvError> {
        let after = if from.is_empty() { String::new() } else { format!("&from={from}") };
        let target = format!("/keys?starts={prefix}{after}&page={most}");
        let value = match self.read(class, target).await {
            // A malformed page says nothing about any single key.
            Err(KvError::Malformed) | Ok(None) => return Err(KvError::Unavailable),
            Err(error) => return Err(error),
            Ok(Some(value)) => value,
        };
        let page = decode_page(&value).map_err(|_| KvError::Unavailable)?;
        let prefix_matches = page.entries.iter().all(|entry| entry.key.starts_with(prefix));
        let makes_progress = !page.more || !page.entries.is_empty();
        if prefix_matches && makes_progress { Ok(page) } else { Err(KvError::Unavailable) }
    }

    /// Reads all keys with the prefix, page by page. Pages are read at different times, so
    /// the result may not be a consistent snapshot.
    ///
    /// # Errors
    ///
    /// As [`KvClient::read_page`].
    pub async fn scan(&self, class: RequestClass, prefix: &str) -> Result<Vec<Entry>, KvError> {
        let mut found: Vec<Entry> = Vec::new();
        loop {
            let from = found.last().map(|entry| entry.key.clone()).unwrap_or_default();
            let page = self.read_page(class, prefix, &from, SCAN_PAGE_SIZE).await?;
            let more = page.more;
            found.extend(page.entries);
            if !more {
                return Ok(found);
            }
        }
    }

    /// Commits a transaction, and retries until its outcome is known or its epoch is over.
    /// Returns the store's revision of the commit, which is the new version of each key that
    /// the transaction puts.
    ///
    /// Each value is stored with a marker. A later attempt uses it to recognize that an
    /// earlier attempt without a response was committed.
    ///
    /// # Errors
    ///
    /// [`KvError::Fenced`] if the epoch is over or the actor has stopped, [`KvError::Conflict`]
    /// if a key has another version than expected, [`KvError::Rejected`] if the store rejects
    /// the transaction.
    pub async fn compare_and_swap(&self, mut transaction: Transaction) -> Result<u64, KvError> {
        let marker = format!("{:x}", new_write_marker());
        for change in &mut transaction.changes {
            if let Change::Put { value: Value::Map(entries), .. } = change {
                entries.push((Value::from(WRITE_MARKER), Value::from(marker.as_str())));
            }
        }
        let size = transaction_size(&transaction);
        let (reply, result) = oneshot::channel();
        let pending = PendingTransaction::new(transaction, size, marker, reply);
        if self.requests.send(Request::Commit(Box::new(pending))).await.is_err() {
            return Err(KvError::Fenced);
        }
        result.await.unwrap_or(Err(KvError::Fenced))
    }
}

/// Generates a number that is unique to one write. In tests that simulate the network, it is
/// derived from the simulation's seed.
fn new_write_marker() -> u64 {
    #[cfg(test)]
    if let Some(marker) = crate::transport::simulated_network::next_write_marker() {
        return marker;
    }
    rand::random()
}

/// Upper bound on the bytes that a transaction takes in a request.
fn transaction_size(transaction: &Transaction) -> usize {
    let compares = transaction.compares.iter().map(|compare| compare.key.len() + COMPARE_OVERHEAD_BYTES);
    let changes = transaction.changes.iter().map(change_size);
    compares.sum::<usize>() + changes.sum::<usize>()
}

/// Upper bound on the bytes that a change takes in a request.
fn change_size(change: &Change) -> usize {
    let value = match change {
        Change::Put { value, .. } => max_json_size(value),
        Change::Delete { .. } => 0,
    };
    change.key().len() + CHANGE_OVERHEAD_BYTES + value
}

/// Builds a value with this write marker. The election, which writes its key itself, uses its
/// incarnation as the marker.
pub fn with_write_marker(builder: MapBuilder, marker: &str) -> Value {
    builder.set(WRITE_MARKER, marker).build()
}

#[cfg(test)]
mod tests;
