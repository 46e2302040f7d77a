use super::*;
use crate::{policy, settings};

fn report(seq: u64) -> Heartbeat {
    Heartbeat {
        machine: MachineId::parse("vm-1").expect("valid"),
        address: String::new(),
        machine_type: "m8".into(),
        zone: "z1".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: 1,
        preemption_notice_s: None,
        tasks: Vec::new(),
    }
}

fn holding(change: impl FnOnce(&mut settings::Workers)) -> DeferredReplies<u32> {
    let mut settings = settings::tests::sample();
    change(&mut settings.cluster.workers);
    DeferredReplies::new(&Config { settings, tuning: policy::tests::tuning() })
}

/// Whatever the settings are, an answer is held for less than a report interval, than
/// the worker waits, and than its lease lasts.
#[test]
fn holds_are_bounded_by_the_settings() {
    for (report_s, lease_s) in [(3.0, 18.0), (60.0, 300.0), (0.5, 5.0), (30.0, 6.0)] {
        let held = holding(|workers| (workers.report_s, workers.lease_s) = (report_s, lease_s));
        let longest = held.max_delay.as_secs_f64();
        assert!(longest > 0.0 && longest < 0.75 * report_s && longest < lease_s / 3.0);
        assert!(held.max_delay <= HEARTBEAT_REPLY_TIMEOUT / 2);
    }
}

/// A worker has one report under way: a newer one means that it gave up the older.
#[test]
fn one_report_is_held_for_each_machine_until_its_time_is_over() {
    let mut held = holding(|_| {});
    let now = Instant::now();
    assert!(held.defer(now, report(1), 1).is_none());
    let earlier = held.defer(now, report(2), 2).expect("given up");
    assert_eq!((earlier.heartbeat.sequence, earlier.reply), (1, 1));
    assert!(held.expired(now).is_empty());
    let over = held.expired(now + held.max_delay);
    assert_eq!(over.iter().map(|h| h.reply).collect::<Vec<_>>(), [2]);
    assert_eq!(held.machines().count(), 0);
}
