use std::time::Duration;

use super::*;
use crate::protocol::cbor::MapBuilder;
use crate::protocol::jobs::JobState;

fn status(job: &str, state: JobState) -> JobStatus {
    JobStatus { id: JobId::parse(job).expect("valid"), state, done_tasks: 0, running_tasks: 0 }
}

fn reply(job: &str, state: JobState, lease: Option<RemainingLease>) -> PeerReply {
    PeerReply { status: 200, body: encode(&status(job, state).encode()), retry_after_s: None, lease }
}

/// An answer decided under a lease is delayed until the lease has expired: another controller
/// may have served a later state since then.
#[test]
fn a_non_terminal_state_is_served_only_until_its_lease_expires() {
    let lease_expiry = Instant::now() + Duration::from_secs(2);
    let validity = Validity { epoch: 7, valid_until: lease_expiry };
    let before = lease_expiry - Duration::from_millis(1);
    let running = Answer::job_state(200, status("job-1", JobState::Running), validity);
    assert_eq!(running.clone().checked_at_sending(before), running);
    let refused = running.clone().checked_at_sending(lease_expiry);
    assert_eq!((refused.status, refused.retry_after_s), (503, Some(1)));
    let done = Answer::job_state(200, status("job-1", JobState::Done), validity);
    assert_eq!(
        done.clone().checked_at_sending(lease_expiry + Duration::from_secs(600)),
        done,
        "terminal states stay valid"
    );
    // The same for a reply to another controller, which states how long the lease remains valid.
    let lease = running.clone().into_reply(lease_expiry - Duration::from_secs(1)).lease;
    assert_eq!(lease, Some(RemainingLease { epoch: 7, remaining: Duration::from_secs(1) }));
    assert_eq!(running.into_reply(lease_expiry).status, 503);
    assert_eq!(done.into_reply(lease_expiry).lease, None);
}

/// An answer may have been decided, or read, before this controller served the terminal state.
#[test]
fn a_served_terminal_state_replaces_every_other_answer() {
    let job = JobId::parse("job-1").expect("valid");
    let validity = Validity { epoch: 7, valid_until: Instant::now() + Duration::from_secs(2) };
    let queued = Answer::job_state(200, status("job-1", JobState::Queued), validity);
    let mut served = TerminalStates::new(4);
    assert_eq!(served.resolve(&job, queued.clone()), queued);
    let done = Answer::terminal_state(status("job-1", JobState::Done));
    assert_eq!(served.resolve(&job, done.clone()), done);
    let cancelled = Answer::terminal_state(status("job-1", JobState::Cancelled));
    for other in [queued, cancelled, Answer::error(404, "no such job"), Answer::retry_later(503, "busy", 1)] {
        assert_eq!(served.resolve(&job, other), done);
    }
    // A full cache drops its older states; a state that is served twice takes one entry.
    for n in 2..6 {
        assert_eq!(served.resolve(&job, done.clone()), done);
        served.insert(status(&format!("job-{n}"), JobState::Done));
    }
    assert!(served.get(&job).is_none() && served.get(&JobId::parse("job-5").expect("valid")).is_some());
}

#[test]
fn a_peer_reply_is_served_only_if_usable_and_until_its_lease_expires() {
    let job = JobId::parse("job-1").expect("valid");
    let forwarded_at = Instant::now();
    let fresh_until = forwarded_at + Duration::from_secs(3);
    let decode_reply = |reply| from_peer_reply(reply, &job, forwarded_at, fresh_until, 7);
    let remaining = Duration::from_millis(1500);
    let lease = |epoch| Some(RemainingLease { epoch, remaining });
    // However long the reply took, its lease is counted from when the request was forwarded.
    let answer = decode_reply(reply("job-1", JobState::Running, lease(7))).expect("usable");
    assert_eq!(answer.validity, Some(Validity { epoch: 7, valid_until: forwarded_at + remaining }));
    assert!(
        decode_reply(reply("job-1", JobState::Running, lease(8))).is_ok(),
        "an epoch newer than the newest known here"
    );
    assert_eq!(decode_reply(reply("job-1", JobState::Running, lease(6))), Err(UnusableReply::Stale));
    assert_eq!(decode_reply(reply("job-2", JobState::Running, lease(7))), Err(UnusableReply::OtherJob));
    assert_eq!(decode_reply(reply("job-1", JobState::Done, None)).expect("usable").validity, None);
    // From an earlier build, which sent no lease, or read from a record.
    let old = decode_reply(reply("job-1", JobState::Queued, None)).expect("usable");
    assert_eq!(old.validity, Some(Validity { epoch: 0, valid_until: fresh_until }));
    let read = decode_reply(reply("job-1", JobState::Queued, lease(0))).expect("usable");
    assert_eq!(read.validity, Some(Validity { epoch: 0, valid_until: forwarded_at + remaining }));
    let body = |body: Vec<u8>, status| PeerReply { status, body, retry_after_s: None, lease: None };
    for junk in [b"junk".to_vec(), Vec::new(), encode(&MapBuilder::new().set("nameId", "job-1").build())] {
        assert_eq!(decode_reply(body(junk, 200)), Err(UnusableReply::Malformed));
    }
    assert_eq!(decode_reply(body(Vec::new(), 302)), Err(UnusableReply::Status));
    assert_eq!(decode_reply(body(Vec::new(), 404)).expect("usable").status, 404);
}
