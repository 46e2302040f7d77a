use super::audit::audit;
use super::check::describe_limits;
use super::*;
use crate::protocol::jobs::tests::sample;
use crate::protocol::jobs::{JobId, JobState};
use crate::settings::AnnouncedLimits;
use crate::storage::in_memory_kv::{FakeKvServer, kv_client};
use crate::storage::kv;
use crate::storage::records::{
    JobRecord, LEADER, archived_row_key, encode_row, job_record_key, live_row_key,
};

fn config(world: &FakeKvServer) -> Config {
    let mut settings = crate::settings::tests::sample();
    settings.services.kv = world.address();
    settings.cluster.kv.rps = 10_000.0;
    settings.cluster.kv.write_rps = 10_000.0;
    Config { settings, tuning: crate::policy::tests::tuning() }
}

async fn audited(world: &FakeKvServer, repair: bool) -> (String, Result<ExitStatus, CliError>) {
    let mut out = Vec::new();
    let result = audit(config(world), repair, &mut out).await;
    (String::from_utf8(out).expect("text"), result)
}

fn succeeded(result: &Result<ExitStatus, CliError>) -> bool {
    matches!(result, Ok(ExitStatus::Success))
}

/// One job behind, one stranded, one sound, and a row without a record.
async fn damaged() -> FakeKvServer {
    let world = FakeKvServer::start(&[]).await;
    let id = |text: &str| JobId::parse(text).expect("valid");
    for (n, (name, settled, live, over)) in [
        ("job-1", true, true, None),
        ("job-2", false, false, Some(JobState::Done)),
        ("job-3", false, true, None),
    ]
    .into_iter()
    .enumerate()
    {
        let mut record = JobRecord::new(sample(name, "red", 1, 1.0), 0);
        record.completed = settled;
        let version = 10 + 10 * n as u64;
        world.seed(&job_record_key(&id(name)), record.encode(8.0), version).await;
        if live {
            world.seed(&live_row_key(&id(name)), encode_row(JobState::Queued), version + 1).await;
        }
        if let Some(standing) = over {
            world.seed(&archived_row_key(&id(name)), encode_row(standing), version + 2).await;
        }
    }
    world
}

#[tokio::test]
async fn audit_repairs_the_sound_cases_and_gives_its_lease_back() {
    let world = damaged().await;
    let (out, result) = audited(&world, false).await;
    assert!(!succeeded(&result));
    assert!(out.contains("job-1: the row lags behind the record, which says done\n"), "{out}");
    assert!(out.contains("job-2: a row says over, the record says live\n"), "{out}");
    assert!(out.ends_with("3 jobs, 2 inconsistent\n"), "{out}");
    let (out, result) = audited(&world, true).await;
    assert!(succeeded(&result), "{out}");
    let (out, result) = audited(&world, false).await;
    assert!(succeeded(&result), "{out}");
    assert_eq!(out, "3 jobs, 0 inconsistent\n");
    let kv = kv_client(world.address(), 12);
    assert_eq!(kv.get(kv::RequestClass::Background, LEADER).await, Ok(None), "the lease is given back");
}

#[tokio::test]
async fn audit_leaves_ambiguous_cases_and_refuses_beside_a_leader() {
    let world = damaged().await;
    world.seed("over/job-9", encode_row(JobState::Done), 90).await;
    let (out, result) = audited(&world, true).await;
    assert!(!succeeded(&result));
    assert!(out.contains("job-9: a row without a record; left alone\n"), "{out}");
    let leader = crate::protocol::cbor::MapBuilder::new().set("name", "c-0").set("by", "x").build();
    world.seed(LEADER, leader, 99).await;
    let (out, result) = audited(&world, true).await;
    assert_eq!(
        (out.as_str(), result.expect_err("refused").to_string().as_str()),
        ("", "c-0 leads; stop the controllers before a repair")
    );
}

/// A job that waits for one that nobody knows would wait for ever; layouts are counted.
#[tokio::test]
async fn audit_shows_needs_and_layouts() {
    let world = FakeKvServer::start(&[]).await;
    let id = |text: &str| JobId::parse(text).expect("valid");
    for (n, (name, need, block_tasks)) in
        [("job-1", None, Some(6)), ("job-2", Some("job-1"), None), ("job-3", Some("job-404"), None)]
            .into_iter()
            .enumerate()
    {
        let mut spec = sample(name, "red", 1, 1.0);
        spec.dependencies = need.map(id).into_iter().collect();
        let record = JobRecord { block_tasks, ..JobRecord::new(spec, 0) };
        let version = 10 + 10 * n as u64;
        world.seed(&job_record_key(&id(name)), record.encode(8.0), version).await;
        world.seed(&live_row_key(&id(name)), encode_row(JobState::Queued), version + 1).await;
    }
    let (out, _) = audited(&world, false).await;
    assert_eq!(
        out,
        "job-3: it awaits a job without a record; left alone\n\
         2 jobs wait for others, 1 records name their blocks\n\
         3 jobs, 1 inconsistent\n"
    );
}

#[test]
fn both_sets_of_limits_are_described() {
    let mut state = crate::settings::tests::sample().cluster.kv;
    let present = "100 requests and 20 changes a second, values up to 8 KiB, 12 changes a transaction";
    assert_eq!(describe_limits(&state), format!("state service: {present}"));
    let next = AnnouncedLimits { rps: None, write_rps: Some(15.0), value_kb: Some(2.0), txn_ops: Some(4) };
    state.next = Some(next);
    let later = "100 requests and 15 changes a second, values up to 2 KiB, 4 changes a transaction";
    assert_eq!(describe_limits(&state), format!("state service: {present}; later: {later}"));
}

#[test]
fn bad_arguments_and_files_exit_with_2() {
    let exit = |args: &[&str]| format!("{:?}", main(["shedtally"].iter().chain(args).map(OsString::from)));
    let bad = format!("{:?}", ExitCode::from(2));
    for args in [
        &["--config", "/no/such/file"][..],
        &["check", "/no/such/file"],
        &["audit", "/no/such/file", "--repair"],
        &["status", "/no/such/file"],
        &["--policy", "x"],
        &["frobnicate"],
        &[],
    ] {
        assert_eq!(exit(args), bad, "{args:?}");
    }
    assert_eq!(exit(&["--version"]), format!("{:?}", ExitCode::SUCCESS));
}

/// Scripts of operators rely on the numbers.
#[test]
fn exit_codes_are_those_documented() {
    for (status, code) in [(ExitStatus::Success, 0), (ExitStatus::Failure, 1), (ExitStatus::BadInput, 2)] {
        assert_eq!(format!("{:?}", ExitCode::from(status)), format!("{:?}", ExitCode::from(code)));
    }
}

/// Machines of a fleet record that cannot be read are waited for at each takeover: an
/// operator is shown it.
#[tokio::test]
async fn audit_shows_unreadable_fleet_records() {
    let world = damaged().await;
    let key = crate::storage::records::node_pool_key("4-1");
    world.seed(&key, ciborium::value::Value::Null, 50).await;
    let (out, result) = audited(&world, true).await;
    assert!(!succeeded(&result));
    assert!(out.contains("hire/4-1: an unreadable fleet record; left alone\n"), "{out}");
    assert!(out.ends_with("3 jobs, 1 inconsistent\n"), "{out}");
}
