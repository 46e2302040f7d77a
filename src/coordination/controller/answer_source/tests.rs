use super::*;

const NOTHING: PollOptions = PollOptions {
    serves_as_leader: false,
    reads_snapshot: false,
    is_in_snapshot: false,
    has_route: false,
    origin: RequestOrigin::User,
};

#[test]
fn a_poll_is_answered_from_the_first_source_that_there_is() {
    let all = PollOptions {
        serves_as_leader: true,
        reads_snapshot: true,
        is_in_snapshot: true,
        has_route: true,
        ..NOTHING
    };
    assert_eq!(all.choose(), PollSource::Memory);
    let snapshot = PollOptions { serves_as_leader: false, ..all };
    assert_eq!(snapshot.choose(), PollSource::Snapshot);
    let route = PollOptions { is_in_snapshot: false, ..snapshot };
    assert_eq!(route.choose(), PollSource::Leader);
    assert_eq!(PollOptions { has_route: false, ..route }.choose(), PollSource::Record);
    assert_eq!(NOTHING.choose(), PollSource::Record);
}

#[test]
fn a_snapshot_without_a_valid_lease_answers_nothing() {
    let expired = PollOptions { is_in_snapshot: true, ..NOTHING };
    assert_eq!(expired.choose(), PollSource::Record);
}

#[test]
fn a_peer_is_refused_unless_this_controller_reads_its_snapshot() {
    for origin in [RequestOrigin::Peer, RequestOrigin::Relay] {
        let asked_by_peer = PollOptions { origin, ..NOTHING };
        assert_eq!(asked_by_peer.choose(), PollSource::Refusal);
        assert_eq!(PollOptions { reads_snapshot: true, ..asked_by_peer }.choose(), PollSource::Record);
    }
}

#[test]
fn only_refusals_leave_a_poll_unanswered() {
    assert!(leaves_poll_unanswered(&Answer::retry_later(429, "too many requests at once", 1)));
    assert!(leaves_poll_unanswered(&Answer::retry_later(503, "no leader at the moment", 1)));
    assert!(!leaves_poll_unanswered(&Answer::error(404, "no such job")));
}
