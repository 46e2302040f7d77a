//! Tests that each waiting task gets a machine on which it fits, whatever the estimate of the
//! demand says.

use std::collections::BTreeSet;

use proptest::collection::vec;
use proptest::prelude::*;

use super::calm_cluster::CalmCluster;
use super::*;

/// The longest time that a job may wait in a calm cluster, in seconds: the users' bound for a job
/// that fits somewhere.
const MAX_WAIT_S: u64 = 90;

/// A machine type with zones `z1` to `z4`.
fn machine_type(name: &str, cpus: f64) -> MachineType {
    let zones = ["z1", "z2", "z3", "z4"].map(str::to_owned).to_vec();
    MachineType { name: name.into(), cpus, price: cpus, zones, memory_gb: 4.0 * cpus, ..catalog().remove(0) }
}

/// A service in a zone, with replicas of this size.
fn service(id: &str, replicas: u32, cpus: f64, zone: Option<&str>) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        zone: zone.map(str::to_owned),
        spot: false,
        ..sample(id, "blue", replicas, cpus)
    }
}

/// Guards against a need that is rounded down to no machine: a small job that is bound to a zone
/// and to a large type loses the only machine of that type there.
#[test]
fn a_small_job_that_lost_the_only_machine_of_its_kind_gets_another_one() {
    let mut cluster = CalmCluster::new(vec![machine_type("m16", 16.0), machine_type("m64", 64.0)]);
    let only = cluster.add_machine("m64", "z1");
    cluster.add_machine("m16", "z2");
    cluster.run(5);
    cluster.harness.accept(service("job-000001", 1, 8.0, Some("z2")));
    let small = JobSpec {
        kind: JobKind::Array,
        machine_types: Some(vec!["m64".into()]),
        ..service("job-000002", 2, 1.0, Some("z1"))
    };
    cluster.harness.accept(small);
    cluster.run(10);
    assert_eq!(cluster.machines_of("job-000002"), [only.clone(), only.clone()]);
    cluster.take_away(&only);
    cluster.run(MAX_WAIT_S);
    let tasks = [0, 1].map(|index| TaskId { job: id("job-000002"), index });
    assert_eq!(cluster.done, BTreeSet::from(tasks));
}

/// Guards against the same rounding on the ordinary path: no machine of the allowed type was ever
/// in the zone.
#[test]
fn the_first_small_job_of_a_zone_gets_a_machine() {
    let mut cluster = CalmCluster::new(vec![machine_type("m16", 16.0), machine_type("m64", 64.0)]);
    cluster.add_machine("m16", "z2");
    cluster.run(5);
    let small =
        JobSpec { machine_types: Some(vec!["m64".into()]), ..service("job-000001", 1, 1.0, Some("z1")) };
    cluster.harness.accept(small);
    cluster.run(MAX_WAIT_S);
    assert_eq!(cluster.machines_of("job-000001").len(), 1);
}

/// Guards against parts of several machines that count as one machine with room: a replica of 10
/// CPUs loses its machine, and 9 CPUs are free on each of the three others.
#[test]
fn a_replica_that_fits_on_no_machine_gets_one_although_free_parts_add_up() {
    let mut cluster = CalmCluster::new(vec![machine_type("m16", 16.0)]);
    let zones = ["z1", "z2", "z3", "z4"];
    let machines = zones.map(|zone| cluster.add_machine("m16", zone));
    cluster.run(5);
    for number in 0..21 {
        let zone = zones[number % 3];
        cluster.harness.accept(service(&format!("job-{number:06}"), 1, 1.0, Some(zone)));
    }
    cluster.run(10);
    cluster.harness.accept(service("job-000100", 1, 10.0, None));
    cluster.run(10);
    assert_eq!(cluster.machines_of("job-000100").len(), 1);
    let held_by = cluster.machines_of("job-000100").remove(0);
    assert_eq!(held_by, machines[3], "the fourth machine was the only one with room");
    cluster.take_away(&held_by);
    cluster.run(MAX_WAIT_S);
    assert_eq!(cluster.machines_of("job-000100").len(), 1);
}

/// Guards against a demand that is counted in CPUs alone.
#[test]
fn a_task_that_needs_only_memory_gets_a_machine() {
    let mut cluster = CalmCluster::new(vec![machine_type("m16", 16.0)]);
    cluster.run(5);
    cluster.harness.accept(service("job-000001", 2, 0.0, Some("z1")));
    cluster.run(MAX_WAIT_S);
    assert_eq!(cluster.machines_of("job-000001").len(), 2);
}

/// Guards against a machine that is reserved for a job for which its replicas never make room: other
/// jobs waited beside free capacity for as long as the cloud had no further machine.
#[test]
fn no_machine_is_reserved_for_a_job_that_its_replicas_leave_no_room_for() {
    let mut cluster = CalmCluster::new(vec![machine_type("m16", 16.0)]);
    cluster.has_capacity = false;
    cluster.add_machine("m16", "z1");
    cluster.run(5);
    cluster.harness.accept(service("job-000001", 1, 8.0, None));
    cluster.run(5);
    cluster.harness.accept(service("job-000002", 1, 12.0, None));
    cluster.run(cluster.harness.config.tuning.start_within.as_secs());
    cluster.harness.accept(service("job-000003", 1, 2.0, None));
    cluster.run(MAX_WAIT_S);
    assert_eq!(cluster.machines_of("job-000003").len(), 1, "8 CPUs are free");
    cluster.has_capacity = true;
    cluster.run(MAX_WAIT_S);
    assert_eq!(cluster.machines_of("job-000002").len(), 1, "once the cloud has a machine");
}

/// The number of random fleets, unless `PROPTEST_CASES` names another.
const FLEETS: u32 = 64;
/// The names and CPUs of the machine types of the random fleets.
const TYPES: [(&str, f64); 3] = [("m4", 4.0), ("m16", 16.0), ("m64", 64.0)];

/// A job of a random fleet, and the second in which it is submitted.
#[derive(Debug, Clone)]
struct RandomJob {
    submitted_s: u64,
    tasks: u32,
    cpus: f64,
    memory_gb: f64,
    is_service: bool,
    priority: Priority,
    machine_type: Option<usize>,
    zone: Option<&'static str>,
    one_zone: bool,
    spread: bool,
    spot: bool,
    deadline_s: Option<f64>,
}

impl RandomJob {
    /// The submission; its tasks fit on the largest type that it allows.
    fn spec(&self, number: usize) -> JobSpec {
        let (name, cpus) = TYPES[self.machine_type.unwrap_or(TYPES.len() - 1)];
        JobSpec {
            kind: if self.is_service { JobKind::Service } else { JobKind::Array },
            priority: self.priority,
            memory_gb: self.memory_gb.min(4.0 * cpus),
            machine_types: self.machine_type.map(|_| vec![name.to_owned()]),
            one_zone: self.one_zone,
            spread: self.spread && !self.one_zone && self.zone.is_none(),
            spot: self.spot,
            deadline_s: self.deadline_s,
            image: format!("img-{number}"),
            ..service(&format!("job-{number:06}"), self.tasks, self.cpus.min(cpus), self.zone)
        }
    }
}

fn random_job() -> impl Strategy<Value = RandomJob> {
    let size = (
        1..12_u32,
        prop::sample::select(vec![0.0, 0.05, 1.0, 2.0, 3.0, 8.0, 10.0, 40.0]),
        prop::sample::select(vec![0.5, 4.0, 30.0, 100.0]),
        prop::option::of(0..TYPES.len()),
    );
    let priority = prop::sample::select(vec![Priority::BestEffort, Priority::Standard, Priority::Critical]);
    let zone = prop::option::of(prop::sample::select(vec!["z1", "z2"]));
    let where_allowed = (zone, any::<bool>(), any::<bool>(), any::<bool>());
    let deadline = prop::option::weighted(0.3, prop::sample::select(vec![30.0, 120.0, 600.0]));
    let when = (0..120_u64, any::<bool>(), priority, deadline);
    (size, where_allowed, when).prop_map(|(size, where_allowed, when)| {
        let (tasks, cpus, memory_gb, machine_type) = size;
        let (zone, one_zone, spread, spot) = where_allowed;
        let (submitted_s, is_service, priority, deadline_s) = when;
        RandomJob {
            submitted_s,
            tasks,
            cpus,
            memory_gb,
            is_service,
            priority,
            machine_type,
            zone,
            one_zone,
            spread,
            spot,
            deadline_s,
        }
    })
}

proptest! {
    #![proptest_config(reproducible_cases(FLEETS))]

    /// Guards against any waiting task that neither a machine nor a request for one would serve: in
    /// a calm cluster each job that some offer can hold begins, and each service is complete, within the policy's time.
    #[test]
    fn every_job_of_a_calm_cluster_begins_in_time(jobs in vec(random_job(), 1..10)) {
        let types = TYPES.map(|(name, cpus)| machine_type(name, cpus));
        let mut cluster = CalmCluster::new(types.to_vec());
        let begin_within = cluster.harness.config.tuning.start_within;
        let begin = cluster.harness.now;
        let specs: Vec<JobSpec> = jobs.iter().enumerate().map(|(number, job)| job.spec(number)).collect();
        for second in 0..120 + begin_within.as_secs() {
            for (_, spec) in jobs.iter().zip(&specs).filter(|(job, _)| job.submitted_s == second) {
                cluster.harness.accept(spec.clone());
            }
            cluster.run(1);
        }
        for (job, spec) in jobs.iter().zip(&specs) {
            let limit = begin + Duration::from_secs(job.submitted_s) + begin_within;
            // The tasks of an array may also wait for each other to end.
            let tasks = if job.is_service { spec.task_count } else { 1 };
            for index in 0..tasks {
                let start = cluster.first_starts.get(&TaskId { job: spec.id.clone(), index });
                let after = start.map(|at| *at - begin);
                prop_assert!(start.is_some_and(|at| *at <= limit), "{index} of {spec:?} began after {after:?}");
            }
        }
    }
}
