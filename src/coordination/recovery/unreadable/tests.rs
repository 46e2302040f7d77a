use std::collections::BTreeSet;

use super::*;

#[test]
fn unreadable_keys_are_returned_in_rotation() {
    let mut unreadable = UnreadableRecords::default();
    assert!(unreadable.next_keys("", 2).is_empty() && !unreadable.may_hide_machines());
    for job in ["job-1", "job-2", "job-3"] {
        unreadable.add_job(&JobId::parse(job).expect("valid"), "damaged".into());
    }
    unreadable.add_node_pool("hire/1-7", "damaged".into());
    assert!(unreadable.may_hide_machines());
    let mut after = String::new();
    let mut seen = BTreeSet::new();
    for _ in 0..2 {
        let keys = unreadable.next_keys(&after, 2);
        assert_eq!(keys.len(), 2);
        after = keys.last().expect("two").clone();
        seen.extend(keys);
    }
    assert_eq!(seen.len(), 4, "every key was returned once: {seen:?}");
    assert_eq!(unreadable.next_keys(&after, 1), ["hire/1-7"], "and the rotation starts again");
    unreadable.remove("hire/1-7");
    let job = UnreadableRecords::job_of("rec/job-2").expect("the key of a job record");
    assert!(unreadable.contains_job(&job) && !unreadable.may_hide_machines());
    assert_eq!(UnreadableRecords::job_of("hire/1-7"), None);
}
