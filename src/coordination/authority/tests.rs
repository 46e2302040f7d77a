use std::time::Duration;

use super::*;
use crate::protocol::jobs::JobId;

const SECOND: Duration = Duration::from_secs(1);

fn term(now: Instant) -> LeadershipTerm {
    let mut term = LeadershipTerm::new(7, now, SECOND * 7);
    term.extend(now + SECOND * 3);
    term
}

fn task() -> TaskId {
    TaskId { job: JobId::parse("job-1").expect("valid"), index: 0 }
}

fn sound() -> StartEvidence {
    StartEvidence {
        job_is_live: true,
        dependencies_are_done: true,
        start_is_recorded: true,
        task_is_done: false,
        is_on_no_machine: true,
        machine_use_is_recorded: true,
        last_attempt: 4,
    }
}

#[test]
fn a_permit_ends_with_the_lease_and_with_the_epoch() {
    let now = Instant::now();
    assert!(term(now).leader_permit(now + SECOND * 2).is_ok());
    assert_eq!(term(now).leader_permit(now + SECOND * 3).err(), Some(Refusal::LeaseExpired));
    let mut fenced = term(now);
    fenced.fence();
    assert_eq!(fenced.leader_permit(now).err(), Some(Refusal::Fenced));
}

/// Each piece of evidence by itself: without it there is no start.
#[test]
fn a_start_needs_all_of_its_evidence() {
    let now = Instant::now();
    let start = |evidence, at| term(now).start_permit(at, task(), 5, evidence).map(StartPermit::into_command);
    assert_eq!(start(sound(), now), Ok(Command::Start { task: task(), attempt: 5 }));
    assert_eq!(start(sound(), now + SECOND * 3), Err(Refusal::LeaseExpired));
    for (evidence, refusal) in [
        (StartEvidence { job_is_live: false, ..sound() }, Refusal::JobNotLive),
        (StartEvidence { dependencies_are_done: false, ..sound() }, Refusal::DependenciesNotDone),
        (StartEvidence { start_is_recorded: false, ..sound() }, Refusal::StartNotRecorded),
        (StartEvidence { task_is_done: true, ..sound() }, Refusal::TaskDone),
        (StartEvidence { is_on_no_machine: false, ..sound() }, Refusal::MayBeRunning),
        (StartEvidence { machine_use_is_recorded: false, ..sound() }, Refusal::MachineUseNotRecorded),
        (StartEvidence { last_attempt: 5, ..sound() }, Refusal::AttemptReused),
    ] {
        assert_eq!(start(evidence, now), Err(refusal));
    }
}

#[test]
fn a_reply_that_decides_something_is_valid_as_long_as_the_lease() {
    let now = Instant::now();
    let term = term(now);
    let stop = Command::Stop { task: task(), attempt: 1, grace_s: 0.0 };
    let forget = Command::Reap { task: task(), attempt: 1 };
    let start = Command::Start { task: task(), attempt: 1 };
    let until = |orders: &[Command]| term.heartbeat_reply_validity(orders).valid_until;
    assert_eq!([until(&[]), until(std::slice::from_ref(&stop))], [term.grace_expiry(); 2]);
    assert_eq!([until(&[stop.clone(), start]), until(&[stop, forget])], [term.lease_expiry(); 2]);
}
