//! A fleet of more than four thousand machines: a takeover, reports, starts, the machine
//! list, rentals and deletions, each message with bounded work and of bounded size.

use super::*;
use crate::protocol::BODY_LIMIT;
use crate::protocol::cbor::{encode, json_size};
use crate::protocol::cloud::{INVENTORY_PAGE, MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_REQUEST};
use crate::protocol::workers::encode_heartbeat_reply;

const MACHINES: usize = 4_100;
const IN_RENTAL: usize = 50;

fn name(n: usize) -> String {
    format!("vm-{n:06}")
}

fn rentals() -> Vec<(NodePoolRecord, u64)> {
    let chunk = |first: usize| {
        let ids: Vec<MachineId> = (first..first + IN_RENTAL).map(|n| machine(&name(n))).collect();
        let (mut record, version) = rented("vm-0", true);
        record.request.name = format!("1-{first}");
        record.machines_used = ids.iter().cloned().collect();
        record.machines = Some(ids);
        (record, version)
    };
    (0..MACHINES).step_by(IN_RENTAL).map(chunk).collect()
}

fn config() -> Config {
    let mut settings = settings::tests::sample();
    settings.cluster.limits.max_connections = 4_600;
    settings.cluster.limits.memory_mb = 256.0;
    let next = settings::NextState { rps: None, write_rps: None, value_kb: Some(2.0), txn_ops: Some(4) };
    settings.cluster.state.next = Some(next);
    Config { settings, tuning: policy::tests::tuning() }
}

impl Rig {
    /// Every machine reports, and each answer is within its limits.
    fn all_beat(&mut self, seq: u64, tasks: impl Fn(usize) -> Vec<TaskStatus>) -> Vec<Vec<Command>> {
        let answers = (0..MACHINES).map(|n| {
            let orders = self.beat(&name(n), seq, EPOCH, tasks(n));
            assert!(encode(&encode_heartbeat_reply(EPOCH, &orders)).len() < BODY_LIMIT);
            orders
        });
        answers.collect()
    }

    fn commit_within_limits(&mut self) {
        let limits = self.config.settings.cluster.state.announced();
        for transaction in self.commit_all() {
            assert!(transaction.changes.len() <= limits.txn_ops, "{:?}", transaction.changes.len());
            for change in &transaction.changes {
                if let Change::Put { key, value, .. } = change {
                    assert!(json_size(value) < limits.value_bytes(), "{key} takes {}", json_size(value));
                }
            }
        }
    }

    fn answer_cloud(&mut self, answer: impl Fn(&CloudCall) -> Option<CloudReply>) -> usize {
        let mut answered = 0;
        for (ticket, call) in std::mem::take(&mut self.cloud) {
            match answer(&call) {
                Some(reply) => {
                    answered += 1;
                    self.leader.handle_cloud_result(self.now, ticket, Ok(reply));
                }
                None => self.cloud.push((ticket, call)),
            }
        }
        self.collect();
        answered
    }
}

#[test]
fn four_thousand_machines_are_taken_over_used_listed_and_returned() {
    let mut rig = Rig::configured(Vec::new(), rentals(), config());
    rig.all_beat(2, |_| vec![]);
    assert!(rig.leader.failover.is_complete(), "a report of each is enough");
    for n in 0..MACHINES / 100 {
        rig.accept(sample(&format!("job-{n}"), "blue", 100, 8.0));
    }
    rig.pass(1.5);
    rig.commit_within_limits();
    let started = rig.all_beat(3, |_| vec![]);
    let started: Vec<_> = started.iter().map(|orders| starts(orders)).collect();
    assert_eq!(started.iter().map(Vec::len).sum::<usize>(), MACHINES, "one task fills a machine");

    // The list comes in pages, one call at a time.
    let mut pages = 0;
    while pages < MACHINES.div_ceil(INVENTORY_PAGE) {
        rig.pass(1.0);
        pages += rig.answer_cloud(|call| {
            let CloudCall::List { from } = call else { return None };
            let mut rest = (0..MACHINES).map(name).filter(|name| name > from);
            let machines =
                rest.by_ref().take(INVENTORY_PAGE).map(|name| in_list(&name, ListedState::Running)).collect();
            Some(CloudReply::List(InventoryPage { machines, more: rest.next().is_some() }))
        });
    }
    let listed = |rig: &Rig| rig.leader.machines.values().all(|m| m.listing.was_listed);
    assert!(listed(&rig) && rig.leader.machines.len() == MACHINES);

    // All end at once; the records come out in parts that the new limits allow.
    let ended = rig.all_beat(4, |n| started[n].iter().map(|start| self::listed(start, DONE)).collect());
    assert!(ended.iter().flatten().all(|order| !matches!(order, Command::Start { .. })));
    rig.commit_within_limits();
    assert!(rig.leader.jobs.is_empty(), "{} jobs are left", rig.leader.jobs.len());

    // What is idle goes back, in calls of a bounded size, and is remembered.
    let mut deleted = 0;
    for seq in 5..400 {
        for n in 0..MACHINES {
            rig.report(&name(n), 1, seq, EPOCH, vec![]);
        }
        rig.pass(3.0);
        rig.answer_cloud(|call| {
            let CloudCall::Delete(names) = call else { return None };
            assert!(names.len() <= MAX_MACHINES_PER_DELETION);
            Some(CloudReply::Deleted)
        });
        rig.commit_within_limits();
        deleted = MACHINES - rig.leader.machines.len();
        if deleted == MACHINES {
            break;
        }
    }
    assert_eq!(deleted, MACHINES);
    let late = rig.report(&name(0), 1, 900, EPOCH, vec![]);
    assert_eq!(late, HeartbeatReply::Redirect, "a late copy of a machine that was deleted first");
    assert!(rig.leader.unregistered.is_empty());

    // A new backlog rents anew, in records that fit.
    for n in 0..40 {
        rig.accept(sample(&format!("job-9{n}"), "blue", 100, 8.0));
    }
    for _ in 0..3 {
        rig.pass(1.0);
        rig.commit_within_limits();
    }
    let counts = rig.cloud.iter().filter_map(|(_, call)| match call {
        CloudCall::Provision(request) => Some(request.count),
        _ => None,
    });
    let counts: Vec<u32> = counts.collect();
    assert!(
        !counts.is_empty() && counts.iter().all(|count| *count <= MAX_MACHINES_PER_REQUEST),
        "{counts:?}"
    );
}
