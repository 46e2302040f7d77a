//! How often requests are sent, and failures logged.

use std::time::Duration;

use tokio::time::Instant;

/// An allowance that refills steadily and holds at most one second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket { rate, burst, tokens: burst, refilled_at: now }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.refilled_at = now;
    }

    /// Whether `amount` may be spent while `reserve` stays for others.
    pub fn allows(&mut self, now: Instant, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        // What exceeds the whole allowance must pass once it is full.
        self.tokens + 1e-9 >= (amount + reserve).min(self.burst)
    }

    /// The most that can gather.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Begins anew without any allowance gathered.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    pub fn spend(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Time until `amount` beyond `reserve` is there.
    pub fn wait(&self, amount: f64, reserve: f64) -> Duration {
        let missing = ((amount + reserve).min(self.burst) - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / self.rate).min(5.0))
    }
}

/// Says that something is wrong at most once in a while.
#[derive(Debug, Default)]
pub struct LogThrottle {
    logged_at: Option<Instant>,
    suppressed: u32,
}

impl LogThrottle {
    const INTERVAL: Duration = Duration::from_secs(5);

    /// How many there have been, if now is the time to say so.
    pub fn should_log(&mut self, now: Instant) -> Option<u32> {
        self.suppressed += 1;
        if self.logged_at.is_some_and(|at| now < at + Self::INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
