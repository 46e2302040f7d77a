//! Background tasks that watch a run: the lag of the harness's own timers, and the controllers'
//! counters of violated invariants.

use std::time::Duration;

use ciborium::value::Value;
use shedtally::protocol::cbor::{Fields, decode};
use shedtally::transport::client::HttpCall;
use tokio::sync::watch;
use tokio::time::Instant;

use super::history::{Event, Recorder};
use super::http;

/// Interval for measuring timer lag.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval for polling the controllers' status; also the timeout of each poll.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Largest delay of the harness's own timers so far.
pub struct Lag(watch::Receiver<Duration>);

/// Starts to measure the lag.
pub fn measure_lag() -> Lag {
    let (worst, worst_receiver) = watch::channel(Duration::ZERO);
    tokio::spawn(async move {
        loop {
            let due = Instant::now() + TICK_INTERVAL;
            tokio::time::sleep_until(due).await;
            let late = due.elapsed();
            worst.send_if_modified(|worst| {
                late > *worst && {
                    *worst = late;
                    true
                }
            });
        }
    });
    Lag(worst_receiver)
}

impl Lag {
    /// The largest delay so far.
    pub fn worst(&self) -> Duration {
        *self.0.borrow()
    }
}

/// Counter of requests to the key-value store that were sent although their callers had left.
const SENT_FOR_NOBODY: &str = "sentForNobody";

/// The counters of violated invariants that are not 0.
fn violated_invariants(status: &Fields<'_>) -> Vec<&'static str> {
    let is_counted =
        |metric: &&'static str| status.opt_count(metric).ok().flatten().is_some_and(|count| count > 0);
    let mut violated: Vec<_> =
        ["invariantsViolated", "epochsReused"].into_iter().filter(is_counted).collect();
    if has_sent_for_nobody(status) {
        violated.push(SENT_FOR_NOBODY);
    }
    violated
}

fn has_sent_for_nobody(status: &Fields<'_>) -> bool {
    let service = status.get("stateService").and_then(|service| Fields::of(service).ok());
    let requests = service.as_ref().and_then(|service| service.get("requests"));
    let Some(Value::Map(classes)) = requests else { return false };
    let count = |class: &Value| Fields::of(class).ok()?.opt_count(SENT_FOR_NOBODY).ok().flatten();
    classes.iter().any(|(_, class)| count(class).is_some_and(|count| count > 0))
}

/// Polls the controllers' status periodically, and records each non-zero counter of a violated
/// invariant.
pub fn poll_status(controllers: Vec<std::net::SocketAddr>, recorder: Recorder) -> tokio::task::AbortHandle {
    let polling = tokio::spawn(async move {
        loop {
            for (controller, address) in controllers.iter().enumerate() {
                let (target, response_timeout) = ("/status".into(), STATUS_INTERVAL);
                let call = HttpCall { method: "GET", target, body: Vec::new(), timeout: response_timeout };
                let Some(response) = http::send(*address, call).await else { continue };
                let Ok(body) = decode(&response.body) else { continue };
                let Ok(fields) = Fields::of(&body) else { continue };
                for metric in violated_invariants(&fields) {
                    recorder.record(Event::InvariantViolated { controller, metric });
                }
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    });
    polling.abort_handle()
}
