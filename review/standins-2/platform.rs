//! Stand-ins of the state service, the cloud and the workers, as the protocol page describes them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{Answer, Record, Request, V, map, random, send, serve, t};

fn query<'a>(target: &'a str, name: &str) -> &'a str {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')).unwrap_or("")
}

// ---------------------------------------------------------------- state service

struct Stored {
    data: V,
    stamp: u64,
    permit: Option<u64>,
}

#[derive(Default)]
struct StateData {
    ledger: u64,
    keys: BTreeMap<String, Stored>,
    log: Vec<(u64, String, Option<V>)>,
    permits: HashMap<u64, (Instant, Duration)>,
    last_permit: u64,
    /// Greatest size of a value in bytes.
    value_bytes: usize,
    /// How long the answers to reads of records take, beyond the usual.
    slow_reads: Duration,
    /// The next transaction that writes this key is carried out and not answered; then values of this
    /// many bytes at most are taken.
    lost_answer: Option<(String, usize)>,
}

#[derive(Clone)]
pub struct StateService {
    data: Arc<Mutex<StateData>>,
    pub address: SocketAddr,
}

impl StateData {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.permits.iter().filter(|(_, (at, life))| now >= *at + *life).map(|(id, _)| *id).collect();
        for permit in ended {
            self.end_permit(permit);
        }
    }

    fn end_permit(&mut self, permit: u64) {
        self.permits.remove(&permit);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, s)| s.permit == Some(permit)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.ledger += 1;
            self.keys.remove(&key);
            self.log.push((self.ledger, key, None));
        }
    }

    fn entry(key: &str, stored: &Stored) -> V {
        let mut entry = vec![("key", t(key)), ("data", stored.data.clone()), ("stamp", V::Int(stored.stamp.into()))];
        if let Some(permit) = stored.permit {
            entry.push(("permit", V::Int(permit.into())));
        }
        map(entry)
    }

    fn commit(&mut self, body: &V) -> (u16, V) {
        let error = |reason: &str| (400, map(vec![("error", t(reason))]));
        for change in body.get("apply").list() {
            if !change.get("write").text().is_empty() {
                let permit = change.get("permit");
                if *permit != V::Null && !self.permits.contains_key(&permit.int()) {
                    return error("no such lease");
                }
                if change.get("data").json_size() > self.value_bytes {
                    return error("value too large");
                }
            }
        }
        let failed: Vec<V> = body
            .get("if")
            .list()
            .iter()
            .filter(|c| self.keys.get(c.get("key").text()).map_or(0, |s| s.stamp) != c.get("stamp").int())
            .map(|c| c.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return (409, map(vec![("failed", V::List(failed)), ("ledger", V::Int(self.ledger.into()))]));
        }
        let changes = body.get("apply").list();
        if !changes.is_empty() {
            self.ledger += 1;
        }
        for change in changes {
            let (write, remove) = (change.get("write").text(), change.get("remove").text());
            if write.is_empty() {
                self.keys.remove(remove);
                self.log.push((self.ledger, remove.to_owned(), None));
            } else {
                let permit = change.get("permit");
                let permit = (*permit != V::Null).then(|| permit.int());
                let data = change.get("data").clone();
                self.log.push((self.ledger, write.to_owned(), Some(data.clone())));
                self.keys.insert(write.to_owned(), Stored { data, stamp: self.ledger, permit });
            }
        }
        (200, map(vec![("ledger", V::Int(self.ledger.into()))]))
    }

    fn page(&self, target: &str) -> (u16, V) {
        let (starts, from) = (query(target, "starts"), query(target, "from"));
        let page: usize = query(target, "page").parse().unwrap_or(1000).clamp(1, 1000);
        let mut found = self.keys.iter().filter(|(k, _)| k.starts_with(starts) && k.as_str() > from);
        let entries: Vec<V> = found.by_ref().take(page).map(|(k, s)| Self::entry(k, s)).collect();
        let more = found.next().is_some();
        let ledger = V::Int(self.ledger.into());
        (200, map(vec![("entries", V::List(entries)), ("more", V::Bool(more)), ("ledger", ledger)]))
    }
}

impl StateService {
    pub fn start(value_kb: f64) -> StateService {
        let data = StateData { value_bytes: (value_kb * 1024.0) as usize, ledger: 1, ..StateData::default() };
        let data = Arc::new(Mutex::new(data));
        let handler_data = data.clone();
        let address = serve(move |request| Self::handle(&handler_data, &request));
        StateService { data, address }
    }

    fn lock(&self) -> MutexGuard<'_, StateData> {
        self.data.lock().expect("lock")
    }

    /// The name of the controller that holds the key `leader`.
    pub fn leader(&self) -> Option<String> {
        let mut data = self.lock();
        data.expire();
        data.keys.get("leader").map(|s| s.data.get("name").text().to_owned())
    }

    /// From now on a larger value gets 400.
    pub fn lower_value_limit(&self, value_kb: f64) {
        self.lock().value_bytes = (value_kb * 1024.0) as usize;
    }

    /// Answers to reads of records leave this much later from now on.
    pub fn slow_reads(&self, by: Duration) {
        self.lock().slow_reads = by;
    }

    /// The next transaction that writes this key is carried out, but not answered; from then on a larger
    /// value gets 400.
    pub fn lose_answer_and_lower(&self, key: &str, value_kb: f64) {
        self.lock().lost_answer = Some((key.to_owned(), (value_kb * 1024.0) as usize));
    }

    fn handle(data: &Arc<Mutex<StateData>>, request: &Request) -> Answer {
        thread::sleep(Duration::from_millis(2));
        let body = V::decode(&request.body).unwrap_or(V::Null);
        let target = request.target.as_str();
        if target.starts_with("/watch") {
            return Some(Self::watch(data, target));
        }
        let mut locked = data.lock().expect("lock");
        locked.expire();
        let answer = if let Some(key) = target.strip_prefix("/keys/") {
            match locked.keys.get(key) {
                Some(stored) => (200, StateData::entry(key, stored)),
                None => (404, map(vec![("ledger", V::Int(locked.ledger.into()))])),
            }
        } else if target.starts_with("/keys") {
            locked.page(target)
        } else if target == "/commit" {
            let answer = locked.commit(&body);
            let writes = |key: &str| body.get("apply").list().iter().any(|change| change.get("write").text() == key);
            if let Some((_, bytes)) = locked.lost_answer.take_if(|(key, _)| answer.0 == 200 && writes(key)) {
                locked.value_bytes = bytes;
                return None;
            }
            answer
        } else if target == "/leases" {
            locked.last_permit += 1;
            let permit = locked.last_permit;
            locked.permits.insert(permit, (Instant::now(), Duration::from_millis(body.get("lifeMs").int())));
            (200, map(vec![("permit", V::Int(permit.into()))]))
        } else if let Some(rest) = target.strip_prefix("/leases/") {
            let permit: u64 = rest.split('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
            match locked.permits.get_mut(&permit) {
                None => (404, map(vec![])),
                Some(held) if request.method == "POST" => {
                    held.0 = Instant::now();
                    (200, map(vec![]))
                }
                Some(_) => {
                    locked.end_permit(permit);
                    (200, map(vec![]))
                }
            }
        } else {
            (400, map(vec![]))
        };
        let slow = if target.starts_with("/keys/rec/") { locked.slow_reads } else { Duration::ZERO };
        drop(locked);
        thread::sleep(slow);
        Some(answer)
    }

    fn watch(data: &Arc<Mutex<StateData>>, target: &str) -> (u16, V) {
        let starts = query(target, "starts").to_owned();
        let from: u64 = query(target, "from").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(query(target, "waitMs").parse().unwrap_or(0));
        loop {
            let mut locked = data.lock().expect("lock");
            locked.expire();
            let news: Vec<V> = locked
                .log
                .iter()
                .filter(|(at, key, _)| *at > from && key.starts_with(&starts))
                .map(|(at, key, data)| match data {
                    Some(data) => {
                        map(vec![("write", t(key.as_str())), ("data", data.clone()), ("stamp", V::Int((*at).into()))])
                    }
                    None => map(vec![("remove", t(key.as_str())), ("stamp", V::Int((*at).into()))]),
                })
                .collect();
            if !news.is_empty() || Instant::now() >= until {
                let ledger = V::Int(locked.ledger.into());
                return (200, map(vec![("ledger", ledger), ("log", V::List(news))]));
            }
            drop(locked);
            thread::sleep(Duration::from_millis(20));
        }
    }
}

// ---------------------------------------------------------------- workers

/// Times of the workers, as in the settings of the run.
pub const REPORT_S: f64 = 3.0;
pub const LEASE_S: f64 = 18.0;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Standing {
    Fetching(Instant),
    Running(Option<Instant>),
    Exited(&'static str),
}

struct Task {
    sheet: String,
    attempt: u64,
    standing: Standing,
    cores: f64,
    bundle: String,
    run: Option<Duration>,
}

struct Machine {
    name: String,
    build: Build,
    hall: String,
    loaners: bool,
    created: Instant,
    up: bool,
    taken: Option<Instant>,
    hung_until: Option<Instant>,
    shift: u64,
    tick: u64,
    baton: u64,
    lease_from: Instant,
    address: String,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    changed: bool,
}

/// A machine type.
#[derive(Clone, Debug)]
pub struct Build {
    pub name: &'static str,
    pub cores: f64,
    pub price: f64,
    pub halls: Vec<&'static str>,
    /// How long a machine of the type really needs to be up.
    pub boot: Duration,
    /// How fast images are fetched, GB a second.
    pub fetch: f64,
}

/// What the users' jobs do when they run: cores, image, image size, run time (none: a service).
#[derive(Clone)]
pub struct Work {
    pub cores: f64,
    pub bundle: String,
    pub pull_gb: f64,
    pub run: Option<Duration>,
    pub sheets: u64,
}

struct Fleet {
    machines: BTreeMap<String, Arc<Mutex<Machine>>>,
    hires: HashMap<String, Vec<String>>,
    builds: Vec<Build>,
    created: u64,
    works: HashMap<String, Work>,
    controllers: Vec<(String, SocketAddr)>,
    /// Rental requests that were carried out: build, hall, count.
    rented: Vec<(String, String, u64)>,
    /// How many machines there can be at a time.
    capacity: usize,
}

/// The cloud with its machines and their workers.
#[derive(Clone)]
pub struct Cloud {
    fleet: Arc<Mutex<Fleet>>,
    pub address: SocketAddr,
    record: Record,
}

const LIST_LAG: Duration = Duration::from_secs(2);

impl Cloud {
    pub fn start(builds: Vec<Build>, record: Record) -> Cloud {
        let fleet = Fleet {
            machines: BTreeMap::new(),
            hires: HashMap::new(),
            builds,
            created: 230,
            works: HashMap::new(),
            controllers: Vec::new(),
            rented: Vec::new(),
            capacity: 500,
        };
        let fleet = Arc::new(Mutex::new(fleet));
        let (handler_fleet, handler_record) = (fleet.clone(), record.clone());
        let address = serve(move |request| Self::handle(&handler_fleet, &handler_record, &request));
        Cloud { fleet, address, record }
    }

    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("lock")
    }

    pub fn set_controllers(&self, controllers: Vec<(String, SocketAddr)>) {
        self.lock().controllers = controllers;
    }

    /// The cloud has no more machines than these; further requests are refused.
    pub fn set_capacity(&self, machines: usize) {
        self.lock().capacity = machines;
    }

    pub fn add_work(&self, job: &str, work: Work) {
        self.lock().works.insert(job.to_owned(), work);
    }

    /// A machine that is up already, with these images.
    pub fn add_machine(&self, build: &str, hall: &str, images: &[&str]) -> String {
        let name = Self::create(&self.fleet, &self.record, build, hall, false, Duration::ZERO);
        let machine = self.lock().machines[&name].clone();
        machine.lock().expect("lock").images.extend(images.iter().map(|image| (*image).to_owned()));
        name
    }

    /// Machine types and halls of the rental requests that were carried out.
    pub fn rented(&self) -> Vec<(String, String, u64)> {
        self.lock().rented.clone()
    }

    /// The cloud takes the machine away, with all that is on it.
    pub fn take_away(&self, name: &str) {
        let machine = self.lock().machines[name].clone();
        let mut machine = machine.lock().expect("lock");
        machine.taken = Some(Instant::now());
        machine.tasks.clear();
        self.record.note(&format!("TROUBLE: the cloud takes {name} away"));
    }

    /// The machine hangs: its worker and its tasks stand still, and go on later.
    pub fn hang(&self, name: &str, duration: Duration) {
        let machine = self.lock().machines[name].clone();
        let mut machine = machine.lock().expect("lock");
        machine.hung_until = Some(Instant::now() + duration);
        for task in &mut machine.tasks {
            if let Standing::Fetching(at) | Standing::Running(Some(at)) = &mut task.standing {
                *at += duration;
            }
        }
        self.record.note(&format!("TROUBLE: {name} hangs for {duration:?}"));
    }

    /// Waits until the machine has sent its next report.
    pub fn wait_for_report(&self, name: &str) {
        let machine = self.lock().machines[name].clone();
        let before = machine.lock().expect("lock").tick;
        while machine.lock().expect("lock").tick == before {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// What is on the machines now: machine, type, hall, free cores, tasks, whether it is up.
    pub fn machines(&self) -> Vec<(String, &'static str, String, f64, Vec<String>, bool)> {
        let machines: Vec<_> = self.lock().machines.values().cloned().collect();
        let mut found = Vec::new();
        for machine in machines {
            let machine = machine.lock().expect("lock");
            if machine.taken.is_some() {
                continue;
            }
            let on = machine.tasks.iter().filter(|task| !matches!(task.standing, Standing::Exited(_)));
            let tasks: Vec<String> = on.clone().map(|task| task.sheet.clone()).collect();
            let free = machine.build.cores - on.map(|task| task.cores).sum::<f64>();
            found.push((machine.name.clone(), machine.build.name, machine.hall.clone(), free, tasks, machine.up));
        }
        found
    }

    fn create(
        fleet: &Arc<Mutex<Fleet>>,
        record: &Record,
        build: &str,
        hall: &str,
        loaners: bool,
        boot: Duration,
    ) -> String {
        let mut locked = fleet.lock().expect("lock");
        locked.created += 1;
        let name = format!("vm-{:06}", locked.created);
        let build = locked.builds.iter().find(|b| b.name == build).expect("a known type").clone();
        let machine = Arc::new(Mutex::new(Machine {
            name: name.clone(),
            build,
            hall: hall.to_owned(),
            loaners,
            created: Instant::now(),
            up: false,
            taken: None,
            hung_until: None,
            shift: 1,
            tick: 0,
            baton: 0,
            lease_from: Instant::now(),
            address: String::new(),
            tasks: Vec::new(),
            images: BTreeSet::new(),
            changed: false,
        }));
        locked.machines.insert(name.clone(), machine.clone());
        drop(locked);
        let (fleet, record) = (fleet.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(boot);
            if machine.lock().expect("lock").taken.is_none() {
                run_worker(&fleet, &machine, &record);
            }
        });
        name
    }

    fn handle(fleet: &Arc<Mutex<Fleet>>, record: &Record, request: &Request) -> Answer {
        thread::sleep(Duration::from_millis(30));
        let body = V::decode(&request.body).unwrap_or(V::Null);
        let target = request.target.as_str();
        if target == "/catalog" {
            let builds = fleet.lock().expect("lock").builds.clone();
            let builds = builds.iter().map(|build| {
                map(vec![
                    ("name", t(build.name)),
                    ("cores", V::Float(build.cores)),
                    ("accelerators", V::Float(0.0)),
                    ("ramGb", V::Float(build.cores * 4.0)),
                    ("localGb", V::Float(200.0)),
                    ("fetchGbPerS", V::Float(build.fetch)),
                    ("price", V::Float(build.price)),
                    ("spotPrice", V::Float(build.price * 0.4)),
                    ("startupS", V::Float(build.boot.as_secs_f64())),
                    ("halls", V::List(build.halls.iter().map(|hall| t(*hall)).collect())),
                ])
            });
            return Some((200, map(vec![("builds", V::List(builds.collect()))])));
        }
        if target == "/machines/delete" {
            for name in body.get("benches").list() {
                let machine = fleet.lock().expect("lock").machines.get(name.text()).cloned();
                if let Some(machine) = machine {
                    let mut machine = machine.lock().expect("lock");
                    machine.taken.get_or_insert(Instant::now());
                    machine.tasks.clear();
                    record.note(&format!("cloud: {} is deleted on request", machine.name));
                }
            }
            return Some((200, map(vec![])));
        }
        if target == "/machines" && request.method == "POST" {
            let hire = body.get("hire").text().to_owned();
            if let Some(names) = fleet.lock().expect("lock").hires.get(&hire) {
                return Some((200, map(vec![("benches", V::List(names.iter().map(|n| t(n.as_str())).collect()))])));
            }
            let (build, hall) = (body.get("build").text(), body.get("hall").text());
            let (loaners, count) = (body.get("loaners").is_true(), body.get("howMany").int().min(50));
            let present: Vec<_> = fleet.lock().expect("lock").machines.values().cloned().collect();
            let present = present.iter().filter(|m| m.lock().expect("lock").taken.is_none()).count();
            let left = fleet.lock().expect("lock").capacity.saturating_sub(present);
            if left == 0 {
                return Some((503, map(vec![("error", t("no capacity"))])));
            }
            let count = count.min(left as u64);
            let boot = {
                let locked = fleet.lock().expect("lock");
                match locked.builds.iter().find(|b| b.name == build && b.halls.contains(&hall)) {
                    Some(build) => build.boot,
                    None => return Some((400, map(vec![]))),
                }
            };
            let names: Vec<String> =
                (0..count).map(|_| Self::create(fleet, record, build, hall, loaners, boot)).collect();
            record.note(&format!("cloud: rents {build} in {hall}, spot {loaners}: {names:?}"));
            let mut locked = fleet.lock().expect("lock");
            locked.hires.insert(hire, names.clone());
            locked.rented.push((build.to_owned(), hall.to_owned(), count));
            return Some((200, map(vec![("benches", V::List(names.into_iter().map(V::Text).collect()))])));
        }
        let from = query(target, "from");
        let page: usize = query(target, "page").parse().unwrap_or(500).clamp(1, 500);
        let machines: Vec<_> = {
            let locked = fleet.lock().expect("lock");
            locked.machines.iter().filter(|(k, _)| k.as_str() > from).map(|(_, m)| m.clone()).collect()
        };
        let mut listed = Vec::new();
        for machine in machines {
            let machine = machine.lock().expect("lock");
            let is_new = machine.created.elapsed() < LIST_LAG;
            if is_new || machine.taken.is_some_and(|at| at.elapsed() >= LIST_LAG) {
                continue;
            }
            listed.push(map(vec![
                ("nameId", t(machine.name.as_str())),
                ("address", t(machine.address.as_str())),
                ("build", t(machine.build.name)),
                ("hall", t(machine.hall.as_str())),
                ("loaners", V::Bool(machine.loaners)),
                ("standing", t(if machine.up { "running" } else { "starting" })),
                ("heldS", V::Float(machine.created.elapsed().as_secs_f64())),
            ]));
        }
        let more = listed.len() > page;
        listed.truncate(page);
        Some((200, map(vec![("benches", V::List(listed)), ("more", V::Bool(more))])))
    }
}

fn report(machine: &mut Machine) -> V {
    machine.tick += 1;
    let sheets = machine.tasks.iter().map(|task| {
        let (standing, cause) = match task.standing {
            Standing::Fetching(_) => ("fetching", None),
            Standing::Running(_) => ("running", None),
            Standing::Exited(cause) => ("exited", Some(cause)),
        };
        let mut entry = vec![
            ("sheet", t(task.sheet.as_str())),
            ("try", V::Int(task.attempt.into())),
            ("standing", t(standing)),
        ];
        entry.extend(cause.map(|cause| ("cause", t(cause))));
        map(entry)
    });
    map(vec![
        ("bench", t(machine.name.as_str())),
        ("address", t(machine.address.as_str())),
        ("build", t(machine.build.name)),
        ("hall", t(machine.hall.as_str())),
        ("loaners", V::Bool(machine.loaners)),
        ("shift", V::Int(machine.shift.into())),
        ("tick", V::Int(machine.tick.into())),
        ("baton", V::Int(machine.baton.into())),
        ("recallS", V::Null),
        ("sheets", V::List(sheets.collect())),
    ])
}

/// Carries out orders, in their order.
fn obey(machine: &mut Machine, works: &HashMap<String, Work>, orders: &[V], record: &Record) {
    for order in orders {
        let (sheet, attempt) = (order.get("sheet").text().to_owned(), order.get("try").int());
        let at = machine.tasks.iter().position(|task| task.sheet == sheet && task.attempt == attempt);
        match (order.get("verb").text(), at) {
            ("start", None) => {
                let job = sheet.split('/').next().unwrap_or_default();
                let index: u64 = sheet.split('/').nth(1).and_then(|i| i.parse().ok()).unwrap_or(u64::MAX);
                let work = works.get(job).filter(|work| index < work.sheets).cloned();
                let active = machine.tasks.iter().filter(|task| !matches!(task.standing, Standing::Exited(_)));
                let used: f64 = active.clone().map(|task| task.cores).sum();
                let in_use = active.clone().any(|task| task.sheet == sheet);
                let Some(work) = work else {
                    machine.tasks.push(Task {
                        sheet,
                        attempt,
                        standing: Standing::Exited("unknown"),
                        cores: 0.0,
                        bundle: String::new(),
                        run: None,
                    });
                    machine.changed = true;
                    continue;
                };
                let fetch = if machine.images.contains(&work.bundle) { 0.0 } else { work.pull_gb / machine.build.fetch };
                let standing = if in_use {
                    Standing::Exited("in_use")
                } else if used + work.cores > machine.build.cores + 1e-6 {
                    Standing::Exited("no_room")
                } else {
                    Standing::Fetching(Instant::now() + Duration::from_secs_f64(fetch))
                };
                record.note(&format!("{}: told to start {sheet}, try {attempt}: {standing:?}", machine.name));
                let Work { cores, bundle, run, .. } = work;
                machine.tasks.push(Task { sheet, attempt, standing, cores, bundle, run });
            }
            ("stop", Some(at)) => {
                if !matches!(machine.tasks[at].standing, Standing::Exited(_)) {
                    machine.tasks[at].standing = Standing::Exited("halted");
                    record.note(&format!("{}: told to stop {sheet}, try {attempt}", machine.name));
                }
            }
            ("reap", Some(at)) => {
                if matches!(machine.tasks[at].standing, Standing::Exited(_)) {
                    machine.tasks.remove(at);
                }
            }
            _ => continue,
        }
        machine.changed = true;
    }
}

/// Ends fetches and runs that are due; kills all tasks if the lease has ended.
fn advance(machine: &mut Machine, record: &Record) {
    let now = Instant::now();
    if machine.lease_from.elapsed().as_secs_f64() > LEASE_S {
        if !machine.tasks.is_empty() {
            record.note(&format!("{}: lease ended, tasks killed", machine.name));
        }
        machine.tasks.clear();
        machine.shift += 1;
        machine.lease_from = now;
        machine.changed = true;
    }
    if machine.hung_until.is_some_and(|until| now < until) {
        return;
    }
    let mut images = Vec::new();
    for task in &mut machine.tasks {
        let next = match task.standing {
            Standing::Fetching(at) if now >= at => {
                images.push(task.bundle.clone());
                record.note(&format!("{}: {} runs", machine.name, task.sheet));
                Standing::Running(task.run.map(|run| now + run))
            }
            Standing::Running(Some(at)) if now >= at => {
                record.note(&format!("{}: {} has ended: done", machine.name, task.sheet));
                Standing::Exited("done")
            }
            _ => continue,
        };
        task.standing = next;
        machine.changed = true;
    }
    machine.images.extend(images);
}

fn run_worker(fleet: &Arc<Mutex<Fleet>>, machine: &Arc<Mutex<Machine>>, record: &Record) {
    let (server_fleet, server_machine, server_record) = (fleet.clone(), machine.clone(), record.clone());
    let address = serve(move |request| {
        loop {
            let machine = server_machine.lock().expect("lock");
            if machine.taken.is_some() {
                return None;
            }
            if machine.hung_until.is_none_or(|until| Instant::now() >= until) {
                break;
            }
            drop(machine);
            thread::sleep(Duration::from_millis(50));
        }
        let works = server_fleet.lock().expect("lock").works.clone();
        let mut machine = server_machine.lock().expect("lock");
        advance(&mut machine, &server_record);
        if request.target != "/commands" {
            return Some((200, report(&mut machine)));
        }
        let body = V::decode(&request.body).unwrap_or(V::Null);
        if *body.get("baton") == V::Null || *body.get("shift") == V::Null {
            return Some((400, map(vec![])));
        }
        if body.get("baton").int() < machine.baton || body.get("shift").int() != machine.shift {
            return Some((409, report(&mut machine)));
        }
        machine.baton = body.get("baton").int();
        obey(&mut machine, &works, body.get("orders").list(), &server_record);
        Some((200, report(&mut machine)))
    });
    {
        let mut machine = machine.lock().expect("lock");
        machine.address = address.to_string();
        machine.up = true;
        machine.lease_from = Instant::now();
        record.note(&format!("{}: up, {} in {}", machine.name, machine.build.name, machine.hall));
    }
    let mut node = (random() * 1000.0) as usize;
    let mut next = Instant::now();
    let mut last = Instant::now() - Duration::from_secs(1);
    loop {
        thread::sleep(Duration::from_millis(20));
        let (body, shift, controllers) = {
            let controllers = fleet.lock().expect("lock").controllers.clone();
            let mut machine = machine.lock().expect("lock");
            if machine.taken.is_some() {
                return;
            }
            advance(&mut machine, record);
            let hung = machine.hung_until.is_some_and(|until| Instant::now() < until);
            let is_due = Instant::now() >= next || (machine.changed && last.elapsed() >= Duration::from_millis(500));
            if hung || !is_due || controllers.is_empty() {
                continue;
            }
            machine.changed = false;
            (report(&mut machine), machine.shift, controllers)
        };
        last = Instant::now();
        next = last + Duration::from_secs_f64(REPORT_S * (0.75 + 0.5 * random()));
        let sent = last;
        let (_, address) = controllers[node % controllers.len()];
        let (size, sheets) = (body.json_size(), body.get("sheets").list().len());
        let answer = send_while_alive(address, body, machine, record);
        if size > 64 * 1024 {
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            record.note(&format!("{}: report of {sheets} tasks, {size} bytes as JSON: {status}", machine.lock().expect("lock").name));
        }
        let works = fleet.lock().expect("lock").works.clone();
        let mut machine = machine.lock().expect("lock");
        if machine.taken.is_some() {
            return;
        }
        let mut goes_on = false;
        match answer {
            Some((200, body)) => {
                let baton = body.get("baton").int();
                if baton >= machine.baton && *body.get("baton") != V::Null && machine.shift == shift {
                    machine.changed |= baton > machine.baton;
                    machine.baton = baton;
                    machine.lease_from = sent;
                    obey(&mut machine, &works, body.get("orders").list(), record);
                }
            }
            Some((421, body)) => {
                let named = controllers.iter().position(|(name, _)| name == body.get("foreman").text());
                match named {
                    Some(at) if at != node % controllers.len() => {
                        node = at;
                        next = Instant::now() + Duration::from_millis(100);
                    }
                    _ => goes_on = true,
                }
            }
            _ => goes_on = true,
        }
        if goes_on {
            node += 1;
            next = Instant::now() + Duration::from_secs(1);
        }
    }
}

/// Sends a report and waits for at most 4 s; tasks go on meanwhile. An answer that a hanging machine
/// could not take in time is dropped.
fn send_while_alive(to: SocketAddr, body: V, machine: &Arc<Mutex<Machine>>, record: &Record) -> Option<(u16, V)> {
    let (done, answered) = std::sync::mpsc::channel();
    let sent = Instant::now();
    thread::spawn(move || {
        let _ = done.send(send(to, "POST", "/agent/beat", Some(&body), Duration::from_secs(4)));
    });
    loop {
        let answer = answered.recv_timeout(Duration::from_millis(20));
        let mut machine = machine.lock().expect("lock");
        advance(&mut machine, record);
        let hung = machine.hung_until.is_some_and(|until| Instant::now() < until);
        match answer {
            Ok(answer) if !hung => return answer.filter(|_| sent.elapsed() < Duration::from_secs(4)),
            Ok(_) => {
                let until = machine.hung_until.unwrap_or(sent);
                drop(machine);
                thread::sleep(until.saturating_duration_since(Instant::now()));
                return None;
            }
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
            Err(_) => return None,
        }
    }
}
