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

fn complete_evidence() -> StartEvidence {
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
fn a_leader_permit_is_refused_after_lease_expiry_and_after_fencing() {
    let now = Instant::now();
    assert!(term(now).leader_permit(now + SECOND * 2).is_ok());
    assert_eq!(term(now).leader_permit(now + SECOND * 3).err(), Some(Refusal::LeaseExpired));
    let mut fenced = term(now);
    fenced.fence();
    assert_eq!(fenced.leader_permit(now).err(), Some(Refusal::Fenced));
}

/// Each condition is violated by itself, and the start is refused.
#[test]
fn a_start_is_refused_unless_all_evidence_is_complete() {
    let now = Instant::now();
    let start = |evidence, at| term(now).start_permit(at, task(), 5, evidence).map(StartPermit::into_command);
    assert_eq!(start(complete_evidence(), now), Ok(Command::Start { task: task(), attempt: 5 }));
    assert_eq!(start(complete_evidence(), now + SECOND * 3), Err(Refusal::LeaseExpired));
    for (evidence, refusal) in [
        (StartEvidence { job_is_live: false, ..complete_evidence() }, Refusal::JobNotLive),
        (StartEvidence { dependencies_are_done: false, ..complete_evidence() }, Refusal::DependenciesNotDone),
        (StartEvidence { start_is_recorded: false, ..complete_evidence() }, Refusal::StartNotRecorded),
        (StartEvidence { task_is_done: true, ..complete_evidence() }, Refusal::TaskDone),
        (StartEvidence { is_on_no_machine: false, ..complete_evidence() }, Refusal::MayBeRunning),
        (
            StartEvidence { machine_use_is_recorded: false, ..complete_evidence() },
            Refusal::MachineUseNotRecorded,
        ),
        (StartEvidence { last_attempt: 5, ..complete_evidence() }, Refusal::AttemptReused),
    ] {
        assert_eq!(start(evidence, now), Err(refusal));
    }
}

#[test]
fn a_heartbeat_reply_that_makes_a_decision_is_valid_until_lease_expiry() {
    let now = Instant::now();
    let term = term(now);
    let stop = Command::Stop { task: task(), attempt: 1, grace_s: 0.0 };
    let reap = Command::Reap { task: task(), attempt: 1 };
    let start = Command::Start { task: task(), attempt: 1 };
    let valid_until = |commands: &[Command]| term.heartbeat_reply_validity(commands).valid_until;
    assert_eq!([valid_until(&[]), valid_until(std::slice::from_ref(&stop))], [term.grace_expiry(); 2]);
    assert_eq!([valid_until(&[stop.clone(), start]), valid_until(&[stop, reap])], [term.lease_expiry(); 2]);
}
