//! Test double of the cloud provider: node pools, machine deletion, and a delayed inventory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, Malformed, MapBuilder, decode, text_array};
use shedtally::transport::codec::{Request, Response};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::http::{MAX_BODY, listen, response};
use super::jobs::{MACHINE_CPUS, ZONES};
use super::workers::{self, Identity, MachineFault, WorkerContext, WorkerHandle};

/// Delay after which the inventory shows the creation or deletion of a machine.
pub const LIST_LAG: Duration = Duration::from_secs(1);
/// Typical boot time of a machine, in seconds.
const BOOT_S: f64 = 1.5;
/// Maximum number of machines in a node pool.
const MAX_POOL_SIZE: u64 = 50;
/// Maximum number of connections to the cloud.
const CONNECTIONS: usize = 64;
/// Delay before each response.
const RESPONSE_DELAY: Duration = Duration::from_millis(20);
/// Machines per page of the inventory if the request does not specify a page size.
const DEFAULT_PAGE_SIZE: usize = 500;

enum Message {
    Request {
        request: Request,
        reply: oneshot::Sender<Response>,
    },
    Booted {
        name: String,
        worker: WorkerHandle,
    },
    Outage {
        duration: Duration,
    },
    /// Begins a fault of this share of the machines.
    InjectMachineFault {
        share: f64,
        fault: MachineFault,
    },
    /// Terminates this share of the machines, with all tasks on them.
    TerminateMachines {
        share: f64,
    },
}

struct Machine {
    zone: &'static str,
    spot: bool,
    created_at: Instant,
    /// `None` while the machine boots, and after its deletion.
    worker: Option<WorkerHandle>,
    deleted_at: Option<Instant>,
}

struct State {
    machines: BTreeMap<String, Machine>,
    /// Names of the machines of each node pool, by the pool's name.
    node_pools: BTreeMap<String, Vec<String>>,
    /// Maximum number of machines at a time.
    capacity: u64,
    machines_created: u64,
    outage_until: Instant,
    rng: SmallRng,
    context: Arc<WorkerContext>,
    messages: mpsc::UnboundedSender<Message>,
}

/// Handle of the cloud.
#[derive(Debug, Clone)]
pub struct Cloud {
    messages: mpsc::UnboundedSender<Message>,
    /// The address that the cloud listens on.
    pub address: SocketAddr,
}

impl Cloud {
    /// Starts the cloud with a capacity of `capacity` machines, and creates half of them.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(seed: u64, capacity: u64, context: Arc<WorkerContext>) -> std::io::Result<Self> {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        let to_actor = messages.clone();
        let forward = move |request, reply| {
            let _ = to_actor.send(Message::Request { request, reply });
        };
        let address = listen(CONNECTIONS, MAX_BODY, forward).await?.address;
        let now = Instant::now();
        let mut state = State {
            machines: BTreeMap::new(),
            node_pools: BTreeMap::new(),
            capacity,
            machines_created: 0,
            outage_until: now,
            rng: SmallRng::seed_from_u64(seed ^ 0xc10d),
            context,
            messages: messages.clone(),
        };
        for n in 0..capacity / 2 {
            state.create_machine(now, ZONES[n as usize % 2], n % 3 == 0, Duration::ZERO);
        }
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                state.handle(message);
            }
        });
        Ok(Cloud { messages, address })
    }

    /// Responds to every request with 503 for `duration`.
    pub fn begin_outage(&self, duration: Duration) {
        let _ = self.messages.send(Message::Outage { duration });
    }

    /// Begins a fault of this share of the machines.
    pub fn inject_machine_fault(&self, share: f64, fault: MachineFault) {
        let _ = self.messages.send(Message::InjectMachineFault { share, fault });
    }

    /// Terminates this share of the machines, with all tasks on them.
    pub fn terminate_machines(&self, share: f64) {
        let _ = self.messages.send(Message::TerminateMachines { share });
    }
}

fn catalog() -> Value {
    let machine_type = MapBuilder::new()
        .set("name", "m8")
        .set("cores", MACHINE_CPUS)
        .set("accelerators", 0.0)
        .set("ramGb", 64.0)
        .set("localGb", 100.0)
        .set("fetchGbPerS", 1.0)
        .set("price", 1.0)
        .set("spotPrice", 0.4)
        .set("startupS", BOOT_S)
        .set("halls", text_array(ZONES));
    MapBuilder::new().set("builds", Value::Array(vec![machine_type.build()])).build()
}

fn error_body(reason: &str) -> Value {
    MapBuilder::new().set("error", reason).build()
}

impl State {
    fn handle(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Request { request, reply } => self.handle_request(now, &request, reply),
            Message::Booted { name, worker } => match self.machines.get_mut(&name) {
                Some(machine) if machine.deleted_at.is_none() => machine.worker = Some(worker),
                _ => drop(tokio::spawn(async move { worker.remove().await })),
            },
            Message::Outage { duration } => self.outage_until = now + duration,
            Message::InjectMachineFault { share, fault } => {
                for worker in self.machines.values().filter_map(|machine| machine.worker.as_ref()) {
                    if self.rng.random_bool(share) {
                        worker.inject(fault);
                    }
                }
            }
            Message::TerminateMachines { share } => {
                let names: Vec<String> = self.machines.keys().cloned().collect();
                for name in names {
                    if self.rng.random_bool(share) {
                        self.remove(now, &name);
                    }
                }
            }
        }
    }

    fn handle_request(&mut self, now: Instant, request: &Request, reply: oneshot::Sender<Response>) {
        let mut deleted_workers = Vec::new();
        let response_to_send = if now < self.outage_until {
            response(503, &error_body("trouble"))
        } else {
            match request.target.split('?').next() {
                Some("/catalog") => response(200, &catalog()),
                Some("/machines/delete") => {
                    deleted_workers = self.delete(now, &request.body);
                    response(200, &MapBuilder::new().build())
                }
                Some("/machines") if request.method == "POST" => self.create_node_pool(now, &request.body),
                _ => self.list_machines(now, &request.target),
            }
        };
        tokio::spawn(async move {
            // No task may be left on the deleted machines when the response is sent.
            for worker in deleted_workers {
                worker.remove().await;
            }
            tokio::time::sleep(RESPONSE_DELAY).await;
            let _ = reply.send(response_to_send);
        });
    }

    fn delete(&mut self, now: Instant, body: &[u8]) -> Vec<WorkerHandle> {
        let body = decode(body).unwrap_or(Value::Null);
        let names = Fields::of(&body).and_then(|f| f.opt_texts("benches")).ok().flatten();
        names.unwrap_or_default().iter().filter_map(|name| self.remove(now, name)).collect()
    }

    /// Deletes a machine and stops its worker. Returns the worker if there is one.
    fn remove(&mut self, now: Instant, name: &str) -> Option<WorkerHandle> {
        let machine = self.machines.get_mut(name)?;
        machine.deleted_at.get_or_insert(now);
        let worker = machine.worker.take()?;
        let ending = worker.clone();
        tokio::spawn(async move { ending.remove().await });
        Some(worker)
    }

    fn create_node_pool(&mut self, now: Instant, body: &[u8]) -> Response {
        let body = decode(body).unwrap_or(Value::Null);
        let read = |fields: Fields<'_>| {
            let name = fields.text("hire")?.to_owned();
            let zone = if fields.text("hall")? == ZONES[1] { ZONES[1] } else { ZONES[0] };
            Ok::<_, Malformed>((name, zone, fields.bool("loaners")?, fields.count("howMany")?))
        };
        let Ok((name, zone, spot, requested)) = Fields::of(&body).and_then(read) else {
            return response(400, &MapBuilder::new().build());
        };
        if !self.node_pools.contains_key(&name) {
            let present =
                self.machines.values().filter(|machine| machine.deleted_at.is_none()).count() as u64;
            let count = requested.min(MAX_POOL_SIZE).min(self.capacity.saturating_sub(present));
            if count == 0 {
                return response(503, &error_body("no capacity"));
            }
            let mut names = Vec::new();
            for _ in 0..count {
                let boot = Duration::from_secs_f64(self.rng.random_range(0.2..BOOT_S * 1.6));
                names.push(self.create_machine(now, zone, spot, boot));
            }
            self.node_pools.insert(name.clone(), names);
        }
        let names = text_array(self.node_pools[&name].iter().map(String::as_str));
        response(200, &MapBuilder::new().set("benches", names).build())
    }

    /// Creates a machine whose worker starts after the machine has booted. Returns its name.
    fn create_machine(&mut self, now: Instant, zone: &'static str, spot: bool, boot: Duration) -> String {
        self.machines_created += 1;
        let name = format!("vm-{:06}", self.machines_created);
        let machine = Machine { zone, spot, created_at: now, worker: None, deleted_at: None };
        self.machines.insert(name.clone(), machine);
        let identity = Identity { name: name.clone(), zone, spot };
        let (messages, context, seed) = (self.messages.clone(), self.context.clone(), self.rng.random());
        let booted = name.clone();
        tokio::spawn(async move {
            tokio::time::sleep(boot).await;
            if let Ok(worker) = workers::start(identity, seed, context).await {
                let _ = messages.send(Message::Booted { name: booted, worker });
            }
        });
        name
    }

    /// Returns a page of the inventory.
    fn list_machines(&self, now: Instant, target: &str) -> Response {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let query_parameter =
            |parameter: &str| query.split('&').find_map(|part| part.strip_prefix(parameter));
        let from = query_parameter("from=").unwrap_or_default();
        let count: usize =
            query_parameter("page=").and_then(|page| page.parse().ok()).unwrap_or(DEFAULT_PAGE_SIZE);
        let is_shown = |machine: &Machine| {
            now >= machine.created_at + LIST_LAG && machine.deleted_at.is_none_or(|at| now < at + LIST_LAG)
        };
        let mut shown =
            self.machines.iter().filter(|(name, machine)| name.as_str() > from && is_shown(machine));
        let listed = shown.by_ref().take(count).map(|(name, machine)| {
            let address = machine.worker.as_ref().map(|worker| worker.address.to_string());
            MapBuilder::new()
                .set("nameId", name.as_str())
                .set("address", address.unwrap_or_default())
                .set("build", "m8")
                .set("hall", machine.zone)
                .set("loaners", machine.spot)
                .set("standing", if machine.worker.is_some() { "running" } else { "starting" })
                .set("heldS", (now - machine.created_at).as_secs_f64())
                .build()
        });
        let listed = Value::Array(listed.collect());
        let more = shown.next().is_some();
        response(200, &MapBuilder::new().set("benches", listed).set("more", more).build())
    }
}
