//! The controllers of the cluster, their starts and ends, and the network between them.

use super::*;

impl Simulation {
    pub(super) fn start(&mut self, at: usize) {
        let now = Instant::now();
        let controllers = self.controllers.len();
        let c = &mut self.controllers[at];
        c.incarnation += 1;
        c.restart_at = None;
        c.stalls = stalls::Stalls::new(now);
        let port = 1000 + c.incarnation;
        let here = |kind: u8, other: usize| SocketAddr::from(([127, kind, at as u8, other as u8], port));
        let mut settings = self.settings.clone();
        settings.name = format!("c-{at}");
        settings.zone = if at == 1 { "z2".into() } else { "z1".into() };
        settings.services = settings::Services { cloud: here(2, 0), state: here(1, 0) };
        settings.peers = (0..controllers)
            .filter(|other| *other != at)
            .map(|other| settings::Peer { name: format!("c-{other}"), address: here(3, other) })
            .collect();
        let cluster = settings.cluster.clone();
        let tuning = policy::Tuning::load(&cluster, None).expect("the default policy is sound");
        let ttl = tuning.lease;
        let (leads, leading) = watch::channel(false);
        let store = kv::start(settings.services.state, &cluster.state, cluster.size, ttl / 6, leading);
        let (term, until) = watch::channel(now);
        let cloud = cloud_client::start(settings.services.cloud, cluster.cloud.rps, seconds(4.0), until);
        let incarnation = format!("{at}-{}", c.incarnation);
        let election = Election::new(&settings.name, &incarnation, ttl);
        let (roles_in, roles) = mpsc::channel(16);
        let (abandoned, given_up) = watch::channel(0);
        let address = settings.peer_listen.to_string();
        let electing = election::run(election, store.clone(), address, roles_in, given_up);
        let running = tokio::spawn(c.stalls.clone().run(electing));
        let config = Arc::new(Config { settings, tuning });
        let (node, inputs, handle) = Controller::new(config, store, cloud, leads, term, abandoned, roles);
        let acting = tokio::spawn(c.stalls.clone().run(node.run(inputs)));
        c.tasks = vec![running.abort_handle(), acting.abort_handle()];
        c.handle = Some(handle);
    }

    pub(super) fn crash(&mut self, at: usize, back: f64) {
        let c = &mut self.controllers[at];
        c.tasks.drain(..).for_each(|task| task.abort());
        c.handle = None;
        // Nothing of the dead process ever goes on, nor answers anybody.
        c.stalls.begin(Instant::now() + LONG_AFTER);
        c.restart_at = Some(Instant::now() + seconds(back));
    }

    /// Who leads by the state service's word.
    pub(super) fn leader(&mut self) -> Option<usize> {
        let body = self.read("/keys/leader")?;
        let f = Fields::of(&body).ok()?;
        self.leaders.insert(f.count("stamp").ok()?);
        let name = Fields::of(f.get("data")?).ok()?.text("name").ok()?;
        name.strip_prefix("c-")?.parse().ok()
    }

    pub(super) fn read(&mut self, target: &str) -> Option<Value> {
        let request = Request { method: "GET".into(), target: target.into(), body: Vec::new(), close: false };
        self.state.answer(&request).filter(|(status, _)| *status == 200).map(|(_, body)| body)
    }

    // The network.

    /// Which controller sends it; none for orders to workers.
    fn sender(&self, ask: &Ask) -> Option<usize> {
        let (Ask::Peer { to, .. } | Ask::Http { to, .. }) = ask;
        let SocketAddr::V4(v4) = to else { return None };
        let [_, kind, from, _] = v4.ip().octets();
        (kind != 9).then_some(usize::from(from))
    }

    /// How much longer an answer takes than it should.
    pub(super) fn slowness(&mut self, now: Instant) -> Duration {
        let (share, until) = self.slow_answers;
        let slow = now < until && self.rng.random_bool(share);
        if slow { seconds(self.rng.random_range(0.05..1.2)) } else { Duration::ZERO }
    }

    pub(super) fn deliver(&mut self, ask: Ask) {
        let now = Instant::now();
        if let Some(until) = self.sender(&ask).map(|at| self.stalled_until(at)).filter(|until| now < *until) {
            return self.held_messages.push((until, ask));
        }
        self.trace_ask(self.sender(&ask), &ask);
        match ask {
            Ask::Peer { to, call, relay, reply } => {
                let SocketAddr::V4(v4) = to else { return };
                let [_, _, from, other] = v4.ip().octets();
                let (from, other) = (usize::from(from), usize::from(other));
                let alive = self.controllers[from].incarnation + 1000 == to.port();
                let apart = |c: &SimulatedController| now < c.isolated_until;
                if now < self.peers_refuse_until {
                    return;
                }
                if !alive || apart(&self.controllers[from]) || apart(&self.controllers[other]) {
                    return;
                }
                let Some(handle) = self.controllers[other].handle.clone() else { return };
                let (asked, asking) =
                    (self.controllers[other].stalls.clone(), self.controllers[from].stalls.clone());
                let slow = self.slowness(now);
                self.events.spawn(async move {
                    let handled = PeerHandler::handle(&handle, call, relay);
                    let answered = asked.run(handled).await;
                    tokio::time::sleep(slow).await;
                    asking.run(std::future::ready(())).await;
                    let _ = reply.send(answered.clone());
                    Event::PeerReplied { sender: other, peer: from, reply: answered }
                });
            }
            Ask::Http { to, call, reply } => {
                let SocketAddr::V4(v4) = to else { return };
                let [_, kind, from, other] = v4.ip().octets();
                if kind == 9 {
                    return self.deliver_pushed_commands(
                        usize::from(from) * 256 + usize::from(other),
                        &call,
                        reply,
                    );
                }
                let at = usize::from(from);
                if self.controllers[at].incarnation + 1000 != to.port() {
                    return;
                }
                if at == 1 && now < self.zone_cut_until {
                    return;
                }
                match kind {
                    1 => self.handle_state_request(now, at, call, reply),
                    _ => {
                        let result = self.handle_cloud_request(now, &call);
                        later(reply, Ok(result), Duration::from_millis(50));
                    }
                }
            }
        }
    }
}
