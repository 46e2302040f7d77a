//! Stalled controllers: between any two steps one may stop for a while, as a process without
//! processor time does. Its code does not run, its clocks go on, and what reaches it waits.

use std::pin::pin;
use std::task::Poll;

use super::*;

/// Shared by the tasks of one controller: until when it is stalled, and the order in which its
/// tasks resume. A runtime resumes tasks in the order in which they became ready; timers that
/// end at one moment would not.
#[derive(Debug, Clone)]
pub(super) struct Stalls {
    until: watch::Sender<Instant>,
    /// Tasks that wait for the end of the stall so far.
    waiting: Arc<AtomicU64>,
}

/// Between the resumption of two tasks: the least step of the runtime's clock.
const TURN: Duration = Duration::from_millis(1);

impl Stalls {
    /// A controller that is not stalled.
    pub(super) fn new(now: Instant) -> Self {
        Stalls { until: watch::channel(now).0, waiting: Arc::default() }
    }

    /// Stalls the controller until then.
    pub(super) fn begin(&self, until: Instant) {
        self.waiting.store(0, Ordering::Relaxed);
        self.until.send_replace(until);
    }

    /// Until when the controller is stalled; in the past if it is not.
    pub(super) fn until(&self) -> Instant {
        *self.until.borrow()
    }

    /// Runs a part of the controller, except while it is stalled.
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
                // A stall that has begun since ends this turn without another step.
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
    /// Until when a controller is stalled.
    pub(super) fn stalled_until(&self, at: usize) -> Instant {
        self.controllers[at].stalls.until()
    }

    /// Delivers what a controller sent before it was stalled, or by a timer meanwhile, once it
    /// resumes.
    pub(super) fn release_held_messages(&mut self, now: Instant) {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held_messages).into_iter().partition(|(at, _)| now >= *at);
        self.held_messages = rest;
        for (_, ask) in due {
            self.deliver(ask);
        }
    }
}
