use tokio::time::Instant;

use super::actor::write_reserve;
use super::*;
use crate::settings::{NextState, State};
use crate::storage::in_memory_kv::{FakeKvServer, Script, limits, put, store, store_within};
use crate::storage::rate_limit::{LogThrottle, TokenBucket};
use crate::storage::records::LEADER;

async fn rig(script: &[Script]) -> (KvClient, FakeKvServer) {
    let stand_in = FakeKvServer::start(script).await;
    stand_in.seed(LEADER, Value::Null, 7).await;
    (store(stand_in.address(), 4), stand_in)
}

#[tokio::test]
async fn a_stale_epoch_changes_nothing() {
    let (store, _stand_in) = rig(&[]).await;
    assert_eq!(store.compare_and_swap(put(6, "a", 0)).await, Err(KvError::Fenced));
    assert_eq!(store.get(RequestClass::Admission, "a").await, Ok(None));
    assert_eq!(store.compare_and_swap(put(7, "a", 0)).await, Ok(8));
    assert_eq!(store.compare_and_swap(put(7, "a", 0)).await, Err(KvError::Conflict));
}

/// The outcome is unknown to the client; the retry must neither fail nor
/// write twice, and must report the version that the key really has.
#[tokio::test]
async fn an_unknown_outcome_is_settled_before_it_is_reported() {
    for script in [Script::LoseAnswer, Script::Delay, Script::Refuse] {
        let (store, _stand_in) = rig(&[script]).await;
        let version = store.compare_and_swap(put(7, "a", 0)).await.expect("carried out");
        let entry = store.get(RequestClass::Admission, "a").await.expect("served").expect("there");
        assert_eq!(entry.version, version, "{script:?}");
        assert_eq!(version, 8, "written once: {script:?}");
    }
}

#[tokio::test]
async fn changes_of_several_callers_share_a_transaction_within_its_limit() {
    let (store, stand_in) = rig(&[]).await;
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..10 {
        let store = store.clone();
        tasks.spawn(async move { store.compare_and_swap(put(7, &format!("k{n}"), 0)).await });
    }
    while let Some(result) = tasks.join_next().await {
        assert!(result.expect("no panic").is_ok());
    }
    let commits = stand_in.commit_sizes().await;
    assert_eq!(commits.iter().sum::<usize>(), 10);
    assert!(commits.iter().all(|&ops| ops <= 4) && commits.len() < 10, "{commits:?}");
}

/// A steady stream of done tasks and settles takes the allowance as it refills: two jobs
/// submitted together are still accepted at once.
#[test]
fn acceptances_find_an_allowance_beside_a_stream_of_other_writes() {
    let mut now = Instant::now();
    let mut writes = TokenBucket::new(12.0, 9.6, now);
    let mut written = 0;
    for _ in 0..1000 {
        now += Duration::from_millis(10);
        for class in [RequestClass::Completion, RequestClass::Progress] {
            while writes.allows(now, 1.0, write_reserve(class as usize, writes.burst())) {
                writes.spend(1.0);
                written += 1;
            }
        }
    }
    assert!(written > 110, "nothing of the pace is lost: {written}");
    assert!(writes.allows(now, 4.0, write_reserve(RequestClass::Admission as usize, writes.burst())));
}

/// The only notice of the limits that come is a refusal of what was allowed until then.
#[tokio::test]
async fn a_refusal_brings_the_announced_limits_into_force() {
    let (_, stand_in) = rig(&[]).await;
    let next = NextState { rps: None, write_rps: Some(9_000.0), value_kb: Some(1.0), txn_ops: Some(2) };
    let state = State { next: Some(next), ..limits(4) };
    let store = store_within(stand_in.address(), state.clone());
    let large = |key: &str| {
        let value = MapBuilder::new().set("text", "x".repeat(2000)).build();
        let changes = vec![Change::Put { key: key.into(), value, lease: None }];
        Transaction { changes, ..put(7, key, 0) }
    };
    assert!(store.compare_and_swap(large("a")).await.is_ok());
    assert_eq!(store.limits(), state.present());
    stand_in.limit(state.announced()).await;
    assert!(
        store.get(RequestClass::Admission, "a").await.is_ok_and(|entry| entry.is_some()),
        "still readable"
    );
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..6 {
        let (store, large) = (store.clone(), large(&format!("k{n}")));
        let transaction = if n == 3 { large } else { put(7, &format!("k{n}"), 0) };
        tasks.spawn(async move { (n, store.compare_and_swap(transaction).await) });
    }
    while let Some(result) = tasks.join_next().await {
        let (n, result) = result.expect("no panic");
        assert_eq!(result.is_err(), n == 3, "only what is too large itself is refused: {n} {result:?}");
    }
    assert_eq!(store.limits(), state.announced());
    assert!(stand_in.commit_sizes().await.iter().all(|&changes| changes <= 2));
}

#[tokio::test]
async fn a_scan_reads_all_pages() {
    let (store, stand_in) = rig(&[]).await;
    for n in 0..1203 {
        stand_in.seed(&format!("k/{n:04}"), Value::Null, n + 8).await;
    }
    stand_in.seed("l/1", Value::Null, 9000).await;
    assert_eq!(store.scan("k/").await.expect("served").len(), 1203);
}

#[test]
fn complaints_are_counted_and_said_once_in_a_while() {
    let now = Instant::now();
    let mut complaints = LogThrottle::default();
    assert_eq!(complaints.should_log(now), Some(1));
    assert_eq!(complaints.should_log(now + Duration::from_secs(1)), None);
    assert_eq!(complaints.should_log(now + Duration::from_secs(6)), Some(2));
}

#[test]
fn renewals_may_spend_what_others_must_leave() {
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
        "what exceeds the whole passes when full"
    );
}
