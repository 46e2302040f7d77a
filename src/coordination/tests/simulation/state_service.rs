//! The state service: the stand-in, with leases that end in simulated time, watches,
//! outages and answers that are late or lost.

use super::*;

impl Simulation {
    pub(super) fn handle_state_request(
        &mut self,
        now: Instant,
        at: usize,
        call: Call,
        reply: oneshot::Sender<Result<Response, ClientError>>,
    ) {
        let soon = Duration::from_millis(self.rng.random_range(2..6)) + self.slowness(now);
        let c = &self.controllers[at];
        if now < c.cut_until {
            return;
        }
        if call.target.starts_with("/watch?") {
            let field = |name: &str| {
                let query = call.target.trim_start_matches("/watch?");
                query.split('&').find_map(|part| part.strip_prefix(name)).unwrap_or_default().to_owned()
            };
            let wait: u64 = field("waitMs=").parse().unwrap_or(0);
            self.watches.push(Watch {
                controller: at,
                incarnation: c.incarnation,
                prefix: field("starts="),
                from: field("from=").parse().unwrap_or(0),
                until: now + Duration::from_millis(wait),
                reply,
            });
            return;
        }
        if now < c.refused_until || now < self.outage_until {
            return later(reply, Ok(answer(503, &Value::Null)), soon);
        }
        let request = Request {
            method: call.method.into(),
            target: call.target.clone(),
            body: call.body,
            close: false,
        };
        let (share, until) = self.late_writes;
        if call.target == "/commit" && now < until && self.rng.random_bool(share) {
            // No answer; and the change comes, late, after newer ones.
            let after = seconds(self.rng.random_range(2.0..12.0));
            self.late.push((now + after, request));
            return;
        }
        let (share, until) = self.doubled_writes;
        if call.target == "/commit" && now < until && self.rng.random_bool(share) {
            // Carried out now, and once more later: an old copy.
            self.late.push((now + seconds(self.rng.random_range(0.01..12.0)), request.clone()));
        }
        let (share, until) = self.lost_answers;
        let lost = now < until && self.rng.random_bool(share);
        if !self.is_allowed(now, &request) {
            return later(reply, Ok(answer(429, &Value::Null)), soon);
        }
        if let Some((status, body)) = self.state.answer(&request) {
            self.beyond_limits += usize::from(status == 400);
            self.note_leases(now, &request, status);
            if lost {
                // Carried out, and others may read it; whoever asked does not hear.
                return;
            }
            let soon = soon.max(self.stalled_until(at).saturating_duration_since(now));
            later(reply, Ok(answer(status, &body)), soon);
        }
    }

    /// Whether the changes of a transaction are within the pace that holds.
    fn is_allowed(&mut self, now: Instant, request: &Request) -> bool {
        let Some(allowance) = self.allowance.as_mut().filter(|_| request.target == "/commit") else {
            return true;
        };
        let body = decode(&request.body).expect("CBOR");
        let changes = Fields::of(&body).and_then(|f| f.list("apply")).map_or(0, <[Value]>::len);
        let allowed = allowance.allows(now, changes as f64, 0.0);
        if allowed {
            allowance.spend(changes as f64);
        }
        self.beyond_limits += usize::from(!allowed);
        allowed
    }

    pub(super) fn note_leases(&mut self, now: Instant, request: &Request, status: u16) {
        if request.target == "/leases" && status == 200 {
            if let Some(newest) = self.state.leases().keys().last() {
                self.renewed.insert(*newest, now);
            }
        } else if let Some(rest) = request.target.strip_prefix("/leases/")
            && let Some(lease) = rest.strip_suffix("/extend").and_then(|id| id.parse().ok())
            && status == 200
        {
            self.renewed.insert(lease, now);
        }
    }

    pub(super) fn step_state(&mut self, now: Instant) {
        if now < self.outage_until {
            // After an outage every lease has its full time again.
            self.renewed.values_mut().for_each(|at| *at = now);
            return;
        }
        let due: Vec<Request> = {
            let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| now >= *at);
            self.late = rest;
            let mut due: Vec<(Instant, Request)> = due;
            due.sort_by_key(|(at, _)| *at);
            due.into_iter().map(|(_, request)| request).collect()
        };
        self.late_changes += due.len();
        for request in due {
            self.state.answer(&request);
        }
        let ended: Vec<u64> = self
            .state
            .leases()
            .iter()
            .filter(|(id, life)| {
                now >= self.renewed.get(id).copied().unwrap_or(now) + Duration::from_millis(**life)
            })
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.state.end_lease(lease);
        }
        for watch in std::mem::take(&mut self.watches) {
            let c = &self.controllers[watch.controller];
            if c.incarnation != watch.incarnation || c.handle.is_none() {
                continue;
            }
            // Of one that is refused, the watches that are open go on waiting.
            let served = now >= c.refused_until && now >= c.cut_until;
            let changed = self.state.changed_since(&watch.prefix, watch.from).filter(|_| served);
            if changed.is_some() || (now >= watch.until && served) {
                let body = MapBuilder::new().set("ledger", changed.unwrap_or(watch.from)).build();
                let _ = watch.reply.send(Ok(answer(200, &body)));
            } else {
                self.watches.push(watch);
            }
        }
    }
}
