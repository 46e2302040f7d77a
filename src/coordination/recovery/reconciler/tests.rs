use super::*;

#[test]
fn a_repair_is_conditional_on_the_versions_that_were_read() {
    let job = JobId::parse("job-1").expect("valid");
    let examined = |finding, live_version, archived_version| Examined {
        job: job.clone(),
        finding,
        waits_for_dependencies: false,
        names_blocks: false,
        record_version: 7,
        live_version,
        archived_version,
    };
    let stranded = examined(Finding::Stranded, 0, 9).repair(40).expect("repairable");
    assert_eq!(stranded.epoch, 40);
    let versions: Vec<u64> = stranded.compares.iter().map(|compare| compare.version).collect();
    assert_eq!(versions, [7, 0, 9]);
    let keys: Vec<&str> = stranded.changes.iter().map(Change::key).collect();
    assert_eq!(keys, ["live/job-1", "over/job-1"]);
    let behind = examined(Finding::RowBehind(JobState::Done), 8, 0).repair(40).expect("repairable");
    let keys: Vec<&str> = behind.changes.iter().map(Change::key).collect();
    assert_eq!(keys, ["over/job-1", "live/job-1"]);
    assert_eq!(examined(Finding::Suspect("x"), 1, 1).repair(40), None);
    assert_eq!(examined(Finding::Consistent, 1, 0).repair(40), None);
}

#[test]
fn only_findings_that_the_record_resolves_are_repairable() {
    use JobState::{Cancelled, Done};
    let classify = |record, live_row, archived_row| classify(StoredJob { record, live_row, archived_row });
    assert_eq!(classify(Some(None), true, None), Finding::Consistent);
    assert_eq!(classify(Some(Some(Done)), false, Some(Done)), Finding::Consistent);
    assert_eq!(classify(Some(Some(Done)), true, None), Finding::RowBehind(Done));
    assert_eq!(classify(Some(Some(Cancelled)), false, Some(Done)), Finding::RowBehind(Cancelled));
    assert_eq!(classify(Some(None), false, Some(Done)), Finding::Stranded);
    for suspect in
        [classify(None, true, None), classify(None, false, Some(Done)), classify(Some(None), false, None)]
    {
        assert!(matches!(suspect, Finding::Suspect(_)) && !suspect.is_repairable());
    }
}
