//! The state machine of the election: its inputs are the outcomes of requests and the time,
//! its output is the next step.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::election::steps::{AcquireOutcome, LeaderRead, RenewOutcome, Step, WatchOutcome};
use crate::coordination::election::{LeaderRecord, Role};

/// Fraction of the lease duration by which the lease expires earlier here than in the store, as a
/// margin for clock drift, timer resolution and late wake-ups.
const LEASE_SAFETY_MARGIN: f64 = 0.03;
/// Number of renewals in one lease duration.
const RENEWALS_PER_LEASE: u32 = 4;
/// The pause before a failed request is retried is the lease duration divided by this.
const RETRY_LEASE_DIVISOR: u32 = 20;
/// A granted lease is used to acquire the key only until it is as old as the lease duration
/// divided by this. With little of it left, leadership would be lost soon after it was won.
const ACQUIRE_LEASE_DIVISOR: u32 = 3;
/// Number of lease durations without contact to the store after which a follower no longer
/// reports a leader.
const STALE_CONTACT_LEASES: u32 = 2;

/// A lease that the store granted to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    id: u64,
    /// When the last grant or renewal that is known to have succeeded was sent.
    requested_at: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The leader key has to be read.
    Unknown,
    /// No controller holds the leader key.
    Vacant,
    /// Another controller holds the leader key.
    Following { holder: LeaderRecord },
    /// This controller holds the leader key. `needs_confirmation`: the lease had expired before
    /// it was renewed, so the key must be read before anything is done under the epoch.
    Leading { epoch: u64, renew_at: Instant, lease_expiry: Instant, needs_confirmation: bool },
    /// The lease that the leader key is attached to has to be revoked, which deletes the key.
    Revoking { lease: u64 },
}

/// The election as one process takes part in it.
#[derive(Debug)]
pub struct Election {
    name: String,
    incarnation: String,
    /// Duration of the lease.
    ttl: Duration,
    state: State,
    lease: Option<Lease>,
    paused_until: Option<Instant>,
    /// When the leader key was last read successfully.
    last_contact: Option<Instant>,
}

impl Election {
    /// An election in which the leader is not known yet. `incarnation` is different for each
    /// process that runs under the controller's name; `ttl` is the duration of the lease.
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

    /// The controller's name.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// The incarnation of this process.
    pub(super) fn incarnation(&self) -> &str {
        &self.incarnation
    }

    /// Duration of the lease.
    pub(super) fn ttl(&self) -> Duration {
        self.ttl
    }

    /// The current role of this controller.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leading { epoch, lease_expiry, .. } => {
                Role::Leader { epoch: *epoch, lease_expiry: *lease_expiry }
            }
            State::Following { holder } => {
                Role::Follower { leader: holder.name.clone(), epoch: holder.version }
            }
            State::Unknown | State::Vacant | State::Revoking { .. } => Role::Leaderless,
        }
    }

    /// Whether [`Self::role`] may be published. A leader whose lease had expired before it was
    /// renewed must read the key first.
    pub(super) fn is_confirmed(&self) -> bool {
        !matches!(self.state, State::Leading { needs_confirmation: true, .. })
    }

    /// The next step to execute.
    pub fn next_step(&mut self, now: Instant) -> Step {
        if let Some(until) = self.paused_until {
            if now < until {
                return Step::Wait { until };
            }
            self.paused_until = None;
        }
        match &self.state {
            State::Unknown => Step::ReadLeader,
            State::Vacant => self.step_if_vacant(now),
            State::Following { holder } => match self.lease {
                Some(lease) => Step::RevokeLease { lease: lease.id },
                None => Step::Watch { from: holder.version },
            },
            State::Leading { needs_confirmation: true, .. } => Step::ReadLeader,
            State::Leading { renew_at, .. } => match self.lease {
                Some(lease) if now >= *renew_at => Step::Renew { lease: lease.id },
                _ => Step::Wait { until: *renew_at },
            },
            State::Revoking { lease } => Step::RevokeLease { lease: *lease },
        }
    }

    fn step_if_vacant(&self, now: Instant) -> Step {
        match self.lease {
            None => Step::GrantLease,
            Some(lease) if now > lease.requested_at + self.ttl / ACQUIRE_LEASE_DIVISOR => {
                Step::RevokeLease { lease: lease.id }
            }
            Some(lease) => Step::Acquire { lease: lease.id },
        }
    }

    /// Handles the result of reading the leader key.
    pub fn on_read(&mut self, now: Instant, read: LeaderRead) {
        let holder = match read {
            LeaderRead::Held(holder) => Some(holder),
            LeaderRead::Vacant => None,
            LeaderRead::Failed => return self.on_store_failure(now),
        };
        self.last_contact = Some(now);
        if self.confirm_leadership(holder.as_ref()) {
            return;
        }
        self.state = match holder {
            None => State::Vacant,
            Some(holder) => self.state_with_holder(holder),
        };
        if self.state == State::Unknown {
            self.pause_before_retry(now);
        }
    }

    /// For a leader, returns whether it still holds the key. If it does not, its epoch is over
    /// and the state is reset. Always `false` for others.
    fn confirm_leadership(&mut self, holder: Option<&LeaderRecord>) -> bool {
        let State::Leading { epoch, needs_confirmation, .. } = &mut self.state else { return false };
        if holder.is_some_and(|holder| holder.version == *epoch && holder.incarnation == self.incarnation) {
            *needs_confirmation = false;
            return true;
        }
        self.state = State::Unknown;
        self.lease = None;
        false
    }

    fn state_with_holder(&self, holder: LeaderRecord) -> State {
        if holder.incarnation == self.incarnation {
            return match self.lease {
                // Our acquire was executed, but the response to it was lost.
                Some(lease) if holder.lease == Some(lease.id) => self.leading(holder.version, lease),
                // The key is ours, but we no longer know when its lease expires.
                _ => revoking(holder.lease),
            };
        }
        // A controller's name is used by one process at a time: the next one is started only
        // after the previous one has ended. A holder with our name and another incarnation has
        // therefore ended and sends no more requests, so its lease may be revoked at once.
        // Requests that it sent before are fenced by the epoch, like those of any other leader.
        if holder.name == self.name {
            return revoking(holder.lease);
        }
        State::Following { holder }
    }

    fn leading(&self, epoch: u64, lease: Lease) -> State {
        State::Leading {
            epoch,
            renew_at: lease.requested_at + self.ttl / RENEWALS_PER_LEASE,
            lease_expiry: self.lease_expiry(lease.requested_at),
            needs_confirmation: false,
        }
    }

    /// When the lease expires by the local clock, counted from when the request was sent.
    fn lease_expiry(&self, sent: Instant) -> Instant {
        sent + self.ttl.mul_f64(1.0 - LEASE_SAFETY_MARGIN)
    }

    /// Handles the result of a lease request that was sent at `sent`; `lease` is `None` if none
    /// is known to be granted.
    pub fn on_lease_granted(&mut self, now: Instant, sent: Instant, lease: Option<u64>) {
        match lease {
            Some(id) => self.lease = Some(Lease { id, requested_at: sent }),
            None => self.pause_before_retry(now),
        }
    }

    /// Handles the outcome of an acquire.
    pub fn on_acquire(&mut self, now: Instant, outcome: AcquireOutcome) {
        self.state = match (outcome, self.lease) {
            (AcquireOutcome::Won { epoch }, Some(lease)) => self.leading(epoch, lease),
            (AcquireOutcome::LeaseExpired, _) => {
                self.lease = None;
                State::Unknown
            }
            // The next read of the key shows whether it was won or lost.
            (AcquireOutcome::Unknown, _) => {
                self.pause_before_retry(now);
                State::Unknown
            }
            (AcquireOutcome::Won { .. } | AcquireOutcome::Lost, _) => State::Unknown,
        }
    }

    /// Handles the result of a request to revoke a lease. `ended` says whether the lease is
    /// known not to exist any more.
    pub fn on_lease_revoked(&mut self, now: Instant, lease: u64, ended: bool) {
        if self.lease.is_some_and(|own| own.id == lease) {
            // The lease may be forgotten even if it might still exist: it expires by itself, which
            // deletes a key attached to it.
            self.lease = None;
        }
        if let State::Revoking { .. } = self.state {
            self.state = State::Unknown;
            if !ended {
                self.pause_before_retry(now);
            }
        }
    }

    /// Handles the outcome of a renewal that was sent at `sent`.
    pub fn on_renew(&mut self, now: Instant, sent: Instant, outcome: RenewOutcome) {
        let (ttl, new_expiry) = (self.ttl, self.lease_expiry(sent));
        let State::Leading { renew_at, lease_expiry, needs_confirmation, .. } = &mut self.state else {
            return;
        };
        match outcome {
            RenewOutcome::Renewed => {
                // If the lease had expired, the epoch continues only if we still hold the key. The
                // key is read before anything is done under the epoch.
                *needs_confirmation = now >= *lease_expiry;
                *lease_expiry = new_expiry;
                *renew_at = sent + ttl / RENEWALS_PER_LEASE;
                if let Some(lease) = &mut self.lease {
                    lease.requested_at = sent;
                }
            }
            RenewOutcome::LeaseExpired => {
                self.state = State::Unknown;
                self.lease = None;
            }
            RenewOutcome::Failed => *renew_at = now + ttl / RETRY_LEASE_DIVISOR,
        }
    }

    /// Handles the outcome of a watch of the leader key.
    pub fn on_watch(&mut self, now: Instant, outcome: WatchOutcome) {
        match outcome {
            WatchOutcome::Ended => {}
            WatchOutcome::Failed => self.on_store_failure(now),
        }
    }

    /// Pauses after a failed read or watch. A leader that was read long ago may have ended
    /// since: a follower no longer reports one after [`STALE_CONTACT_LEASES`] lease durations
    /// without contact to the store.
    fn on_store_failure(&mut self, now: Instant) {
        self.pause_before_retry(now);
        let is_stale = self.last_contact.is_none_or(|at| now >= at + self.ttl * STALE_CONTACT_LEASES);
        if is_stale && matches!(self.state, State::Following { .. }) {
            self.state = State::Unknown;
        }
    }

    fn pause_before_retry(&mut self, now: Instant) {
        self.paused_until = Some(now + self.ttl / RETRY_LEASE_DIVISOR);
    }

    /// Resigns the leadership of an epoch by revoking its lease. The next leader, which may be
    /// this controller again, starts from the records. If a leader that has dropped its
    /// in-memory state kept its lease, no controller could lead. An `epoch` other than the
    /// current one is ignored.
    pub fn resign(&mut self, epoch: u64) {
        if let (State::Leading { epoch: current, .. }, Some(lease)) = (&self.state, self.lease)
            && *current == epoch
        {
            self.state = State::Revoking { lease: lease.id };
        }
    }
}

/// The state in which the lease of the leader key is revoked; if the key has no lease, the
/// state in which the key is read again.
fn revoking(lease: Option<u64>) -> State {
    lease.map_or(State::Unknown, |lease| State::Revoking { lease })
}
