//! The network of the cluster: decides which messages are delivered, and when. Each controller
//! has its own addresses for its peers and services (`127.<service>.<controller>.<other>`, with
//! a port for each of its incarnations), so that the address to which a message was sent
//! identifies its sender.

use super::*;

/// Second octet of the address of the state service.
pub(super) const STATE_SERVICE: u8 = 1;
/// Second octet of the address of the cloud.
pub(super) const CLOUD: u8 = 2;
/// Second octet of the address of another controller, whose index is the last octet.
pub(super) const PEER: u8 = 3;
/// Second octet of the address of a worker; the last two are its number.
pub(super) const WORKER: u8 = 9;
/// The port of a controller's addresses is this plus its incarnation.
pub(super) const BASE_PORT: u16 = 1000;
/// Latency of a response of the cloud.
const CLOUD_LATENCY: Duration = Duration::from_millis(50);

/// The parts of the address to which a message was sent.
#[derive(Debug, Clone, Copy)]
struct Destination {
    /// Second octet: the service, or the kind of receiver.
    service: u8,
    /// Third octet: the controller that sent the message.
    sender: u8,
    /// Last octet: the controller that receives the message.
    receiver: u8,
    port: u16,
}

impl Destination {
    /// Splits an address into its parts; `None` for an IPv6 address, which the simulation never
    /// assigns.
    fn of(address: SocketAddr) -> Option<Self> {
        let SocketAddr::V4(v4) = address else { return None };
        let [_, service, sender, receiver] = v4.ip().octets();
        Some(Destination { service, sender, receiver, port: v4.port() })
    }

    /// The number of a worker, whose address has it in the last two octets.
    fn worker(self) -> usize {
        usize::from(self.sender) * 256 + usize::from(self.receiver)
    }
}

impl Simulation {
    /// The controller that sent a message; `None` for commands to workers.
    fn sender(&self, request: &SimulatedRequest) -> Option<usize> {
        let (SimulatedRequest::Peer { to, .. } | SimulatedRequest::Http { to, .. }) = request;
        let destination = Destination::of(*to)?;
        (destination.service != WORKER).then_some(usize::from(destination.sender))
    }

    /// Latency added to a response or reply by [`Fault::DelayedResponses`].
    pub(super) fn extra_latency(&mut self, now: Instant) -> Duration {
        let slow = self.delayed_responses.affects(now, &mut self.rng);
        if slow { seconds(self.rng.random_range(0.05..1.2)) } else { Duration::ZERO }
    }

    /// Delivers a message of a controller, or holds it back while the controller is stalled.
    pub(super) fn deliver(&mut self, request: SimulatedRequest) {
        let now = Instant::now();
        if let Some(until) =
            self.sender(&request).map(|at| self.stalled_until(at)).filter(|until| now < *until)
        {
            return self.held_messages.push((until, request));
        }
        self.trace_request(self.sender(&request), &request);
        match request {
            SimulatedRequest::Peer { to, call, relay, reply } => {
                let Some(destination) = Destination::of(to) else { return };
                self.deliver_peer_call(now, destination, call, relay, reply);
            }
            SimulatedRequest::Http { to, call, reply } => {
                let Some(destination) = Destination::of(to) else { return };
                self.deliver_http_call(now, destination, call, reply);
            }
        }
    }

    /// Whether the message was sent by the current process of its controller.
    fn is_current(&self, destination: Destination) -> bool {
        self.controllers[usize::from(destination.sender)].incarnation + BASE_PORT == destination.port
    }

    /// Delivers a call to another controller, unless the caller has ended or the two cannot reach
    /// each other.
    fn deliver_peer_call(
        &mut self,
        now: Instant,
        destination: Destination,
        call: PeerCall,
        relay: bool,
        reply: oneshot::Sender<PeerReply>,
    ) {
        let (caller, callee) = (usize::from(destination.sender), usize::from(destination.receiver));
        let is_isolated = |at: usize| now < self.controllers[at].isolated_until;
        if now < self.peers_unreachable_until
            || !self.is_current(destination)
            || is_isolated(caller)
            || is_isolated(callee)
        {
            return;
        }
        let Some(handle) = self.controllers[callee].handle.clone() else { return };
        let callee_stalls = self.controllers[callee].stalls.clone();
        let caller_stalls = self.controllers[caller].stalls.clone();
        let extra_latency = self.extra_latency(now);
        self.events.spawn(async move {
            let handled = PeerHandler::handle(&handle, call, relay);
            let answered = callee_stalls.run(handled).await;
            tokio::time::sleep(extra_latency).await;
            // A stalled caller receives the reply when it resumes.
            caller_stalls.run(std::future::ready(())).await;
            let _ = reply.send(answered.clone());
            Event::PeerReplied { sender: callee, peer: caller, reply: answered }
        });
    }

    /// Delivers a request to the state service, the cloud or a worker.
    fn deliver_http_call(
        &mut self,
        now: Instant,
        destination: Destination,
        call: HttpCall,
        reply: oneshot::Sender<Result<Response, ClientError>>,
    ) {
        if destination.service == WORKER {
            return self.deliver_pushed_commands(destination.worker(), &call, reply);
        }
        if !self.is_current(destination) {
            return;
        }
        let sender = usize::from(destination.sender);
        if sender == PARTITIONED_CONTROLLER && now < self.zone_partitioned_until {
            return;
        }
        if destination.service == STATE_SERVICE {
            return self.handle_state_request(now, sender, call, reply);
        }
        let result = self.handle_cloud_request(now, &call);
        reply_after(reply, Ok(result), CLOUD_LATENCY);
    }
}
