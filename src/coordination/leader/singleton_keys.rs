//! Keys of which there is one each, kept by a leader for the next: the machine types and
//! the learned statistics.

use ciborium::value::Value;

use crate::maps::HashMap;
use crate::protocol::cbor::max_json_size;
use crate::protocol::kv::{Change, Compare};

/// Bytes that a stored value has beside what is encoded here.
const VALUE_OVERHEAD_BYTES: usize = 64;

/// One key as last read or written.
#[derive(Debug, Default)]
struct SingletonKey {
    version: u64,
    write_in_flight: bool,
}

/// The versions of all such keys, and which of them are being written.
#[derive(Debug, Default)]
pub(crate) struct SingletonKeys {
    keys: HashMap<&'static str, SingletonKey>,
}

impl SingletonKeys {
    /// The key was read at this version.
    pub(crate) fn restore(&mut self, key: &'static str, version: u64) {
        self.keys.insert(key, SingletonKey { version, write_in_flight: false });
    }

    /// The write of a key; `None` while its last one is under way, or if the value is
    /// larger than `limit` bytes.
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

    /// A write has ended; `version`: what it is now, if it was carried out.
    pub(crate) fn end_write(&mut self, key: &'static str, version: Option<u64>) {
        let entry = self.keys.entry(key).or_default();
        entry.write_in_flight = false;
        entry.version = version.unwrap_or(entry.version);
    }
}
