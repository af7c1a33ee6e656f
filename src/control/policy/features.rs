//! Scheduling features that a deployment may ask for, and when they are on by default. No I/O.
//!
//! They trade work in progress for capacity, so that by default they are on only where an
//! interrupted task is soon at work again.

use serde::Deserialize;

/// Highest interruption cost at which [`Mode::Auto`] switches a feature on, ms: a job whose
/// objective is some seconds can bear it.
const MAX_INTERRUPTION_MS: u64 = 1_000;

/// How a feature is switched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// On if an interruption costs at most a second.
    #[default]
    Auto,
    /// Always on.
    On,
    /// Always off.
    Off,
}

impl Mode {
    /// Whether the feature is on at this interruption cost, ms; `None` if that is not known.
    pub fn enabled(self, interruption_ms: Option<u64>) -> bool {
        match self {
            Self::Auto => interruption_ms.is_some_and(|ms| ms <= MAX_INTERRUPTION_MS),
            Self::On => true,
            Self::Off => false,
        }
    }
}

/// How each feature is switched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Modes {
    /// See [`Features::overload_control`].
    pub overload_control: Mode,
    /// See [`Features::urgent_preemption`].
    pub urgent_preemption: Mode,
    /// See [`Features::runner_speeds`].
    pub runner_speeds: Mode,
}

impl Modes {
    /// The features that are on at this interruption cost, ms.
    pub fn features(self, interruption_ms: Option<u64>) -> Features {
        Features {
            overload_control: self.overload_control.enabled(interruption_ms),
            urgent_preemption: self.urgent_preemption.enabled(interruption_ms),
            runner_speeds: self.runner_speeds.enabled(interruption_ms),
        }
    }
}

/// Features that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Jobs that cannot earn anything are deferred, or rejected when they are submitted.
    pub overload_control: bool,
    /// Urgent steps preempt tasks of non-urgent queues, and capacity kept for them follows their
    /// demand.
    pub urgent_preemption: bool,
    /// Speeds of runners are learned and used for placement.
    pub runner_speeds: bool,
}

/// What a task that writes a checkpoint every `checkpoint_s` loses on average when it is
/// interrupted, ms.
pub fn interruption_ms(stop_ms: u64, restore_ms: u64, checkpoint_s: f64) -> u64 {
    stop_ms + restore_ms + (checkpoint_s * 500.0) as u64
}
