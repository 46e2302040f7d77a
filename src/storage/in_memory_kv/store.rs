//! The data of the key-value store's test doubles: entries, leases, pages and transactions,
//! without network, clock or faults.
//!
//! Both the library's tests and the soak test, which is another crate, use this file. The soak
//! test includes it by `#[path]`, so that the library does not have to export a test double.
//! `protocol` and `settings` are imported from the parent module, because their paths differ
//! between the two crates.

use std::collections::BTreeMap;

use ciborium::value::Value;

use super::protocol::cbor::{Fields, Malformed, MapBuilder, decode, max_json_size, text_array};
use super::protocol::kv::{Change, Compare};
use super::settings::KvLimits;

/// Maximum number of keys that a request may ask for in one page.
pub const MAX_PAGE: usize = 1000;

/// An entry of the store, without its key.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The value that was put last.
    pub value: Value,
    /// Revision of the last put.
    pub version: u64,
    /// The lease whose end removes the key, if any.
    pub lease: Option<u64>,
}

/// Status and body of a response.
pub type StatusAndBody = (u16, Value);

/// Outcome of an attempt to commit a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Committed, at the store's revision.
    Committed,
    /// Not committed: these keys have other versions than expected.
    Conflict(Vec<String>),
    /// Not committed: it exceeds the limits on values and transactions.
    TooLarge,
    /// Not committed: it attaches a key to a lease that does not exist.
    UnknownLease,
}

/// An attempt to commit a transaction.
#[derive(Debug)]
pub struct CommitAttempt {
    /// Whether it was committed, and if not, why.
    pub outcome: CommitOutcome,
    /// Keys of the transaction's changes, in their order.
    pub keys: Vec<String>,
}

/// The data of a store.
#[derive(Debug)]
pub struct KvStore {
    /// All entries, by key.
    pub entries: BTreeMap<String, Stored>,
    /// Incremented by each commit and by each key that is removed with its lease.
    pub revision: u64,
    /// Leases that exist, with their time to live in milliseconds. The owner of the store
    /// decides when they expire.
    pub leases: BTreeMap<u64, u64>,
    /// Limits on values and transactions, if any are enforced.
    pub limits: Option<KvLimits>,
    /// Maximum number of keys in one page, whatever is requested.
    pub max_page: usize,
    leases_granted: u64,
    /// Revisions at which keys were last put, deleted or removed with their lease.
    changed_at: BTreeMap<String, u64>,
}

impl KvStore {
    /// Creates an empty store at this revision, with pages of at most `max_page` keys.
    pub fn new(revision: u64, limits: Option<KvLimits>, max_page: usize) -> Self {
        KvStore {
            entries: BTreeMap::new(),
            revision,
            leases: BTreeMap::new(),
            limits,
            max_page,
            leases_granted: 0,
            changed_at: BTreeMap::new(),
        }
    }

    /// Responds to a read of one key.
    pub fn read(&self, key: &str) -> StatusAndBody {
        match self.entries.get(key) {
            Some(stored) => (200, encode_entry(key, stored)),
            None => (404, self.revision_body()),
        }
    }

    /// Responds to a read of one page of the keys with a prefix, for a target `/keys?…`.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a field of the query is missing or invalid.
    pub fn read_page(&self, target: &str) -> Result<StatusAndBody, Malformed> {
        let prefix = query_field(target, "starts").ok_or(Malformed::Missing("starts"))?;
        let from = query_field(target, "from").unwrap_or_default();
        let requested = query_field(target, "page").ok_or(Malformed::Missing("page"))?;
        let requested = requested.parse().ok().filter(|count| (1..=MAX_PAGE).contains(count));
        let count = requested.ok_or(Malformed::Invalid("page"))?.min(self.max_page);
        let mut found = self.entries.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > from);
        let entries = found.by_ref().take(count).map(|(key, stored)| encode_entry(key, stored)).collect();
        let page = MapBuilder::new()
            .set("entries", Value::Array(entries))
            .set("more", found.next().is_some())
            .set("ledger", self.revision);
        Ok((200, page.build()))
    }

    /// Grants the lease that a request asks for; returns its number and the response.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the body names no time to live.
    pub fn grant_lease(&mut self, body: &[u8]) -> Result<(u64, StatusAndBody), Malformed> {
        let ttl_ms = Fields::of(&decode(body)?)?.count("lifeMs")?;
        self.leases_granted += 1;
        let lease = self.leases_granted;
        self.leases.insert(lease, ttl_ms);
        Ok((lease, (200, MapBuilder::new().set("permit", lease).build())))
    }

    /// Responds to the extension or the revocation of a lease.
    pub fn lease_response(&self, lease: u64) -> StatusAndBody {
        let status = if self.leases.contains_key(&lease) { 200 } else { 404 };
        (status, Value::Map(Vec::new()))
    }

    /// Ends a lease: its keys are removed.
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self.entries.iter().filter(|(_, stored)| stored.lease == Some(lease));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.entries.remove(&key);
            self.revision += 1;
            self.changed_at.insert(key, self.revision);
        }
    }

    /// Whether a key with the prefix has changed since this revision.
    pub fn has_changed_since(&self, prefix: &str, revision: u64) -> bool {
        let mut keys = self.changed_at.iter().filter(|(key, _)| key.starts_with(prefix));
        keys.any(|(_, changed_at)| *changed_at > revision)
    }

    /// Commits the transaction of a request, if all of its conditions hold.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the body is not a transaction; the store is not changed then.
    pub fn commit(&mut self, body: &Value) -> Result<CommitAttempt, Malformed> {
        let fields = Fields::of(body)?;
        let compares = fields.list("if")?.iter().map(decode_compare).collect::<Result<Vec<_>, _>>()?;
        let changes = fields.opt_list("apply")?.unwrap_or_default();
        let changes = changes.iter().map(decode_change).collect::<Result<Vec<_>, _>>()?;
        let keys = changes.iter().map(|change| change.key().to_owned()).collect();
        let outcome = self.try_commit(&compares, changes);
        Ok(CommitAttempt { outcome, keys })
    }

    fn try_commit(&mut self, compares: &[Compare], changes: Vec<Change>) -> CommitOutcome {
        if self.exceeds_limits(&changes) {
            return CommitOutcome::TooLarge;
        }
        let version = |key: &str| self.entries.get(key).map_or(0, |stored| stored.version);
        let failed = compares.iter().filter(|compare| version(&compare.key) != compare.version);
        let failed: Vec<String> = failed.map(|compare| compare.key.clone()).collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        let has_unknown_lease = |change: &Change| match change {
            Change::Put { lease, .. } => lease.is_some_and(|lease| !self.leases.contains_key(&lease)),
            Change::Delete { .. } => false,
        };
        if changes.iter().any(has_unknown_lease) {
            return CommitOutcome::UnknownLease;
        }
        self.revision += 1;
        changes.into_iter().for_each(|change| self.apply(change));
        CommitOutcome::Committed
    }

    fn exceeds_limits(&self, changes: &[Change]) -> bool {
        let Some(limits) = &self.limits else { return false };
        let is_too_large = |change: &Change| match change {
            Change::Put { value, .. } => max_json_size(value) > limits.value_bytes(),
            Change::Delete { .. } => false,
        };
        changes.len() > limits.txn_ops || changes.iter().any(is_too_large)
    }

    fn apply(&mut self, change: Change) {
        self.changed_at.insert(change.key().to_owned(), self.revision);
        match change {
            Change::Put { key, value, lease } => {
                self.entries.insert(key, Stored { value, version: self.revision, lease });
            }
            Change::Delete { key } => drop(self.entries.remove(&key)),
        }
    }

    /// Responds to a request to commit.
    pub fn commit_response(&self, outcome: &CommitOutcome) -> StatusAndBody {
        match outcome {
            CommitOutcome::Committed => (200, self.revision_body()),
            CommitOutcome::Conflict(failed) => {
                let failed = text_array(failed.iter().map(String::as_str));
                (409, MapBuilder::new().set("failed", failed).set("ledger", self.revision).build())
            }
            CommitOutcome::TooLarge => error_response("too large"),
            CommitOutcome::UnknownLease => error_response("no such lease"),
        }
    }

    fn revision_body(&self) -> Value {
        MapBuilder::new().set("ledger", self.revision).build()
    }
}

/// The response that rejects a request for this reason.
pub fn error_response(reason: &str) -> StatusAndBody {
    (400, MapBuilder::new().set("error", reason).build())
}

/// The value of a field in the query of a target.
pub fn query_field<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

/// The lease that a target `/leases/ID` or `/leases/ID/extend` names.
///
/// # Errors
///
/// [`Malformed`] if the target names no lease.
pub fn lease_in(target: &str) -> Result<u64, Malformed> {
    let lease = target.strip_prefix("/leases/").map(|rest| rest.trim_end_matches("/extend"));
    lease.and_then(|lease| lease.parse().ok()).ok_or(Malformed::Invalid("permit"))
}

fn encode_entry(key: &str, stored: &Stored) -> Value {
    MapBuilder::new()
        .set("key", key)
        .set("data", stored.value.clone())
        .set("stamp", stored.version)
        .set_some("permit", stored.lease)
        .build()
}

fn decode_compare(value: &Value) -> Result<Compare, Malformed> {
    let fields = Fields::of(value)?;
    Ok(Compare { key: fields.text("key")?.to_owned(), version: fields.count("stamp")? })
}

fn decode_change(value: &Value) -> Result<Change, Malformed> {
    let fields = Fields::of(value)?;
    if let Some(key) = fields.opt_text("remove")? {
        return Ok(Change::Delete { key: key.to_owned() });
    }
    let value = fields.get("data").ok_or(Malformed::Missing("data"))?;
    Ok(Change::Put {
        key: fields.text("write")?.to_owned(),
        value: value.clone(),
        lease: fields.opt_count("permit")?,
    })
}
