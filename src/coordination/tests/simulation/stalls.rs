//! Controllers that stand still between any two steps, as a process that gets no
//! processor time does: its code does not run, its clocks go on, and what reaches it
//! waits.

use std::pin::pin;
use std::task::Poll;

use super::*;

/// What the parts of one controller share: until when it stands still, and whose turn it
/// is when it goes on. A runtime resumes its tasks in the order in which they became
/// ready; timers that end at one moment would not.
#[derive(Debug, Clone)]
pub(super) struct Stalls {
    until: watch::Sender<Instant>,
    waiting: Arc<AtomicU64>,
}

/// Between two turns: the least step of the runtime's clock.
const TURN: Duration = Duration::from_millis(1);

impl Stalls {
    pub(super) fn new(now: Instant) -> Self {
        Stalls { until: watch::channel(now).0, waiting: Arc::default() }
    }

    pub(super) fn begin(&self, until: Instant) {
        self.waiting.store(0, Ordering::Relaxed);
        self.until.send_replace(until);
    }

    pub(super) fn until(&self) -> Instant {
        *self.until.borrow()
    }

    /// Runs a part of the controller, except while it stands still.
    pub(super) async fn run<T>(self, part: impl Future<Output = T>) -> T {
        let mut part = pin!(part);
        loop {
            let until = self.until();
            if Instant::now() < until {
                let turn = self.waiting.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep_until(until + TURN * turn as u32).await;
                continue;
            }
            let step = std::future::poll_fn(|context| {
                // A stall that began since ends this turn without another step.
                if Instant::now() < self.until() {
                    return Poll::Ready(None);
                }
                part.as_mut().poll(context).map(Some)
            });
            if let Some(result) = step.await {
                return result;
            }
        }
    }
}

impl Simulation {
    pub(super) fn stalled_until(&self, at: usize) -> Instant {
        self.controllers[at].stalls.until()
    }

    /// What a controller sent before it stood still, or by a timer meanwhile, leaves
    /// when it goes on.
    pub(super) fn release_held_messages(&mut self, now: Instant) {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held_messages).into_iter().partition(|(at, _)| now >= *at);
        self.held_messages = rest;
        for (_, ask) in due {
            self.deliver(ask);
        }
    }
}
