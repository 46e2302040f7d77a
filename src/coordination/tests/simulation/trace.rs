//! The decision trace: every message that a simulated controller sends, in order, with its
//! simulated time and a digest of its encoded bytes. Two builds that make the same decisions
//! write the same trace for a seed, byte for byte.

use std::fmt::Write;
use std::hash::{DefaultHasher, Hasher};

use super::*;
use crate::transport::peer::{PeerCall, PeerReply};

/// The messages of one simulation, one per line; empty unless recording was started.
#[derive(Debug, Default)]
pub struct Trace {
    recording: bool,
    lines: String,
}

impl Trace {
    /// Starts recording.
    pub fn start(&mut self) {
        self.recording = true;
    }

    /// The recorded lines.
    pub fn into_lines(self) -> String {
        self.lines
    }

    /// Records a message. `elapsed` is the time since the simulation began, `peer` the receiver.
    pub(super) fn record(
        &mut self,
        elapsed: Duration,
        sender: &str,
        peer: &str,
        what: &str,
        parts: &[&[u8]],
    ) {
        if !self.recording {
            return;
        }
        let mut digest = DefaultHasher::new();
        for part in parts {
            digest.write_usize(part.len());
            digest.write(part);
        }
        let bytes: usize = parts.iter().map(|part| part.len()).sum();
        writeln!(
            self.lines,
            "{} {sender} {peer} {what} {bytes} {:016x}",
            elapsed.as_millis(),
            digest.finish()
        )
        .expect("writing to a string cannot fail");
    }
}

/// The name of a call, as in the service definition, and its bytes.
fn peer_call_parts(call: &PeerCall) -> (&'static str, &[u8]) {
    match call {
        PeerCall::Submit(body) => ("Submit", body),
        PeerCall::Poll(job) => ("Poll", job.as_bytes()),
        PeerCall::Cancel(job) => ("Withdraw", job.as_bytes()),
        PeerCall::Heartbeat(body) => ("Report", body),
        PeerCall::LeaderQuery => ("Lead", &[]),
    }
}

impl Simulation {
    fn elapsed(&self) -> Duration {
        Instant::now() - self.begin
    }

    /// Records a request of a controller to the state service, the cloud, a worker or another
    /// controller.
    pub(super) fn trace_request(&mut self, sender: Option<usize>, request: &SimulatedRequest) {
        let elapsed = self.elapsed();
        let sender = sender.map_or_else(|| "?".to_owned(), |at| format!("c-{at}"));
        match request {
            SimulatedRequest::Http { to, call, .. } => {
                let what = format!("{} {}", call.method, call.target);
                self.trace.record(elapsed, &sender, &to.ip().to_string(), &what, &[&call.body]);
            }
            SimulatedRequest::Peer { to, call, relay, .. } => {
                let (what, body) = peer_call_parts(call);
                let flags = [u8::from(*relay)];
                self.trace.record(elapsed, &sender, &to.ip().to_string(), what, &[body, &flags]);
            }
        }
    }

    /// Records an answer of a controller to a user or a worker.
    pub(super) fn trace_answer(&mut self, sender: usize, peer: &str, answer: &Response) {
        let elapsed = self.elapsed();
        let sender = format!("c-{sender}");
        let what = format!("{} retry {:?}", answer.status, answer.retry_after_s);
        self.trace.record(elapsed, &sender, peer, &what, &[&answer.body]);
    }

    /// Records a reply of a controller to another.
    pub(super) fn trace_peer_reply(&mut self, sender: usize, peer: usize, reply: &PeerReply) {
        let elapsed = self.elapsed();
        let (sender, peer) = (format!("c-{sender}"), format!("c-{peer}"));
        let lease = reply.lease.map(|lease| (lease.epoch, lease.remaining.as_millis()));
        let what = format!("{} retry {:?} lease {lease:?}", reply.status, reply.retry_after_s);
        self.trace.record(elapsed, &sender, &peer, &what, &[&reply.body]);
    }
}
