//! A stop signal that every task of a process can wait on; the parent fires it once.

use async_std::channel;
use futures::future::{self, Either};
use std::future::Future;
use std::pin;

/// Fires the stop when called or dropped.
#[derive(Debug)]
pub struct Trigger(Option<channel::Sender<()>>);

/// Waits for the stop; cheap to clone.
#[derive(Clone, Debug)]
pub struct Stop(channel::Receiver<()>);

/// A new trigger and its stop.
pub fn pair() -> (Trigger, Stop) {
    let (tx, rx) = channel::bounded(1);
    (Trigger(Some(tx)), Stop(rx))
}

impl Trigger {
    /// Fires the stop.
    pub fn fire(&mut self) {
        self.0.take();
    }
}

impl Stop {
    /// Resolves once the trigger fired or was dropped.
    pub async fn wait(&self) {
        while self.0.recv().await.is_ok() {}
    }

    /// What `work` comes to, or none if the stop fires before it ends: it is then dropped.
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
