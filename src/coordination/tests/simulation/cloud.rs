//! The cloud: rentals, deletions and lists that lag.

use super::*;

impl Simulation {
    pub(super) fn handle_cloud_request(&mut self, now: Instant, call: &Call) -> Response {
        if now < self.cloud_down_until {
            return answer(503, &MapBuilder::new().set("error", "trouble").build());
        }
        let body = decode(&call.body).unwrap_or(Value::Null);
        let path = call.target.split('?').next().unwrap_or_default();
        match path {
            "/catalog" => answer(200, &encode_catalog(&catalog())),
            "/machines/delete" => {
                let f = Fields::of(&body).expect("a map");
                for name in f.opt_texts("benches").expect("names").unwrap_or_default() {
                    self.remove(now, &name);
                }
                answer(200, &Value::Map(Vec::new()))
            }
            "/machines" if call.method == "POST" => {
                let f = Fields::of(&body).expect("a map");
                let name = f.text("hire").expect("a name").to_owned();
                if !self.node_pools.contains_key(&name) {
                    let zone = if f.text("hall").expect("a zone") == "z2" { "z2" } else { "z1" };
                    let spot = f.bool("loaners").expect("a kind");
                    let up = self.machines.values().filter(|m| m.gone_at.is_none()).count();
                    let most = 24usize.saturating_sub(up) as u64;
                    let count = f.count("howMany").expect("a count").min(most);
                    if count == 0 {
                        return answer(503, &MapBuilder::new().set("error", "no capacity").build());
                    }
                    let names = (0..count).map(|_| self.provision(now, zone, spot)).collect();
                    self.node_pools.insert(name.clone(), names);
                }
                let names = texts(self.node_pools[&name].iter().map(String::as_str));
                answer(200, &MapBuilder::new().set("benches", names).build())
            }
            _ => {
                let query = call.target.split('?').nth(1).unwrap_or_default();
                let from = query.split('&').find_map(|part| part.strip_prefix("from=")).unwrap_or_default();
                let shown = |m: &&(&String, &Worker)| {
                    now >= m.1.provisioned_at + LIST_LAG && m.1.gone_at.is_none_or(|at| now < at + LIST_LAG)
                };
                let listed = self
                    .machines
                    .iter()
                    .filter(|(name, _)| name.as_str() > from)
                    .filter(|m| shown(&m))
                    .map(|(name, m)| {
                        MapBuilder::new()
                            .set("nameId", name.as_str())
                            .set("address", m.address.to_string())
                            .set("build", "m8")
                            .set("hall", m.zone)
                            .set("loaners", m.spot)
                            .set("standing", if now < m.up_at { "starting" } else { "running" })
                            .build()
                    })
                    .collect();
                let page = MapBuilder::new().set("benches", Value::Array(listed)).set("more", false);
                answer(200, &page.build())
            }
        }
    }

    pub(super) fn provision(&mut self, now: Instant, zone: &'static str, spot: bool) -> String {
        self.next_machine += 1;
        let n = self.next_machine;
        let up_at = now + seconds(self.rng.random_range(4.0..12.0));
        let name = format!("vm-{n:06}");
        let worker = Worker {
            zone,
            spot,
            address: SocketAddr::from(([127, 9, (n / 256) as u8, (n % 256) as u8], 9000)),
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
            deaf_until: now,
            mute_until: now,
            hung_until: now,
            held_commands: Vec::new(),
            empty_since: up_at,
        };
        self.machines.insert(name.clone(), worker);
        name
    }

    pub(super) fn remove(&mut self, now: Instant, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.gone_at.get_or_insert(now);
            m.tasks.clear();
        }
    }
}
