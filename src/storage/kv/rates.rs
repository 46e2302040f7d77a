//! The part of the store's rate limits that this controller uses, and what each request class
//! leaves unused for those of higher priority.

use std::time::Duration;

use tokio::time::Instant;

use super::RequestClass;
use crate::settings::KvLimits;
use crate::storage::rate_limit::TokenBucket;

/// Part of the store's rates that is left to each controller that does not lead.
const FOLLOWER_RATIO: f64 = 0.07;
/// Most followers that the leader leaves a part to.
const MAX_FOLLOWERS: f64 = 8.0;
/// Part of the rates that is used at all: a little less than the whole, as the store's clock
/// and ours differ.
const RATE_RATIO: f64 = 0.92;
/// Seconds' worth of the rate that may be spent at once.
const BURST_RATIO: f64 = 0.8;
/// Least number of requests or writes that may be spent at once.
const MIN_BURST: f64 = 4.0;
/// Requests that all other classes leave for renewals.
const RENEWAL_REQUEST_RESERVE: f64 = 2.0;
/// Writes that all other classes leave for renewals.
const RENEWAL_WRITE_RESERVE: f64 = 1.0;
/// Shortest wait for a rate limit, so that rounding cannot make the actor spin.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// The part of the write burst that a class leaves to those of higher priority.
fn reserved_part(class: RequestClass) -> f64 {
    match class {
        RequestClass::Renewal | RequestClass::Cancellation | RequestClass::Admission => 0.0,
        RequestClass::Completion => 0.6,
        RequestClass::Progress | RequestClass::Background => 0.8,
    }
}

/// Writes that a class leaves for those of higher priority in a token bucket of this burst.
/// Otherwise the classes that nobody waits for would use up all tokens as they come, and each
/// admission would wait until the bucket has refilled by what it needs.
pub(super) fn write_reserve(class: RequestClass, burst: f64) -> f64 {
    let least = if class == RequestClass::Renewal { 0.0 } else { RENEWAL_WRITE_RESERVE };
    (burst * reserved_part(class)).max(least)
}

/// What determines this controller's part of the store's rates.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateShare {
    /// Number of controllers in the cluster, this one included.
    pub(super) controllers: u32,
    /// Whether this controller leads.
    pub(super) leading: bool,
}

impl RateShare {
    /// The part of the store's rates, from 0 to 1.
    fn ratio(self) -> f64 {
        let followers = f64::from(self.controllers.max(1) - 1).min(MAX_FOLLOWERS);
        let ratio = if self.leading { 1.0 - FOLLOWER_RATIO * followers } else { FOLLOWER_RATIO };
        ratio * RATE_RATIO
    }

    /// A full bucket for this part of a rate per second.
    fn token_bucket(self, rate: f64) -> TokenBucket {
        let rate = rate * self.ratio();
        TokenBucket::new(rate, (rate * BURST_RATIO).max(MIN_BURST), Instant::now())
    }
}

/// Token buckets for requests, and for puts and deletes.
pub(super) struct RateLimits {
    share: RateShare,
    requests: TokenBucket,
    writes: TokenBucket,
}

impl RateLimits {
    /// Full buckets for this part of the limits.
    pub(super) fn new(share: RateShare, limits: KvLimits) -> Self {
        let requests = share.token_bucket(limits.rps);
        let writes = share.token_bucket(limits.write_rps);
        RateLimits { share, requests, writes }
    }

    /// Starts anew with another part of the limits, with full buckets.
    pub(super) fn set_share(&mut self, share: RateShare, limits: KvLimits) {
        *self = RateLimits::new(share, limits);
    }

    /// Starts anew under other limits, with empty buckets: what the former limits allowed may
    /// have been spent already.
    pub(super) fn set_limits(&mut self, limits: KvLimits) {
        *self = RateLimits::new(self.share, limits);
        self.requests.drain();
        self.writes.drain();
    }

    /// How long a request of this class must wait, if it must.
    pub(super) fn request_wait(&mut self, now: Instant, class: RequestClass) -> Option<Duration> {
        let reserve = if class == RequestClass::Renewal { 0.0 } else { RENEWAL_REQUEST_RESERVE };
        wait(&mut self.requests, now, 1.0, reserve)
    }

    /// How long so many writes of this class must wait, if they must.
    pub(super) fn write_wait(
        &mut self,
        now: Instant,
        class: RequestClass,
        writes: usize,
    ) -> Option<Duration> {
        let reserve = if writes == 0 { 0.0 } else { write_reserve(class, self.writes.burst()) };
        wait(&mut self.writes, now, tokens(writes), reserve)
    }

    /// Whether a batch may grow to so many writes by adding a transaction of this class.
    pub(super) fn allows_batch(&mut self, now: Instant, class: RequestClass, writes: usize) -> bool {
        // Growing a batch never uses the last token, whatever the class.
        let reserve = write_reserve(class, self.writes.burst()).max(RENEWAL_WRITE_RESERVE);
        self.writes.allows(now, tokens(writes), reserve)
    }

    /// Counts one request.
    pub(super) fn spend_request(&mut self) {
        self.requests.spend(1.0);
    }

    /// Counts so many puts and deletes.
    pub(super) fn spend_writes(&mut self, writes: usize) {
        self.writes.spend(tokens(writes));
    }
}

/// Tokens for so many writes. Exact: a transaction holds far fewer than 2^53.
fn tokens(writes: usize) -> f64 {
    writes as f64
}

/// How long `amount` tokens beyond `reserve` take to be there, unless they are already.
fn wait(bucket: &mut TokenBucket, now: Instant, amount: f64, reserve: f64) -> Option<Duration> {
    if bucket.allows(now, amount, reserve) {
        return None;
    }
    Some(bucket.wait(amount, reserve).max(MIN_WAIT))
}
