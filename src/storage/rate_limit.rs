//! Token buckets, which limit how often requests are sent, and a limit on repeated log lines.

use std::time::Duration;

use tokio::time::Instant;

/// What rounding errors may add up to, in tokens.
const ROUNDING: f64 = 1e-9;
/// Longest wait that is returned at once, in seconds: callers ask again then.
const MAX_WAIT_S: f64 = 5.0;

/// A token bucket: tokens refill at a steady rate up to the burst, and each request or write
/// spends some. Spending more than there is leaves a debt, which refills first.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Most tokens that can be in the bucket.
    burst: f64,
    /// Tokens in the bucket; negative after more was spent than there was.
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket that refills at `rate` tokens per second up to `burst` tokens.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket { rate, burst, tokens: burst, refilled_at: now }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.refilled_at = now;
    }

    /// Whether `amount` tokens may be spent so that `reserve` tokens are left for others.
    pub fn allows(&mut self, now: Instant, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        // An amount beyond the burst must pass once the bucket is full, or it never would.
        self.tokens + ROUNDING >= (amount + reserve).min(self.burst)
    }

    /// Most tokens that can be in the bucket.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Removes all tokens; a debt stays.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    /// Takes `amount` tokens out, whether they are there or not.
    pub fn spend(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Time until `amount` tokens beyond `reserve` are there, as of the last call of
    /// [`TokenBucket::allows`]; `MAX_WAIT_S` at most.
    pub fn wait(&self, amount: f64, reserve: f64) -> Duration {
        let missing = ((amount + reserve).min(self.burst) - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / self.rate).min(MAX_WAIT_S))
    }
}

/// Limits how often a repeated failure is logged, and counts what was not logged.
#[derive(Debug, Default)]
pub struct LogThrottle {
    logged_at: Option<Instant>,
    /// Failures since the last log line.
    suppressed: u32,
}

impl LogThrottle {
    /// Least time between two log lines.
    const INTERVAL: Duration = Duration::from_secs(5);

    /// Counts one failure. If a line may be logged now, returns the number of failures since
    /// the last line, this one included.
    pub fn should_log(&mut self, now: Instant) -> Option<u32> {
        self.suppressed += 1;
        if self.logged_at.is_some_and(|at| now < at + Self::INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
