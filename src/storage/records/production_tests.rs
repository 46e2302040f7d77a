//! What the build before pipelines (commit 652c9af) wrote, byte by byte, is read; and what is
//! written for jobs that it can know is what it wrote, so that it reads it.

use super::*;
use crate::protocol::cbor::{decode, encode};
use crate::protocol::cloud::decode_catalog;
use crate::protocol::jobs::tests::sample;

/// The bytes of a file in hexadecimal digits.
pub fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let text = |pair| std::str::from_utf8(pair).expect("two digits");
    digits.chunks(2).map(|pair| u8::from_str_radix(text(pair), 16).expect("a byte")).collect()
}

macro_rules! written {
    ($name:literal) => {
        decode(&bytes(include_str!(concat!("production/", $name, ".hex")))).expect("CBOR")
    };
}

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
fn small_records_are_read_and_written_alike() {
    assert_eq!(JobSpec::decode(&written!("submission")), Ok(spec()));
    let small = JobRecord {
        started_high_water: 12,
        ..record(spec(), 1_750_000_000_123, [0, 1, 2, 5, 11].into_iter())
    };
    let cancelled = JobRecord { cancelled: true, ..small.clone() };
    let settled = record(sample("job-000413", "red", 3, 1.0), 1_750_000_000_456, 0..3);
    let settled = JobRecord { completed: true, started_high_water: 3, ..settled };
    for (value, expected) in [
        (written!("record-small"), small),
        (written!("record-cancelled"), cancelled),
        (written!("record-settled"), settled),
    ] {
        assert_eq!(JobRecord::decode(&value).expect("readable"), expected);
        assert_eq!(encode(&expected.encode(VALUE_KB)), encode(&value));
    }
}

/// A record that does not say how it is laid out was laid out under the present limits,
/// whatever limits are announced; so is what is written for the other build to read.
#[test]
fn blocks_are_read_and_written_alike() {
    let value = written!("record-large");
    let large = record(sample("job-000414", "red", 60_000, 1.0), 1_750_000_000_789, (0..60_000).step_by(3));
    let large = JobRecord { started_high_water: 60_000, ..large };
    let mut back = JobRecord::decode(&value).expect("readable");
    let layout = back.layout(VALUE_KB);
    assert_eq!(layout.blocks(60_000), 3);
    let blocks = [written!("block-0"), written!("block-1"), written!("block-2")];
    for (at, block) in (0..).zip(&blocks) {
        assert_eq!(layout.block_key(&back.spec.id, at), format!("set/job-000414/{at}"));
        back.add_block(block).expect("readable");
        assert_eq!(encode(&large.encode_block(at, VALUE_KB)), encode(block));
    }
    assert_eq!(back, large);
    assert_eq!(encode(&large.encode(VALUE_KB)), encode(&value));
}

#[test]
fn all_other_keys_are_read() {
    assert_eq!(decode_row(&written!("row-live")), Ok(JobState::Queued));
    assert_eq!(decode_row(&written!("row-over")), Ok(JobState::Done));
    let rental = NodePoolRecord::decode(&written!("rental")).expect("readable");
    assert_eq!((rental.request.count, rental.machines_used.len()), (2, 1));
    assert_eq!(rental.machines.map(|machines| machines.len()), Some(2));
    let unanswered = NodePoolRecord::decode(&written!("rental-unanswered")).expect("readable");
    assert_eq!(unanswered.machines, None);
    let catalog = decode_catalog(&written!("catalog")).expect("readable");
    assert_eq!(catalog.iter().map(|kind| kind.name.as_str()).collect::<Vec<_>>(), ["g8"]);
    let experience = LearnedStatistics::decode(&written!("experience")).expect("readable");
    assert_eq!((experience.groups[0].mean, experience.runtime_ratios[0].1), (2.5, 1.25));
    let status = JobStatus::decode(&written!("status")).expect("readable");
    assert_eq!((status.state, status.done, status.running), (JobState::Running, 3, 13));
    let leader = crate::protocol::kv::Entry {
        key: LEADER.into(),
        value: written!("leader"),
        version: 7,
        lease: Some(1),
    };
    let holder = crate::coordination::election::decode_leader_record(&leader).expect("readable");
    assert_eq!((holder.name.as_str(), holder.incarnation.as_str()), ("shed-0", "00c0ffee00c0ffee"));
}
