//! Requests whose senders no longer wait cost nothing.

use super::*;

/// Puts a call into the actor's queue and returns the receiver of its answer.
fn queued(call: PeerCall) -> (RequestMessage, oneshot::Receiver<Answer>) {
    let (reply, answer) = oneshot::channel();
    let (origin, arrived) = (RequestOrigin::User, Instant::now());
    (RequestMessage::Call { call, reply, origin, arrived }, answer)
}

#[tokio::test(start_paused = true)]
async fn a_request_queued_for_longer_than_its_sender_waits_is_not_handled() {
    let TestHarness { mut controller, .. } = TestHarness::start().await;
    let spec = crate::protocol::jobs::tests::sample("job-1", "red", 1, 1.0);
    let calls = [
        (PeerCall::Poll("job-1".into()), 2),
        (PeerCall::Cancel("job-1".into()), 5),
        (PeerCall::Submit(encode(&spec.encode().build())), 5),
    ];
    for (call, patience_s) in calls {
        let (in_time, _answer) = queued(call.clone());
        tokio::time::advance(Duration::from_secs(patience_s) - Duration::from_millis(1)).await;
        controller.handle_message(in_time);
        let handled = controller.latencies.requests_recorded();
        let (expired, mut answer) = queued(call);
        tokio::time::advance(Duration::from_secs(patience_s)).await;
        controller.handle_message(expired);
        assert_eq!(controller.latencies.requests_recorded(), handled, "not handled");
        let answer = answer.try_recv().expect("refused at once");
        assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
    }
    assert_eq!(controller.latencies.requests_recorded(), 3);
}

#[tokio::test]
async fn a_poll_whose_caller_has_left_reads_no_record() {
    let TestHarness { mut controller, .. } = TestHarness::start().await;
    let (message, answer) = queued(PeerCall::Poll("job-1".into()));
    drop(answer);
    controller.handle_message(message);
    assert_eq!(controller.record_reads.in_flight(), 0);
    // The same while the request is forwarded: its caller leaves before the fall-back to the record.
    let (reply, answer) = oneshot::channel();
    let (call, job) = (PeerCall::Poll("job-1".into()), JobId::parse("job-1").expect("valid"));
    drop(answer);
    let request = UserRequest { call, job, reply, origin: RequestOrigin::User };
    controller.handle_event(InternalEvent::RequestNotForwarded(request));
    assert_eq!(controller.record_reads.in_flight(), 0);
    let (message, _answer) = queued(PeerCall::Poll("job-1".into()));
    controller.handle_message(message);
    assert_eq!(controller.record_reads.in_flight(), 1, "a caller that waits");
}
