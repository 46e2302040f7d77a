//! Records are decoded as they were encoded, and fit into the largest value of the store.

use std::collections::BTreeSet;

use super::*;
use crate::protocol::cbor::{MapBuilder, max_json_size};
use crate::protocol::cloud::NodePoolRequest;
use crate::protocol::jobs::tests::sample;
use crate::protocol::workers::MachineId;

/// The worst case for the size of a done set: a hundred thousand tasks, every second one done.
/// No value may exceed the limit, and all done tasks must be decoded again.
#[test]
fn done_tasks_of_a_hundred_thousand_task_job_fit_the_largest_value() {
    let value_kb = 8.0;
    let mut record = JobRecord::new(sample("job-1", "red", 100_000, 1.0), 0);
    (0..100_000).step_by(2).for_each(|n| assert!(record.done.insert(n)));
    let mut decoded = JobRecord::decode(&record.encode(value_kb)).expect("readable");
    let count = record.layout(value_kb).blocks(100_000);
    for block in 0..count {
        let value = record.encode_block(block, value_kb);
        assert!(max_json_size(&value) < 8 * 1024, "block {block} takes {}", max_json_size(&value));
        decoded.add_block(&value).expect("readable");
    }
    assert!(count >= 2);
    assert_eq!(decoded, record);
}

#[test]
fn the_largest_inline_done_set_fits_the_largest_value_with_its_description() {
    let tasks = block_size(8.0);
    let mut spec = sample("job-1", "red", tasks, 1.0);
    spec.class = "c".repeat(128);
    spec.machine_types = Some(vec!["t".repeat(128); 16]);
    let mut record = JobRecord::new(spec, u64::MAX);
    (0..tasks).step_by(2).for_each(|n| assert!(record.done.insert(n)));
    let value = record.encode(8.0);
    assert!(max_json_size(&value) < 8 * 1024, "{}", max_json_size(&value));
    assert_eq!(JobRecord::decode(&value).expect("readable"), record);
}

/// A record that names its block size uses other block keys than the job had before.
#[test]
fn a_layout_with_named_block_size_is_read_back_under_any_limits() {
    let spec = sample("job-1", "red", 100, 1.0);
    let mut record = JobRecord { block_tasks: Some(48), ..JobRecord::new(spec, 7) };
    (0..100).step_by(7).for_each(|task| assert!(record.done.insert(task)));
    for value_kb in [0.01, 8.0] {
        let layout = record.layout(value_kb);
        assert_eq!(layout, Layout::NamedBlocks(48));
        let mut decoded = JobRecord::decode(&record.encode(value_kb)).expect("readable");
        let keys: Vec<String> =
            (0..layout.blocks(100)).map(|n| layout.block_key(&record.spec.id, n)).collect();
        assert_eq!(keys, ["set/job-1/48-0", "set/job-1/48-1", "set/job-1/48-2"]);
        for block in 0..3 {
            decoded.add_block(&record.encode_block(block, value_kb)).expect("readable");
        }
        assert_eq!(decoded, record);
    }
    let zero_block_size = MapBuilder::new().set("spec", record.spec.encode().build()).set("block", 0).build();
    assert!(JobRecord::decode(&zero_block_size).is_err());
}

#[test]
fn learned_statistics_are_read_back_as_written() {
    let group = DemandStatistics { types: vec!["m8".into()], mean: 2.5, spot: true, ..Default::default() };
    let statistics = LearnedStatistics { groups: vec![group], runtime_ratios: vec![("build".into(), 1.25)] };
    assert_eq!(LearnedStatistics::decode(&statistics.encode()), Ok(statistics));
}

#[test]
fn an_unanswered_node_pool_request_differs_from_an_empty_pool() {
    let request = NodePoolRequest {
        name: "7-1".into(),
        machine_type: "t".into(),
        zone: "z".into(),
        spot: true,
        machine_count: 2,
    };
    for machines in [None, Some(vec![]), MachineId::parse("vm-1").map(|m| vec![m])] {
        let record = NodePoolRecord { request: request.clone(), machines, machines_used: BTreeSet::new() };
        assert_eq!(NodePoolRecord::decode(&record.encode()), Ok(record));
    }
}
