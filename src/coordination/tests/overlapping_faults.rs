//! The overlapping faults that the users named, each brought about on a whole
//! cluster: no rule may break, and it is shown that the meeting took place. The
//! table in `docs/design.md` has the argument for each.

use super::random_faults::in_simulated_time;
use super::simulation::{Fault, Shape, Simulation};

use Fault::*;

const CALM: f64 = 130.0;
const END: f64 = 300.0;

/// Plays the meeting with three controllers, and with five.
fn meet(faults: &[(f64, Fault)], took_place: impl Fn(&Simulation) -> bool) {
    meet_in(Shape::usual, faults, took_place);
}

fn meet_in(
    shape: impl Fn(usize) -> Shape,
    faults: &[(f64, Fault)],
    took_place: impl Fn(&Simulation) -> bool,
) {
    for (seed, controllers) in [(1, 3), (2, 5)] {
        let simulation = in_simulated_time(async {
            let mut simulation = Simulation::shaped(seed, shape(controllers), faults.to_vec(), CALM);
            simulation.run(END).await;
            simulation.check_end();
            simulation
        });
        assert!(simulation.broken.is_empty(), "{controllers} controllers: {:#?}", simulation.broken);
        assert!(simulation.starts > 20 && took_place(&simulation), "{controllers} controllers: nothing met");
    }
}

#[test]
fn late_transactions_meet_newer_ones_and_a_change_of_leader() {
    let late = LateWrites { share: 0.4, lasts: 90.0 };
    let crash = Crash { controller: None, back: 0.3 };
    meet(&[(25.0, late), (60.0, crash), (80.0, crash), (90.0, CancelNow { count: 3, hang: 0.0 })], |w| {
        w.late_changes > 20 && w.leaders.len() >= 3
    });
}

/// Pipelines are cancelled at their first stages, and right after it the leader is lost, the
/// state service is out, or the leader alone is cut off from it; meanwhile its limits fall.
#[test]
fn pipelines_are_cancelled_while_the_leader_or_the_state_service_is_lost() {
    let cancel = CancelNow { count: 4, hang: 0.0 };
    let lost = [
        Crash { controller: None, back: 3.0 },
        Outage { lasts: 55.0 },
        Refused { lasts: 60.0, peers: false },
        Cut { lasts: 60.0, peers: true },
    ];
    for fault in lost {
        let faults = [(40.0, cancel), (40.3, fault), (41.0, LimitsFall), (55.0, cancel), (55.2, fault)];
        let shape =
            |controllers| Shape { looks: 1.0, writes: 11.0, ..Shape::busy(controllers).with_pipelines() };
        meet_in(shape, &faults, |w| w.called_off >= 3 && w.beyond_limits > 0);
    }
}

/// A transaction is carried out and only its answer lost, while others read what it wrote.
#[test]
fn answers_of_transactions_are_lost_while_controllers_cannot_reach_each_other() {
    let lost = LostAnswers { share: 0.6, lasts: 90.0 };
    let cancel = CancelNow { count: 4, hang: 0.0 };
    let at_end = CancelAtEnd { share: 0.4, lasts: 90.0 };
    let apart = PeersRefuse { lasts: 80.0 };
    let faults = [(25.0, lost), (25.0, at_end), (30.0, apart), (45.0, cancel), (70.0, cancel)];
    meet_in(Shape::busy, &faults, |w| w.called_off > 0 && w.repeated_answers > 1000);
}

#[test]
fn leaders_hand_over_and_back_and_one_returns_within_a_second() {
    let back_at_once = Crash { controller: None, back: 0.2 };
    meet(
        &[
            (40.0, back_at_once),
            (41.0, back_at_once),
            (55.0, CrashAll { back: 0.4 }),
            (57.0, Crash { controller: Some(0), back: 0.1 }),
            (57.3, Crash { controller: Some(1), back: 0.1 }),
            (58.0, CancelNow { count: 2, hang: 5.0 }),
            (75.0, CrashAll { back: 3.0 }),
        ],
        |w| w.leaders.len() >= 3,
    );
}

#[test]
fn a_command_held_up_for_seconds_is_carried_out_when_the_machine_goes_on() {
    let hung = |lasts| Hung { share: 0.6, lasts };
    meet(&[(40.0, hung(3.0)), (50.0, hung(6.0)), (60.0, CancelNow { count: 4, hang: 15.0 })], |w| {
        w.called_off > 0
    });
}

#[test]
fn a_cancellation_a_question_and_a_repeat_meet_the_end_of_the_last_task() {
    let crash = Crash { controller: None, back: 2.0 };
    meet(&[(20.0, CancelAtEnd { share: 1.0, lasts: 100.0 }), (60.0, crash), (90.0, crash)], |w| {
        w.called_off > 5
    });
}

#[test]
fn the_state_service_refuses_the_leader_and_then_everybody_while_users_cancel() {
    let refused = Refused { lasts: 14.0, peers: false };
    meet(
        &[
            (40.0, refused),
            (45.0, CancelNow { count: 3, hang: 0.0 }),
            (46.0, CancelNow { count: 3, hang: 12.0 }),
            (47.5, Outage { lasts: 60.0 }),
        ],
        |w| w.leaders.len() >= 2 && w.called_off >= 3 && w.lost_leases > 0,
    );
}

#[test]
fn the_refusal_and_a_cancellation_at_one_moment_and_the_outage_a_second_later() {
    meet(
        &[
            (45.0, Refused { lasts: 14.0, peers: false }),
            (45.0, CancelNow { count: 4, hang: 0.0 }),
            (46.0, Outage { lasts: 60.0 }),
        ],
        |w| w.lost_leases > 0,
    );
}

#[test]
fn tasks_that_end_far_apart_across_a_change_of_leader() {
    let crash = Crash { controller: None, back: 5.0 };
    let changes: Vec<_> = (0..7).map(|n| (30.0 + 12.0 * f64::from(n), crash)).collect();
    meet(&changes, |w| w.leaders.len() >= 7);
}

#[test]
fn a_leader_without_state_service_and_peers_while_jobs_are_cancelled_through_another() {
    let alone = |hangs| match hangs {
        true => Cut { lasts: 35.0, peers: true },
        false => Refused { lasts: 35.0, peers: true },
    };
    let cancel = CancelNow { count: 3, hang: 0.0 };
    for hangs in [false, true] {
        meet(&[(40.0, alone(hangs)), (46.0, cancel), (50.0, cancel)], |w| {
            w.leaders.len() >= 2 && w.called_off >= 2
        });
    }
}

#[test]
fn more_work_than_room_urgent_and_not_while_leaders_change() {
    let crash = Crash { controller: None, back: 4.0 };
    meet(&[(30.0, Burst { jobs: 25 }), (50.0, crash), (70.0, Burst { jobs: 10 }), (71.0, crash)], |w| {
        w.starts > 100
    });
}

#[test]
fn jobs_bound_to_zones_lose_their_machines() {
    let die = Die { share: 0.5 };
    meet(&[(40.0, die), (60.0, die), (61.0, Crash { controller: None, back: 3.0 }), (80.0, die)], |w| {
        w.leaders.len() >= 2
    });
}

#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    let cut = ZoneCut { lasts: 32.0 };
    // Whether the controller inside leads or not.
    let crash = Crash { controller: None, back: 6.0 };
    meet(&[(40.0, cut), (48.0, CancelNow { count: 3, hang: 0.0 })], |w| w.called_off > 0);
    meet(&[(35.0, crash), (40.0, crash), (48.0, cut), (55.0, crash)], |w| w.leaders.len() >= 2);
}

#[test]
fn old_reports_of_earlier_sessions_and_attempts_come_after_newer_ones() {
    meet(
        &[
            (20.0, LateReports { share: 0.5, lasts: 100.0 }),
            (40.0, Hung { share: 0.4, lasts: 25.0 }),
            (70.0, Deaf { share: 0.4, lasts: 25.0 }),
        ],
        |w| w.late_copies > 50,
    );
}

#[test]
fn a_report_is_held_back_until_a_new_leader_has_acted() {
    let crash = Crash { controller: None, back: 1.0 };
    let late = LateReports { share: 0.7, lasts: 100.0 };
    meet(&[(20.0, late), (45.0, crash), (60.0, crash), (75.0, CrashAll { back: 8.0 })], |w| {
        w.leaders.len() >= 4
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    meet(&[(45.0, CrashAll { back: 27.0 }), (44.0, CancelNow { count: 3, hang: 0.0 })], |w| {
        w.lost_leases > 0
    });
}

#[test]
fn a_team_at_its_limit_when_the_leader_changes_and_machines_cannot_be_asked() {
    meet(
        &[
            (30.0, Burst { jobs: 20 }),
            (50.0, Mute { share: 0.5, lasts: 30.0 }),
            (51.0, Crash { controller: None, back: 5.0 }),
            (54.0, CancelNow { count: 4, hang: 0.0 }),
            (80.0, Hung { share: 0.5, lasts: 17.0 }),
            (81.0, Crash { controller: None, back: 5.0 }),
            (84.0, CancelNow { count: 4, hang: 10.0 }),
        ],
        |w| w.leaders.len() >= 3 && w.called_off >= 3,
    );
}

#[test]
fn a_leader_ends_while_machines_cannot_be_reached_or_are_deaf_to_the_next() {
    let crash = Crash { controller: None, back: 5.0 };
    meet(
        &[
            (40.0, Deaf { share: 0.5, lasts: 40.0 }),
            (42.0, crash),
            (85.0, Mute { share: 0.5, lasts: 15.0 }),
            (86.0, crash),
        ],
        |w| w.leaders.len() >= 3,
    );
}

#[test]
fn leaders_change_ten_times_in_two_minutes_within_an_outage_too() {
    let crash = Crash { controller: None, back: 0.5 };
    let mut faults: Vec<_> = (0..12).map(|n| (25.0 + 8.0 * f64::from(n), crash)).collect();
    faults.extend([(60.0, Outage { lasts: 20.0 }), (58.0, CancelNow { count: 3, hang: 0.0 })]);
    meet(&faults, |w| w.leaders.len() >= 6);
}

#[test]
fn mute_machines_hear_direct_orders_and_no_answers() {
    let mute = Mute { share: 0.7, lasts: 30.0 };
    meet(&[(40.0, mute), (44.0, CancelNow { count: 4, hang: 0.0 })], |w| w.called_off >= 2);
}
