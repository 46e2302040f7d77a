//! The state service: an in-memory store with leases that expire in simulated time, watches,
//! outages, and requests whose effects or responses are delayed, duplicated or lost.

use super::*;

impl Simulation {
    /// Handles a request of a controller. Some random numbers are drawn before it is known
    /// whether they are used; moving a draw changes everything that follows it.
    pub(super) fn handle_state_request(
        &mut self,
        now: Instant,
        at: usize,
        call: HttpCall,
        reply: oneshot::Sender<Result<Response, ClientError>>,
    ) {
        let latency = Duration::from_millis(self.rng.random_range(2..6)) + self.extra_latency(now);
        let controller = &self.controllers[at];
        if now < controller.state_service_unreachable_until {
            return;
        }
        if let Some(query) = call.target.strip_prefix("/watch?") {
            return self.open_watch(now, at, query, reply);
        }
        if now < controller.refused_until || now < self.outage_until {
            return reply_after(reply, Ok(answer(503, &Value::Null)), latency);
        }
        let request = Request {
            method: call.method.into(),
            target: call.target.clone(),
            body: call.body,
            close: false,
        };
        if self.delay_or_duplicate(now, &request) {
            return;
        }
        let is_lost = self.lost_responses.affects(now, &mut self.rng);
        if !self.is_allowed(now, &request) {
            return reply_after(reply, Ok(answer(429, &Value::Null)), latency);
        }
        let Some((status, body)) = self.state.answer(&request) else { return };
        self.over_limits += usize::from(status == 400);
        self.note_leases(now, &request, status);
        if is_lost {
            // The request was carried out and others may read its effect; only its sender gets no
            // response.
            return;
        }
        let latency = latency.max(self.stalled_until(at).saturating_duration_since(now));
        reply_after(reply, Ok(answer(status, &body)), latency);
    }

    /// Holds a watch open until a key changes or the watch times out.
    fn open_watch(
        &mut self,
        now: Instant,
        at: usize,
        query: &str,
        reply: oneshot::Sender<Result<Response, ClientError>>,
    ) {
        let field =
            |name: &str| query.split('&').find_map(|part| part.strip_prefix(name)).unwrap_or_default();
        let wait_ms: u64 = field("waitMs=").parse().unwrap_or(0);
        self.watches.push(Watch {
            controller: at,
            incarnation: self.controllers[at].incarnation,
            prefix: field("starts=").to_owned(),
            from: field("from=").parse().unwrap_or(0),
            until: now + Duration::from_millis(wait_ms),
            reply,
        });
    }

    /// Whether a transaction is applied only later, after newer ones and without a response. A
    /// transaction that is not delayed may be duplicated: applied now, and once more later.
    fn delay_or_duplicate(&mut self, now: Instant, request: &Request) -> bool {
        if request.target != "/commit" {
            return false;
        }
        if self.delayed_writes.affects(now, &mut self.rng) {
            let after = seconds(self.rng.random_range(2.0..12.0));
            self.delayed_transactions.push((now + after, request.clone()));
            return true;
        }
        if self.duplicated_writes.affects(now, &mut self.rng) {
            let after = seconds(self.rng.random_range(0.01..12.0));
            self.delayed_transactions.push((now + after, request.clone()));
        }
        false
    }

    /// Whether the changes of a transaction are within the write rate in force.
    fn is_allowed(&mut self, now: Instant, request: &Request) -> bool {
        let Some(write_limiter) = self.write_limiter.as_mut().filter(|_| request.target == "/commit") else {
            return true;
        };
        let body = decode(&request.body).expect("valid CBOR");
        let changes = Fields::of(&body).and_then(|f| f.list("apply")).map_or(0, <[Value]>::len);
        let allowed = write_limiter.allows(now, changes as f64, 0.0);
        if allowed {
            write_limiter.spend(changes as f64);
        }
        self.over_limits += usize::from(!allowed);
        allowed
    }

    /// Records when a lease was granted or extended.
    fn note_leases(&mut self, now: Instant, request: &Request, status: u16) {
        if status != 200 {
            return;
        }
        if request.target == "/leases" {
            if let Some(newest) = self.state.leases().keys().last() {
                self.lease_renewals.insert(*newest, now);
            }
        } else if let Some(rest) = request.target.strip_prefix("/leases/")
            && let Some(lease) = rest.strip_suffix("/extend").and_then(|id| id.parse().ok())
        {
            self.lease_renewals.insert(lease, now);
        }
    }

    /// Processes delayed transactions, expired leases and watches, in this order.
    pub(super) fn step_state(&mut self, now: Instant) {
        if now < self.outage_until {
            // After an outage every lease has its full TTL again.
            self.lease_renewals.values_mut().for_each(|at| *at = now);
            return;
        }
        self.apply_late_transactions(now);
        self.expire_leases(now);
        self.answer_watches(now);
    }

    /// Applies the delayed transactions and late copies that are due, in the order of their times.
    fn apply_late_transactions(&mut self, now: Instant) {
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.delayed_transactions).into_iter().partition(|(at, _)| now >= *at);
        self.delayed_transactions = rest;
        due.sort_by_key(|(at, _)| *at);
        self.late_transactions += due.len();
        for (_, request) in due {
            self.state.answer(&request);
        }
    }

    /// Ends the leases that were not extended in time, with their keys.
    fn expire_leases(&mut self, now: Instant) {
        let has_expired = |id: &u64, ttl_ms: u64| {
            now >= self.lease_renewals.get(id).copied().unwrap_or(now) + Duration::from_millis(ttl_ms)
        };
        let leases = self.state.leases().iter();
        let expired: Vec<u64> =
            leases.filter(|(id, ttl_ms)| has_expired(id, **ttl_ms)).map(|(id, _)| *id).collect();
        for lease in expired {
            self.state.end_lease(lease);
        }
    }

    /// Answers the watches whose keys have changed or that have timed out.
    fn answer_watches(&mut self, now: Instant) {
        for watch in std::mem::take(&mut self.watches) {
            let controller = &self.controllers[watch.controller];
            if controller.incarnation != watch.incarnation || controller.handle.is_none() {
                continue;
            }
            // Watches stay open while the state service does not serve their controller.
            let is_served =
                now >= controller.refused_until && now >= controller.state_service_unreachable_until;
            let changed = self.state.changed_since(&watch.prefix, watch.from).filter(|_| is_served);
            if changed.is_some() || (now >= watch.until && is_served) {
                let body = MapBuilder::new().set("ledger", changed.unwrap_or(watch.from)).build();
                let _ = watch.reply.send(Ok(answer(200, &body)));
            } else {
                self.watches.push(watch);
            }
        }
    }
}
