//! Messages to and from the consensus-backed key-value store.

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder};
use super::wire_words::field;

/// A key of the store with its value.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; null if the store sent no value.
    pub value: Value,
    /// Revision of the last change of this key; never 0.
    pub version: u64,
    /// Identifier of the lease that the key is attached to, if any. The store deletes the key
    /// when the lease expires.
    pub lease: Option<u64>,
}

/// One change within a compare-and-swap.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Writes a value, whether or not the key exists.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: Value,
        /// Identifier of the lease to attach the key to; `None` for a key without a lease.
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
}

impl Change {
    /// The key that the change applies to.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }

    fn encode(&self) -> Value {
        match self {
            Change::Put { key, value, lease } => MapBuilder::new()
                .set(field::PUT, key.as_str())
                .set(field::VALUE, value.clone())
                .set_some(field::LEASE, *lease)
                .build(),
            Change::Delete { key } => MapBuilder::new().set(field::DELETE, key.as_str()).build(),
        }
    }
}

/// A condition of a compare-and-swap: the key must have this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The expected version; 0 means that the key must not exist.
    pub version: u64,
}

impl Compare {
    fn encode(&self) -> Value {
        MapBuilder::new().set(field::KEY, self.key.as_str()).set(field::VERSION, self.version).build()
    }
}

/// Encodes a compare-and-swap: if all versions match, all changes are applied, otherwise none.
pub fn encode_compare_and_swap<'a>(
    compares: impl IntoIterator<Item = &'a Compare>,
    changes: impl IntoIterator<Item = &'a Change>,
) -> Value {
    let compares = compares.into_iter().map(Compare::encode).collect();
    let changes = changes.into_iter().map(Change::encode).collect();
    MapBuilder::new()
        .set(field::COMPARES, Value::Array(compares))
        .set(field::CHANGES, Value::Array(changes))
        .build()
}

/// Decodes the revision at which a compare-and-swap was committed.
///
/// # Errors
///
/// [`Malformed`] if the revision is missing or not a non-negative integer.
pub fn decode_commit_revision(value: &Value) -> Result<u64, Malformed> {
    Fields::of(value)?.count(field::REVISION)
}

/// Decodes the keys whose version check made a compare-and-swap fail; never empty.
///
/// # Errors
///
/// [`Malformed`] if the list is missing, is empty or has an item that is not text.
pub fn decode_failed_compares(value: &Value) -> Result<Vec<String>, Malformed> {
    let failed = Fields::of(value)?.opt_texts(field::FAILED_COMPARES)?;
    let failed = failed.ok_or(Malformed::Missing(field::FAILED_COMPARES))?;
    if failed.is_empty() { Err(Malformed::Invalid(field::FAILED_COMPARES)) } else { Ok(failed) }
}

/// Decodes one entry.
///
/// # Errors
///
/// [`Malformed`] if the key or the version is missing, or a field is invalid.
pub fn decode_entry(value: &Value) -> Result<Entry, Malformed> {
    let fields = Fields::of(value)?;
    Ok(Entry {
        key: fields.text(field::KEY)?.to_owned(),
        value: fields.get(field::VALUE).cloned().unwrap_or(Value::Null),
        version: fields.count(field::VERSION)?,
        lease: fields.opt_count(field::LEASE)?,
    })
}

/// One page of a scan over the keys with a common prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The entries, in the order of their keys.
    pub entries: Vec<Entry>,
    /// Whether another page follows.
    pub more: bool,
    /// Revision of the store at which the page was read.
    pub revision: u64,
}

/// Decodes one page of a scan.
///
/// # Errors
///
/// [`Malformed`] if the page or one of its entries lacks a field or holds an invalid one.
pub fn decode_page(value: &Value) -> Result<Page, Malformed> {
    let fields = Fields::of(value)?;
    Ok(Page {
        entries: fields.list(field::ENTRIES)?.iter().map(decode_entry).collect::<Result<_, _>>()?,
        more: fields.opt_bool(field::MORE)?.unwrap_or(false),
        revision: fields.count(field::REVISION)?,
    })
}

/// Encodes a request for a lease that expires after `ttl_ms` milliseconds unless it is renewed.
pub fn encode_lease_request(ttl_ms: u64) -> Value {
    MapBuilder::new().set(field::LEASE_TTL_MS, ttl_ms).build()
}

/// Decodes the identifier of a granted lease.
///
/// # Errors
///
/// [`Malformed`] if the identifier is missing or not a non-negative integer.
pub fn decode_lease_id(value: &Value) -> Result<u64, Malformed> {
    Fields::of(value)?.count(field::LEASE)
}

/// Decodes the revision that a watch has reached. The events themselves are ignored: the
/// caller reads the current state of the watched keys.
///
/// # Errors
///
/// [`Malformed`] if the revision is missing or not a non-negative integer.
pub fn decode_watch_revision(value: &Value) -> Result<u64, Malformed> {
    Fields::of(value)?.count(field::REVISION)
}
