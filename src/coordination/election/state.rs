//! The state machine of the election: outcomes of requests and time in, the next step out.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::election::steps::{AcquireOutcome, LeaderRead, RenewOutcome, Step, WatchOutcome};
use crate::coordination::election::{LeaderRecord, Role};

/// Part of the lease that is given up as a margin for clock drift, timer steps and late
/// wake-ups.
const CLOCK_DRIFT_MARGIN: f64 = 0.03;
/// Renewals within one duration of the lease.
const RENEWALS_PER_LEASE: u32 = 4;
/// Part of the lease that passes before a failed request is tried again.
const RETRY_LEASE_DIVISOR: u32 = 20;
/// Part of the lease after which a granted one is too old to acquire the key with: with
/// little time left, leadership would be lost soon after it was won.
const ACQUIRE_LEASE_DIVISOR: u32 = 3;
/// Leases without contact to the store after which a follower no longer names its leader.
const STALE_CONTACT_LEASES: u32 = 2;

/// A lease of the store that belongs to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    id: u64,
    /// When the last request was sent that certainly set its expiry.
    requested_at: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The leader key is to be read.
    Unknown,
    /// Nobody holds the leader key.
    Vacant,
    /// Another controller holds it.
    Following { holder: LeaderRecord },
    /// This controller holds it. `needs_confirmation`: the lease had expired before it
    /// was renewed, so the key must be read before anything is done in the epoch's name.
    Leading { epoch: u64, renew_at: Instant, lease_expiry: Instant, needs_confirmation: bool },
    /// A lease is to be ended, and the key with it.
    Revoking { lease: u64 },
}

/// The election of one process.
#[derive(Debug)]
pub struct Election {
    name: String,
    incarnation: String,
    /// Duration of the lease.
    ttl: Duration,
    state: State,
    lease: Option<Lease>,
    paused_until: Option<Instant>,
    /// When the store last answered who leads.
    last_contact: Option<Instant>,
}

impl Election {
    /// An election in which nothing is known yet. `incarnation` differs for each process of
    /// a controller's name; `ttl` is the duration of the lease.
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

    /// The result so far.
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

    /// Whether [`Self::role`] may be published: not while the key must be read first.
    pub(super) fn is_confirmed(&self) -> bool {
        !matches!(self.state, State::Leading { needs_confirmation: true, .. })
    }

    /// What to do now.
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

    /// The leader key was read, or could not be.
    pub fn on_read(&mut self, now: Instant, read: LeaderRead) {
        let holder = match read {
            LeaderRead::Held(holder) => Some(holder),
            LeaderRead::Vacant => None,
            LeaderRead::Failed => return self.on_no_answer(now),
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

    /// For a leader: whether it still holds the key. If not, its epoch is over.
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
                // The answer to our acquire was lost, but it was carried out.
                Some(lease) if holder.lease == Some(lease.id) => self.leading(holder.version, lease),
                // Ours, but by a lease whose expiry we no longer know.
                _ => revoking(holder.lease),
            };
        }
        // A controller's name is used by one process at a time: a later one is started only
        // once the former has ended. Whoever holds the key under our name with another
        // incarnation is therefore dead, sends nothing any more, and its lease may be ended at
        // once. What it sent before is fenced by the epoch like that of any other.
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

    /// When the lease ends by the local clock, counted from when the request was sent.
    fn lease_expiry(&self, sent: Instant) -> Instant {
        sent + self.ttl.mul_f64(1.0 - CLOCK_DRIFT_MARGIN)
    }

    /// A lease was granted to a request sent at that time; `None` if there was no answer.
    pub fn on_lease_granted(&mut self, now: Instant, sent: Instant, lease: Option<u64>) {
        match lease {
            Some(id) => self.lease = Some(Lease { id, requested_at: sent }),
            None => self.pause_before_retry(now),
        }
    }

    /// An acquire has ended.
    pub fn on_acquire(&mut self, now: Instant, outcome: AcquireOutcome) {
        self.state = match (outcome, self.lease) {
            (AcquireOutcome::Won { epoch }, Some(lease)) => self.leading(epoch, lease),
            (AcquireOutcome::LeaseExpired, _) => {
                self.lease = None;
                State::Unknown
            }
            // Whether it was won or lost is read from the key.
            (AcquireOutcome::Unknown, _) => {
                self.pause_before_retry(now);
                State::Unknown
            }
            (AcquireOutcome::Won { .. } | AcquireOutcome::Lost, _) => State::Unknown,
        }
    }

    /// A request to end a lease was answered; `ended` if the lease certainly is no more.
    pub fn on_lease_revoked(&mut self, now: Instant, lease: u64, ended: bool) {
        if self.lease.is_some_and(|own| own.id == lease) {
            // No harm if it has not ended for certain: it expires by itself, and a key
            // attached to it goes with it.
            self.lease = None;
        }
        if let State::Revoking { .. } = self.state {
            self.state = State::Unknown;
            if !ended {
                self.pause_before_retry(now);
            }
        }
    }

    /// A renewal that was sent at that time has ended.
    pub fn on_renew(&mut self, now: Instant, sent: Instant, outcome: RenewOutcome) {
        let (ttl, new_expiry) = (self.ttl, self.lease_expiry(sent));
        let State::Leading { renew_at, lease_expiry, needs_confirmation, .. } = &mut self.state else {
            return;
        };
        match outcome {
            RenewOutcome::Renewed => {
                // If it had expired, the epoch goes on only if the key is still ours; that is read
                // before anything is done in its name.
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

    /// A watch of the leader key has ended.
    pub fn on_watch(&mut self, now: Instant, outcome: WatchOutcome) {
        match outcome {
            WatchOutcome::Ended => {}
            WatchOutcome::Failed => self.on_no_answer(now),
        }
    }

    /// The store did not answer. Whoever led when it last did may be long dead: after two
    /// leases no leader is named any more.
    fn on_no_answer(&mut self, now: Instant) {
        self.pause_before_retry(now);
        let is_stale = self.last_contact.is_none_or(|at| now >= at + self.ttl * STALE_CONTACT_LEASES);
        if is_stale && matches!(self.state, State::Following { .. }) {
            self.state = State::Unknown;
        }
    }

    fn pause_before_retry(&mut self, now: Instant) {
        self.paused_until = Some(now + self.ttl / RETRY_LEASE_DIVISOR);
    }

    /// Resigns an epoch: whoever leads next, perhaps this controller, begins from the
    /// records. Otherwise a leader that has dropped its in-memory state would keep its lease,
    /// and nobody would lead. Other epochs than the present one are ignored.
    pub fn resign(&mut self, epoch: u64) {
        if let (State::Leading { epoch: current, .. }, Some(lease)) = (&self.state, self.lease)
            && *current == epoch
        {
            self.state = State::Revoking { lease: lease.id };
        }
    }
}

/// Ends the lease that the key is attached to; without one, the key is to be read again.
fn revoking(lease: Option<u64>) -> State {
    lease.map_or(State::Unknown, |lease| State::Revoking { lease })
}
