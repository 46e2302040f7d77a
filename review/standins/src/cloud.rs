//! Stand-in of the cloud: machine types, rental, deletion and a lagging list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, text_array};
use shedtally::transport::codec::{Request, Response};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::http::{MAX_BODY, listen, response};
use crate::workers::{self, Machine, WorkerHandle, World};

/// The only machine type of the deployment.
#[derive(Clone, Copy)]
pub struct Build {
    pub name: &'static str,
    pub cores: f64,
    pub ram_gb: f64,
    /// The typical time to boot, as the catalog says.
    pub startup_s: f64,
    /// The time that a rented machine really takes.
    pub boot_s: f64,
}

enum Message {
    Request { request: Request, reply: oneshot::Sender<Response> },
    Up { name: String, worker: WorkerHandle },
    Workers(oneshot::Sender<Vec<(String, WorkerHandle)>>),
}

struct Rented {
    zone: &'static str,
    spot: bool,
    at: Instant,
    worker: Option<WorkerHandle>,
    gone_at: Option<Instant>,
}

struct State {
    build: Build,
    zones: Vec<&'static str>,
    lag: Duration,
    capacity: usize,
    machines: BTreeMap<String, Rented>,
    hires: BTreeMap<String, Vec<String>>,
    world: Arc<World>,
    messages: mpsc::UnboundedSender<Message>,
}

/// Handle of the cloud.
#[derive(Clone)]
pub struct Cloud {
    messages: mpsc::UnboundedSender<Message>,
    pub address: SocketAddr,
}

impl Cloud {
    /// Starts the cloud. `up` machines are there at the start, `capacity` at most at a time.
    pub async fn start(
        build: Build,
        zones: Vec<&'static str>,
        lag_s: f64,
        up: usize,
        capacity: usize,
        world: Arc<World>,
    ) -> std::io::Result<Self> {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        let to_cloud = messages.clone();
        let forward = move |request, reply| {
            let _ = to_cloud.send(Message::Request { request, reply });
        };
        let address = listen(64, MAX_BODY, forward).await?.address;
        let mut state = State {
            build,
            zones,
            lag: Duration::from_secs_f64(lag_s),
            capacity,
            machines: BTreeMap::new(),
            hires: BTreeMap::new(),
            world,
            messages: messages.clone(),
        };
        for number in 0..up {
            let zone = state.zones[number % state.zones.len()];
            state.rent(zone, false, Duration::ZERO);
        }
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                state.handle(message);
            }
        });
        Ok(Cloud { messages, address })
    }

    /// The workers that are up.
    pub async fn workers(&self) -> Vec<(String, WorkerHandle)> {
        let (reply, workers) = oneshot::channel();
        let _ = self.messages.send(Message::Workers(reply));
        workers.await.unwrap_or_default()
    }
}

impl State {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Up { name, worker } => match self.machines.get_mut(&name) {
                Some(machine) if machine.gone_at.is_none() => machine.worker = Some(worker),
                _ => drop(tokio::spawn(async move { worker.remove().await })),
            },
            Message::Workers(reply) => {
                let up = self.machines.iter().filter_map(|(name, m)| Some((name.clone(), m.worker.clone()?)));
                let _ = reply.send(up.collect());
            }
            Message::Request { request, reply } => self.answer(&request, reply),
        }
    }

    fn answer(&mut self, request: &Request, reply: oneshot::Sender<Response>) {
        let mut ending = Vec::new();
        let answer = match (request.method.as_str(), request.target.split('?').next().unwrap_or_default()) {
            ("GET", "/catalog") => response(200, &self.catalog()),
            ("POST", "/machines") => self.hire(&request.body),
            ("POST", "/machines/delete") => {
                let body = decode(&request.body).unwrap_or(Value::Null);
                let names = Fields::of(&body).and_then(|f| f.opt_texts("benches")).ok().flatten();
                for name in names.unwrap_or_default() {
                    if let Some(machine) = self.machines.get_mut(&name) {
                        self.world.record.line(&format!("{name} deleted"));
                        machine.gone_at.get_or_insert(Instant::now());
                        ending.extend(machine.worker.take());
                    }
                }
                response(200, &MapBuilder::new().build())
            }
            _ => self.list(&request.target),
        };
        tokio::spawn(async move {
            // By the time of the response the machines and all that was on them are gone.
            for worker in ending {
                worker.remove().await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = reply.send(answer);
        });
    }

    fn catalog(&self) -> Value {
        let build = MapBuilder::new()
            .set("name", self.build.name)
            .set("cores", self.build.cores)
            .set("accelerators", 0.0)
            .set("ramGb", self.build.ram_gb)
            .set("localGb", 40.0)
            .set("fetchGbPerS", 0.3)
            .set("price", 0.79)
            .set("spotPrice", 0.32)
            .set("startupS", self.build.startup_s)
            .set("halls", text_array(self.zones.iter().copied()));
        MapBuilder::new().set("builds", Value::Array(vec![build.build()])).build()
    }

    fn rent(&mut self, zone: &'static str, spot: bool, boot: Duration) -> String {
        let name = format!("vm-{:06}", self.machines.len() + 1);
        let rented = Rented { zone, spot, at: Instant::now(), worker: None, gone_at: None };
        self.machines.insert(name.clone(), rented);
        let Build { name: build, cores, ram_gb, .. } = self.build;
        let machine = Machine { name: name.clone(), build, zone, spot, cores, ram_gb };
        let (seed, world, messages) = (self.machines.len() as u64, self.world.clone(), self.messages.clone());
        let up = name.clone();
        tokio::spawn(async move {
            tokio::time::sleep(boot).await;
            if let Ok(worker) = workers::start(machine, seed, world).await {
                let _ = messages.send(Message::Up { name: up, worker });
            }
        });
        name
    }

    fn hire(&mut self, body: &[u8]) -> Response {
        let body = decode(body).unwrap_or(Value::Null);
        let asked = Fields::of(&body).and_then(|f| {
            Ok((f.text("hire")?.to_owned(), f.text("hall")?.to_owned(), f.bool("loaners")?, f.count("howMany")?))
        });
        let Ok((hire, hall, spot, count)) = asked else { return response(400, &MapBuilder::new().build()) };
        let Some(zone) = self.zones.iter().copied().find(|zone| *zone == hall) else {
            return response(400, &MapBuilder::new().build());
        };
        if !self.hires.contains_key(&hire) {
            let present = self.machines.values().filter(|machine| machine.gone_at.is_none()).count();
            let granted = (count as usize).min(50).min(self.capacity.saturating_sub(present));
            if granted == 0 {
                return response(503, &MapBuilder::new().set("error", "no capacity").build());
            }
            let boot = Duration::from_secs_f64(self.build.boot_s);
            let names: Vec<String> = (0..granted).map(|_| self.rent(zone, spot, boot)).collect();
            self.world.record.line(&format!("hire {hire}: {names:?}"));
            self.hires.insert(hire.clone(), names);
        }
        let names = text_array(self.hires[&hire].iter().map(String::as_str));
        response(200, &MapBuilder::new().set("benches", names).build())
    }

    fn list(&self, target: &str) -> Response {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let part = |name: &str| query.split('&').find_map(|part| part.strip_prefix(name));
        let from = part("from=").unwrap_or_default();
        let page: usize = part("page=").and_then(|page| page.parse().ok()).unwrap_or(500).min(500);
        let now = Instant::now();
        let mut shown = self.machines.iter().filter(|(name, machine)| {
            name.as_str() > from
                && now >= machine.at + self.lag
                && machine.gone_at.is_none_or(|at| now < at + self.lag)
        });
        let listed = shown.by_ref().take(page).map(|(name, machine)| {
            let address = machine.worker.as_ref().map(|worker| worker.address.to_string());
            MapBuilder::new()
                .set("nameId", name.as_str())
                .set("address", address.unwrap_or_default())
                .set("build", self.build.name)
                .set("hall", machine.zone)
                .set("loaners", machine.spot)
                .set("standing", if machine.worker.is_some() { "running" } else { "starting" })
                .set("heldS", (now - machine.at).as_secs_f64())
                .build()
        });
        let listed = Value::Array(listed.collect());
        let more = shown.next().is_some();
        response(200, &MapBuilder::new().set("benches", listed).set("more", more).build())
    }
}
