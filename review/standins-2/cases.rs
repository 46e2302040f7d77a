//! The cases.

use std::time::{Duration, Instant};

use crate::base::{Record, V, t};
use crate::platform::{Build, Cloud, StateService, Work};
use crate::{Job, Setup, Verdict, World};

pub fn run(case: &str, trouble: bool, record: Record, program: &str, folder: &str) -> Verdict {
    match case {
        "small" => small(trouble, record, program, folder, 1.0),
        // As an open issue names it: demand is counted in cores.
        "memory" => small(trouble, record, program, folder, 0.0),
        "image" => image(trouble, record, program, folder),
        "parts" => parts(trouble, record, program, folder),
        "limits" => limits(trouble, record, program, folder),
        "refused" => refused(trouble, record, program, folder),
        "asked" => asked(trouble, record, program, folder),
        "tiny" => tiny(trouble, record, program, folder),
        _ => Verdict::NotRun,
    }
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

fn world(trouble: bool, record: &Record, builds: Vec<Build>) -> World {
    World {
        trouble,
        record: record.clone(),
        state: StateService::start(8.0),
        cloud: Cloud::start(builds, record.clone()),
        controllers: Vec::new(),
    }
}

const TEAM: &str =
    "[[cluster.teams]]\nname = \"docs\"\ncpus = 100.0\ncpus_max = 400.0\ngpus = 0.0\ngpus_max = 0.0\n\n";

fn work(job: &Job, run_s: Option<f64>) -> Work {
    Work {
        cores: job.cores,
        bundle: job.bundle.to_owned(),
        pull_gb: job.pull_gb,
        run: run_s.map(Duration::from_secs_f64),
        sheets: job.sheets,
    }
}

/// A small job that is bound to a zone and a machine type loses its machine, the only one of that kind
/// there. The cloud has more of them.
fn small(trouble: bool, record: Record, program: &str, folder: &str, cores: f64) -> Verdict {
    let kecil = Build { name: "kecil-16", cores: 16.0, price: 1.38, halls: vec!["a", "b"], boot: Duration::from_secs(5), fetch: 1.0 };
    let besar = Build { name: "besar-64", cores: 64.0, price: 4.84, halls: vec!["a", "b"], boot: Duration::from_secs(3), fetch: 1.0 };
    let mut world = world(trouble, &record, vec![kecil, besar]);
    let in_a = world.cloud.add_machine("besar-64", "a", &[]);
    world.cloud.add_machine("kecil-16", "b", &[]);
    let setup = Setup { controllers: 3, tables: TEAM.to_owned(), state: String::new(), zones: "\"a\", \"b\"" };
    if world.start(&setup, program, folder).is_err() || !world.wait_until_ready() {
        return Verdict::NotRun;
    }
    // Work in the other zone, so that a machine there stays and reports.
    let other = Job { id: "job-000002", hall: t("b"), ..Job::service("link-portal", 8.0, "img-2") };
    let sweep = Job {
        id: "job-000001",
        docket: "link-sweep",
        form: "array",
        urgency: "best_effort",
        sheets: 2,
        builds: V::List(vec![t("besar-64")]),
        hall: t("a"),
        reckon_s: 25.0,
        ram_gb: 4.0,
        ..Job::service("link-sweep", cores, "img-1")
    };
    world.cloud.add_work(sweep.id, work(&sweep, Some(25.0)));
    world.cloud.add_work(other.id, work(&other, None));
    if !world.submit(&other.body()) || !world.submit(&sweep.body()) || !world.wait_for(sweep.id, "running", 20) {
        return Verdict::NotRun;
    }
    if world.trouble {
        sleep(1.0);
        world.cloud.take_away(&in_a);
    }
    // The list shows after 2 s that the machine is gone, a boot takes 3 s, the tasks run for 25 s.
    let end = Instant::now() + Duration::from_secs(85);
    while Instant::now() < end {
        if world.standing(sweep.id) == "done" {
            return Verdict::Held;
        }
        sleep(2.0);
    }
    let rented = world.cloud.rented();
    record.note(&format!("rented since the beginning: {rented:?}; machines now: {:?}", world.cloud.machines()));
    let is_served = world.is_on_a_machine(sweep.id)
        || rented.iter().any(|(build, hall, _)| build == "besar-64" && hall == "a");
    if is_served { Verdict::Held } else { Verdict::Broken }
}

/// A replica waits for a machine that has its image, which is kept free for one that is needed.
fn image(trouble: bool, record: Record, program: &str, folder: &str) -> Verdict {
    let tengah = Build { name: "tengah-16", cores: 16.0, price: 0.92, halls: vec!["a", "b"], boot: Duration::from_secs(20), fetch: 0.5 };
    let mut world = world(trouble, &record, vec![tengah]);
    let with_scans = world.cloud.add_machine("tengah-16", "a", &[]);
    let with_image = world.cloud.add_machine("tengah-16", "b", &[]);
    let objective =
        "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"arkib-viewer\"\nwithin_s = 1.0\nshare = 0.93\n\n";
    let tables = format!("{TEAM}{objective}");
    let setup = Setup { controllers: 3, tables, state: String::new(), zones: "\"a\", \"b\"" };
    if world.start(&setup, program, folder).is_err() || !world.wait_until_ready() {
        return Verdict::NotRun;
    }
    // The controllers get to know the machines that are there before any work comes.
    sleep(4.0);
    let scan = Job {
        id: "job-000001",
        docket: "scan-batch",
        form: "array",
        urgency: "standard",
        sheets: 4,
        hall: t("a"),
        reckon_s: 300.0,
        pull_gb: 0.2,
        ..Job::service("scan-batch", 1.0, "img-scan")
    };
    // The first viewer's user bound it to zone b; the machine there has the image from then on.
    let first = Job { id: "job-000002", hall: t("b"), pull_gb: 2.0, ..Job::service("arkib-viewer", 2.0, "img-viewer") };
    let second = Job { id: "job-000003", pull_gb: 2.0, ..Job::service("arkib-viewer", 2.0, "img-viewer") };
    world.cloud.add_work(scan.id, work(&scan, Some(300.0)));
    world.cloud.add_work(first.id, work(&first, None));
    world.cloud.add_work(second.id, work(&second, None));
    if !world.submit(&scan.body())
        || !world.submit(&first.body())
        || !world.wait_for(scan.id, "running", 15)
        || !world.wait_for(first.id, "running", 15)
    {
        return Verdict::NotRun;
    }
    sleep(1.0);
    if record.seconds() > 22.0 {
        return Verdict::NotRun;
    }
    // Just after a report of the machine with the image.
    world.cloud.wait_for_report(&with_image);
    if world.trouble {
        world.cloud.hang(&with_image, Duration::from_millis(4500));
    }
    sleep(0.3);
    if !world.submit(&second.body()) {
        return Verdict::NotRun;
    }
    sleep(4.5);
    // The trouble is over. Both machines report and have room.
    let end = Instant::now() + Duration::from_secs(91);
    while Instant::now() < end {
        if world.is_on_a_machine(second.id) {
            world.standing(second.id);
            return Verdict::Held;
        }
        let has_room = |name: &str| {
            world.cloud.machines().iter().any(|(machine, _, _, free, _, up)| machine == name && *up && *free >= 2.0)
        };
        if !(has_room(&with_image) && has_room(&with_scans)) {
            record.note("a machine is gone or full");
            return Verdict::NotRun;
        }
        world.standing(second.id);
        sleep(3.0);
    }
    record.note(&format!("machines now: {:?}", world.cloud.machines()));
    Verdict::Broken
}

/// The largest job of a class loses its machine. No machine that is left has room for it, but their free
/// parts add up to more than it takes. The cloud has more machines.
fn parts(trouble: bool, record: Record, program: &str, folder: &str) -> Verdict {
    let halls = vec!["a", "b", "c", "d"];
    let tengah = Build { name: "tengah-16", cores: 16.0, price: 0.92, halls, boot: Duration::from_secs(3), fetch: 1.0 };
    let mut world = world(trouble, &record, vec![tengah]);
    let names: Vec<String> =
        ["a", "b", "c", "d"].into_iter().map(|hall| world.cloud.add_machine("tengah-16", hall, &[])).collect();
    let zones = "\"a\", \"b\", \"c\", \"d\"";
    let setup = Setup { controllers: 3, tables: TEAM.to_owned(), state: String::new(), zones };
    if world.start(&setup, program, folder).is_err() || !world.wait_until_ready() {
        return Verdict::NotRun;
    }
    // The controllers get to know the machines that are there before any work comes.
    sleep(6.0);
    let ids: Vec<String> = (1..=21).map(|number| format!("job-{number:06}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let hall = ["a", "b", "c"][number % 3];
        let viewer = Job { id: id.clone().leak(), hall: t(hall), ..Job::service("arkib-viewer", 1.0, "img-viewer") };
        world.cloud.add_work(id, work(&viewer, None));
        if !world.submit(&viewer.body()) {
            return Verdict::NotRun;
        }
    }
    if !ids.iter().all(|id| world.wait_for(id, "running", 20)) {
        return Verdict::NotRun;
    }
    let large = Job { id: "job-000100", ..Job::service("arkib-viewer", 10.0, "img-viewer") };
    world.cloud.add_work(large.id, work(&large, None));
    if !world.submit(&large.body()) || !world.wait_for(large.id, "running", 25) {
        return Verdict::NotRun;
    }
    sleep(3.0);
    let holds_it = |(_, _, _, _, tasks, _): &(String, &str, String, f64, Vec<String>, bool)| {
        tasks.iter().any(|task| task.starts_with("job-000100/"))
    };
    let Some(held_by) = world.cloud.machines().into_iter().find(holds_it).map(|(name, ..)| name) else {
        return Verdict::NotRun;
    };
    record.note(&format!("machines before: {:?}", world.cloud.machines()));
    if world.trouble {
        if held_by != names[3] {
            record.note("the large job is not on the machine in zone d");
        }
        world.cloud.take_away(&held_by);
    }
    let end = Instant::now() + Duration::from_secs(75);
    let mut served = Instant::now();
    while Instant::now() < end {
        if world.is_on_a_machine(large.id) {
            served = Instant::now();
            if world.trouble {
                break;
            }
        }
        world.standing(large.id);
        sleep(3.0);
    }
    record.note(&format!("rented since the beginning: {:?}; machines now: {:?}", world.cloud.rented(), world.cloud.machines()));
    if served.elapsed() < Duration::from_secs(10) { Verdict::Held } else { Verdict::Broken }
}

/// The state service lowers its limits, as announced, while a job runs.
fn limits(trouble: bool, record: Record, program: &str, folder: &str) -> Verdict {
    let kecil = Build { name: "kecil-16", cores: 16.0, price: 1.38, halls: vec!["a"], boot: Duration::from_secs(3), fetch: 1.0 };
    let mut world = world(trouble, &record, vec![kecil]);
    world.cloud.add_machine("kecil-16", "a", &[]);
    let state = "\n[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0\n".to_owned();
    let setup = Setup { controllers: 3, tables: TEAM.to_owned(), state, zones: "\"a\"" };
    if world.start(&setup, program, folder).is_err() || !world.wait_until_ready() {
        return Verdict::NotRun;
    }
    let builds = many_builds();
    let job = |id, sheets| Job {
        id,
        form: "array",
        urgency: "standard",
        sheets,
        reckon_s: 10.0,
        builds: V::List(builds.clone()),
        ..Job::service("search-index", 1.0, "img-index")
    };
    let (ends, is_cancelled) = (job("job-000001", 2), job("job-000002", 2));
    world.cloud.add_work(ends.id, work(&ends, Some(15.0)));
    world.cloud.add_work(is_cancelled.id, work(&is_cancelled, Some(100.0)));
    if !world.submit(&ends.body()) || !world.submit(&is_cancelled.body()) {
        return Verdict::NotRun;
    }
    if !world.wait_for(ends.id, "running", 15) || !world.wait_for(is_cancelled.id, "running", 15) {
        return Verdict::NotRun;
    }
    if world.trouble {
        world.state.lower_value_limit(2.0);
        record.note("TROUBLE: the state service's values are at most 2 KiB from now on, as announced");
    }
    sleep(18.0);
    // Every task of the first job has been done for a while; its user asks once a second.
    let done = world.wait_for(ends.id, "done", 40);
    let withdraw = format!("/api/jobs/{}/withdraw", is_cancelled.id);
    let end = Instant::now() + Duration::from_secs(30);
    let mut cancelled = false;
    while !cancelled && Instant::now() < end {
        cancelled = world.ask(0, "POST", &withdraw, None).0 == 200;
        sleep(1.0);
    }
    record.note(&format!("done told: {done}, cancellation told: {cancelled}"));
    if done && cancelled { Verdict::Held } else { Verdict::Broken }
}

/// Jobs of many tiny tasks come several times as often as usual, and all fit on one machine.
fn tiny(trouble: bool, record: Record, program: &str, folder: &str) -> Verdict {
    let g8 = Build { name: "g8", cores: 96.0, price: 12.0, halls: vec!["a"], boot: Duration::from_secs(3), fetch: 1.0 };
    let mut world = world(trouble, &record, vec![g8]);
    world.cloud.set_capacity(1);
    world.cloud.add_machine("g8", "a", &[]);
    let setup = Setup { controllers: 3, tables: TEAM.to_owned(), state: String::new(), zones: "\"a\"" };
    if world.start(&setup, program, folder).is_err() || !world.wait_until_ready() {
        return Verdict::NotRun;
    }
    sleep(4.0);
    let ids = ["job-000001", "job-000002", "job-000003"];
    let ids = &ids[..if trouble { 3 } else { 1 }];
    for id in ids {
        let sweep = Job {
            id,
            form: "array",
            urgency: "standard",
            sheets: 640,
            reckon_s: 30.0,
            ram_gb: 0.1,
            ..Job::service("link-sweep", 0.05, "img-sweep")
        };
        world.cloud.add_work(id, work(&sweep, Some(30.0)));
        if !world.submit(&sweep.body()) {
            return Verdict::NotRun;
        }
    }
    // All tasks fit at once and run for 30 s.
    let done = ids.iter().filter(|id| world.wait_for(id, "done", 100 / ids.len() as u64)).count();
    record.note(&format!("{done} of {} jobs are done", ids.len()));
    if done == ids.len() { Verdict::Held } else { Verdict::Broken }
}

/// Sixteen allowed machine types, one of which the cloud has.
fn many_builds() -> Vec<V> {
    let mut builds = vec![t("kecil-16")];
    builds.extend((1..=15).map(|number| t(format!("{:0>110}", format!("-kecil-16-generation-{number}")))));
    builds
}

/// The transaction that accepts a job is carried out and its answer lost, and the announced limits hold
/// from then on.
fn refused(trouble: bool, record: Record, program: &str, folder: &str) -> Verdict {
    let kecil = Build { name: "kecil-16", cores: 16.0, price: 1.38, halls: vec!["a"], boot: Duration::from_secs(3), fetch: 1.0 };
    let mut world = world(trouble, &record, vec![kecil]);
    let only = world.cloud.add_machine("kecil-16", "a", &[]);
    let state = "\n[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0\n".to_owned();
    let setup = Setup { controllers: 3, tables: TEAM.to_owned(), state, zones: "\"a\"" };
    if world.start(&setup, program, folder).is_err() || !world.wait_until_ready() {
        return Verdict::NotRun;
    }
    // The controllers get to know the machine that is there before any work comes.
    sleep(5.0);
    let portal = Job { id: "job-000001", ..Job::service("link-portal", 1.0, "img-portal") };
    let index = Job {
        id: "job-000002",
        form: "array",
        urgency: "standard",
        sheets: 1,
        reckon_s: 5.0,
        builds: V::List(many_builds()),
        ..Job::service("search-index", 1.0, "img-index")
    };
    world.cloud.add_work(portal.id, work(&portal, None));
    world.cloud.add_work(index.id, work(&index, Some(5.0)));
    if !world.submit(&portal.body()) || !world.wait_for(portal.id, "running", 15) {
        return Verdict::NotRun;
    }
    if world.trouble {
        record.note("TROUBLE: the answer to the next acceptance is lost, and values are at most 2 KiB from then on");
        world.state.lose_answer_and_lower("rec/job-000002", 2.0);
    }
    if !world.submit(&index.body()) {
        record.note("not accepted");
        return Verdict::NotRun;
    }
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(91) {
        if world.is_on_a_machine(index.id) || world.standing(index.id) == "done" {
            return Verdict::Held;
        }
        if !world.cloud.machines().iter().any(|(name, _, _, free, _, up)| *name == only && *up && *free >= 1.0) {
            return Verdict::NotRun;
        }
        sleep(3.0);
    }
    Verdict::Broken
}

/// Users ask about a job 50 ms before it is submitted, while the state service answers reads slowly.
fn asked(trouble: bool, record: Record, program: &str, folder: &str) -> Verdict {
    let kecil = Build { name: "kecil-16", cores: 16.0, price: 1.38, halls: vec!["a"], boot: Duration::from_secs(3), fetch: 1.0 };
    let mut world = world(trouble, &record, vec![kecil]);
    world.cloud.add_machine("kecil-16", "a", &[]);
    let setup = Setup { controllers: 3, tables: TEAM.to_owned(), state: String::new(), zones: "\"a\"" };
    if world.start(&setup, program, folder).is_err() || !world.wait_until_ready() {
        return Verdict::NotRun;
    }
    sleep(3.0);
    if world.trouble {
        record.note("TROUBLE: reads of records are answered 200 ms late");
        world.state.slow_reads(Duration::from_millis(200));
    }
    let leader = world.leader();
    let mut found = 0;
    for number in 1..=10 {
        let job = Job { id: format!("job-{number:06}").leak(), ..Job::service("link-portal", 0.5, "img-portal") };
        let target = format!("/api/jobs/{}", job.id);
        std::thread::scope(|scope| {
            let poll = scope.spawn(|| (world.ask(leader, "GET", &target, None).0, record.seconds()));
            sleep(0.05);
            let (accepted, _) = world.ask(leader, "POST", "/api/jobs", Some(&job.body()));
            let told_at = record.seconds();
            let (polled, answered_at) = poll.join().unwrap_or((0, 0.0));
            found += u32::from(accepted == 201 && polled == 404 && answered_at > told_at);
        });
    }
    record.note(&format!("{found} of 10 jobs got 404 after 201, from the same controller"));
    if found > 0 { Verdict::Broken } else { Verdict::Held }
}
