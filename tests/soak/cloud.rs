//! A stand-in for the cloud: rentals, deletions and lists that lag.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shedtally::protocol::cbor::{Fields, MapBuilder, decode, encode, texts};
use shedtally::transport::codec::{Limits, Request, Response};
use shedtally::transport::server::{Handler, ServerOptions, serve};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::jobs::{MACHINE_CPUS, ZONES};
use super::workers::{self, Identity, Mishap, Surroundings, WorkerHandle};

pub const LIST_LAG: Duration = Duration::from_secs(1);
/// How long machines usually take to boot.
const BOOT_S: f64 = 1.5;
const MOST_IN_RENTAL: u64 = 50;
const HTTP_LIMITS: Limits = Limits { head: 8192, body: 64 * 1024 };

enum Message {
    Asked {
        request: Request,
        reply: oneshot::Sender<Response>,
    },
    Up {
        name: String,
        worker: WorkerHandle,
    },
    Down {
        lasts: Duration,
    },
    Suffer {
        share: f64,
        mishap: Mishap,
    },
    /// That share of the machines ends, with all that is on them.
    Die {
        share: f64,
    },
}

struct Machine {
    zone: &'static str,
    spot: bool,
    rented: Instant,
    /// None while it boots.
    worker: Option<WorkerHandle>,
    gone_at: Option<Instant>,
}

struct State {
    machines: BTreeMap<String, Machine>,
    rentals: BTreeMap<String, Vec<String>>,
    most: u64,
    next: u64,
    down_until: Instant,
    rng: SmallRng,
    surroundings: Arc<Surroundings>,
    itself: mpsc::UnboundedSender<Message>,
}

/// Speaks to the cloud.
#[derive(Debug, Clone)]
pub struct Cloud {
    messages: mpsc::UnboundedSender<Message>,
    pub address: SocketAddr,
}

#[derive(Clone)]
struct Door(mpsc::UnboundedSender<Message>);

impl Handler for Door {
    async fn handle(&self, request: Request) -> Response {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.send(Message::Asked { request, reply });
        match answer.await {
            Ok(response) => response,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Cloud {
    /// Starts it with half of the machines up.
    pub async fn start(seed: u64, most: u64, surroundings: Arc<Surroundings>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (messages, mut inbox) = mpsc::unbounded_channel();
        let patience = Duration::from_secs(60);
        let options = ServerOptions { limits: HTTP_LIMITS, connections: 64, idle: patience, patience };
        tokio::spawn(serve(listener, options, Door(messages.clone())));
        let now = Instant::now();
        let mut state = State {
            machines: BTreeMap::new(),
            rentals: BTreeMap::new(),
            most,
            next: 0,
            down_until: now,
            rng: SmallRng::seed_from_u64(seed ^ 0xc10d),
            surroundings,
            itself: messages.clone(),
        };
        for n in 0..most / 2 {
            state.rent(now, ZONES[n as usize % 2], n % 3 == 0, Duration::ZERO);
        }
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                state.take(message);
            }
        });
        Ok(Cloud { messages, address })
    }

    pub fn go_down(&self, lasts: Duration) {
        let _ = self.messages.send(Message::Down { lasts });
    }

    pub fn trouble_machines(&self, share: f64, mishap: Mishap) {
        let _ = self.messages.send(Message::Suffer { share, mishap });
    }

    pub fn end_machines(&self, share: f64) {
        let _ = self.messages.send(Message::Die { share });
    }
}

fn response(status: u16, body: MapBuilder) -> Response {
    Response { status, body: encode(&body.build()), retry_after_s: None, close: false }
}

fn catalog() -> MapBuilder {
    let kind = MapBuilder::new()
        .set("name", "m8")
        .set("cores", MACHINE_CPUS)
        .set("accelerators", 0.0)
        .set("ramGb", 64.0)
        .set("localGb", 100.0)
        .set("fetchGbPerS", 1.0)
        .set("price", 1.0)
        .set("spotPrice", 0.4)
        .set("startupS", BOOT_S)
        .set("halls", texts(ZONES));
    MapBuilder::new().set("builds", Value::Array(vec![kind.build()]))
}

impl State {
    fn take(&mut self, message: Message) {
        let now = Instant::now();
        match message {
            Message::Asked { request, reply } => self.asked(now, &request, reply),
            Message::Up { name, worker } => match self.machines.get_mut(&name) {
                Some(machine) if machine.gone_at.is_none() => machine.worker = Some(worker),
                _ => drop(tokio::spawn(async move { worker.remove().await })),
            },
            Message::Down { lasts } => self.down_until = now + lasts,
            Message::Suffer { share, mishap } => {
                for worker in self.machines.values().filter_map(|machine| machine.worker.as_ref()) {
                    if self.rng.random_bool(share) {
                        worker.suffer(mishap);
                    }
                }
            }
            Message::Die { share } => {
                let names: Vec<String> = self.machines.keys().cloned().collect();
                for name in names {
                    if self.rng.random_bool(share) {
                        self.remove(now, &name);
                    }
                }
            }
        }
    }

    fn asked(&mut self, now: Instant, request: &Request, reply: oneshot::Sender<Response>) {
        let mut gone = Vec::new();
        let answer = if now < self.down_until {
            response(503, MapBuilder::new().set("error", "trouble"))
        } else {
            match request.target.split('?').next() {
                Some("/catalog") => response(200, catalog()),
                Some("/machines/delete") => {
                    gone = self.delete(now, &request.body);
                    response(200, MapBuilder::new())
                }
                Some("/machines") if request.method == "POST" => self.take_rental(now, &request.body),
                _ => self.list(now, &request.target),
            }
        };
        tokio::spawn(async move {
            // By the time of the answer everything on them is gone.
            for worker in gone {
                worker.remove().await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = reply.send(answer);
        });
    }

    fn delete(&mut self, now: Instant, body: &[u8]) -> Vec<WorkerHandle> {
        let body = decode(body).unwrap_or(Value::Null);
        let names = Fields::of(&body).and_then(|f| f.opt_texts("benches")).ok().flatten();
        names.unwrap_or_default().iter().filter_map(|name| self.remove(now, name)).collect()
    }

    /// The machine is gone; its worker is told so.
    fn remove(&mut self, now: Instant, name: &str) -> Option<WorkerHandle> {
        let machine = self.machines.get_mut(name)?;
        machine.gone_at.get_or_insert(now);
        let worker = machine.worker.take()?;
        let ending = worker.clone();
        tokio::spawn(async move { ending.remove().await });
        Some(worker)
    }

    fn take_rental(&mut self, now: Instant, body: &[u8]) -> Response {
        let body = decode(body).unwrap_or(Value::Null);
        let read = |fields: Fields<'_>| {
            let name = fields.text("hire")?.to_owned();
            let zone = if fields.text("hall")? == ZONES[1] { ZONES[1] } else { ZONES[0] };
            Ok::<_, shedtally::protocol::cbor::Malformed>((
                name,
                zone,
                fields.bool("loaners")?,
                fields.count("howMany")?,
            ))
        };
        let Ok((name, zone, spot, asked)) = Fields::of(&body).and_then(read) else {
            return response(400, MapBuilder::new());
        };
        if !self.rentals.contains_key(&name) {
            let there = self.machines.values().filter(|machine| machine.gone_at.is_none()).count() as u64;
            let count = asked.min(MOST_IN_RENTAL).min(self.most.saturating_sub(there));
            if count == 0 {
                return response(503, MapBuilder::new().set("error", "no capacity"));
            }
            let mut names = Vec::new();
            for _ in 0..count {
                let boot = Duration::from_secs_f64(self.rng.random_range(0.2..BOOT_S * 1.6));
                names.push(self.rent(now, zone, spot, boot));
            }
            self.rentals.insert(name.clone(), names);
        }
        let names = texts(self.rentals[&name].iter().map(String::as_str));
        response(200, MapBuilder::new().set("benches", names))
    }

    fn rent(&mut self, now: Instant, zone: &'static str, spot: bool, boot: Duration) -> String {
        self.next += 1;
        let name = format!("vm-{:06}", self.next);
        let machine = Machine { zone, spot, rented: now, worker: None, gone_at: None };
        self.machines.insert(name.clone(), machine);
        let identity = Identity { name: name.clone(), zone, spot };
        let (itself, surroundings, seed) =
            (self.itself.clone(), self.surroundings.clone(), self.rng.random());
        let up = name.clone();
        tokio::spawn(async move {
            tokio::time::sleep(boot).await;
            if let Ok(worker) = workers::start(identity, seed, surroundings).await {
                let _ = itself.send(Message::Up { name: up, worker });
            }
        });
        name
    }

    fn list(&self, now: Instant, target: &str) -> Response {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let field = |name: &str| query.split('&').find_map(|part| part.strip_prefix(name));
        let from = field("from=").unwrap_or_default();
        let most: usize = field("page=").and_then(|page| page.parse().ok()).unwrap_or(500);
        let is_shown = |machine: &Machine| {
            now >= machine.rented + LIST_LAG && machine.gone_at.is_none_or(|at| now < at + LIST_LAG)
        };
        let mut shown =
            self.machines.iter().filter(|(name, machine)| name.as_str() > from && is_shown(machine));
        let listed = shown.by_ref().take(most).map(|(name, machine)| {
            let address = machine.worker.as_ref().map(|worker| worker.address.to_string());
            MapBuilder::new()
                .set("nameId", name.as_str())
                .set("address", address.unwrap_or_default())
                .set("build", "m8")
                .set("hall", machine.zone)
                .set("loaners", machine.spot)
                .set("standing", if machine.worker.is_some() { "running" } else { "starting" })
                .set("heldS", (now - machine.rented).as_secs_f64())
                .build()
        });
        let listed = Value::Array(listed.collect());
        let more = shown.next().is_some();
        response(200, MapBuilder::new().set("benches", listed).set("more", more))
    }
}
