//! Stalls of controllers: a controller may stop for a while between any two steps, like a
//! process without CPU time. Its code does not run, its clocks go on, and messages to it wait.

use std::pin::pin;
use std::task::Poll;

use super::*;

/// The stalls of one controller, shared by its async tasks: until when it is stalled, and the
/// order in which its tasks resume. A runtime resumes tasks in the order in which they became
/// ready; timers that expire at the same instant would not keep that order.
#[derive(Debug, Clone)]
pub(super) struct Stalls {
    until: watch::Sender<Instant>,
    /// Number of tasks that wait for the end of the stall.
    waiting: Arc<AtomicU64>,
}

/// Interval between the resumption of two tasks: the resolution of the runtime's clock.
const RESUME_INTERVAL: Duration = Duration::from_millis(1);

impl Stalls {
    /// A controller that is not stalled.
    pub(super) fn new(now: Instant) -> Self {
        Stalls { until: watch::channel(now).0, waiting: Arc::default() }
    }

    /// Stalls the controller until this time.
    pub(super) fn begin(&self, until: Instant) {
        self.waiting.store(0, Ordering::Relaxed);
        self.until.send_replace(until);
    }

    /// Until when the controller is stalled; in the past if it is not.
    pub(super) fn until(&self) -> Instant {
        *self.until.borrow()
    }

    /// Runs a future of the controller, except while the controller is stalled.
    pub(super) async fn run<T>(self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        loop {
            let until = self.until();
            if Instant::now() < until {
                let position = self.waiting.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep_until(until + RESUME_INTERVAL * position as u32).await;
                continue;
            }
            let step = std::future::poll_fn(|context| {
                // If a stall has begun meanwhile, the future is not polled again until it ends.
                if Instant::now() < self.until() {
                    return Poll::Ready(None);
                }
                future.as_mut().poll(context).map(Some)
            });
            if let Some(result) = step.await {
                return result;
            }
        }
    }
}

impl Simulation {
    /// Until when a controller is stalled.
    pub(super) fn stalled_until(&self, at: usize) -> Instant {
        self.controllers[at].stalls.until()
    }

    /// Delivers the messages that were held back while their controller was stalled, once it
    /// resumes. They were sent just before the stall, or by a timer during it.
    pub(super) fn release_held_messages(&mut self, now: Instant) {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held_messages).into_iter().partition(|(at, _)| now >= *at);
        self.held_messages = rest;
        for (_, request) in due {
            self.deliver(request);
        }
    }
}
