//! Collects the history of a run, and passes on the responses that may trigger faults.

use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::history::{Entry, Event, JobState, UserRequest};
use super::schedule::Trigger;

/// A fault with a trigger waits for a matching response for at most this long, then begins without
/// one.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Collects the history in a background task.
pub struct Collector {
    history: mpsc::UnboundedReceiver<Vec<Entry>>,
    stop: watch::Sender<bool>,
}

/// A response that may trigger a fault.
#[derive(Debug, Clone, Copy)]
pub struct TriggerResponse {
    trigger: Trigger,
    /// Index of the controller that sent it.
    controller: usize,
}

/// Starts the collector. The returned channel gets each response that may trigger a fault.
pub fn start_collector(
    mut recorded: mpsc::UnboundedReceiver<Entry>,
) -> (Collector, mpsc::UnboundedReceiver<TriggerResponse>) {
    let (triggers, responses) = mpsc::unbounded_channel();
    let (history_sender, history_receiver) = mpsc::unbounded_channel();
    let (stop, mut stopped) = watch::channel(false);
    tokio::spawn(async move {
        let mut history = Vec::new();
        loop {
            tokio::select! {
                biased;
                Some(entry) = recorded.recv() => {
                    if let Some(trigger) = trigger_of(&entry.event) {
                        let _ = triggers.send(trigger);
                    }
                    history.push(entry);
                }
                _ = stopped.changed() => break,
            }
        }
        let _ = history_sender.send(history);
    });
    (Collector { history: history_receiver, stop }, responses)
}

impl Collector {
    /// Stops collecting and returns the entries up to `end`, sorted by time.
    pub async fn history(mut self, end: Duration) -> Vec<Entry> {
        self.stop.send_replace(true);
        let mut history = self.history.recv().await.unwrap_or_default();
        history.retain(|entry| entry.at <= end);
        history.sort_by_key(|entry| entry.at);
        history
    }
}

/// The trigger and sender of a response that may trigger a fault; `None` for other events.
fn trigger_of(event: &Event) -> Option<TriggerResponse> {
    let Event::ResponseReceived { controller, request, status, state, .. } = event else { return None };
    let trigger = match (request, status, state) {
        (UserRequest::Cancel, _, Some(JobState::Cancelled)) => Trigger::CancellationConfirmed,
        (UserRequest::Cancel, ..) => return None,
        (_, 201, _) => Trigger::JobAccepted,
        (_, _, Some(JobState::Done)) => Trigger::JobDone,
        _ => return None,
    };
    Some(TriggerResponse { trigger, controller: *controller })
}

/// Waits for the next response of the awaited kind, and returns the index of the controller that
/// sent it; `None` after [`TRIGGER_TIMEOUT`].
pub async fn next_trigger(
    triggers: &mut mpsc::UnboundedReceiver<TriggerResponse>,
    awaited: Trigger,
) -> Option<usize> {
    let waiting = async {
        while let Some(response) = triggers.recv().await {
            if response.trigger == awaited {
                return Some(response.controller);
            }
        }
        None
    };
    tokio::time::timeout(TRIGGER_TIMEOUT, waiting).await.ok().flatten()
}
