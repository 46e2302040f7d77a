use super::*;

const LEASE: Duration = Duration::from_secs(8);

#[test]
fn a_worker_that_comes_back_is_relayed_for_a_few_leases_and_then_redirected_again() {
    let now = Instant::now();
    let at = |quarters: u32| now + LEASE * quarters / 4;
    let worker = MachineId::parse("vm-1").expect("valid");
    let mut redirects = WorkerRedirects::new(LEASE, 64);
    assert_eq!(redirects.decide(now, &worker, false), RedirectDecision::Redirect);
    assert_eq!(redirects.decide(at(1), &worker, false), RedirectDecision::Relay);
    assert_eq!(
        redirects.decide(at(12), &worker, false),
        RedirectDecision::Relay,
        "the relay lasts for a few leases"
    );
    assert_eq!(redirects.decide(at(13), &worker, false), RedirectDecision::Redirect);
    assert_eq!(
        redirects.decide(at(20), &worker, false),
        RedirectDecision::Redirect,
        "the worker had reached the leader since"
    );
    // A worker that the leader has replied to can no longer reach it.
    assert_eq!(redirects.decide(at(30), &worker, true), RedirectDecision::Relay);
    assert_eq!(redirects.decide(at(41), &worker, true), RedirectDecision::Relay);
    assert_eq!(
        redirects.decide(at(42), &worker, true),
        RedirectDecision::Redirect,
        "the worker must try the leader again"
    );
    assert_eq!(redirects.decide(at(43), &worker, true), RedirectDecision::Relay, "the worker came back");
    redirects.clear();
    assert_eq!(redirects.decide(at(44), &worker, false), RedirectDecision::Redirect, "to the new leader");
}
