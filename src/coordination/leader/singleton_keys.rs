//! Keys that exist once per cluster and pass a value on from each leader to the next: the
//! machine types and the learned statistics.

use ciborium::value::Value;

use crate::maps::HashMap;
use crate::protocol::cbor::max_json_size;
use crate::protocol::kv::{Change, Compare};

/// Bytes reserved for what the key-value client adds to a stored value: the write marker.
const VALUE_OVERHEAD_BYTES: usize = 64;

/// The state of one key as last read or written.
#[derive(Debug, Default)]
struct SingletonKey {
    version: u64,
    write_in_flight: bool,
}

/// The versions of all singleton keys, and which of them are being written.
#[derive(Debug, Default)]
pub(crate) struct SingletonKeys {
    keys: HashMap<&'static str, SingletonKey>,
}

impl SingletonKeys {
    /// Sets the version at which the key was read.
    pub(crate) fn restore(&mut self, key: &'static str, version: u64) {
        self.keys.insert(key, SingletonKey { version, write_in_flight: false });
    }

    /// Begins a write of a key. Returns `None` while the previous write is in flight, or if
    /// the value is larger than `limit` bytes.
    pub(crate) fn begin_write(
        &mut self,
        key: &'static str,
        value: Value,
        limit: usize,
    ) -> Option<(Compare, Change)> {
        let entry = self.keys.entry(key).or_default();
        if entry.write_in_flight || max_json_size(&value) + VALUE_OVERHEAD_BYTES > limit {
            return None;
        }
        entry.write_in_flight = true;
        let compare = Compare { key: key.to_owned(), version: entry.version };
        Some((compare, Change::Put { key: key.to_owned(), value, lease: None }))
    }

    /// Ends a write. `version` is the key's new version; `None` if the write is not known to
    /// have succeeded.
    pub(crate) fn end_write(&mut self, key: &'static str, version: Option<u64>) {
        let entry = self.keys.entry(key).or_default();
        entry.write_in_flight = false;
        entry.version = version.unwrap_or(entry.version);
    }
}
