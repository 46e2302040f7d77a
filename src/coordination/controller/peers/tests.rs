use super::*;

const LEASE: Duration = Duration::from_secs(8);

fn two_peers() -> Peers {
    Peers::new(["c-1".to_owned(), "c-2".to_owned()], LEASE)
}

#[test]
fn without_a_leader_peers_are_queried_and_the_highest_epoch_counts() {
    let now = Instant::now();
    let mut peers = two_peers();
    assert_eq!(peers.peers_to_query(now), ["c-1", "c-2"]);
    assert!(peers.peers_to_query(now + LEASE).is_empty(), "at most one query to a peer is in flight");
    peers.record_answer(now, "c-1", Some(PeerState::Leading(40)));
    peers.record_answer(now, "c-2", Some(PeerState::Leading(41)));
    assert_eq!(peers.known_leader(now), Some(KnownLeader { name: "c-2", epoch: 41 }));
    assert_eq!(peers.known_leader(now + LEASE), None, "its claim is too old");
    peers.record_answer(now + LEASE, "c-2", Some(PeerState::Idle));
    assert_eq!(peers.known_leader(now + LEASE), None);
}

#[test]
fn a_controller_that_no_peer_answers_is_isolated() {
    let now = Instant::now();
    let mut peers = two_peers();
    assert!(!peers.is_isolated(now));
    peers.peers_to_query(now);
    peers.record_answer(now, "c-1", None);
    assert!(!peers.is_isolated(now + LEASE / 2) && peers.is_isolated(now + LEASE));
    peers.peers_to_query(now + LEASE);
    peers.record_answer(now + LEASE, "c-1", Some(PeerState::Idle));
    assert!(!peers.is_isolated(now + LEASE), "a peer answers");
    peers.stop_querying();
    assert!(!peers.is_isolated(now + LEASE * 9), "a leader is known");
    let mut no_peers = Peers::new([], LEASE);
    no_peers.peers_to_query(now);
    assert!(!no_peers.is_isolated(now + LEASE * 9));
}

#[test]
fn a_peer_that_timed_out_is_not_called_for_a_while() {
    let now = Instant::now();
    let mut peers = two_peers();
    peers.record_timeout(now, "c-1");
    assert!(!peers.is_reachable(now, "c-1") && peers.is_reachable(now + LEASE, "c-1"));
    assert_eq!(peers.relay_candidates(now, "c-1"), ["c-2"]);
    peers.record_timeout(now, "c-2");
    assert!(peers.relay_candidates(now, "c-1").is_empty());
}

#[test]
fn post_lease_grace_periods_end_once_all_peers_have_been_idle_after_the_failover() {
    let now = Instant::now();
    let mut peers = two_peers();
    peers.record_answer(now, "c-1", Some(PeerState::Idle));
    peers.record_answer(now + LEASE, "c-1", Some(PeerState::LeaseExpired));
    peers.record_answer(now + LEASE, "c-2", Some(PeerState::Idle));
    assert_eq!(
        peers.all_idle_since(now),
        Some(now + LEASE),
        "c-1 stays confirmed: after being idle it cannot resume an earlier epoch"
    );
    assert_eq!(
        peers.all_idle_since(now + LEASE),
        None,
        "c-1 was idle only before the failover and may have led since"
    );
    peers.record_answer(now + LEASE * 2, "c-1", Some(PeerState::Idle));
    assert_eq!(peers.all_idle_since(now + LEASE), Some(now + LEASE * 2));
    assert_eq!(Peers::new([], LEASE).all_idle_since(now), Some(now));
}
