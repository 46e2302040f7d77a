//! How often requests are sent, and failures logged.

use std::time::Duration;

use tokio::time::Instant;

/// An allowance that refills steadily and holds at most one second's worth.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Bucket { rate, burst, level: burst, at: now }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = now;
    }

    /// Whether `amount` may be spent while `reserve` stays for others.
    pub fn allows(&mut self, now: Instant, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        // What exceeds the whole allowance must pass once it is full.
        self.level + 1e-9 >= (amount + reserve).min(self.burst)
    }

    /// The most that can gather.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Begins anew without any allowance gathered.
    pub fn empty(&mut self) {
        self.level = self.level.min(0.0);
    }

    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Time until `amount` beyond `reserve` is there.
    pub fn wait(&self, amount: f64, reserve: f64) -> Duration {
        let missing = ((amount + reserve).min(self.burst) - self.level).max(0.0);
        Duration::from_secs_f64((missing / self.rate).min(5.0))
    }
}

/// Says that something is wrong at most once in a while.
#[derive(Debug, Default)]
pub struct Complaints {
    at: Option<Instant>,
    unsaid: u32,
}

impl Complaints {
    const EVERY: Duration = Duration::from_secs(5);

    /// How many there have been, if now is the time to say so.
    pub fn due(&mut self, now: Instant) -> Option<u32> {
        self.unsaid += 1;
        if self.at.is_some_and(|at| now < at + Self::EVERY) {
            return None;
        }
        self.at = Some(now);
        Some(std::mem::take(&mut self.unsaid))
    }
}
