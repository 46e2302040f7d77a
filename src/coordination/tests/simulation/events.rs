//! Results of the async tasks that simulate workers, users and the network.

use super::*;

/// The kind of a user's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestKind {
    /// First or repeated submission of a job.
    Submit,
    /// Poll of a job's state.
    Poll,
    /// Cancellation of a job.
    Cancel,
    /// An invalid submission, to be rejected with this status.
    Invalid(u16),
    /// Poll of a job that nobody submitted.
    Unknown,
}

/// The result of an async task that the simulation has spawned.
pub(super) enum Event {
    /// A heartbeat was answered or timed out.
    HeartbeatAnswered {
        machine: String,
        controller: usize,
        /// Incarnation of the worker that sent the heartbeat.
        incarnation: u64,
        sent: Instant,
        answer: Option<Response>,
    },
    /// A copy of the reply to a heartbeat arrives.
    ReplyCopied {
        machine: String,
        /// Incarnation of the worker that sent the heartbeat.
        incarnation: u64,
        sent: Instant,
        body: Value,
    },
    /// A copy of pushed commands arrives.
    PushCopied {
        machine: String,
        body: Vec<u8>,
    },
    /// A user's request was answered or timed out.
    RequestAnswered {
        job: String,
        request_kind: RequestKind,
        origin: Origin,
        answer: Option<Response>,
        /// Whether the request was sent in addition to the user's regular ones.
        is_extra: bool,
    },
    /// A controller replied to a call of another.
    PeerReplied {
        /// The controller that replied.
        sender: usize,
        /// The controller that made the call.
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
    /// Handles the result of an async task, after recording its answer in the trace.
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::HeartbeatAnswered { machine, controller, incarnation, sent, answer } => {
                if let Some(answer) = &answer {
                    self.trace_answer(controller, &machine, answer);
                }
                self.heartbeat_answered(&machine, incarnation, sent, answer);
            }
            Event::RequestAnswered { job, request_kind, origin, answer, is_extra } => {
                if let Some(answer) = &answer {
                    self.trace_answer(origin.process.0, &job, answer);
                }
                self.request_answered(&job, request_kind, origin, answer, is_extra);
            }
            Event::ReplyCopied { machine, incarnation, sent, body } => {
                self.handle_copied_reply(&machine, incarnation, sent, &body);
            }
            Event::PushCopied { machine, body } => {
                self.handle_pushed_commands(Instant::now(), &machine, &body);
            }
            Event::Metrics { controller, answer } => self.check_metrics(controller, &answer),
            Event::PeerReplied { sender, peer, reply } => self.trace_peer_reply(sender, peer, &reply),
            Event::Nothing => {}
        }
    }
}
