//! A stop signal that all async tasks of a process can wait for; it is fired once.

use async_std::channel;
use futures::future::{self, Either};
use std::future::Future;
use std::pin;

/// Fires the stop signal, at the latest when dropped.
#[derive(Debug)]
pub struct Trigger(Option<channel::Sender<()>>);

/// The receiving side of the stop signal; cheap to clone.
#[derive(Clone, Debug)]
pub struct Stop(channel::Receiver<()>);

/// Creates a trigger and its stop signal.
pub fn pair() -> (Trigger, Stop) {
    let (tx, rx) = channel::bounded(1);
    (Trigger(Some(tx)), Stop(rx))
}

impl Trigger {
    /// Fires the stop signal.
    pub fn fire(&mut self) {
        self.0.take();
    }
}

impl Stop {
    /// Waits until the trigger has fired or was dropped.
    pub async fn wait(&self) {
        while self.0.recv().await.is_ok() {}
    }

    /// The output of `work`, or `None` if the stop fires first; `work` is then dropped.
    pub async fn unless_fired<F: Future>(&self, work: F) -> Option<F::Output> {
        let work = pin::pin!(work);
        let stopped = pin::pin!(self.wait());
        match future::select(work, stopped).await {
            Either::Left((out, _)) => Some(out),
            Either::Right(_) => None,
        }
    }

    /// Whether the stop has fired.
    pub fn fired(&self) -> bool {
        self.0.is_closed()
    }
}
