//! The simulated cloud: provisioning, deletion, and an inventory that lags behind.

use super::*;

/// Maximum number of machines in the cloud.
const CAPACITY: usize = 24;

impl Simulation {
    /// Answers a request of a controller.
    pub(super) fn handle_cloud_request(&mut self, now: Instant, call: &HttpCall) -> Response {
        if now < self.cloud_outage_until {
            return answer(503, &MapBuilder::new().set("error", "trouble").build());
        }
        let body = decode(&call.body).unwrap_or(Value::Null);
        let path = call.target.split('?').next().unwrap_or_default();
        match path {
            "/catalog" => answer(200, &encode_catalog(&catalog())),
            "/machines/delete" => self.delete_machines(now, &body),
            "/machines" if call.method == "POST" => self.provision_node_pool(now, &body),
            _ => self.inventory_page(now, &call.target),
        }
    }

    /// Deletes machines. The request also succeeds for machines that are already gone.
    fn delete_machines(&mut self, now: Instant, body: &Value) -> Response {
        let fields = Fields::of(body).expect("a map");
        for name in fields.opt_texts("benches").expect("names").unwrap_or_default() {
            self.remove(now, &name);
        }
        answer(200, &Value::Map(Vec::new()))
    }

    /// Provisions the machines of a node pool request; a repeated request returns the same ones.
    fn provision_node_pool(&mut self, now: Instant, body: &Value) -> Response {
        let fields = Fields::of(body).expect("a map");
        let name = fields.text("hire").expect("a name").to_owned();
        if !self.node_pools.contains_key(&name) {
            let zone = if fields.text("hall").expect("a zone") == "z2" { "z2" } else { "z1" };
            let spot = fields.bool("loaners").expect("a spot flag");
            let existing = self.machines.values().filter(|worker| worker.gone_at.is_none()).count();
            let free = CAPACITY.saturating_sub(existing) as u64;
            let count = fields.count("howMany").expect("a count").min(free);
            if count == 0 {
                return answer(503, &MapBuilder::new().set("error", "no capacity").build());
            }
            let names = (0..count).map(|_| self.provision(now, zone, spot)).collect();
            self.node_pools.insert(name.clone(), names);
        }
        let names = text_array(self.node_pools[&name].iter().map(String::as_str));
        answer(200, &MapBuilder::new().set("benches", names).build())
    }

    /// Lists the machines whose names follow the one in the request, as of [`LIST_LAG`] ago.
    fn inventory_page(&self, now: Instant, target: &str) -> Response {
        let query = target.split('?').nth(1).unwrap_or_default();
        let from = query.split('&').find_map(|part| part.strip_prefix("from=")).unwrap_or_default();
        let is_listed = |worker: &Worker| {
            now >= worker.provisioned_at + LIST_LAG && worker.gone_at.is_none_or(|at| now < at + LIST_LAG)
        };
        let listed = self
            .machines
            .iter()
            .filter(|(name, worker)| name.as_str() > from && is_listed(worker))
            .map(|(name, worker)| inventory_entry(now, name, worker))
            .collect();
        let page = MapBuilder::new().set("benches", Value::Array(listed)).set("more", false);
        answer(200, &page.build())
    }

    /// Provisions one machine, which boots for some seconds; returns its name.
    pub(super) fn provision(&mut self, now: Instant, zone: &'static str, spot: bool) -> String {
        self.next_machine += 1;
        let number = self.next_machine;
        let up_at = now + seconds(self.rng.random_range(4.0..12.0));
        let name = format!("vm-{number:06}");
        let octets = [127, network::WORKER, (number / 256) as u8, (number % 256) as u8];
        let worker = Worker {
            zone,
            spot,
            address: SocketAddr::from((octets, 9000)),
            provisioned_at: now,
            up_at,
            gone_at: None,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_from: up_at,
            tasks: Vec::new(),
            target: self.rng.random_range(0..self.controllers.len()),
            next_heartbeat: up_at,
            in_flight: false,
            changed: false,
            one_way_partitioned_until: now,
            heartbeats_lost_until: now,
            hung_until: now,
            held_commands: Vec::new(),
            empty_since: up_at,
        };
        self.machines.insert(name.clone(), worker);
        name
    }

    /// Removes a machine and the tasks that run on it.
    pub(super) fn remove(&mut self, now: Instant, name: &str) {
        if let Some(worker) = self.machines.get_mut(name) {
            worker.gone_at.get_or_insert(now);
            worker.tasks.clear();
        }
    }
}

/// Encodes a machine for the inventory.
fn inventory_entry(now: Instant, name: &str, worker: &Worker) -> Value {
    MapBuilder::new()
        .set("nameId", name)
        .set("address", worker.address.to_string())
        .set("build", "m8")
        .set("hall", worker.zone)
        .set("loaners", worker.spot)
        .set("standing", if now < worker.up_at { "starting" } else { "running" })
        .build()
}
