//! The catalogue: entries with an owner, a team, a class of work and its limits. Each accepted edit
//! gets the next version by a conditional write. Instances update to later versions only, and keep
//! the last one while the table is unavailable.

use crate::entry::rows::{self, CatVersion};
use crate::kernel::res::{Class, Resources};
use crate::standin::client::{Client, PlatformError};
use crate::standin::table::{Cond, Op, Outcome, Txn};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest name of an entry, owner or team, in bytes.
pub const MAX_NAME: usize = 128;

/// Most log rows read to catch up. An instance that is further behind reads the whole catalogue.
pub const MAX_DELTA: u64 = 64;

/// One catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatEntry {
    /// Unique name, such as `cronometria/splits`.
    pub name: String,
    /// Customer that owns the entry.
    pub owner: String,
    /// Team whose quota the entry uses.
    pub team: String,
    /// Class of the entry's work.
    pub class: Class,
    /// Most resources that one task may declare.
    pub limits: Resources,
    /// Most resources that the team's tasks may hold at once in one failure domain.
    pub quota: Resources,
}

/// An operator's edit: upserts and removals, based on the version that the operator read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Catalogue version on which the edit is based. Any other current version is a conflict.
    pub base: u64,
    /// Entries to add or replace.
    #[serde(default)]
    pub entries: Vec<CatEntry>,
    /// Names of entries to remove.
    #[serde(default)]
    pub remove: Vec<String>,
}

/// The catalogue as one instance holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Version of the catalogue; 0 for none.
    pub version: u64,
    /// Entries by name.
    pub entries: BTreeMap<String, CatEntry>,
}

/// Reason why an edit was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EditError {
    /// The edit is malformed. Nothing was changed.
    #[error("invalid edit: {field}: {why}")]
    Invalid {
        /// Path of the invalid field.
        field: String,
        /// Rule that the field violates.
        why: &'static str,
    },
    /// Another edit was committed first. Nothing was changed; the operator must read the catalogue
    /// and base the edit on `current`.
    #[error("catalogue is at version {current}, edit was against {base}")]
    Conflict {
        /// Version on which the edit is based.
        base: u64,
        /// Current version.
        current: u64,
    },
    /// The table could not be reached. No change is confirmed.
    #[error("table: {0}")]
    Platform(#[from] PlatformError),
}

impl Edit {
    /// Checks names and ranges, before anything is written.
    pub fn check(&self) -> Result<(), EditError> {
        let invalid = |field: String, why| Err(EditError::Invalid { field, why });
        if self.entries.is_empty() && self.remove.is_empty() {
            return invalid("entries".into(), "edit changes nothing");
        }
        let mut seen = std::collections::BTreeSet::new();
        for (i, e) in self.entries.iter().enumerate() {
            let valid_name = |s: &str| {
                !s.is_empty()
                    && s.len() <= MAX_NAME
                    && s.chars().all(|c| c.is_ascii_alphanumeric() || "-_/.".contains(c))
            };
            if !valid_name(&e.name) {
                return invalid(format!("entries[{i}].name"), "must be 1-128 of [A-Za-z0-9-_/.]");
            }
            if !valid_name(&e.owner) || !valid_name(&e.team) {
                return invalid(format!("entries[{i}].owner"), "owner and team must be names");
            }
            if e.limits.cpu == 0 || e.limits.mem == 0 {
                return invalid(format!("entries[{i}].limits"), "cpu and mem must be above 0");
            }
            if !e.limits.fits(&e.quota) {
                return invalid(
                    format!("entries[{i}].quota"),
                    "must hold at least one task's limits",
                );
            }
            if !seen.insert(e.name.clone()) {
                return invalid(format!("entries[{i}].name"), "named twice in one edit");
            }
        }
        for (i, r) in self.remove.iter().enumerate() {
            if !seen.insert(r.clone()) {
                return invalid(format!("remove[{i}]"), "named twice in one edit");
            }
        }
        Ok(())
    }
}

impl Catalogue {
    /// Applies the edit of `version` and returns whether it did. An equal or earlier version is
    /// ignored, so the catalogue never reverts.
    pub fn apply(&mut self, version: u64, edit: &Edit) -> bool {
        if version <= self.version {
            return false;
        }
        for e in &edit.entries {
            self.entries.insert(e.name.clone(), e.clone());
        }
        for r in &edit.remove {
            self.entries.remove(r);
        }
        self.version = version;
        true
    }
}

/// Reads the catalogue's version in the table, and the version of the row that stores it; 0 if
/// absent.
async fn version(table: &Client) -> Result<(u64, u64), PlatformError> {
    let row = rows::read::<CatVersion>(table, rows::CATVER.into()).await?;
    Ok(row.map_or((0, 0), |(v, row)| (v.version, row)))
}

/// Commits `edit` as the next version and returns that version. Of two concurrent edits one is
/// committed, and the other gets [`EditError::Conflict`] with the current version.
pub async fn commit(table: &Client, edit: &Edit) -> Result<u64, EditError> {
    edit.check()?;
    let (current, row_version) = version(table).await?;
    if current != edit.base {
        return Err(EditError::Conflict { base: edit.base, current });
    }
    let next = current + 1;
    let mut ops = vec![
        Op::Put { key: rows::CATVER.into(), value: rows::encode(&CatVersion { version: next }) },
        Op::Put { key: rows::catlog_key(next), value: rows::encode(edit) },
    ];
    ops.extend(
        edit.entries
            .iter()
            .map(|e| Op::Put { key: rows::cat_key(&e.name), value: rows::encode(e) }),
    );
    ops.extend(edit.remove.iter().map(|n| Op::Delete { key: rows::cat_key(n) }));
    let txn = Txn {
        conds: vec![Cond::Version { key: rows::CATVER.into(), version: row_version }],
        ops,
        idem: None,
    };
    match table.txn(&txn).await? {
        Outcome::Committed { .. } => Ok(next),
        Outcome::Conflict { .. } => {
            // Another edit was committed between the read and the write; report its version.
            let (current, _) = version(table).await?;
            Err(EditError::Conflict { base: edit.base, current })
        }
    }
}

/// Updates `cat` to the version in the table, from the log rows since its version or, if it is too
/// far behind, from the whole catalogue. Returns whether it changed.
pub async fn catch_up(table: &Client, cat: &mut Catalogue) -> Result<bool, PlatformError> {
    let (latest, _) = version(table).await?;
    if latest <= cat.version {
        return Ok(false);
    }
    if latest - cat.version <= MAX_DELTA {
        let keys = (cat.version + 1..=latest).map(rows::catlog_key).collect();
        let log = table.get(keys).await?;
        let mut changed = false;
        for v in cat.version + 1..=latest {
            let Some(edit) =
                log.get(&rows::catlog_key(v)).and_then(|r| rows::decode::<Edit>(&r.value))
            else {
                break;
            };
            changed |= cat.apply(v, &edit);
        }
        return Ok(changed);
    }
    let all = table.scan("cat/").await?;
    let entries: BTreeMap<String, CatEntry> = all
        .values()
        .filter_map(|r| rows::decode::<CatEntry>(&r.value))
        .map(|e| (e.name.clone(), e))
        .collect();
    *cat = Catalogue { version: latest, entries };
    Ok(true)
}
