//! Compatibility with the records that an earlier build (commit 652c9af, before job
//! dependencies) wrote: they are decoded, and jobs that the earlier build supports are encoded
//! to the same bytes, so that it can read them.

use super::*;
use crate::protocol::cbor::{decode, encode};
use crate::protocol::cloud::decode_catalog;
use crate::protocol::jobs::tests::sample;
use crate::protocol::jobs::{JobSpec, JobState, JobStatus};

/// Decodes hexadecimal digits to bytes; other characters are skipped.
pub fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let text = |pair| std::str::from_utf8(pair).expect("two digits");
    digits.chunks(2).map(|pair| u8::from_str_radix(text(pair), 16).expect("a byte")).collect()
}

macro_rules! stored {
    ($name:literal) => {
        decode(&bytes(include_str!(concat!("production/", $name, ".hex")))).expect("CBOR")
    };
}

/// Maximum size of a value in the store in production, in KiB.
const VALUE_KB: f64 = 8.0;

fn spec() -> JobSpec {
    JobSpec {
        machine_types: Some(vec!["g8".into(), "m8".into()]),
        zone: Some("a".into()),
        deadline_s: Some(900.0),
        ..sample("job-000412", "vision", 16, 8.0)
    }
}

fn record(spec: JobSpec, at: u64, done: impl Iterator<Item = u32>) -> JobRecord {
    let mut record = JobRecord::new(spec, at);
    done.for_each(|task| assert!(record.done.insert(task)));
    record
}

#[test]
fn inline_records_are_decoded_and_encoded_byte_for_byte() {
    assert_eq!(JobSpec::decode(&stored!("submission")), Ok(spec()));
    let small = JobRecord {
        started_high_water: 12,
        ..record(spec(), 1_750_000_000_123, [0, 1, 2, 5, 11].into_iter())
    };
    let cancelled = JobRecord { cancelled: true, ..small.clone() };
    let completed = record(sample("job-000413", "red", 3, 1.0), 1_750_000_000_456, 0..3);
    let completed = JobRecord { completed: true, started_high_water: 3, ..completed };
    for (value, expected) in [
        (stored!("record-small"), small),
        (stored!("record-cancelled"), cancelled),
        (stored!("record-settled"), completed),
    ] {
        assert_eq!(JobRecord::decode(&value).expect("readable"), expected);
        assert_eq!(encode(&expected.encode(VALUE_KB)), encode(&value));
    }
}

/// A record that names no block size has the layout derived from the limits in force, whatever
/// limits are announced. Records that the earlier build must read are encoded the same way.
#[test]
fn blocks_of_done_tasks_are_decoded_and_encoded_byte_for_byte() {
    let value = stored!("record-large");
    let large = record(sample("job-000414", "red", 60_000, 1.0), 1_750_000_000_789, (0..60_000).step_by(3));
    let large = JobRecord { started_high_water: 60_000, ..large };
    let mut decoded = JobRecord::decode(&value).expect("readable");
    let layout = decoded.layout(VALUE_KB);
    assert_eq!(layout.blocks(60_000), 3);
    let blocks = [stored!("block-0"), stored!("block-1"), stored!("block-2")];
    for (at, block) in (0..).zip(&blocks) {
        assert_eq!(layout.block_key(&decoded.spec.id, at), format!("set/job-000414/{at}"));
        decoded.add_block(block).expect("readable");
        assert_eq!(encode(&large.encode_block(at, VALUE_KB)), encode(block));
    }
    assert_eq!(decoded, large);
    assert_eq!(encode(&large.encode(VALUE_KB)), encode(&value));
}

#[test]
fn all_other_records_are_decoded() {
    assert_eq!(decode_row(&stored!("row-live")), Ok(JobState::Queued));
    assert_eq!(decode_row(&stored!("row-over")), Ok(JobState::Done));
    let pool = NodePoolRecord::decode(&stored!("rental")).expect("readable");
    assert_eq!((pool.request.machine_count, pool.machines_used.len()), (2, 1));
    assert_eq!(pool.machines.map(|machines| machines.len()), Some(2));
    let unanswered = NodePoolRecord::decode(&stored!("rental-unanswered")).expect("readable");
    assert_eq!(unanswered.machines, None);
    let catalog = decode_catalog(&stored!("catalog")).expect("readable");
    assert_eq!(catalog.iter().map(|machine_type| machine_type.name.as_str()).collect::<Vec<_>>(), ["g8"]);
    let statistics = LearnedStatistics::decode(&stored!("experience")).expect("readable");
    assert_eq!((statistics.groups[0].mean, statistics.runtime_ratios[0].1), (2.5, 1.25));
    let status = JobStatus::decode(&stored!("status")).expect("readable");
    assert_eq!((status.state, status.done_tasks, status.running_tasks), (JobState::Running, 3, 13));
    let leader = crate::protocol::kv::Entry {
        key: LEADER.into(),
        value: stored!("leader"),
        version: 7,
        lease: Some(1),
    };
    let holder = crate::coordination::election::decode_leader_record(&leader).expect("readable");
    assert_eq!((holder.name.as_str(), holder.incarnation.as_str()), ("shed-0", "00c0ffee00c0ffee"));
}
