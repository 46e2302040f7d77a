//! What the tasks that play workers, users and the network report when they end.

use super::*;

/// A request of a user, by what it asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Question {
    /// Submission of a job, or its repetition.
    Submit,
    /// Poll of a job's state.
    Poll,
    /// Cancellation of a job.
    Cancel,
    /// A submission that lacks a field or fits nothing, to be rejected with this status.
    Invalid(u16),
    /// Poll of a job that nobody submitted.
    Unknown,
}

/// The end of a task that the simulation has spawned.
pub(super) enum Event {
    /// A heartbeat was answered, or was not in time.
    HeartbeatAnswered {
        machine: String,
        controller: usize,
        /// Incarnation of the worker that sent the heartbeat.
        incarnation: u64,
        sent: Instant,
        answer: Option<Response>,
    },
    /// A user's request was answered, or was not in time.
    Answered {
        job: String,
        question: Question,
        origin: Origin,
        answer: Option<Response>,
        /// Sent beside the requests that the user needs.
        is_extra: bool,
    },
    /// A controller replied to the call of another.
    PeerReplied {
        sender: usize,
        peer: usize,
        reply: PeerReply,
    },
    /// A controller answered a request for its metrics.
    Metrics {
        controller: usize,
        answer: Response,
    },
    Nothing,
}

impl Simulation {
    /// Handles the end of a task, with its answer in the trace first.
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::HeartbeatAnswered { machine, controller, incarnation, sent, answer } => {
                if let Some(answer) = &answer {
                    self.trace_answer(controller, &machine, answer);
                }
                self.heartbeat_answered(&machine, incarnation, sent, answer);
            }
            Event::Answered { job, question, origin, answer, is_extra } => {
                if let Some(answer) = &answer {
                    self.trace_answer(origin.process.0, &job, answer);
                }
                self.answered(&job, question, origin, answer, is_extra);
            }
            Event::Metrics { controller, answer } => self.check_metrics(controller, &answer),
            Event::PeerReplied { sender, peer, reply } => self.trace_peer_reply(sender, peer, &reply),
            Event::Nothing => {}
        }
    }
}
