//! This controller's share of the store's rate limits, and the reserve that each request class
//! leaves for classes of higher priority.

use std::time::Duration;

use tokio::time::Instant;

use super::RequestClass;
use crate::settings::KvLimits;
use crate::storage::rate_limit::TokenBucket;

/// Share of the store's rates for each controller that does not lead.
const FOLLOWER_SHARE: f64 = 0.07;
/// Maximum number of followers for which the leader leaves a share.
const MAX_FOLLOWERS: f64 = 8.0;
/// Share of the rates that is used. It is slightly below 1 because the store's clock and this
/// controller's clock differ.
const USED_SHARE: f64 = 0.92;
/// The burst of a token bucket, in seconds of its rate.
const BURST_S: f64 = 0.8;
/// Minimum burst of a token bucket, in requests or writes.
const MIN_BURST: f64 = 4.0;
/// Number of requests that all other classes leave for renewals.
const RENEWAL_REQUEST_RESERVE: f64 = 2.0;
/// Number of writes that all other classes leave for renewals.
const RENEWAL_WRITE_RESERVE: f64 = 1.0;
/// Shortest wait for a rate limit. It prevents a busy loop due to rounding errors.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// Fraction of the write burst that a class leaves for classes of higher priority.
fn reserved_fraction(class: RequestClass) -> f64 {
    match class {
        RequestClass::Renewal | RequestClass::Cancellation | RequestClass::Admission => 0.0,
        RequestClass::Completion => 0.6,
        RequestClass::Progress | RequestClass::Background => 0.8,
    }
}

/// Number of writes that a class leaves for classes of higher priority in a token bucket of this
/// burst. Without this reserve, the classes of lower priority would use up all tokens as they
/// refill, and each admission would wait until the bucket has refilled by the tokens that the
/// admission needs.
pub(super) fn write_reserve(class: RequestClass, burst: f64) -> f64 {
    let min_reserve = if class == RequestClass::Renewal { 0.0 } else { RENEWAL_WRITE_RESERVE };
    (burst * reserved_fraction(class)).max(min_reserve)
}

/// Determines this controller's share of the store's rates.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateShare {
    /// Number of controllers in the cluster, this one included.
    pub(super) controllers: u32,
    /// Whether this controller leads.
    pub(super) leading: bool,
}

impl RateShare {
    /// The share of the store's rates, from 0 to 1.
    fn ratio(self) -> f64 {
        let followers = f64::from(self.controllers.max(1) - 1).min(MAX_FOLLOWERS);
        let ratio = if self.leading { 1.0 - FOLLOWER_SHARE * followers } else { FOLLOWER_SHARE };
        ratio * USED_SHARE
    }

    /// Creates a full bucket for this share of a rate per second.
    fn token_bucket(self, rate: f64) -> TokenBucket {
        let rate = rate * self.ratio();
        TokenBucket::new(rate, (rate * BURST_S).max(MIN_BURST), Instant::now())
    }
}

/// Token buckets for requests, and for puts and deletes.
pub(super) struct RateLimits {
    share: RateShare,
    requests: TokenBucket,
    writes: TokenBucket,
}

impl RateLimits {
    /// Creates full buckets for this share of the limits.
    pub(super) fn new(share: RateShare, limits: KvLimits) -> Self {
        let requests = share.token_bucket(limits.rps);
        let writes = share.token_bucket(limits.write_rps);
        RateLimits { share, requests, writes }
    }

    /// This controller's share of the store's request rate, in requests per second.
    pub(super) fn request_rate(&self, limits: KvLimits) -> f64 {
        limits.rps * self.share.ratio()
    }

    /// Replaces the buckets by full ones for another share of the limits.
    pub(super) fn set_share(&mut self, share: RateShare, limits: KvLimits) {
        *self = RateLimits::new(share, limits);
    }

    /// Replaces the buckets by empty ones for other limits: the tokens that the former limits
    /// allowed may have been spent already.
    pub(super) fn set_limits(&mut self, limits: KvLimits) {
        *self = RateLimits::new(self.share, limits);
        self.requests.drain();
        self.writes.drain();
    }

    /// How long a request of this class must wait; `None` if it may be sent now.
    pub(super) fn request_wait(&mut self, now: Instant, class: RequestClass) -> Option<Duration> {
        let reserve = if class == RequestClass::Renewal { 0.0 } else { RENEWAL_REQUEST_RESERVE };
        wait(&mut self.requests, now, 1.0, reserve)
    }

    /// How long this number of writes of a class must wait; `None` if they may be sent now.
    pub(super) fn write_wait(
        &mut self,
        now: Instant,
        class: RequestClass,
        writes: usize,
    ) -> Option<Duration> {
        let reserve = if writes == 0 { 0.0 } else { write_reserve(class, self.writes.burst()) };
        wait(&mut self.writes, now, tokens(writes), reserve)
    }

    /// Whether a batch may grow to this number of writes when a transaction of this class is
    /// added.
    pub(super) fn allows_batch(&mut self, now: Instant, class: RequestClass, writes: usize) -> bool {
        // Growing a batch never uses the last token, whatever the class.
        let reserve = write_reserve(class, self.writes.burst()).max(RENEWAL_WRITE_RESERVE);
        self.writes.allows(now, tokens(writes), reserve)
    }

    /// Counts one request.
    pub(super) fn spend_request(&mut self) {
        self.requests.spend(1.0);
    }

    /// Counts this number of puts and deletes.
    pub(super) fn spend_writes(&mut self, writes: usize) {
        self.writes.spend(tokens(writes));
    }
}

/// Converts a number of writes to tokens. The conversion is exact: a transaction holds far
/// fewer than 2^53 writes.
fn tokens(writes: usize) -> f64 {
    writes as f64
}

/// Time until `amount` tokens beyond `reserve` are available; `None` if they are now.
fn wait(bucket: &mut TokenBucket, now: Instant, amount: f64, reserve: f64) -> Option<Duration> {
    if bucket.allows(now, amount, reserve) {
        return None;
    }
    Some(bucket.wait(amount, reserve).max(MIN_WAIT))
}
