//! The actor that owns all calls to the state service.
//!
//! It paces requests below the service's rates, renewals first; packs changes
//! of several callers into one transaction; adds the leader's epoch to every
//! one; and settles unknown outcomes before it reports them.

mod actor;

use std::time::Duration;

use ciborium::value::Value;
use tokio::sync::{mpsc, oneshot, watch};

pub use actor::start;

use crate::protocol::cbor::{MapBuilder, decode, json_size};
use crate::protocol::kv::{Change, Compare, Entry, Page, decode_entry, decode_page};
use crate::settings::StateLimits;
use crate::transport::client::{Call, ClientError};
use crate::transport::codec::Response;

/// Field that tells one of our writes from every other.
const WRITE_MARKER: &str = "by";
/// Keys asked for at once in a scan.
const SCAN_PAGE: usize = 500;

/// What goes first when the allowance is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    Renewal,
    Cancellation,
    Admission,
    Completion,
    Progress,
    Background,
}

const REQUEST_CLASSES: usize = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KvError {
    /// The epoch is over: from now on nothing is changed. An earlier try without an
    /// answer may have been carried out before, so nothing follows for what is stored.
    Fenced,
    /// Another version of a key is there than the caller knew.
    Conflict,
    /// Not carried out, or not known; for reads only.
    Unavailable,
    /// The service refuses this request for good.
    Rejected,
}

/// One caller's changes, carried out together or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction {
    pub class: RequestClass,
    pub epoch: u64,
    pub compares: Vec<Compare>,
    pub changes: Vec<Change>,
}

type HttpResult = Result<Response, ClientError>;

enum Request {
    Raw { class: RequestClass, call: Call, reply: oneshot::Sender<HttpResult> },
    Commit(Box<PendingTransaction>),
}

struct PendingTransaction {
    transaction: Transaction,
    size: usize,
    write_marker: String,
    /// A former try may have been, or may yet be, carried out.
    outcome_unknown: bool,
    /// Must not be packed with others any more.
    unbatched: bool,
    reply: oneshot::Sender<Result<u64, KvError>>,
}

/// Speaks to the actor.
#[derive(Debug, Clone)]
pub struct KvClient {
    requests: mpsc::Sender<Request>,
    deadline: Duration,
    limits: watch::Receiver<StateLimits>,
}

impl KvClient {
    /// The service's limits as far as is known.
    pub fn limits(&self) -> StateLimits {
        *self.limits.borrow()
    }

    pub async fn send_raw(&self, class: RequestClass, call: Call) -> HttpResult {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Raw { class, call, reply }).await.is_err() {
            return Err(ClientError::NotSent);
        }
        answer.await.unwrap_or(Err(ClientError::NotSent))
    }

    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    async fn read(&self, class: RequestClass, target: String) -> Result<Option<Value>, KvError> {
        let call = Call { method: "GET", target, body: Vec::new(), deadline: self.deadline };
        match self.send_raw(class, call).await {
            Ok(response) if response.status == 200 => {
                decode(&response.body).map(Some).map_err(|_| KvError::Unavailable)
            }
            Ok(response) if response.status == 404 => Ok(None),
            Ok(response) if response.status == 400 => Err(KvError::Rejected),
            _ => Err(KvError::Unavailable),
        }
    }

    pub async fn get(&self, class: RequestClass, key: &str) -> Result<Option<Entry>, KvError> {
        let Some(value) = self.read(class, format!("/keys/{key}")).await? else { return Ok(None) };
        // An answer about another key is no answer.
        decode_entry(&value).ok().filter(|e| e.key == key).map(Some).ok_or(KvError::Unavailable)
    }

    pub async fn read_page(&self, prefix: &str, from: &str, most: usize) -> Result<Page, KvError> {
        let after = if from.is_empty() { String::new() } else { format!("&from={from}") };
        let target = format!("/keys?starts={prefix}{after}&page={most}");
        let value = self.read(RequestClass::Background, target).await?.ok_or(KvError::Unavailable)?;
        let page = decode_page(&value).map_err(|_| KvError::Unavailable)?;
        let sound =
            page.entries.iter().all(|e| e.key.starts_with(prefix)) && !(page.more && page.entries.is_empty());
        if sound { Ok(page) } else { Err(KvError::Unavailable) }
    }

    /// All keys with the prefix.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Entry>, KvError> {
        let mut found: Vec<Entry> = Vec::new();
        loop {
            let from = found.last().map(|e| e.key.clone()).unwrap_or_default();
            let page = self.read_page(prefix, &from, SCAN_PAGE).await?;
            let more = page.more;
            found.extend(page.entries);
            if !more {
                return Ok(found);
            }
        }
    }

    /// Carries the changes out while the epoch lasts, however often it takes.
    pub async fn compare_and_swap(&self, mut transaction: Transaction) -> Result<u64, KvError> {
        let mark = format!("{:x}", new_write_marker());
        for change in &mut transaction.changes {
            if let Change::Put { value: Value::Map(entries), .. } = change {
                entries.push((Value::from(WRITE_MARKER), Value::from(mark.as_str())));
            }
        }
        let size = transaction_size(&transaction);
        let (reply, answer) = oneshot::channel();
        let pending = PendingTransaction {
            transaction,
            size,
            write_marker: mark,
            outcome_unknown: false,
            unbatched: false,
            reply,
        };
        if self.requests.send(Request::Commit(Box::new(pending))).await.is_err() {
            return Err(KvError::Fenced);
        }
        answer.await.unwrap_or(Err(KvError::Fenced))
    }
}

/// A number that no other write bears; the same for a seed where the network is simulated.
fn new_write_marker() -> u64 {
    #[cfg(test)]
    if let Some(mark) = crate::transport::scripted::next_mark() {
        return mark;
    }
    rand::random()
}

fn transaction_size(transaction: &Transaction) -> usize {
    let conditions: usize = transaction.compares.iter().map(|c| c.key.len() + 48).sum();
    let changes: usize = transaction
        .changes
        .iter()
        .map(|c| {
            c.key().len()
                + 64
                + match c {
                    Change::Put { value, .. } => json_size(value),
                    Change::Delete { .. } => 0,
                }
        })
        .sum();
    conditions + changes
}

/// A value for the election's own write, marked with its incarnation.
pub fn with_write_marker(builder: MapBuilder, mark: &str) -> Value {
    builder.set(WRITE_MARKER, mark).build()
}

#[cfg(test)]
mod tests;
