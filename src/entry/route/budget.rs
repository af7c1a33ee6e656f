//! The retry budget: each request earns a part of a retry, so that retries stay a fixed share of
//! the load. What goes wrong without it: when runners are slow every request is tried twice,
//! which makes them slower still.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// Cost of one retry, in hundredths.
const RETRY: u64 = 100;

/// Most saved up, in hundredths.
const MOST: u64 = 1_000;

/// Tokens that requests earn and retries spend.
#[derive(Debug, Serialize)]
pub struct Budget {
    /// Tokens left, in hundredths of a retry.
    tokens: AtomicU64,
    /// Earned per request, in hundredths (percent of requests).
    pct: u64,
}

impl Budget {
    /// A half-full budget that allows `pct` retries per 100 requests.
    pub fn new(pct: u64) -> Self {
        Self { tokens: AtomicU64::new(MOST / 2), pct }
    }

    /// A request came.
    pub fn earn(&self) {
        let add = |t: u64| Some((t + self.pct).min(MOST));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, if there is one.
    pub fn take(&self) -> bool {
        let sub = |t: u64| t.checked_sub(RETRY);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub).is_ok()
    }
}
