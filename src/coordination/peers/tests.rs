use super::*;

const TTL: Duration = Duration::from_secs(8);

fn peers() -> Peers {
    Peers::new(["c-1".to_owned(), "c-2".to_owned()], TTL)
}

#[test]
fn without_a_leader_the_others_are_asked_and_the_highest_epoch_counts() {
    let now = Instant::now();
    let mut p = peers();
    assert_eq!(p.to_ask(now), ["c-1", "c-2"]);
    assert!(p.to_ask(now + TTL).is_empty(), "one question at a time");
    p.answered(now, "c-1", Some(PeerState::Leads(40)));
    p.answered(now, "c-2", Some(PeerState::Leads(41)));
    assert_eq!(p.leading(now), Some(("c-2", 41)));
    assert_eq!(p.leading(now + TTL), None, "not heard of lately");
    p.answered(now + TTL, "c-2", Some(PeerState::Free));
    assert_eq!(p.leading(now + TTL), None);
}

#[test]
fn a_controller_that_nobody_answers_is_cut_off() {
    let now = Instant::now();
    let mut p = peers();
    assert!(!p.cut_off(now));
    p.to_ask(now);
    p.answered(now, "c-1", None);
    assert!(!p.cut_off(now + TTL / 2) && p.cut_off(now + TTL));
    p.to_ask(now + TTL);
    p.answered(now + TTL, "c-1", Some(PeerState::Free));
    assert!(!p.cut_off(now + TTL), "somebody is there");
    p.rest();
    assert!(!p.cut_off(now + TTL * 9), "a leader is known");
    let mut alone = Peers::new([], TTL);
    alone.to_ask(now);
    assert!(!alone.cut_off(now + TTL * 9));
}

#[test]
fn a_peer_that_does_not_answer_is_spared_for_a_while() {
    let now = Instant::now();
    let mut p = peers();
    p.silent(now, "c-1");
    assert!(!p.reachable(now, "c-1") && p.reachable(now + TTL, "c-1"));
    assert_eq!(p.relays(now, "c-1"), ["c-2"]);
    p.silent(now, "c-2");
    assert!(p.relays(now, "c-1").is_empty());
}

#[test]
fn a_worker_that_comes_back_is_relayed_for_a_few_leases_and_then_tries_again() {
    let now = Instant::now();
    let at = |quarters: u32| now + TTL * quarters / 4;
    let worker = MachineId::parse("vm-1").expect("valid");
    let mut detours = Detours::new(TTL, 64);
    assert_eq!(detours.judge(now, &worker, false), Detour::Redirect);
    assert_eq!(detours.judge(at(1), &worker, false), Detour::Relay);
    assert_eq!(detours.judge(at(12), &worker, false), Detour::Relay, "it stays with whom answers it");
    assert_eq!(detours.judge(at(13), &worker, false), Detour::Redirect);
    assert_eq!(detours.judge(at(20), &worker, false), Detour::Redirect, "it got through meanwhile");
    // One that was with the leader until now does not get through to it.
    assert_eq!(detours.judge(at(30), &worker, true), Detour::Relay);
    assert_eq!(detours.judge(at(41), &worker, true), Detour::Relay);
    assert_eq!(detours.judge(at(42), &worker, true), Detour::Redirect, "it is to try again");
    assert_eq!(detours.judge(at(43), &worker, true), Detour::Relay, "and came back");
    detours.clear();
    assert_eq!(detours.judge(at(44), &worker, false), Detour::Redirect, "to the new leader");
}

#[test]
fn all_others_must_say_that_they_answer_no_worker_and_after_the_takeover() {
    let now = Instant::now();
    let mut p = peers();
    p.answered(now, "c-1", Some(PeerState::Free));
    p.answered(now + TTL, "c-1", Some(PeerState::Lapsed));
    p.answered(now + TTL, "c-2", Some(PeerState::Free));
    assert_eq!(p.all_free_since(now), Some(now + TTL), "what was free takes no epoch up again");
    assert_eq!(p.all_free_since(now + TTL), None, "said before the takeover, it may have led since");
    p.answered(now + TTL * 2, "c-1", Some(PeerState::Free));
    assert_eq!(p.all_free_since(now + TTL), Some(now + TTL * 2));
    assert_eq!(Peers::new([], TTL).all_free_since(now), Some(now));
}
