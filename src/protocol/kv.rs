//! Messages to and from the state service.

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder};

/// A key's value with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub key: String,
    pub value: Value,
    pub version: u64,
    pub lease: Option<u64>,
}

/// One change within a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Put { key: String, value: Value, lease: Option<u64> },
    Delete { key: String },
}

impl Change {
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }

    fn encode(&self) -> Value {
        match self {
            Change::Put { key, value, lease } => MapBuilder::new()
                .set("write", key.as_str())
                .set("data", value.clone())
                .set_some("permit", *lease)
                .build(),
            Change::Delete { key } => MapBuilder::new().set("remove", key.as_str()).build(),
        }
    }
}

/// A key must have this version; 0 means that it does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    pub key: String,
    pub version: u64,
}

pub fn encode_compare_and_swap<'a>(
    conditions: impl IntoIterator<Item = &'a Compare>,
    changes: impl IntoIterator<Item = &'a Change>,
) -> Value {
    let conditions = conditions
        .into_iter()
        .map(|c| MapBuilder::new().set("key", c.key.as_str()).set("stamp", c.version).build())
        .collect();
    let changes = changes.into_iter().map(Change::encode).collect();
    MapBuilder::new().set("if", Value::Array(conditions)).set("apply", Value::Array(changes)).build()
}

pub fn decode_commit_revision(value: &Value) -> Result<u64, Malformed> {
    Fields::of(value)?.count("ledger")
}

/// The keys whose condition failed.
pub fn decode_failed_compares(value: &Value) -> Result<Vec<String>, Malformed> {
    let failed = Fields::of(value)?.opt_texts("failed")?.ok_or(Malformed::Missing("failed"))?;
    if failed.is_empty() { Err(Malformed::Invalid("failed")) } else { Ok(failed) }
}

pub fn decode_entry(value: &Value) -> Result<Entry, Malformed> {
    let f = Fields::of(value)?;
    Ok(Entry {
        key: f.text("key")?.to_owned(),
        value: f.get("data").cloned().unwrap_or(Value::Null),
        version: f.count("stamp")?,
        lease: f.opt_count("permit")?,
    })
}

#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    pub entries: Vec<Entry>,
    pub more: bool,
    pub revision: u64,
}

pub fn decode_page(value: &Value) -> Result<Page, Malformed> {
    let f = Fields::of(value)?;
    Ok(Page {
        entries: f.list("entries")?.iter().map(decode_entry).collect::<Result<_, _>>()?,
        more: f.opt_bool("more")?.unwrap_or(false),
        revision: f.count("ledger")?,
    })
}

pub fn encode_lease(ttl_ms: u64) -> Value {
    MapBuilder::new().set("lifeMs", ttl_ms).build()
}

pub fn decode_lease(value: &Value) -> Result<u64, Malformed> {
    Fields::of(value)?.count("permit")
}

/// The revision that a watch has reached. What changed is read afresh, so
/// the events themselves are not needed.
pub fn decode_watch(value: &Value) -> Result<u64, Malformed> {
    Fields::of(value)?.count("ledger")
}
