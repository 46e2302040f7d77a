use std::path::Path;

use super::*;

/// Settings of a controller in a two-controller cluster.
pub const SAMPLE: &str = r#"
host_name = "c-0"
domain = "z1"
serve_on = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
surprise = true

[[known]]
host_name = "c-1"
domain = "z2"
address = "127.0.0.1:1"

[external]
cloud = "127.0.0.1:2"
state = "127.0.0.1:3"

[cluster]
size = 2
zones = ["z1", "z2"]
skew_ms = 20.0

[[cluster.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0

[[cluster.teams]]
name = "blue"
cpus = 8.0
cpus_max = 0.0

[cluster.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 50.0

[cluster.state]
rps = 100.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12

[cluster.cloud]
rps = 3.0
list_lag_s = 4.0

[cluster.quota]
core_share = 0.1
ram_mb = 64.0
sockets = 500
"#;

pub fn sample() -> Settings {
    Settings::parse(SAMPLE, Path::new("sample.toml")).expect("the sample is valid")
}

/// Every machine of a large fleet holds a connection to the leader.
#[test]
fn most_sockets_are_for_incoming_connections() {
    let incoming = |max_connections| ProcessLimits { max_connections, ..sample().cluster.limits }.incoming();
    assert_eq!([16, 100, 800, 3200].map(incoming), [8, 78, 734, 2984]);
}

/// Announced limits replace only the limits that they set; without them no limit changes.
#[test]
fn announced_limits_override_the_present_ones() {
    let parse = |text: &str| Settings::parse(text, Path::new("s.toml")).map(|s| s.cluster.kv);
    let present = parse(SAMPLE).expect("valid");
    assert_eq!(present.announced(), present.initial());
    let next = "txn_ops = 12\n[cluster.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\nlater = 1";
    let state = parse(&SAMPLE.replacen("txn_ops = 12", next, 1)).expect("valid");
    assert_eq!(state.initial(), present.initial());
    let announced = KvLimits { write_rps: 15.0, value_kb: 2.0, ..present.initial() };
    assert_eq!(state.announced(), announced);
    assert_eq!(state.strictest(), announced);
    let more = SAMPLE.replacen("txn_ops = 12", "txn_ops = 12\nnext = { txn_ops = 40 }", 1);
    assert_eq!(parse(&more).expect("valid").strictest().txn_ops, 12);
    let wrong = SAMPLE.replacen("txn_ops = 12", "txn_ops = 12\nnext = { txn_ops = -1 }", 1);
    let refused = parse(&wrong).expect_err("refused").to_string();
    assert!(refused.starts_with("s.toml: line 42: field `next`"), "{refused}");
}

#[test]
fn errors_name_the_file_and_the_field() {
    let file = Path::new("s.toml");
    let error = |text: &str| Settings::parse(text, file).expect_err("refused").to_string();
    assert_eq!(sample().peers.len(), 1);
    let cases = [
        (
            "lease_s = 30.0",
            "lease_s = 2.0",
            "s.toml: field `cluster.workers.lease_s` must be longer than report_s",
        ),
        (
            "write_rps = 20.0",
            "write_rps = nan",
            "s.toml: field `cluster.state.write_rps` must be a number above 0 and below 1000000000",
        ),
        (
            "txn_ops = 12",
            "txn_ops = 12\nnext = { value_kb = 0.0 }",
            "s.toml: field `cluster.state.next.value_kb` must be a number above 0 and below 1000000000",
        ),
        (
            "txn_ops = 12",
            "txn_ops = 12\n[cluster.state.next]\ntxn_ops = 3",
            "s.toml: field `cluster.state.next.txn_ops` must be at least 4",
        ),
        (
            "cpus_max = 16.0",
            "cpus_max = -1.0",
            "s.toml: field `cluster.teams[0].cpus_max` must be a number of at least 0",
        ),
        (
            "host_name = \"c-1\"",
            "host_name = \"c-0\"",
            "s.toml: field `known.host_name` must differ between controllers",
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(error(&SAMPLE.replacen(from, to, 1)), expected);
    }
    assert!(error(&SAMPLE.replacen("rps = 100.0\n", "", 1)).contains("missing field `rps`"));
    assert!(error("host_name = [").starts_with("s.toml: line 1: "));
    let wrong = error(&SAMPLE.replacen("rps = 100.0", "rps = \"x\"", 1));
    assert_eq!(wrong, "s.toml: line 38: field `rps`: invalid type: string \"x\", expected f64");
    assert!(
        Settings::load(Path::new("/no/such/file"))
            .is_err_and(|e| e.to_string().starts_with("/no/such/file: "))
    );
}
