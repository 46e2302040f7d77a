use std::time::Duration;

use super::*;
use crate::protocol::jobs::JobId;

const SECOND: Duration = Duration::from_secs(1);

fn tenure(now: Instant) -> Tenure {
    Tenure { epoch: 7, lease_until: now + SECOND * 3, lapse_until: now + SECOND * 10, is_over: false }
}

fn task() -> TaskId {
    TaskId { job: JobId::parse("job-1").expect("valid"), index: 0 }
}

fn sound() -> StartEvidence {
    StartEvidence {
        job_is_live: true,
        needs_are_done: true,
        begun_is_recorded: true,
        task_is_done: false,
        is_on_no_machine: true,
        machine_is_recorded: true,
        last_attempt: 4,
    }
}

#[test]
fn a_right_ends_with_the_lease_and_with_the_epoch() {
    let now = Instant::now();
    assert!(tenure(now).lead(now + SECOND * 2).is_ok());
    assert_eq!(tenure(now).lead(now + SECOND * 3).err(), Some(Refusal::LeaseOver));
    assert_eq!(Tenure { is_over: true, ..tenure(now) }.lead(now).err(), Some(Refusal::EpochOver));
}

/// Each piece of evidence by itself: without it there is no start.
#[test]
fn a_start_needs_all_of_its_evidence() {
    let now = Instant::now();
    let start = |evidence, at| tenure(now).start(at, task(), 5, evidence).map(StartPermit::order);
    assert_eq!(start(sound(), now), Ok(Command::Start { task: task(), attempt: 5 }));
    assert_eq!(start(sound(), now + SECOND * 3), Err(Refusal::LeaseOver));
    for (evidence, refusal) in [
        (StartEvidence { job_is_live: false, ..sound() }, Refusal::JobNotLive),
        (StartEvidence { needs_are_done: false, ..sound() }, Refusal::NeedsNotDone),
        (StartEvidence { begun_is_recorded: false, ..sound() }, Refusal::BeginNotRecorded),
        (StartEvidence { task_is_done: true, ..sound() }, Refusal::TaskDone),
        (StartEvidence { is_on_no_machine: false, ..sound() }, Refusal::MayBeRunning),
        (StartEvidence { machine_is_recorded: false, ..sound() }, Refusal::MachineNotRecorded),
        (StartEvidence { last_attempt: 5, ..sound() }, Refusal::AttemptReused),
    ] {
        assert_eq!(start(evidence, now), Err(refusal));
    }
}

#[test]
fn an_answer_that_decides_something_holds_as_long_as_the_lease() {
    let now = Instant::now();
    let tenure = tenure(now);
    let stop = Command::Stop { task: task(), attempt: 1, grace_s: 0.0 };
    let forget = Command::Reap { task: task(), attempt: 1 };
    let start = Command::Start { task: task(), attempt: 1 };
    let until = |orders: &[Command]| tenure.worker_answer(orders).until;
    assert_eq!([until(&[]), until(std::slice::from_ref(&stop))], [tenure.lapse_until; 2]);
    assert_eq!([until(&[stop.clone(), start]), until(&[stop, forget])], [tenure.lease_until; 2]);
}
