use std::time::Duration;

use super::*;

const TTL: Duration = Duration::from_secs(10);

fn leader_record(name: &str, incarnation: &str, version: u64, lease: u64) -> LeaderRecord {
    LeaderRecord { name: name.into(), incarnation: incarnation.into(), version, lease: Some(lease) }
}

fn leading(now: Instant) -> Election {
    let mut election = Election::new("c-0", "mine", TTL);
    election.on_read(now, LeaderRead::Vacant);
    assert_eq!(election.next_step(now), Step::GrantLease);
    election.on_lease_granted(now, now, Some(5));
    assert_eq!(election.next_step(now), Step::Acquire { lease: 5 });
    election.on_acquire(now, AcquireOutcome::Won { epoch: 40 });
    election
}

#[test]
fn the_lease_expires_by_the_local_clock_before_it_expires_in_the_store() {
    let start = Instant::now();
    let mut election = leading(start);
    let Role::Leader { epoch: 40, lease_expiry } = election.role() else { panic!("leads") };
    assert!(
        lease_expiry < start + TTL,
        "the lease is counted from when the request was sent, minus a margin"
    );
    // A renewal extends from when it was sent, not from when it was answered.
    let sent = start + TTL / 4;
    election.on_renew(start + TTL / 2, sent, RenewOutcome::Renewed);
    let Role::Leader { lease_expiry, .. } = election.role() else { panic!("leads") };
    assert!(lease_expiry < sent + TTL);
    election.on_renew(start + TTL, start + TTL, RenewOutcome::Failed);
    let Role::Leader { lease_expiry: expiry_after_failure, .. } = election.role() else { panic!("leads") };
    assert_eq!(lease_expiry, expiry_after_failure, "a renewal without an answer extends nothing");
    election.on_renew(start + TTL, start + TTL, RenewOutcome::LeaseExpired);
    assert_eq!(election.role(), Role::Leaderless);
}

#[test]
fn leadership_resumes_after_lease_expiry_only_if_the_key_is_unchanged() {
    let start = Instant::now();
    let mut election = leading(start);
    let late = start + TTL * 2;
    election.on_renew(late, late, RenewOutcome::Renewed);
    assert!(!election.is_confirmed());
    assert_eq!(election.next_step(late), Step::ReadLeader);
    election.on_read(late, LeaderRead::Held(leader_record("c-0", "mine", 40, 5)));
    assert!(election.is_confirmed());
    let mut election = leading(start);
    election.on_renew(late, late, RenewOutcome::Renewed);
    election.on_read(late, LeaderRead::Held(leader_record("c-1", "other", 41, 6)));
    assert_eq!(election.role(), Role::Follower { leader: "c-1".into(), epoch: 41 });
}

#[test]
fn an_acquire_with_unknown_outcome_is_resolved_by_reading_the_key() {
    let now = Instant::now();
    let with_unknown_outcome = || {
        let mut election = Election::new("c-0", "mine", TTL);
        election.on_read(now, LeaderRead::Vacant);
        election.on_lease_granted(now, now, Some(5));
        election.on_acquire(now, AcquireOutcome::Unknown);
        election
    };
    let later = now + TTL / 10;
    let mut executed = with_unknown_outcome();
    assert_eq!(executed.next_step(later), Step::ReadLeader);
    executed.on_read(later, LeaderRead::Held(leader_record("c-0", "mine", 41, 5)));
    assert!(matches!(executed.role(), Role::Leader { epoch: 41, lease_expiry } if lease_expiry < now + TTL));
    let mut not_executed = with_unknown_outcome();
    not_executed.on_read(later, LeaderRead::Vacant);
    assert_eq!(not_executed.next_step(later), Step::Acquire { lease: 5 });
    let mut lost = with_unknown_outcome();
    lost.on_read(later, LeaderRead::Held(leader_record("c-1", "other", 41, 9)));
    assert_eq!(
        lost.next_step(later),
        Step::RevokeLease { lease: 5 },
        "a delayed acquire with this lease must not win afterwards"
    );
}

#[test]
fn resigning_the_current_epoch_revokes_its_lease() {
    let now = Instant::now();
    let mut election = leading(now);
    election.resign(39);
    assert!(matches!(election.role(), Role::Leader { epoch: 40, .. }), "an earlier epoch is ignored");
    election.resign(40);
    assert_eq!(election.role(), Role::Leaderless);
    assert_eq!(election.next_step(now), Step::RevokeLease { lease: 5 });
    election.on_lease_revoked(now, 5, true);
    assert_eq!(election.next_step(now), Step::ReadLeader);
}

/// A process is restarted several times during one election, and the acquire of an earlier
/// incarnation is still in flight and wins. It must be undone by revoking the lease that the
/// key is attached to, and no other lease of the same controller name.
#[test]
fn late_acquires_of_earlier_incarnations_are_revoked_one_by_one() {
    let now = Instant::now();
    let mut election = Election::new("c-0", "third", TTL);
    election.on_read(now, LeaderRead::Vacant);
    election.on_lease_granted(now, now, Some(7));
    // The first incarnation's acquire was delayed, and is executed only now.
    election.on_acquire(now, AcquireOutcome::Lost);
    assert_eq!(election.next_step(now), Step::ReadLeader);
    election.on_read(now, LeaderRead::Held(leader_record("c-0", "first", 40, 5)));
    assert_eq!(
        (election.role(), election.next_step(now)),
        (Role::Leaderless, Step::RevokeLease { lease: 5 })
    );
    election.on_lease_revoked(now, 5, true);
    election.on_read(now, LeaderRead::Held(leader_record("c-0", "second", 41, 6)));
    assert_eq!(election.next_step(now), Step::RevokeLease { lease: 6 });
    election.on_lease_revoked(now, 6, true);
    election.on_read(now, LeaderRead::Vacant);
    assert_eq!(
        election.next_step(now),
        Step::Acquire { lease: 7 },
        "our own lease was not revoked with theirs"
    );
    // The response to our acquire is lost; the incarnation in the key shows that it is ours.
    election.on_acquire(now, AcquireOutcome::Unknown);
    election.on_read(now, LeaderRead::Held(leader_record("c-0", "third", 42, 7)));
    assert!(matches!(election.role(), Role::Leader { epoch: 42, .. }));
}

#[test]
fn a_follower_that_cannot_reach_the_store_reports_its_leader_for_two_lease_durations_at_most() {
    let now = Instant::now();
    let mut election = Election::new("c-0", "mine", TTL);
    election.on_read(now, LeaderRead::Held(leader_record("c-1", "x", 41, 6)));
    election.on_watch(now + TTL, WatchOutcome::Failed);
    assert_eq!(
        election.role(),
        Role::Follower { leader: "c-1".into(), epoch: 41 },
        "a short outage does not change the role"
    );
    election.on_read(now + TTL * 2, LeaderRead::Failed);
    assert_eq!(election.role(), Role::Leaderless);
    assert!(
        matches!(election.next_step(now + TTL * 2), Step::Wait { .. }),
        "the read is not retried without a pause"
    );
    election.on_read(now + TTL * 3, LeaderRead::Held(leader_record("c-2", "y", 45, 7)));
    assert_eq!(election.role(), Role::Follower { leader: "c-2".into(), epoch: 45 });
}

#[test]
fn a_restarted_controller_revokes_the_lease_of_its_earlier_incarnation() {
    let now = Instant::now();
    let mut election = Election::new("c-0", "second", TTL);
    election.on_read(now, LeaderRead::Held(leader_record("c-0", "first", 40, 5)));
    assert_eq!(election.next_step(now), Step::RevokeLease { lease: 5 });
    election.on_lease_revoked(now, 5, true);
    assert_eq!(election.next_step(now), Step::ReadLeader);
    election.on_read(now, LeaderRead::Held(leader_record("c-1", "x", 41, 6)));
    assert_eq!(
        election.next_step(now),
        Step::Watch { from: 41 },
        "another controller's lease is not revoked"
    );
}
