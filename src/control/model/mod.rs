//! Data model of the control plane: jobs, steps, tasks, queues and the catalogue, with the bounds
//! on their fields.

mod catalogue;
mod ids;
mod job;

pub use catalogue::{Approval, Catalogue, Queue};
pub use ids::{Attempt, BadAttempt, BadBorn, BadId, Born, JobId, RunnerKey, StepId, TaskId};
pub use job::{EndKind, Invalid, JobSpec, JobState, Step, MAX_WIDTH};

/// Longest duration that is accepted from a caller, the operator or a row, ms: 35 years. The sum of
/// the durations of all steps and occurrences of a job, and three times its objective, stay far
/// within 64 bits.
pub const MAX_MS: u64 = 1 << 40;

/// Latest time that is accepted, Unix ms: the year 10889.
pub const MAX_MOMENT: u64 = 1 << 48;

/// Largest accepted factor between a job's work and its objective. Its product with the longest
/// chain of work stays within 64 bits.
pub const MAX_SLACK: f64 = 1_000.0;

/// Maximum of each resource of a task, thousandths of a core and MiB: a thousand times the largest
/// machines there are. The sum over a million waiting jobs stays within 64 bits; without a bound
/// one job with an invalid value would corrupt the sum, which the plan for all others depends on.
pub const MAX_NEED: u64 = 1 << 32;
