use std::time::Duration;

use super::*;
use crate::protocol::cbor::MapBuilder;
use crate::protocol::jobs::JobState;

fn status(job: &str, standing: JobState) -> JobStatus {
    JobStatus { id: JobId::parse(job).expect("valid"), state: standing, done_tasks: 0, running_tasks: 0 }
}

fn reply(job: &str, standing: JobState, lease: Option<RemainingLease>) -> PeerReply {
    PeerReply { status: 200, body: encode(&status(job, standing).encode()), retry_after_s: None, lease }
}

/// Decided under a lease and held up until it is over: another may have served more since.
#[test]
fn a_state_that_is_not_final_is_served_only_while_its_lease_holds() {
    let until = Instant::now() + Duration::from_secs(2);
    let validity = Validity { epoch: 7, valid_until: until };
    let before = until - Duration::from_millis(1);
    let running = Answer::job_state(200, status("job-1", JobState::Running), validity);
    assert_eq!(running.clone().checked_at_sending(before), running);
    let refused = running.clone().checked_at_sending(until);
    assert_eq!((refused.status, refused.retry_after_s), (503, Some(1)));
    let done = Answer::job_state(200, status("job-1", JobState::Done), validity);
    assert_eq!(
        done.clone().checked_at_sending(until + Duration::from_secs(600)),
        done,
        "final states hold for good"
    );
    // The same on the way to another controller, which is served what is left.
    let lease = running.clone().into_reply(until - Duration::from_secs(1)).lease;
    assert_eq!(lease, Some(RemainingLease { epoch: 7, remaining: Duration::from_secs(1) }));
    assert_eq!(running.into_reply(until).status, 503);
    assert_eq!(done.into_reply(until).lease, None);
}

/// An answer that was decided, or read, before the final state was served here.
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
    for late in [queued, cancelled, Answer::error(404, "no such job"), Answer::retry_later(503, "busy", 1)] {
        assert_eq!(served.resolve(&job, late), done);
    }
    // Small memories turn over; what is served twice does not take two places.
    for n in 2..6 {
        assert_eq!(served.resolve(&job, done.clone()), done);
        served.insert(status(&format!("job-{n}"), JobState::Done));
    }
    assert!(served.get(&job).is_none() && served.get(&JobId::parse("job-5").expect("valid")).is_some());
}

#[test]
fn a_reply_of_another_controller_is_served_only_if_sound_and_while_its_lease_holds() {
    let job = JobId::parse("job-1").expect("valid");
    let asked = Instant::now();
    let fresh_until = asked + Duration::from_secs(3);
    let taken = |reply| from_peer_reply(reply, &job, asked, fresh_until, 7);
    let left = Duration::from_millis(1500);
    let lease = |epoch| Some(RemainingLease { epoch, remaining: left });
    // However long the reply was on its way, the lease counts from the asking.
    let answer = taken(reply("job-1", JobState::Running, lease(7))).expect("sound");
    assert_eq!(answer.validity, Some(Validity { epoch: 7, valid_until: asked + left }));
    assert!(taken(reply("job-1", JobState::Running, lease(8))).is_ok(), "newer than what is known here");
    assert_eq!(taken(reply("job-1", JobState::Running, lease(6))), Err(UnusableReply::Stale));
    assert_eq!(taken(reply("job-2", JobState::Running, lease(7))), Err(UnusableReply::OtherJob));
    assert_eq!(taken(reply("job-1", JobState::Done, None)).expect("sound").validity, None);
    // From a build before, or read from a record.
    let old = taken(reply("job-1", JobState::Queued, None)).expect("sound");
    assert_eq!(old.validity, Some(Validity { epoch: 0, valid_until: fresh_until }));
    let read = taken(reply("job-1", JobState::Queued, lease(0))).expect("sound");
    assert_eq!(read.validity, Some(Validity { epoch: 0, valid_until: asked + left }));
    let body = |body: Vec<u8>, status| PeerReply { status, body, retry_after_s: None, lease: None };
    for junk in [b"junk".to_vec(), Vec::new(), encode(&MapBuilder::new().set("nameId", "job-1").build())] {
        assert_eq!(taken(body(junk, 200)), Err(UnusableReply::Malformed));
    }
    assert_eq!(taken(body(Vec::new(), 302)), Err(UnusableReply::Status));
    assert_eq!(taken(body(Vec::new(), 404)).expect("sound").status, 404);
}
