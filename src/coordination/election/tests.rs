use super::*;

const TTL: Duration = Duration::from_secs(10);

fn holder_of(name: &str, incarnation: &str, version: u64, lease: u64) -> LeaderRecord {
    LeaderRecord { name: name.into(), incarnation: incarnation.into(), version, lease: Some(lease) }
}

fn leading(now: Instant) -> Election {
    let mut e = Election::new("c-0", "mine", TTL);
    e.on_read(now, Ok(None));
    assert_eq!(e.next_step(now), Step::GrantLease);
    e.on_lease_granted(now, now, Some(5));
    assert_eq!(e.next_step(now), Step::Acquire { lease: 5 });
    e.on_acquire(now, AcquireOutcome::Won { epoch: 40 });
    e
}

#[test]
fn steps_down_by_its_own_clock_before_the_service_can() {
    let start = Instant::now();
    let mut e = leading(start);
    let Role::Leader { epoch: 40, lease_expiry: until } = e.role() else { panic!("leads") };
    assert!(until < start + TTL, "the lease counts from the sending, less a margin");
    // An answer that took long extends from its sending, not its arrival.
    let sent = start + TTL / 4;
    e.on_renew(start + TTL / 2, sent, RenewOutcome::Renewed);
    let Role::Leader { lease_expiry: until, .. } = e.role() else { panic!("leads") };
    assert!(until < sent + TTL);
    e.on_renew(start + TTL, start + TTL, RenewOutcome::Failed);
    let Role::Leader { lease_expiry: same, .. } = e.role() else { panic!("leads") };
    assert_eq!(until, same, "a renewal without an answer extends nothing");
    e.on_renew(start + TTL, start + TTL, RenewOutcome::LeaseExpired);
    assert_eq!(e.role(), Role::Leaderless);
}

#[test]
fn a_lapsed_lease_resumes_only_once_the_key_is_seen_unchanged() {
    let start = Instant::now();
    let mut e = leading(start);
    let late = start + TTL * 2;
    e.on_renew(late, late, RenewOutcome::Renewed);
    assert!(!e.is_confirmed());
    assert_eq!(e.next_step(late), Step::ReadLeader);
    e.on_read(late, Ok(Some(holder_of("c-0", "mine", 40, 5))));
    assert!(e.is_confirmed());
    let mut e = leading(start);
    e.on_renew(late, late, RenewOutcome::Renewed);
    e.on_read(late, Ok(Some(holder_of("c-1", "other", 41, 6))));
    assert_eq!(e.role(), Role::Follower { leader: "c-1".into(), epoch: 41 });
}

#[test]
fn a_lost_answer_to_an_acquire_is_settled_by_reading() {
    let now = Instant::now();
    let begin = || {
        let mut e = Election::new("c-0", "mine", TTL);
        e.on_read(now, Ok(None));
        e.on_lease_granted(now, now, Some(5));
        e.on_acquire(now, AcquireOutcome::Unknown);
        e
    };
    let later = now + TTL / 10;
    let mut carried_out = begin();
    assert_eq!(carried_out.next_step(later), Step::ReadLeader);
    carried_out.on_read(later, Ok(Some(holder_of("c-0", "mine", 41, 5))));
    assert!(
        matches!(carried_out.role(), Role::Leader { epoch: 41, lease_expiry } if lease_expiry < now + TTL)
    );
    let mut not_yet = begin();
    not_yet.on_read(later, Ok(None));
    assert_eq!(not_yet.next_step(later), Step::Acquire { lease: 5 });
    let mut beaten = begin();
    beaten.on_read(later, Ok(Some(holder_of("c-1", "other", 41, 9))));
    assert_eq!(
        beaten.next_step(later),
        Step::RevokeLease { lease: 5 },
        "its late copy must not win afterwards"
    );
}

#[test]
fn a_leader_that_drops_its_picture_gives_the_lease_up() {
    let now = Instant::now();
    let mut e = leading(now);
    e.resign(39);
    assert!(matches!(e.role(), Role::Leader { epoch: 40, .. }), "an earlier epoch is no matter");
    e.resign(40);
    assert_eq!(e.role(), Role::Leaderless);
    assert_eq!(e.next_step(now), Step::RevokeLease { lease: 5 });
    e.on_lease_revoked(now, 5, true);
    assert_eq!(e.next_step(now), Step::ReadLeader);
}

/// Back within a moment, several times in one election: what an earlier
/// process of the same name still had under way may win before us, and is
/// ended by its own lease, never by its name.
#[test]
fn late_acquires_of_former_processes_are_ended_one_by_one() {
    let now = Instant::now();
    let mut e = Election::new("c-0", "third", TTL);
    e.on_read(now, Ok(None));
    e.on_lease_granted(now, now, Some(7));
    // The first process' acquire, held back until now, was carried out.
    e.on_acquire(now, AcquireOutcome::Lost);
    assert_eq!(e.next_step(now), Step::ReadLeader);
    e.on_read(now, Ok(Some(holder_of("c-0", "first", 40, 5))));
    assert_eq!((e.role(), e.next_step(now)), (Role::Leaderless, Step::RevokeLease { lease: 5 }));
    e.on_lease_revoked(now, 5, true);
    e.on_read(now, Ok(Some(holder_of("c-0", "second", 41, 6))));
    assert_eq!(e.next_step(now), Step::RevokeLease { lease: 6 });
    e.on_lease_revoked(now, 6, true);
    e.on_read(now, Ok(None));
    assert_eq!(e.next_step(now), Step::Acquire { lease: 7 }, "our own was not ended with theirs");
    // Its answer is lost, and the key tells: ours by incarnation.
    e.on_acquire(now, AcquireOutcome::Unknown);
    e.on_read(now, Ok(Some(holder_of("c-0", "third", 42, 7))));
    assert!(matches!(e.role(), Role::Leader { epoch: 42, .. }));
}

#[test]
fn a_follower_without_the_state_service_names_no_leader_for_long() {
    let now = Instant::now();
    let mut e = Election::new("c-0", "mine", TTL);
    e.on_read(now, Ok(Some(holder_of("c-1", "x", 41, 6))));
    e.on_watch(now + TTL, Err(()));
    assert_eq!(e.role(), Role::Follower { leader: "c-1".into(), epoch: 41 }, "a short outage costs nothing");
    e.on_read(now + TTL * 2, Err(()));
    assert_eq!(e.role(), Role::Leaderless);
    assert!(matches!(e.next_step(now + TTL * 2), Step::Wait { .. }), "and it is not asked without a pause");
    e.on_read(now + TTL * 3, Ok(Some(holder_of("c-2", "y", 45, 7))));
    assert_eq!(e.role(), Role::Follower { leader: "c-2".into(), epoch: 45 });
}

#[test]
fn a_restarted_controller_ends_its_dead_predecessors_lease() {
    let now = Instant::now();
    let mut e = Election::new("c-0", "second", TTL);
    e.on_read(now, Ok(Some(holder_of("c-0", "first", 40, 5))));
    assert_eq!(e.next_step(now), Step::RevokeLease { lease: 5 });
    e.on_lease_revoked(now, 5, true);
    assert_eq!(e.next_step(now), Step::ReadLeader);
    e.on_read(now, Ok(Some(holder_of("c-1", "x", 41, 6))));
    assert_eq!(e.next_step(now), Step::Watch { from: 41 }, "another's lease is left alone");
}
