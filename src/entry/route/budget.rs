//! Retry budget. Each request earns a fraction of a retry, so that retries stay a fixed share of
//! the load. Without it, every request would be sent twice when runners are slow, which would make
//! them slower still.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// Tokens that one retry costs, in hundredths of a retry.
const RETRY_COST: u64 = 100;

/// Most tokens that the budget holds, in hundredths of a retry.
const MAX_TOKENS: u64 = 1_000;

/// Token bucket that requests fill and retries drain.
#[derive(Debug, Serialize)]
pub struct Budget {
    /// Tokens available, in hundredths of a retry.
    tokens: AtomicU64,
    /// Tokens that a request earns, in hundredths of a retry: the percentage of requests that may
    /// be retried.
    pct: u64,
}

impl Budget {
    /// Creates a half-full budget that allows `pct` retries per 100 requests.
    pub fn new(pct: u64) -> Self {
        Self { tokens: AtomicU64::new(MAX_TOKENS / 2), pct }
    }

    /// Adds the tokens of one request.
    pub fn earn(&self) {
        let add = |t: u64| Some((t + self.pct).min(MAX_TOKENS));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes the tokens of one retry; false if there are too few.
    pub fn try_take(&self) -> bool {
        let sub = |t: u64| t.checked_sub(RETRY_COST);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub).is_ok()
    }
}
