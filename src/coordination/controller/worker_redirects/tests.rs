use super::*;

const LEASE: Duration = Duration::from_secs(8);

#[test]
fn heartbeats_of_a_worker_that_returns_are_relayed_for_a_few_leases_before_it_is_redirected_again() {
    let now = Instant::now();
    let at = |quarters: u32| now + LEASE * quarters / 4;
    let worker = MachineId::parse("vm-1").expect("valid");
    let mut redirects = WorkerRedirects::new(LEASE, 64);
    assert_eq!(redirects.decide(now, &worker, false), RedirectDecision::Redirect);
    assert_eq!(redirects.decide(at(1), &worker, false), RedirectDecision::Relay);
    assert_eq!(
        redirects.decide(at(12), &worker, false),
        RedirectDecision::Relay,
        "heartbeats are relayed for a few leases"
    );
    assert_eq!(redirects.decide(at(13), &worker, false), RedirectDecision::Redirect);
    assert_eq!(
        redirects.decide(at(20), &worker, false),
        RedirectDecision::Redirect,
        "the worker stayed away long enough to have reached the leader"
    );
    // A worker that the leader has replied to before came here because it can no longer reach it.
    assert_eq!(redirects.decide(at(30), &worker, true), RedirectDecision::Relay);
    assert_eq!(redirects.decide(at(41), &worker, true), RedirectDecision::Relay);
    assert_eq!(
        redirects.decide(at(42), &worker, true),
        RedirectDecision::Redirect,
        "the worker must try the leader again"
    );
    assert_eq!(redirects.decide(at(43), &worker, true), RedirectDecision::Relay, "the worker returned soon");
    redirects.clear();
    assert_eq!(redirects.decide(at(44), &worker, false), RedirectDecision::Redirect, "to the new leader");
}
