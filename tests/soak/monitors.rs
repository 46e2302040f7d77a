//! Background tasks that watch a run: the lag of the harness's own timers, and the controllers'
//! counters of violated invariants.

use std::time::Duration;

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
                for metric in ["invariantsViolated", "epochsReused"] {
                    if fields.opt_count(metric).ok().flatten().is_some_and(|count| count > 0) {
                        recorder.record(Event::InvariantViolated { controller, metric });
                    }
                }
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    });
    polling.abort_handle()
}
