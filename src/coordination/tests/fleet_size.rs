//! Test of a fleet of more than four thousand machines: failover, heartbeats, starts, cloud
//! inventory, scale out and scale in. Every message must be of bounded size and cause a bounded
//! amount of work.

use super::*;
use crate::protocol::BODY_LIMIT;
use crate::protocol::cbor::{encode, max_json_size};
use crate::protocol::cloud::{
    MAX_MACHINES_PER_DELETION, MAX_MACHINES_PER_INVENTORY_PAGE, MAX_MACHINES_PER_REQUEST,
};
use crate::protocol::workers::encode_heartbeat_reply;

/// Number of machines in the fleet.
const MACHINE_COUNT: usize = 4_100;
/// Number of machines in each node pool.
const MACHINES_PER_NODE_POOL: usize = 50;

/// The name of a machine by its number.
fn machine_name(n: usize) -> String {
    format!("vm-{n:06}")
}

/// The node pools of all machines.
fn node_pools() -> Vec<(NodePoolRecord, u64)> {
    let node_pool = |first: usize| {
        let ids: Vec<MachineId> =
            (first..first + MACHINES_PER_NODE_POOL).map(|n| machine(&machine_name(n))).collect();
        let (mut record, version) = single_machine_pool("vm-0", true);
        record.request.name = format!("1-{first}");
        record.machines_used = ids.iter().cloned().collect();
        record.machines = Some(ids);
        (record, version)
    };
    (0..MACHINE_COUNT).step_by(MACHINES_PER_NODE_POOL).map(node_pool).collect()
}

/// Settings for a fleet of this size, with low announced limits of the state service.
fn config() -> Config {
    let mut settings = settings::tests::sample();
    settings.cluster.limits.max_connections = 4_600;
    settings.cluster.limits.memory_mb = 256.0;
    let announced =
        settings::AnnouncedLimits { rps: None, write_rps: None, value_kb: Some(2.0), txn_ops: Some(4) };
    settings.cluster.kv.next = Some(announced);
    Config { settings, tuning: policy::tests::tuning() }
}

impl Harness {
    /// Sends a heartbeat of every machine and checks that each reply is within the body limit;
    /// returns the commands of the replies.
    fn heartbeat_all(
        &mut self,
        sequence: u64,
        tasks: impl Fn(usize) -> Vec<TaskStatus>,
    ) -> Vec<Vec<Command>> {
        let replies = (0..MACHINE_COUNT).map(|n| {
            let commands = self.heartbeat(&machine_name(n), sequence, EPOCH, tasks(n));
            assert!(encode(&encode_heartbeat_reply(EPOCH, &commands)).len() < BODY_LIMIT);
            commands
        });
        replies.collect()
    }

    /// Commits all transactions; each must be within the announced limits.
    fn commit_within_limits(&mut self) {
        let limits = self.config.settings.cluster.kv.announced();
        for transaction in self.commit_all() {
            assert!(transaction.changes.len() <= limits.txn_ops, "{:?} changes", transaction.changes.len());
            for change in &transaction.changes {
                if let Change::Put { key, value, .. } = change {
                    assert!(
                        max_json_size(value) < limits.value_bytes(),
                        "{key} takes {} bytes",
                        max_json_size(value)
                    );
                }
            }
        }
    }

    /// Answers the calls to the cloud for which `answer` returns a reply; returns the number of
    /// answered calls.
    fn answer_cloud_calls(&mut self, answer: impl Fn(&CloudCall) -> Option<CloudReply>) -> usize {
        let mut answered = 0;
        for (operation, call) in std::mem::take(&mut self.cloud_calls) {
            match answer(&call) {
                Some(reply) => {
                    answered += 1;
                    self.leader.handle_cloud_result(self.now, operation, Ok(reply));
                }
                None => self.cloud_calls.push((operation, call)),
            }
        }
        self.collect_effects();
        answered
    }
}

#[test]
fn four_thousand_machines_go_through_failover_starts_inventory_and_scale_in() {
    let mut harness = Harness::with_config(Vec::new(), node_pools(), config());
    harness.heartbeat_all(2, |_| vec![]);
    assert!(harness.leader.failover.is_complete(), "a heartbeat of each machine completes the failover");
    for n in 0..MACHINE_COUNT / 100 {
        harness.accept(sample(&format!("job-{n}"), "blue", 100, 8.0));
    }
    harness.advance(1.5);
    harness.commit_within_limits();
    let started = harness.heartbeat_all(3, |_| vec![]);
    let started: Vec<_> = started.iter().map(|commands| starts(commands)).collect();
    assert_eq!(started.iter().map(Vec::len).sum::<usize>(), MACHINE_COUNT, "one task fills a machine");

    // The inventory comes in pages, one call at a time.
    let mut pages = 0;
    while pages < MACHINE_COUNT.div_ceil(MAX_MACHINES_PER_INVENTORY_PAGE) {
        harness.advance(1.0);
        pages += harness.answer_cloud_calls(|call| {
            let CloudCall::ListMachines { from } = call else { return None };
            let mut rest = (0..MACHINE_COUNT).map(machine_name).filter(|name| name > from);
            let machines = rest
                .by_ref()
                .take(MAX_MACHINES_PER_INVENTORY_PAGE)
                .map(|name| inventory_entry(&name, ListedState::Running))
                .collect();
            Some(CloudReply::MachinesListed(InventoryPage { machines, more: rest.next().is_some() }))
        });
    }
    let all_listed = |harness: &Harness| harness.leader.machines.values().all(|m| m.listing.was_listed);
    assert!(all_listed(&harness) && harness.leader.machines.len() == MACHINE_COUNT);

    // All tasks end at once; the records are written in transactions within the announced limits.
    let ended =
        harness.heartbeat_all(4, |n| started[n].iter().map(|start| task_status(start, DONE)).collect());
    assert!(ended.iter().flatten().all(|command| !matches!(command, Command::Start { .. })));
    harness.commit_within_limits();
    assert!(harness.leader.jobs.is_empty(), "{} jobs are left", harness.leader.jobs.len());

    // Idle machines are deleted in calls of a bounded size, and the deletions are remembered.
    let mut deleted = 0;
    for sequence in 5..400 {
        for n in 0..MACHINE_COUNT {
            harness.send_heartbeat(&machine_name(n), 1, sequence, EPOCH, vec![]);
        }
        harness.advance(3.0);
        harness.answer_cloud_calls(|call| {
            let CloudCall::Delete(names) = call else { return None };
            assert!(names.len() <= MAX_MACHINES_PER_DELETION);
            Some(CloudReply::Deleted)
        });
        harness.commit_within_limits();
        deleted = MACHINE_COUNT - harness.leader.machines.len();
        if deleted == MACHINE_COUNT {
            break;
        }
    }
    assert_eq!(deleted, MACHINE_COUNT);
    let late = harness.send_heartbeat(&machine_name(0), 1, 900, EPOCH, vec![]);
    assert_eq!(
        late,
        HeartbeatReply::Redirect,
        "a delayed copy of a heartbeat whose machine was deleted first"
    );
    assert!(harness.leader.unregistered.is_empty());

    // A new backlog causes another scale-out, with records within the limits.
    for n in 0..40 {
        harness.accept(sample(&format!("job-9{n}"), "blue", 100, 8.0));
    }
    for _ in 0..3 {
        harness.advance(1.0);
        harness.commit_within_limits();
    }
    let counts = harness.cloud_calls.iter().filter_map(|(_, call)| match call {
        CloudCall::Provision(request) => Some(request.machine_count),
        _ => None,
    });
    let counts: Vec<u32> = counts.collect();
    assert!(
        !counts.is_empty() && counts.iter().all(|count| *count <= MAX_MACHINES_PER_REQUEST),
        "{counts:?}"
    );
}
