//! Token buckets, which limit how often requests are sent, and a limit on repeated log lines.

use std::time::Duration;

use tokio::time::Instant;

/// Tolerance for accumulated rounding errors, in tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Maximum wait that [`TokenBucket::wait`] returns, in seconds; callers then ask again.
const MAX_WAIT_S: f64 = 5.0;

/// A token bucket: tokens refill at a steady rate up to the burst, and each request or write
/// spends some. Spending more tokens than the bucket holds makes its balance negative.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Tokens in the bucket; negative if more were spent than it held.
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per second up to `burst` tokens.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket { rate, burst, tokens: burst, refilled_at: now }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
    }

    /// Whether `amount` tokens may be spent while leaving `reserve` tokens for others.
    pub fn allows(&mut self, now: Instant, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        // An amount beyond the burst passes once the bucket is full; otherwise it never would.
        self.tokens + ROUNDING_TOLERANCE >= (amount + reserve).min(self.burst)
    }

    /// Maximum number of tokens in the bucket.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Removes all tokens; a negative balance stays.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    /// Removes `amount` tokens; the balance may become negative.
    pub fn spend(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Time until `amount` tokens beyond `reserve` are available, as of the last call of
    /// [`TokenBucket::allows`]; at most `MAX_WAIT_S`.
    pub fn wait(&self, amount: f64, reserve: f64) -> Duration {
        let missing = ((amount + reserve).min(self.burst) - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / self.rate).min(MAX_WAIT_S))
    }
}

/// Limits how often a repeated failure is logged, and counts the failures not logged.
#[derive(Debug, Default)]
pub struct LogThrottle {
    logged_at: Option<Instant>,
    /// Failures since the last log line.
    suppressed: u32,
}

impl LogThrottle {
    /// Minimum time between two log lines.
    const INTERVAL: Duration = Duration::from_secs(5);

    /// Counts one failure. If a line may be logged now, returns the number of failures since
    /// the last line, this one included.
    pub fn record_failure(&mut self, now: Instant) -> Option<u32> {
        self.suppressed += 1;
        if self.logged_at.is_some_and(|at| now < at + Self::INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
