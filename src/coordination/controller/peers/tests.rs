use super::*;

const TTL: Duration = Duration::from_secs(8);

fn peers() -> Peers {
    Peers::new(["c-1".to_owned(), "c-2".to_owned()], TTL)
}

#[test]
fn without_a_leader_the_others_are_asked_and_the_highest_epoch_counts() {
    let now = Instant::now();
    let mut p = peers();
    assert_eq!(p.peers_to_query(now), ["c-1", "c-2"]);
    assert!(p.peers_to_query(now + TTL).is_empty(), "one question at a time");
    p.record_answer(now, "c-1", Some(PeerState::Leading(40)));
    p.record_answer(now, "c-2", Some(PeerState::Leading(41)));
    assert_eq!(p.known_leader(now), Some(("c-2", 41)));
    assert_eq!(p.known_leader(now + TTL), None, "not heard of lately");
    p.record_answer(now + TTL, "c-2", Some(PeerState::Idle));
    assert_eq!(p.known_leader(now + TTL), None);
}

#[test]
fn a_controller_that_nobody_answers_is_cut_off() {
    let now = Instant::now();
    let mut p = peers();
    assert!(!p.is_isolated(now));
    p.peers_to_query(now);
    p.record_answer(now, "c-1", None);
    assert!(!p.is_isolated(now + TTL / 2) && p.is_isolated(now + TTL));
    p.peers_to_query(now + TTL);
    p.record_answer(now + TTL, "c-1", Some(PeerState::Idle));
    assert!(!p.is_isolated(now + TTL), "somebody is there");
    p.stop_querying();
    assert!(!p.is_isolated(now + TTL * 9), "a leader is known");
    let mut alone = Peers::new([], TTL);
    alone.peers_to_query(now);
    assert!(!alone.is_isolated(now + TTL * 9));
}

#[test]
fn a_peer_that_does_not_answer_is_spared_for_a_while() {
    let now = Instant::now();
    let mut p = peers();
    p.record_timeout(now, "c-1");
    assert!(!p.is_reachable(now, "c-1") && p.is_reachable(now + TTL, "c-1"));
    assert_eq!(p.relay_candidates(now, "c-1"), ["c-2"]);
    p.record_timeout(now, "c-2");
    assert!(p.relay_candidates(now, "c-1").is_empty());
}

#[test]
fn a_worker_that_comes_back_is_relayed_for_a_few_leases_and_then_tries_again() {
    let now = Instant::now();
    let at = |quarters: u32| now + TTL * quarters / 4;
    let worker = MachineId::parse("vm-1").expect("valid");
    let mut detours = WorkerRedirects::new(TTL, 64);
    assert_eq!(detours.decide(now, &worker, false), RedirectDecision::Redirect);
    assert_eq!(detours.decide(at(1), &worker, false), RedirectDecision::Relay);
    assert_eq!(
        detours.decide(at(12), &worker, false),
        RedirectDecision::Relay,
        "it stays with whom answers it"
    );
    assert_eq!(detours.decide(at(13), &worker, false), RedirectDecision::Redirect);
    assert_eq!(
        detours.decide(at(20), &worker, false),
        RedirectDecision::Redirect,
        "it got through meanwhile"
    );
    // One that was with the leader until now does not get through to it.
    assert_eq!(detours.decide(at(30), &worker, true), RedirectDecision::Relay);
    assert_eq!(detours.decide(at(41), &worker, true), RedirectDecision::Relay);
    assert_eq!(detours.decide(at(42), &worker, true), RedirectDecision::Redirect, "it is to try again");
    assert_eq!(detours.decide(at(43), &worker, true), RedirectDecision::Relay, "and came back");
    detours.clear();
    assert_eq!(detours.decide(at(44), &worker, false), RedirectDecision::Redirect, "to the new leader");
}

#[test]
fn all_others_must_say_that_they_answer_no_worker_and_after_the_takeover() {
    let now = Instant::now();
    let mut p = peers();
    p.record_answer(now, "c-1", Some(PeerState::Idle));
    p.record_answer(now + TTL, "c-1", Some(PeerState::LeaseExpired));
    p.record_answer(now + TTL, "c-2", Some(PeerState::Idle));
    assert_eq!(p.all_idle_since(now), Some(now + TTL), "what was free takes no epoch up again");
    assert_eq!(p.all_idle_since(now + TTL), None, "said before the takeover, it may have led since");
    p.record_answer(now + TTL * 2, "c-1", Some(PeerState::Idle));
    assert_eq!(p.all_idle_since(now + TTL), Some(now + TTL * 2));
    assert_eq!(Peers::new([], TTL).all_idle_since(now), Some(now));
}
