//! The lease, the epoch and stepping down.
//!
//! One key, attached to a lease of the state service, names the leader. Its
//! version is the epoch: the service assigns it, and it rises at each acquire.
//! [`Election`] decides what to do next; [`run`] carries it out, one step at a
//! time.

use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::protocol::cbor::{Fields, MapBuilder, decode, encode};
use crate::protocol::kv::{
    Change, Compare, Entry, decode_commit_revision, decode_lease, decode_watch, encode_compare_and_swap,
    encode_lease,
};
use crate::storage::kv::{KvClient, RequestClass, with_write_marker};
use crate::storage::records::LEADER;
use crate::transport::client::{Call, ClientError};

/// Part of the lease given up against drift, timer steps and late wake-ups.
const CLOCK_DRIFT_MARGIN: f64 = 0.03;
/// Renewals within one lease time.
const RENEWALS_PER_LEASE: u32 = 4;

/// What others see of the election.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Nothing is known yet, or nobody leads.
    Leaderless,
    Follower {
        leader: String,
        epoch: u64,
    },
    /// Leads until then at least; afterwards nothing may be done in the
    /// epoch's name until it is extended.
    Leader {
        epoch: u64,
        lease_expiry: Instant,
    },
}

/// The next thing to do with the state service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    ReadLeader,
    GrantLease,
    Acquire { lease: u64 },
    RevokeLease { lease: u64 },
    Watch { from: u64 },
    Renew { lease: u64 },
    Wait { until: Instant },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireOutcome {
    Won { epoch: u64 },
    Lost,
    LeaseExpired,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewOutcome {
    Renewed,
    LeaseExpired,
    Failed,
}

/// The leader key as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRecord {
    pub name: String,
    pub incarnation: String,
    pub version: u64,
    pub lease: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    id: u64,
    /// When the last request that certainly set its time was sent.
    requested_at: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Unknown,
    Vacant,
    Following { holder: LeaderRecord },
    Leading { epoch: u64, renew_at: Instant, lease_expiry: Instant, needs_confirmation: bool },
    Revoking { lease: u64 },
}

#[derive(Debug)]
pub struct Election {
    name: String,
    incarnation: String,
    ttl: Duration,
    state: State,
    lease: Option<Lease>,
    paused_until: Option<Instant>,
    /// When the state service last said who leads.
    last_contact: Option<Instant>,
}

impl Election {
    pub fn new(name: &str, incarnation: &str, ttl: Duration) -> Self {
        Election {
            name: name.to_owned(),
            incarnation: incarnation.to_owned(),
            ttl,
            state: State::Unknown,
            lease: None,
            paused_until: None,
            last_contact: None,
        }
    }

    pub fn role(&self) -> Role {
        match &self.state {
            State::Leading { epoch, lease_expiry: until, .. } => {
                Role::Leader { epoch: *epoch, lease_expiry: *until }
            }
            State::Following { holder } => {
                Role::Follower { leader: holder.name.clone(), epoch: holder.version }
            }
            _ => Role::Leaderless,
        }
    }

    pub fn next_step(&mut self, now: Instant) -> Step {
        if let Some(until) = self.paused_until {
            if now < until {
                return Step::Wait { until };
            }
            self.paused_until = None;
        }
        match &self.state {
            State::Unknown => Step::ReadLeader,
            State::Vacant => match self.lease {
                None => Step::GrantLease,
                // With little time left it would be lost soon after winning.
                Some(lease) if now > lease.requested_at + self.ttl / 3 => {
                    Step::RevokeLease { lease: lease.id }
                }
                Some(lease) => Step::Acquire { lease: lease.id },
            },
            State::Following { holder } => match self.lease {
                Some(lease) => Step::RevokeLease { lease: lease.id },
                None => Step::Watch { from: holder.version },
            },
            State::Leading { renew_at, needs_confirmation: confirm, .. } => match self.lease {
                _ if *confirm => Step::ReadLeader,
                Some(lease) if now >= *renew_at => Step::Renew { lease: lease.id },
                _ => Step::Wait { until: *renew_at },
            },
            State::Revoking { lease } => Step::RevokeLease { lease: *lease },
        }
    }

    fn pause_before_retry(&mut self, now: Instant) {
        self.paused_until = Some(now + self.ttl / 20);
    }

    /// When the lease ends by our own clock, counted from the sending.
    fn lease_expiry(&self, sent: Instant) -> Instant {
        sent + self.ttl.mul_f64(1.0 - CLOCK_DRIFT_MARGIN)
    }

    pub fn on_read(&mut self, now: Instant, found: Result<Option<LeaderRecord>, ()>) {
        let Ok(found) = found else { return self.on_no_answer(now) };
        self.last_contact = Some(now);
        if let State::Leading { epoch, needs_confirmation: confirm, .. } = &mut self.state {
            if found.as_ref().is_some_and(|h| h.version == *epoch && h.incarnation == self.incarnation) {
                *confirm = false;
                return;
            }
            self.state = State::Unknown;
            self.lease = None;
        }
        self.state = match found {
            None => State::Vacant,
            Some(holder) if holder.incarnation == self.incarnation => match self.lease {
                // The answer to our acquire was lost, but it was carried out.
                Some(lease) if holder.lease == Some(lease.id) => State::Leading {
                    epoch: holder.version,
                    renew_at: lease.requested_at + self.ttl / RENEWALS_PER_LEASE,
                    lease_expiry: self.lease_expiry(lease.requested_at),
                    needs_confirmation: false,
                },
                // Ours, but by a lease whose time we no longer know.
                _ => holder.lease.map_or(State::Unknown, |lease| State::Revoking { lease }),
            },
            // A controller's name is used by one process at a time: a later
            // one is started only once the former has ended. Whoever holds the
            // key under our name with another incarnation is therefore dead,
            // sends nothing any more, and its lease may be ended at once. What
            // it sent before is fenced by the epoch like that of any other.
            Some(holder) if holder.name == self.name => {
                holder.lease.map_or(State::Unknown, |lease| State::Revoking { lease })
            }
            Some(holder) => State::Following { holder },
        };
        if self.state == State::Unknown {
            self.pause_before_retry(now);
        }
    }

    pub fn on_lease_granted(&mut self, now: Instant, sent: Instant, made: Option<u64>) {
        match made {
            Some(id) => self.lease = Some(Lease { id, requested_at: sent }),
            None => self.pause_before_retry(now),
        }
    }

    pub fn on_acquire(&mut self, now: Instant, outcome: AcquireOutcome) {
        match (outcome, self.lease) {
            (AcquireOutcome::Won { epoch }, Some(lease)) => {
                self.state = State::Leading {
                    epoch,
                    renew_at: lease.requested_at + self.ttl / RENEWALS_PER_LEASE,
                    lease_expiry: self.lease_expiry(lease.requested_at),
                    needs_confirmation: false,
                };
            }
            (AcquireOutcome::LeaseExpired, _) => {
                self.lease = None;
                self.state = State::Unknown;
            }
            // Whether won or lost, the key itself tells.
            (AcquireOutcome::Unknown, _) => {
                self.state = State::Unknown;
                self.pause_before_retry(now);
            }
            _ => self.state = State::Unknown,
        }
    }

    pub fn on_lease_revoked(&mut self, now: Instant, lease: u64, ended: bool) {
        if self.lease.is_some_and(|l| l.id == lease) {
            // Not ended for certain is no harm: it runs out by itself, and a
            // key attached to it goes with it.
            self.lease = None;
        }
        if let State::Revoking { .. } = self.state {
            self.state = State::Unknown;
            if !ended {
                self.pause_before_retry(now);
            }
        }
    }

    pub fn on_renew(&mut self, now: Instant, sent: Instant, outcome: RenewOutcome) {
        let (ttl, end) = (self.ttl, self.lease_expiry(sent));
        let State::Leading { renew_at, lease_expiry: until, needs_confirmation: confirm, .. } =
            &mut self.state
        else {
            return;
        };
        match outcome {
            RenewOutcome::Renewed => {
                // After a lapse, only with the key still ours does the epoch
                // go on; that is read before anything is done in its name.
                *confirm = now >= *until;
                *until = end;
                *renew_at = sent + ttl / RENEWALS_PER_LEASE;
                if let Some(lease) = &mut self.lease {
                    lease.requested_at = sent;
                }
            }
            RenewOutcome::LeaseExpired => {
                self.state = State::Unknown;
                self.lease = None;
            }
            RenewOutcome::Failed => *renew_at = now + ttl / 20,
        }
    }

    pub fn on_watch(&mut self, now: Instant, outcome: Result<(), ()>) {
        if outcome.is_err() {
            self.on_no_answer(now);
        }
    }

    /// The state service did not answer. Whoever was said to lead when it last
    /// did may be long gone: after two leases nobody is named any more.
    fn on_no_answer(&mut self, now: Instant) {
        self.pause_before_retry(now);
        let stale = self.last_contact.is_none_or(|at| now >= at + self.ttl * 2);
        if stale && matches!(self.state, State::Following { .. }) {
            self.state = State::Unknown;
        }
    }

    /// Gives an epoch up: whoever leads next, perhaps this controller, begins
    /// from the records. Without this a leader that has dropped its picture
    /// would keep its lease, and nobody would lead.
    pub fn resign(&mut self, epoch: u64) {
        if let (State::Leading { epoch: current, .. }, Some(lease)) = (&self.state, self.lease)
            && *current == epoch
        {
            self.state = State::Revoking { lease: lease.id };
        }
    }

    fn is_confirmed(&self) -> bool {
        !matches!(self.state, State::Leading { needs_confirmation: true, .. })
    }
}

/// Reads the leader key's value.
pub fn decode_leader_record(entry: &Entry) -> Option<LeaderRecord> {
    let f = Fields::of(&entry.value).ok()?;
    Some(LeaderRecord {
        name: f.text("name").ok()?.to_owned(),
        incarnation: f.text("by").ok()?.to_owned(),
        version: entry.version,
        lease: entry.lease,
    })
}

/// Runs the election for as long as somebody listens.
pub async fn run(
    mut election: Election,
    store: KvClient,
    address: String,
    roles: mpsc::Sender<Role>,
    abandoned: watch::Receiver<u64>,
) {
    let mut told = Role::Leaderless;
    loop {
        election.resign(*abandoned.borrow());
        let step = election.next_step(Instant::now());
        run_step(&mut election, &store, &address, step).await;
        let role = election.role();
        if role != told && election.is_confirmed() {
            log_role_change(&told, &role);
            told = role.clone();
            if roles.send(role).await.is_err() {
                return;
            }
        }
    }
}

fn log_role_change(before: &Role, after: &Role) {
    match (before, after) {
        (Role::Leader { epoch: a, .. }, Role::Leader { epoch: b, .. }) if a == b => {}
        (_, Role::Leader { epoch, .. }) => tracing::info!(epoch, "leads"),
        (_, Role::Follower { leader, .. }) => tracing::info!(%leader, "follows"),
        (_, Role::Leaderless) => tracing::info!("nobody known to lead"),
    }
}

async fn run_step(election: &mut Election, store: &KvClient, address: &str, step: Step) {
    let deadline = store.deadline();
    let call = |method, target: String, body| Call { method, target, body, deadline };
    match step {
        Step::Wait { until } => tokio::time::sleep_until(until).await,
        Step::ReadLeader => {
            let found = match store.get(RequestClass::Renewal, LEADER).await {
                Ok(Some(entry)) => decode_leader_record(&entry).map(Some).ok_or(()),
                Ok(None) => Ok(None),
                Err(_) => Err(()),
            };
            election.on_read(Instant::now(), found);
            // A watch that ended leads back here through the same state.
        }
        Step::GrantLease => {
            let sent = Instant::now();
            let ttl_ms = u64::try_from(election.ttl.as_millis()).unwrap_or(u64::MAX);
            let body = encode(&encode_lease(ttl_ms));
            let made = match store.send_raw(RequestClass::Renewal, call("POST", "/leases".into(), body)).await
            {
                Ok(r) if r.status == 200 => decode(&r.body).ok().and_then(|v| decode_lease(&v).ok()),
                _ => None,
            };
            election.on_lease_granted(Instant::now(), sent, made);
        }
        Step::Acquire { lease } => {
            let value = with_write_marker(
                MapBuilder::new().set("name", election.name.as_str()).set("address", address),
                &election.incarnation,
            );
            let vacant = Compare { key: LEADER.into(), version: 0 };
            let change = Change::Put { key: LEADER.into(), value, lease: Some(lease) };
            let body = encode(&encode_compare_and_swap([&vacant], [&change]));
            let outcome =
                match store.send_raw(RequestClass::Renewal, call("POST", "/commit".into(), body)).await {
                    Ok(r) => match r.status {
                        200 => match decode(&r.body).ok().and_then(|v| decode_commit_revision(&v).ok()) {
                            Some(epoch) => AcquireOutcome::Won { epoch },
                            None => AcquireOutcome::Unknown,
                        },
                        409 => AcquireOutcome::Lost,
                        400 => AcquireOutcome::LeaseExpired,
                        _ => AcquireOutcome::Unknown,
                    },
                    Err(_) => AcquireOutcome::Unknown,
                };
            election.on_acquire(Instant::now(), outcome);
        }
        Step::RevokeLease { lease } => {
            let answer = store
                .send_raw(RequestClass::Renewal, call("DELETE", format!("/leases/{lease}"), vec![]))
                .await;
            let ended = answer.is_ok_and(|r| r.status == 200 || r.status == 404);
            election.on_lease_revoked(Instant::now(), lease, ended);
        }
        Step::Renew { lease } => {
            let sent = Instant::now();
            let call = call("POST", format!("/leases/{lease}/extend"), vec![]);
            let outcome = match store.send_raw(RequestClass::Renewal, call).await {
                Ok(r) if r.status == 200 => RenewOutcome::Renewed,
                Ok(r) if r.status == 404 => RenewOutcome::LeaseExpired,
                _ => RenewOutcome::Failed,
            };
            election.on_renew(Instant::now(), sent, outcome);
        }
        Step::Watch { from } => {
            let wait = election.ttl;
            let call = Call {
                method: "GET",
                target: format!("/watch?starts={LEADER}&from={from}&waitMs={}", wait.as_millis()),
                body: Vec::new(),
                deadline: wait * 2 + deadline,
            };
            let outcome = match store.send_raw(RequestClass::Renewal, call).await {
                Ok(r) if r.status == 200 => {
                    decode(&r.body).ok().and_then(|v| decode_watch(&v).ok()).map(drop).ok_or(())
                }
                // Too old to watch from: reading the key is what it takes.
                Ok(r) if r.status == 410 => Ok(()),
                Ok(_) | Err(ClientError::NotSent | ClientError::Lost(_)) => Err(()),
                Err(_) => Ok(()),
            };
            election.on_watch(Instant::now(), outcome);
            let found = match store.get(RequestClass::Renewal, LEADER).await {
                Ok(Some(entry)) => decode_leader_record(&entry).map(Some).ok_or(()),
                Ok(None) => Ok(None),
                Err(_) => Err(()),
            };
            election.on_read(Instant::now(), found);
        }
    }
}

#[cfg(test)]
mod tests;
