use super::*;
use crate::protocol::cbor::json_size;
use crate::protocol::jobs::tests::sample;

/// The worst case of the done set: a hundred thousand tasks, every second
/// one done. No value may pass the limit, and all must be read back.
#[test]
fn a_hundred_thousand_tasks_half_done_fit_their_values() {
    let value_kb = 8.0;
    let mut record = JobRecord::new(sample("job-1", "red", 100_000, 1.0), 0);
    (0..100_000).step_by(2).for_each(|n| assert!(record.done.insert(n)));
    let mut back = JobRecord::decode(&record.encode(value_kb)).expect("readable");
    let count = blocks(100_000, value_kb);
    for block in 0..count {
        let value = record.encode_block(block, value_kb);
        assert!(json_size(&value) < 8 * 1024, "block {block} takes {}", json_size(&value));
        back.add_block(&value).expect("readable");
    }
    assert!(count >= 2);
    assert_eq!(back, record);
}

#[test]
fn the_largest_set_kept_in_the_record_fits_with_the_description() {
    let tasks = block_size(8.0);
    let mut spec = sample("job-1", "red", tasks, 1.0);
    spec.class = "c".repeat(128);
    spec.types = Some(vec!["t".repeat(128); 16]);
    let mut record = JobRecord::new(spec, u64::MAX);
    (0..tasks).step_by(2).for_each(|n| assert!(record.done.insert(n)));
    let value = record.encode(8.0);
    assert!(json_size(&value) < 8 * 1024, "{}", json_size(&value));
    assert_eq!(JobRecord::decode(&value).expect("readable"), record);
}

#[test]
fn experience_is_read_back_as_written() {
    let group = GroupExperience { types: vec!["m8".into()], mean: 2.5, spot: true, ..Default::default() };
    let experience = Experience { groups: vec![group], ratios: vec![("build".into(), 1.25)] };
    assert_eq!(Experience::decode(&experience.encode()), Ok(experience));
}

#[test]
fn an_unanswered_rental_is_told_from_an_empty_one() {
    let request = RentalRequest {
        name: "7-1".into(),
        machine_type: "t".into(),
        zone: "z".into(),
        spot: true,
        count: 2,
    };
    for machines in [None, Some(vec![]), MachineId::parse("vm-1").map(|m| vec![m])] {
        let record = RentalRecord { request: request.clone(), machines, used: BTreeSet::new() };
        assert_eq!(RentalRecord::decode(&record.encode()), Ok(record));
    }
}
