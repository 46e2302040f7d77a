//! Tests of the actor with a key-value store over HTTP: fencing, unknown outcomes, batches and
//! limits.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::time::Instant;

use super::capacity::Capacity;
use super::rates::write_reserve;
use super::*;
use crate::settings::{AnnouncedLimits, KvSettings};
use crate::storage::in_memory_kv::{FakeKvServer, Script, kv_client, kv_client_within, limits, put};
use crate::storage::rate_limit::{LogThrottle, TokenBucket};
use crate::storage::records::LEADER;
use crate::transport::simulated_network::{self, SimulatedRequest};

/// The simulated network delivers requests whatever their address.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// A store whose leader has epoch 7 and whose next commits fail as scripted, and its client.
async fn client_and_server(script: &[Script]) -> (KvClient, FakeKvServer) {
    let server = FakeKvServer::start(script).await;
    server.seed(LEADER, Value::Null, 7).await;
    (kv_client(server.address(), 4), server)
}

#[tokio::test]
async fn a_transaction_with_a_stale_epoch_is_fenced() {
    let (kv, _server) = client_and_server(&[]).await;
    assert_eq!(kv.compare_and_swap(put(6, "a", 0)).await, Err(KvError::Fenced));
    assert_eq!(kv.get(RequestClass::Admission, "a").await, Ok(None));
    assert_eq!(kv.compare_and_swap(put(7, "a", 0)).await, Ok(8));
    assert_eq!(kv.compare_and_swap(put(7, "a", 0)).await, Err(KvError::Conflict));
}

/// The client does not know the outcome of its first attempt. The retry must neither fail nor
/// write twice, and must report the version that the key really has.
#[tokio::test]
async fn a_commit_with_unknown_outcome_is_resolved_before_it_is_reported() {
    for script in [Script::LoseAnswer, Script::Delay, Script::Refuse] {
        let (kv, _server) = client_and_server(&[script]).await;
        let version = kv.compare_and_swap(put(7, "a", 0)).await.expect("committed");
        let entry = kv.get(RequestClass::Admission, "a").await.expect("a response").expect("an entry");
        assert_eq!(entry.version, version, "{script:?}");
        assert_eq!(version, 8, "written once: {script:?}");
    }
}

/// A store on the simulated network that answers each read, without an entry, after a short time.
fn serve_absent_keys() {
    let mut network = simulated_network::install();
    tokio::spawn(async move {
        while let Some(request) = network.recv().await {
            let SimulatedRequest::Http { reply, .. } = request else { continue };
            tokio::spawn(async move {
                tokio::time::sleep(STORE_LATENCY).await;
                let _ = reply.send(Ok(Response {
                    status: 404,
                    body: Vec::new(),
                    retry_after_s: None,
                    close: false,
                }));
            });
        }
    });
}

const STORE_LATENCY: Duration = Duration::from_millis(5);
/// A lease is renewed four times in its duration; its renewal may take a tenth of that interval.
const RENEWAL_BOUND: Duration = Duration::from_millis(2500 / 4 / 10);
/// More reads than the actor queues.
const WAITING_READS: usize = 3000;

#[tokio::test(start_paused = true)]
async fn a_renewal_waits_behind_no_other_class() {
    for class in [
        RequestClass::Cancellation,
        RequestClass::Admission,
        RequestClass::Completion,
        RequestClass::Progress,
        RequestClass::Background,
    ] {
        serve_absent_keys();
        let kv = kv_client_within(UNUSED_ADDRESS, KvSettings { rps: 100.0, ..limits(4) });
        let mut reads = tokio::task::JoinSet::new();
        for n in 0..WAITING_READS {
            let kv = kv.clone();
            reads.spawn(async move { kv.get(class, &format!("k{n}")).await });
        }
        reads.join_next().await;
        let sent = Instant::now();
        assert_eq!(kv.get(RequestClass::Renewal, LEADER).await, Ok(None));
        assert!(sent.elapsed() <= RENEWAL_BOUND, "{:?} behind {class:?}", sent.elapsed());
    }
}

/// Requests per second of the store for all controllers; the clients of these tests have a follower's
/// share.
const STORE_RPS: f64 = 600.0;
/// Users' reads at a controller of a cluster of about 4,000 machines, as many as its sockets allow.
const USERS_READS: usize = 568;
/// How long a read of a user's poll may take.
const USERS_PATIENCE: Duration = Duration::from_millis(1500);

/// Starts many reads whose callers leave after [`USERS_PATIENCE`], and waits until they have left.
async fn abandon_reads(kv: &KvClient) {
    let mut reads = tokio::task::JoinSet::new();
    for n in 0..USERS_READS {
        let kv = kv.clone();
        reads.spawn(async move {
            let key = format!("k{n}");
            tokio::time::timeout(USERS_PATIENCE, kv.get(RequestClass::Completion, &key)).await.is_ok()
        });
    }
    while reads.join_next().await.is_some() {}
}

#[tokio::test(start_paused = true)]
async fn reads_whose_callers_have_left_do_not_delay_others() {
    serve_absent_keys();
    let kv = kv_client_within(UNUSED_ADDRESS, KvSettings { rps: STORE_RPS, ..limits(4) });
    abandon_reads(&kv).await;
    let sent = Instant::now();
    let read = kv.get(RequestClass::Completion, "k").await;
    assert_eq!(read, Ok(None));
    assert!(sent.elapsed() <= USERS_PATIENCE, "answered after {:?}", sent.elapsed());
}

/// Reads of one class that never end, more than the rate serves.
async fn read_without_end(kv: KvClient, class: RequestClass) {
    const AT_ONCE: usize = 100;
    let mut reads = tokio::task::JoinSet::new();
    for number in 0.. {
        let kv = kv.clone();
        reads.spawn(async move { kv.get(class, &format!("k{number}")).await });
        if number >= AT_ONCE {
            reads.join_next().await;
        }
    }
}

/// Users must be answered within this time, whatever else is asked.
const ANSWERED_WITHIN: Duration = Duration::from_secs(75);

#[tokio::test(start_paused = true)]
async fn no_class_is_starved_by_reads_of_a_higher_class_that_never_end() {
    for class in [RequestClass::Completion, RequestClass::Progress, RequestClass::Background] {
        serve_absent_keys();
        let kv = kv_client_within(UNUSED_ADDRESS, KvSettings { rps: STORE_RPS, ..limits(4) });
        let stream = tokio::spawn(read_without_end(kv.clone(), RequestClass::Admission));
        tokio::time::sleep(Duration::from_secs(5)).await;
        let read = tokio::time::timeout(ANSWERED_WITHIN, kv.get(class, "k")).await;
        stream.abort();
        assert_eq!(read, Ok(Ok(None)), "{class:?}");
    }
}

/// Guards against lower classes that take more than their turns from reads that users wait for.
#[tokio::test(start_paused = true)]
async fn lower_classes_that_never_end_leave_a_higher_class_all_but_their_turns() {
    serve_absent_keys();
    let kv = kv_client_within(UNUSED_ADDRESS, KvSettings { rps: STORE_RPS, ..limits(4) });
    let classes = [RequestClass::Admission, RequestClass::Completion, RequestClass::Background];
    let streams = classes.map(|class| tokio::spawn(read_without_end(kv.clone(), class)));
    tokio::time::sleep(Duration::from_secs(60)).await;
    let sent = classes.map(|class| kv.statistics().of(class).sent);
    streams.iter().for_each(tokio::task::JoinHandle::abort);
    let [higher, lower] = [sent[0], sent[1] + sent[2]];
    // One request in sixteen, and what is sent before the streams have filled the queues.
    assert!(lower <= (higher + lower) / 16 + higher / 100, "{sent:?}");
    assert!(sent.iter().all(|&sent| sent > 0), "{sent:?}");
}

#[tokio::test(start_paused = true)]
async fn waits_and_callers_that_have_left_are_counted() {
    serve_absent_keys();
    let kv = kv_client_within(UNUSED_ADDRESS, KvSettings { rps: 100.0, ..limits(4) });
    abandon_reads(&kv).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(kv.get(RequestClass::Background, "k").await, Ok(None));
    let statistics = kv.statistics().of(RequestClass::Completion);
    assert!(statistics.sent > 0 && statistics.longest_wait >= Duration::from_secs(1), "{statistics:?}");
    assert!(statistics.longest_wait <= USERS_PATIENCE, "{statistics:?}");
    assert_eq!((statistics.queued, statistics.sent_for_nobody), (0, 0), "{statistics:?}");
    assert_eq!(statistics.sent + statistics.dropped, USERS_READS as u64, "{statistics:?}");
    assert_eq!(kv.statistics().of(RequestClass::Renewal), ClassStatistics::default());
    let mut counted = ClassStatistics::default();
    counted.record_sent(Duration::from_secs(2), true);
    counted.record_sent(Duration::from_secs(1), false);
    assert_eq!((counted.sent, counted.sent_for_nobody), (2, 1));
    assert_eq!(counted.longest_wait, Duration::from_secs(2));
}

/// At 4,000 machines and half as many again the rate is five to eight times that of 800.
#[test]
fn the_requests_held_grow_with_the_rate_and_are_bounded() {
    let (usual, large) = (Capacity::of_rate(600.0), Capacity::of_rate(4500.0));
    assert!(large.in_flight >= 7 * usual.in_flight && large.queued >= 7 * usual.queued);
    for rate in [f64::MIN_POSITIVE, f64::MAX, f64::INFINITY] {
        let capacity = Capacity::of_rate(rate);
        assert!((8..1000).contains(&capacity.in_flight) && (512..100_000).contains(&capacity.queued));
    }
}

#[tokio::test]
async fn transactions_of_several_callers_are_batched_up_to_the_limit() {
    let (kv, server) = client_and_server(&[]).await;
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..10 {
        let kv = kv.clone();
        tasks.spawn(async move { kv.compare_and_swap(put(7, &format!("k{n}"), 0)).await });
    }
    while let Some(result) = tasks.join_next().await {
        assert!(result.expect("no panic").is_ok());
    }
    let commits = server.commit_sizes().await;
    assert_eq!(commits.iter().sum::<usize>(), 10);
    assert!(commits.iter().all(|&ops| ops <= 4) && commits.len() < 10, "{commits:?}");
}

/// A steady stream of done tasks and completions uses up the tokens as they refill. Two jobs
/// submitted together must still be admitted at once.
#[test]
fn admissions_have_tokens_during_a_stream_of_other_writes() {
    let mut now = Instant::now();
    let mut writes = TokenBucket::new(12.0, 9.6, now);
    let mut written = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(10);
        for class in [RequestClass::Completion, RequestClass::Progress] {
            while writes.allows(now, 1.0, write_reserve(class, writes.burst())) {
                writes.spend(1.0);
                written += 1;
            }
        }
    }
    assert!(written > 110, "the whole rate is used: {written}");
    assert!(writes.allows(now, 4.0, write_reserve(RequestClass::Admission, writes.burst())));
}

/// The only notice that the announced limits are in force is that the store refuses a request
/// that the former limits allowed.
#[tokio::test]
async fn a_refusal_puts_the_announced_limits_into_force() {
    let (_, server) = client_and_server(&[]).await;
    let next = AnnouncedLimits { rps: None, write_rps: Some(9_000.0), value_kb: Some(1.0), txn_ops: Some(2) };
    let state = KvSettings { next: Some(next), ..limits(4) };
    let kv = kv_client_within(server.address(), state.clone());
    let large = |key: &str| {
        let value = MapBuilder::new().set("text", "x".repeat(2000)).build();
        let changes = vec![Change::Put { key: key.into(), value, lease: None }];
        Transaction { changes, ..put(7, key, 0) }
    };
    assert!(kv.compare_and_swap(large("a")).await.is_ok());
    assert_eq!(kv.limits(), state.initial());
    server.limit(state.announced()).await;
    assert!(kv.get(RequestClass::Admission, "a").await.is_ok_and(|entry| entry.is_some()), "still readable");
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..6 {
        let (kv, large) = (kv.clone(), large(&format!("k{n}")));
        let transaction = if n == 3 { large } else { put(7, &format!("k{n}"), 0) };
        tasks.spawn(async move { (n, kv.compare_and_swap(transaction).await) });
    }
    while let Some(result) = tasks.join_next().await {
        let (n, result) = result.expect("no panic");
        assert_eq!(result.is_err(), n == 3, "only the oversized transaction is rejected: {n} {result:?}");
    }
    assert_eq!(kv.limits(), state.announced());
    assert!(server.commit_sizes().await.iter().all(|&changes| changes <= 2));
}

#[tokio::test]
async fn a_scan_reads_all_pages() {
    let (kv, server) = client_and_server(&[]).await;
    for n in 0..1203 {
        server.seed(&format!("k/{n:04}"), Value::Null, n + 8).await;
    }
    server.seed("l/1", Value::Null, 9000).await;
    assert_eq!(kv.scan(RequestClass::Background, "k/").await.expect("a response").len(), 1203);
}

#[test]
fn log_throttle_counts_suppressed_failures() {
    let now = Instant::now();
    let mut throttle = LogThrottle::default();
    assert_eq!(throttle.record_failure(now), Some(1));
    assert_eq!(throttle.record_failure(now + Duration::from_secs(1)), None);
    assert_eq!(throttle.record_failure(now + Duration::from_secs(6)), Some(2));
}

#[test]
fn a_token_bucket_keeps_the_reserve_for_renewals() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(10.0, 10.0, now);
    assert!(bucket.allows(now, 8.0, 2.0));
    bucket.spend(8.0);
    assert!(!bucket.allows(now, 1.0, 2.0));
    assert!(bucket.allows(now, 1.0, 0.0));
    assert_eq!(bucket.wait(1.0, 2.0), Duration::from_millis(100));
    assert!(bucket.allows(now + Duration::from_millis(101), 1.0, 2.0));
    assert!(
        bucket.allows(now + Duration::from_secs(60), 50.0, 0.0),
        "an amount beyond the burst passes when the bucket is full"
    );
}
