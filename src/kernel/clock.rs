//! The clock of a process: real time, or a manual clock that tests advance.
//!
//! async-std has no pausable clock, so every timer in the crate goes through [`Clock`]: `now`,
//! `sleep` and `timeout`. A test builds [`Clock::manual`] and moves time with
//! [`Clock::advance`]; sleepers wake in the order of their deadlines, independent of real time.

use futures::future::{self, Either};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// A point in time in ms: since the Unix epoch on a real clock (so that processes agree on
/// deadlines stored in the table), since creation on a manual one.
pub type Millis = u64;

/// The clock that all timers of a process use.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Wall time: `base` ms since the Unix epoch at the instant `start`.
    Real {
        /// When the clock was created.
        start: Instant,
        /// Unix ms at `start`.
        base: Millis,
    },
    /// Time that moves only when a test calls [`Clock::advance`].
    Manual(Arc<Mutex<Manual>>),
}

/// State of a manual clock: the time, and sleepers by (deadline, id).
#[derive(Debug, Default)]
pub struct Manual {
    now: Millis,
    last_id: u64,
    sleepers: BTreeMap<(Millis, u64), Waker>,
}

/// Error of [`Clock::timeout`]: the future did not complete within this many ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("timed out after {0} ms")]
pub struct Elapsed(pub Millis);

impl Clock {
    /// A clock on real time.
    pub fn real() -> Self {
        let base = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as Millis);
        Self::Real { start: Instant::now(), base }
    }

    /// A manual clock at time 0.
    pub fn manual() -> Self {
        Self::Manual(Arc::new(Mutex::new(Manual::default())))
    }

    /// The present time, see [`Millis`].
    pub fn now(&self) -> Millis {
        match self {
            Self::Real { start, base } => base + start.elapsed().as_millis() as Millis,
            Self::Manual(m) => m.lock().unwrap().now,
        }
    }

    /// Monotonic local time, ms. Unlike [`Clock::now`] it includes the time for which the system
    /// was suspended, so that a process that resumes does not consider an expired lease valid.
    pub fn mono(&self) -> Millis {
        match self {
            Self::Real { .. } => {
                let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
                t.tv_sec as Millis * 1000 + t.tv_nsec as Millis / 1_000_000
            }
            Self::Manual(m) => m.lock().unwrap().now,
        }
    }

    /// The system's wall-clock time, Unix ms; it can jump.
    pub fn wall(&self) -> Millis {
        match self {
            Self::Real { .. } => std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as Millis),
            Self::Manual(m) => m.lock().unwrap().now,
        }
    }

    /// Sleeps for `ms` milliseconds of this clock's time.
    pub async fn sleep(&self, ms: Millis) {
        match self {
            Self::Real { .. } => async_std::task::sleep(Duration::from_millis(ms)).await,
            Self::Manual(m) => {
                let until = m.lock().unwrap().now + ms;
                ManualSleep { clock: m.clone(), until, id: None }.await
            }
        }
    }

    /// Runs `fut` for at most `ms` milliseconds.
    pub async fn timeout<F: Future>(&self, ms: Millis, fut: F) -> Result<F::Output, Elapsed> {
        let fut = std::pin::pin!(fut);
        let timer = std::pin::pin!(self.sleep(ms));
        match future::select(fut, timer).await {
            Either::Left((out, _)) => Ok(out),
            Either::Right(((), _)) => Err(Elapsed(ms)),
        }
    }

    /// Moves a manual clock forward by `ms` and wakes every sleeper whose deadline has passed.
    ///
    /// Panics on a real clock.
    pub fn advance(&self, ms: Millis) {
        let Self::Manual(m) = self else { panic!("advance on a real clock") };
        let due: Vec<Waker> = {
            let mut state = m.lock().unwrap();
            state.now += ms;
            let first_later = (state.now + 1, 0);
            let later = state.sleepers.split_off(&first_later);
            std::mem::replace(&mut state.sleepers, later).into_values().collect()
        };
        due.into_iter().for_each(Waker::wake);
    }
}

struct ManualSleep {
    clock: Arc<Mutex<Manual>>,
    until: Millis,
    id: Option<u64>,
}

impl Future for ManualSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let clock = self.clock.clone();
        let mut state = clock.lock().unwrap();
        if state.now >= self.until {
            return Poll::Ready(());
        }
        let id = *self.id.get_or_insert_with(|| {
            state.last_id += 1;
            state.last_id
        });
        state.sleepers.insert((self.until, id), cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for ManualSleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            if let Ok(mut state) = self.clock.lock() {
                state.sleepers.remove(&(self.until, id));
            }
        }
    }
}
