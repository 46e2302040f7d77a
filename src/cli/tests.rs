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

fn config(server: &FakeKvServer) -> Config {
    let mut settings = crate::settings::tests::sample();
    settings.services.kv = server.address();
    settings.cluster.kv.rps = 10_000.0;
    settings.cluster.kv.write_rps = 10_000.0;
    Config { settings, tuning: crate::policy::tests::tuning() }
}

async fn run_audit(server: &FakeKvServer, repair: bool) -> (String, Result<ExitStatus, CliError>) {
    let mut out = Vec::new();
    let result = audit(config(server), repair, &mut out).await;
    (String::from_utf8(out).expect("text"), result)
}

fn succeeded(result: &Result<ExitStatus, CliError>) -> bool {
    matches!(result, Ok(ExitStatus::Success))
}

/// A store with a job whose row lags behind its record, a stranded job (a row says over, the
/// record says live) and a consistent job.
async fn inconsistent_store() -> FakeKvServer {
    let server = FakeKvServer::start(&[]).await;
    let id = |text: &str| JobId::parse(text).expect("valid");
    for (n, (name, completed, live, archived)) in [
        ("job-1", true, true, None),
        ("job-2", false, false, Some(JobState::Done)),
        ("job-3", false, true, None),
    ]
    .into_iter()
    .enumerate()
    {
        let mut record = JobRecord::new(sample(name, "red", 1, 1.0), 0);
        record.completed = completed;
        let version = 10 + 10 * n as u64;
        server.seed(&job_record_key(&id(name)), record.encode(8.0), version).await;
        if live {
            server.seed(&live_row_key(&id(name)), encode_row(JobState::Queued), version + 1).await;
        }
        if let Some(state) = archived {
            server.seed(&archived_row_key(&id(name)), encode_row(state), version + 2).await;
        }
    }
    server
}

#[tokio::test]
async fn audit_repairs_unambiguous_findings_and_releases_its_lease() {
    let server = inconsistent_store().await;
    let (out, result) = run_audit(&server, false).await;
    assert!(!succeeded(&result));
    assert!(out.contains("job-1: the row lags behind the record, which says done\n"), "{out}");
    assert!(out.contains("job-2: a row says over, the record says live\n"), "{out}");
    assert!(out.ends_with("3 jobs, 2 inconsistent\n"), "{out}");
    let (out, result) = run_audit(&server, true).await;
    assert!(succeeded(&result), "{out}");
    let (out, result) = run_audit(&server, false).await;
    assert!(succeeded(&result), "{out}");
    assert_eq!(out, "3 jobs, 0 inconsistent\n");
    let kv = kv_client(server.address(), 12);
    assert_eq!(kv.get(kv::RequestClass::Background, LEADER).await, Ok(None), "the lease is released");
}

#[tokio::test]
async fn audit_leaves_ambiguous_findings_and_refuses_repair_while_a_controller_leads() {
    let server = inconsistent_store().await;
    server.seed("over/job-9", encode_row(JobState::Done), 90).await;
    let (out, result) = run_audit(&server, true).await;
    assert!(!succeeded(&result));
    assert!(out.contains("job-9: a row without a record; left alone\n"), "{out}");
    let leader = crate::protocol::cbor::MapBuilder::new().set("name", "c-0").set("by", "x").build();
    server.seed(LEADER, leader, 99).await;
    let (out, result) = run_audit(&server, true).await;
    assert_eq!(
        (out.as_str(), result.expect_err("refused").to_string().as_str()),
        ("", "c-0 leads; stop the controllers before a repair")
    );
}

/// A job with a dependency that has no record would wait forever, so it is reported. Jobs with
/// dependencies and records that state their block size are counted.
#[tokio::test]
async fn audit_reports_missing_dependencies_and_counts_named_blocks() {
    let server = FakeKvServer::start(&[]).await;
    let id = |text: &str| JobId::parse(text).expect("valid");
    for (n, (name, dependency, block_tasks)) in
        [("job-1", None, Some(6)), ("job-2", Some("job-1"), None), ("job-3", Some("job-404"), None)]
            .into_iter()
            .enumerate()
    {
        let mut spec = sample(name, "red", 1, 1.0);
        spec.dependencies = dependency.map(id).into_iter().collect();
        let record = JobRecord { block_tasks, ..JobRecord::new(spec, 0) };
        let version = 10 + 10 * n as u64;
        server.seed(&job_record_key(&id(name)), record.encode(8.0), version).await;
        server.seed(&live_row_key(&id(name)), encode_row(JobState::Queued), version + 1).await;
    }
    let (out, _) = run_audit(&server, false).await;
    assert_eq!(
        out,
        "job-3: it awaits a job without a record; left alone\n\
         2 jobs wait for others, 1 records name their blocks\n\
         3 jobs, 1 inconsistent\n"
    );
}

#[test]
fn present_and_announced_limits_are_described() {
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

/// Operators' scripts rely on the numbers.
#[test]
fn exit_codes_are_those_documented() {
    for (status, code) in [(ExitStatus::Success, 0), (ExitStatus::Failure, 1), (ExitStatus::BadInput, 2)] {
        assert_eq!(format!("{:?}", ExitCode::from(status)), format!("{:?}", ExitCode::from(code)));
    }
}

/// Each new leader waits for the machines of a node pool record that it cannot read, so
/// operators must be told about the record.
#[tokio::test]
async fn audit_reports_unreadable_node_pool_records() {
    let server = inconsistent_store().await;
    let key = crate::storage::records::node_pool_key("4-1");
    server.seed(&key, ciborium::value::Value::Null, 50).await;
    let (out, result) = run_audit(&server, true).await;
    assert!(!succeeded(&result));
    assert!(out.contains("hire/4-1: an unreadable fleet record; left alone\n"), "{out}");
    assert!(out.ends_with("3 jobs, 1 inconsistent\n"), "{out}");
}
