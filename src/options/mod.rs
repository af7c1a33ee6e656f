//! Settings: one JSON file describes a whole cell; each process finds its own part by id.
//!
//! All fields are checked before a process starts. Unknown fields, values out of range, duplicate
//! ids and references to unknown failure domains are typed errors that name the field, and the
//! process does not start.

pub mod cell;
mod check;

pub use cell::{Cell, DomainSpec, EntrySpec, PlatformSettings, RunnerSettings, RunnerSpec, Timing};

use std::path::{Path, PathBuf};

/// The example cell of `examples/cell.json`, embedded so that the binary runs without a file.
pub const DEFAULT_CELL: &str = include_str!("../../examples/cell.json");

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read settings {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Invalid JSON, unknown or missing fields, or wrong types.
    #[error("settings are not valid: {0}")]
    Parse(#[from] serde_json::Error),
    /// A number outside its allowed range.
    #[error("settings field {field} = {value} is outside {min}..={max}")]
    Range {
        /// Dotted path of the field.
        field: String,
        /// The value given.
        value: u64,
        /// Smallest allowed.
        min: u64,
        /// Largest allowed.
        max: u64,
    },
    /// Two items share an id or an address.
    #[error("settings field {field} repeats {value}")]
    Duplicate {
        /// Dotted path of the field.
        field: String,
        /// The repeated value.
        value: String,
    },
    /// A reference to something the settings do not define.
    #[error("settings field {field} names {value}, which the settings do not define")]
    Unknown {
        /// Dotted path of the field.
        field: String,
        /// The name given.
        value: String,
    },
    /// A list that needs at least one item is empty.
    #[error("settings field {field} is empty")]
    Empty {
        /// Dotted path of the field.
        field: String,
    },
}

/// Reads and checks a cell file, or the embedded default when `path` is `None`.
pub fn load(path: Option<&Path>) -> Result<Cell, SettingsError> {
    let text = match path {
        Some(p) => std::fs::read_to_string(p)
            .map_err(|source| SettingsError::Read { path: p.to_path_buf(), source })?,
        None => DEFAULT_CELL.to_string(),
    };
    parse(&text)
}

/// Parses and checks settings text.
pub fn parse(text: &str) -> Result<Cell, SettingsError> {
    let cell: Cell = serde_json::from_str(text)?;
    check::cell(&cell)?;
    Ok(cell)
}
