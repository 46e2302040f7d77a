//! The controllers of the cluster: how they are started and killed, and which one leads.

use super::*;

impl Simulation {
    /// Starts a controller as a new process.
    pub(super) fn start(&mut self, at: usize) {
        let now = Instant::now();
        let controller = &mut self.controllers[at];
        controller.incarnation += 1;
        controller.restart_at = None;
        controller.stalls = stalls::Stalls::new(now);
        let incarnation = controller.incarnation;
        let settings = self.settings_of_controller(at, incarnation);
        let cluster = settings.cluster.clone();
        let tuning = policy::Tuning::load(&cluster, None).expect("the default policy is valid");
        let ttl = tuning.lease;
        let (is_leader, is_leader_receiver) = watch::channel(false);
        let store = kv::start(settings.services.kv, &cluster.kv, cluster.size, ttl / 6, is_leader_receiver);
        let (lease_expiry, lease_expiry_receiver) = watch::channel(now);
        let cloud = cloud_client::start(
            settings.services.cloud,
            cluster.cloud.rps,
            seconds(4.0),
            lease_expiry_receiver,
        );
        let election = Election::new(&settings.name, &format!("{at}-{incarnation}"), ttl);
        let (role_sender, roles) = mpsc::channel(16);
        let (resigned_epoch, resigned_epoch_receiver) = watch::channel(0);
        let address = settings.peer_listen.to_string();
        let controller = &mut self.controllers[at];
        let electing = election::run(election, store.clone(), address, role_sender, resigned_epoch_receiver);
        let election_task = tokio::spawn(controller.stalls.clone().run(electing));
        let config = Arc::new(Config { settings, tuning });
        let (actor, inputs, handle) =
            Controller::new(config, store, cloud, is_leader, lease_expiry, resigned_epoch, roles);
        let actor_task = tokio::spawn(controller.stalls.clone().run(actor.run(inputs)));
        controller.tasks = vec![election_task.abort_handle(), actor_task.abort_handle()];
        controller.handle = Some(handle);
    }

    /// The settings of one controller, with the addresses under which it knows the others.
    fn settings_of_controller(&self, at: usize, incarnation: u16) -> Settings {
        let port = network::BASE_PORT + incarnation;
        let address =
            |service: u8, other: usize| SocketAddr::from(([127, service, at as u8, other as u8], port));
        let mut settings = self.settings.clone();
        settings.name = format!("c-{at}");
        settings.zone = if at == PARTITIONED_CONTROLLER { "z2".into() } else { "z1".into() };
        settings.services =
            settings::Services { cloud: address(network::CLOUD, 0), kv: address(network::STATE_SERVICE, 0) };
        settings.peers = (0..self.controllers.len())
            .filter(|other| *other != at)
            .map(|other| settings::Peer {
                name: format!("c-{other}"),
                address: address(network::PEER, other),
            })
            .collect();
        settings
    }

    /// Ends a controller's process; it is started again `restart_after` seconds later.
    pub(super) fn kill(&mut self, at: usize, restart_after: f64) {
        let controller = &mut self.controllers[at];
        controller.tasks.drain(..).for_each(|task| task.abort());
        controller.handle = None;
        // Requests that the ended process was handling never resume and are never answered.
        controller.stalls.begin(Instant::now() + AFTER_THE_END);
        controller.restart_at = Some(Instant::now() + seconds(restart_after));
    }

    /// Returns the leader according to the state service, and records its epoch.
    pub(super) fn leader(&mut self) -> Option<usize> {
        let body = self.read("/keys/leader")?;
        let entry = Fields::of(&body).ok()?;
        self.leaders.insert(entry.count("stamp").ok()?);
        let name = Fields::of(entry.get("data")?).ok()?.text("name").ok()?;
        name.strip_prefix("c-")?.parse().ok()
    }

    /// Reads from the state service without the network; returns the body of a 200 response.
    pub(super) fn read(&mut self, target: &str) -> Option<Value> {
        let request = Request { method: "GET".into(), target: target.into(), body: Vec::new(), close: false };
        self.state.answer(&request).filter(|(status, _)| *status == 200).map(|(_, body)| body)
    }
}
