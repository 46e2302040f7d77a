//! Tests of the loader with a key-value store on the simulated network that loses responses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::sync::mpsc;

use super::*;
use crate::coordination::recovery::snapshot::Snapshot;
use crate::coordination::tests::loaded_job;
use crate::maps::HashSet;
use crate::protocol::cbor::encode;
use crate::protocol::jobs::JobState;
use crate::protocol::jobs::tests::sample;
use crate::settings::KvSettings;
use crate::storage::in_memory_kv::{InMemoryKv, kv_client_within, limits};
use crate::storage::records::{encode_row, job_record_key, live_row_key};
use crate::transport::client::HttpCall;
use crate::transport::codec::{Request, Response};
use crate::transport::simulated_network::{self, SimulatedRequest};

/// The simulated network delivers requests whatever their address.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
const STORE_LATENCY: Duration = Duration::from_millis(2);
const JOBS: usize = 1000;
const EPOCH: u64 = 5;

/// A store with the records and live rows of [`JOBS`] jobs. `is_lost` decides from the number of
/// requests so far whether a response is lost. Returns the targets requested.
fn serve_jobs(is_lost: impl Fn(usize) -> bool + Send + 'static) -> mpsc::UnboundedReceiver<String> {
    serve_jobs_with(is_lost, |_| false)
}

/// As [`serve_jobs`]; the responses about the targets that `is_malformed` selects cannot be decoded.
fn serve_jobs_with(
    is_lost: impl Fn(usize) -> bool + Send + 'static,
    is_malformed: impl Fn(&str) -> bool + Send + 'static,
) -> mpsc::UnboundedReceiver<String> {
    let mut store = InMemoryKv::with_pages_of(JOBS);
    for number in 0..JOBS {
        let record = loaded_job(sample(&format!("job-{number}"), "red", 1, 1.0)).record;
        store.seed(&job_record_key(&record.spec.id), record.encode(8.0), 1);
        store.seed(&live_row_key(&record.spec.id), encode_row(JobState::Queued), 1);
    }
    let (requested, targets) = mpsc::unbounded_channel();
    let mut network = simulated_network::install();
    tokio::spawn(async move {
        let mut requests = 0;
        while let Some(request) = network.recv().await {
            let SimulatedRequest::Http { call, reply, .. } = request else { continue };
            requests += 1;
            let _ = requested.send(call.target.clone());
            if is_lost(requests) {
                continue;
            }
            let malformed = is_malformed(&call.target);
            let mut response = response_of(&mut store, call);
            if malformed {
                response.body = b"junk".to_vec();
            }
            tokio::spawn(async move {
                tokio::time::sleep(STORE_LATENCY).await;
                let _ = reply.send(Ok(response));
            });
        }
    });
    targets
}

/// Takes all targets requested since the last call.
fn drain(targets: &mut mpsc::UnboundedReceiver<String>) -> Vec<String> {
    std::iter::from_fn(|| targets.try_recv().ok()).collect()
}

fn response_of(store: &mut InMemoryKv, call: HttpCall) -> Response {
    let request = Request { method: call.method.into(), target: call.target, body: call.body, close: false };
    let (status, body) = store.answer(&request).expect("no watch");
    Response { status, body: encode(&body), retry_after_s: None, close: false }
}

fn loader(events: mpsc::Sender<InternalEvent>) -> SnapshotLoader {
    let config =
        Config { settings: crate::settings::tests::sample(), tuning: crate::policy::tests::tuning() };
    SnapshotLoader::new(
        &config,
        &kv_client_within(UNUSED_ADDRESS, KvSettings { rps: 500.0, ..limits(4) }),
        events,
    )
}

async fn next_snapshot(inbox: &mut mpsc::Receiver<InternalEvent>) -> Option<Snapshot> {
    loop {
        match inbox.recv().await {
            Some(InternalEvent::SnapshotProgressed { epoch: EPOCH, .. }) => {}
            Some(InternalEvent::SnapshotRead { epoch: EPOCH, snapshot }) => return snapshot,
            _ => return None,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_response_does_not_restart_the_snapshot() {
    const LOST_EVERY: usize = 20;
    let mut targets = serve_jobs(|requests| requests % LOST_EVERY == 0);
    let (events, mut inbox) = mpsc::channel(1);
    loader(events).start(EPOCH);
    let snapshot = next_snapshot(&mut inbox).await.expect("complete after the first pass");
    assert_eq!(snapshot.jobs.len(), JOBS);
    let requested = drain(&mut targets);
    let needed = requested.iter().collect::<HashSet<_>>().len();
    let lost = requested.len() / LOST_EVERY;
    assert!(lost > 0 && requested.len() <= needed + lost, "{} requests, {needed} needed", requested.len());
}

#[tokio::test(start_paused = true)]
async fn reads_of_an_epoch_that_is_over_stop() {
    let mut targets = serve_jobs(|_| false);
    let (events, mut inbox) = mpsc::channel(2 * JOBS);
    let mut loader = loader(events);
    loader.start(EPOCH);
    for _ in 0..JOBS / 10 {
        targets.recv().await.expect("still reading");
    }
    loader.stop();
    drain(&mut targets);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let after_stop = drain(&mut targets).len();
    assert!(after_stop <= loader.kv.concurrent_reads(), "{after_stop} more reads");
    let is_snapshot = |event: &InternalEvent| matches!(event, InternalEvent::SnapshotRead { .. });
    assert!(!std::iter::from_fn(|| inbox.try_recv().ok()).any(|event| is_snapshot(&event)));
}

/// Users must be answered within this time after the faults.
const ANSWERED_WITHIN: Duration = Duration::from_secs(75);

#[tokio::test(start_paused = true)]
async fn a_record_whose_read_always_fails_does_not_keep_the_failover_from_ending() {
    let _targets = serve_jobs_with(|_| false, |target| target == "/keys/rec/job-7");
    let (events, mut inbox) = mpsc::channel(2 * JOBS);
    loader(events).start(EPOCH);
    let snapshot = tokio::time::timeout(ANSWERED_WITHIN, next_snapshot(&mut inbox)).await;
    let snapshot = snapshot.expect("ends in time").expect("a snapshot");
    assert_eq!((snapshot.jobs.len(), snapshot.unreadable.len()), (JOBS - 1, 1));
}
