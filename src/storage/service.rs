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
use crate::protocol::state::{Change, Condition, Entry, Page, decode_entry, decode_page};
use crate::settings::StateLimits;
use crate::transport::client::{Call, ClientError};
use crate::transport::codec::Response;

/// Field that tells one of our writes from every other.
const MARK: &str = "by";
/// Keys asked for at once in a scan.
const PAGE: usize = 500;

/// What goes first when the allowance is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    Renewal,
    Cancel,
    Accept,
    Settle,
    Progress,
    Rest,
}

const CLASSES: usize = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
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
    pub class: Class,
    pub epoch: u64,
    pub conditions: Vec<Condition>,
    pub changes: Vec<Change>,
}

type Raw = Result<Response, ClientError>;

enum Request {
    Raw { class: Class, call: Call, reply: oneshot::Sender<Raw> },
    Commit(Box<Pending>),
}

struct Pending {
    transaction: Transaction,
    size: usize,
    mark: String,
    /// A former try may have been, or may yet be, carried out.
    unknown: bool,
    /// Must not be packed with others any more.
    alone: bool,
    reply: oneshot::Sender<Result<u64, StoreError>>,
}

/// Speaks to the actor.
#[derive(Debug, Clone)]
pub struct Store {
    requests: mpsc::Sender<Request>,
    deadline: Duration,
    limits: watch::Receiver<StateLimits>,
}

impl Store {
    /// The service's limits as far as is known.
    pub fn limits(&self) -> StateLimits {
        *self.limits.borrow()
    }

    pub async fn raw(&self, class: Class, call: Call) -> Raw {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Raw { class, call, reply }).await.is_err() {
            return Err(ClientError::NotSent);
        }
        answer.await.unwrap_or(Err(ClientError::NotSent))
    }

    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    async fn read(&self, class: Class, target: String) -> Result<Option<Value>, StoreError> {
        let call = Call { method: "GET", target, body: Vec::new(), deadline: self.deadline };
        match self.raw(class, call).await {
            Ok(response) if response.status == 200 => {
                decode(&response.body).map(Some).map_err(|_| StoreError::Unavailable)
            }
            Ok(response) if response.status == 404 => Ok(None),
            Ok(response) if response.status == 400 => Err(StoreError::Rejected),
            _ => Err(StoreError::Unavailable),
        }
    }

    pub async fn get(&self, class: Class, key: &str) -> Result<Option<Entry>, StoreError> {
        let Some(value) = self.read(class, format!("/keys/{key}")).await? else { return Ok(None) };
        // An answer about another key is no answer.
        decode_entry(&value).ok().filter(|e| e.key == key).map(Some).ok_or(StoreError::Unavailable)
    }

    pub async fn page(&self, prefix: &str, from: &str, most: usize) -> Result<Page, StoreError> {
        let after = if from.is_empty() { String::new() } else { format!("&from={from}") };
        let target = format!("/keys?starts={prefix}{after}&page={most}");
        let value = self.read(Class::Rest, target).await?.ok_or(StoreError::Unavailable)?;
        let page = decode_page(&value).map_err(|_| StoreError::Unavailable)?;
        let sound =
            page.entries.iter().all(|e| e.key.starts_with(prefix)) && !(page.more && page.entries.is_empty());
        if sound { Ok(page) } else { Err(StoreError::Unavailable) }
    }

    /// All keys with the prefix.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        let mut found: Vec<Entry> = Vec::new();
        loop {
            let from = found.last().map(|e| e.key.clone()).unwrap_or_default();
            let page = self.page(prefix, &from, PAGE).await?;
            let more = page.more;
            found.extend(page.entries);
            if !more {
                return Ok(found);
            }
        }
    }

    /// Carries the changes out while the epoch lasts, however often it takes.
    pub async fn commit(&self, mut transaction: Transaction) -> Result<u64, StoreError> {
        let mark = format!("{:x}", fresh_mark());
        for change in &mut transaction.changes {
            if let Change::Put { value: Value::Map(entries), .. } = change {
                entries.push((Value::from(MARK), Value::from(mark.as_str())));
            }
        }
        let size = transaction_size(&transaction);
        let (reply, answer) = oneshot::channel();
        let pending = Pending { transaction, size, mark, unknown: false, alone: false, reply };
        if self.requests.send(Request::Commit(Box::new(pending))).await.is_err() {
            return Err(StoreError::Fenced);
        }
        answer.await.unwrap_or(Err(StoreError::Fenced))
    }
}

/// A number that no other write bears; the same for a seed where the network is simulated.
fn fresh_mark() -> u64 {
    #[cfg(test)]
    if let Some(mark) = crate::transport::scripted::next_mark() {
        return mark;
    }
    rand::random()
}

fn transaction_size(transaction: &Transaction) -> usize {
    let conditions: usize = transaction.conditions.iter().map(|c| c.key.len() + 48).sum();
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
pub fn marked(builder: MapBuilder, mark: &str) -> Value {
    builder.set(MARK, mark).build()
}

#[cfg(test)]
mod tests;
