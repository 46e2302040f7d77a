use super::*;
use crate::coordination::tests::heartbeat_message;
use crate::{policy, settings};

fn deferred_replies(change: impl FnOnce(&mut settings::Workers)) -> DeferredReplies<u32> {
    let mut settings = settings::tests::sample();
    change(&mut settings.cluster.workers);
    DeferredReplies::new(&Config { settings, tuning: policy::tests::tuning() })
}

/// For any settings, the longest delay of a reply is less than three quarters of the heartbeat
/// interval and a third of the worker's lease, and at most half of the worker's reply timeout.
#[test]
fn delays_are_bounded_by_the_settings() {
    for (report_s, lease_s) in [(3.0, 18.0), (60.0, 300.0), (0.5, 5.0), (30.0, 6.0)] {
        let replies =
            deferred_replies(|workers| (workers.heartbeat_interval_s, workers.lease_s) = (report_s, lease_s));
        let max_delay_s = replies.max_delay.as_secs_f64();
        assert!(max_delay_s > 0.0 && max_delay_s < 0.75 * report_s && max_delay_s < lease_s / 3.0);
        assert!(replies.max_delay <= HEARTBEAT_REPLY_TIMEOUT / 2);
    }
}

/// A worker has one heartbeat in flight: when it sends a newer one, it no longer waits for the
/// reply to the older one.
#[test]
fn one_reply_is_deferred_for_each_machine_until_its_deadline() {
    let mut replies = deferred_replies(|_| {});
    let now = Instant::now();
    assert!(replies.defer(now, heartbeat_message("vm-1", 1, Vec::new()), 1).is_none());
    let earlier = replies.defer(now, heartbeat_message("vm-1", 2, Vec::new()), 2).expect("deferred earlier");
    assert_eq!((earlier.heartbeat.sequence, earlier.reply), (1, 1));
    assert!(replies.take_expired(now).is_empty());
    let expired = replies.take_expired(now + replies.max_delay);
    assert_eq!(expired.iter().map(|deferred| deferred.reply).collect::<Vec<_>>(), [2]);
    assert_eq!(replies.machines().count(), 0);
}
