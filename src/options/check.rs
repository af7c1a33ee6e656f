//! Checks of parsed settings: ranges, unique ids and addresses, references to failure domains.

use super::{Cell, SettingsError};
use std::collections::BTreeSet;

fn range(field: &str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Range { field: field.to_string(), value, min, max })
    }
}

fn unique<'a>(field: &str, items: impl Iterator<Item = String> + 'a) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for v in items {
        if !seen.insert(v.clone()) {
            return Err(SettingsError::Duplicate { field: field.to_string(), value: v });
        }
    }
    Ok(())
}

/// Checks `cell`; the error names the first invalid field.
pub fn cell(cell: &Cell) -> Result<(), SettingsError> {
    let p = &cell.platform;
    range("platform.writes", p.writes.into(), 1, 1_000_000)?;
    range("platform.reads", p.reads.into(), 1, 1_000_000)?;
    range("platform.usage_lag_ms", p.usage_lag_ms, 0, 60_000)?;
    range("platform.instance_lag_ms", p.instance_lag_ms, 0, 60_000)?;
    if p.domains.is_empty() {
        return Err(SettingsError::Empty { field: "platform.domains".into() });
    }
    unique("platform.domains.name", p.domains.iter().map(|d| d.name.clone()))?;
    for (i, d) in p.domains.iter().enumerate() {
        range(&format!("platform.domains[{i}].racks"), d.racks.into(), 1, 1000)?;
        range(&format!("platform.domains[{i}].workers"), d.workers.into(), 1, 1000)?;
        range(&format!("platform.domains[{i}].worker.cpu"), d.worker.cpu, 1, 10_000_000)?;
        range(&format!("platform.domains[{i}].worker.mem"), d.worker.mem, 1, 1 << 40)?;
    }
    let t = &cell.timing;
    range("timing.lease_ms", t.lease_ms, 100, 600_000)?;
    range("timing.heartbeat_ms", t.heartbeat_ms, 10, t.lease_ms / 2)?;
    range("timing.round_ms", t.round_ms, 5, 60_000)?;
    range("timing.watch_ms", t.watch_ms, 10, 15_000)?;
    range("timing.lookup_ms", t.lookup_ms, 1, 60_000)?;
    range("timing.write_ms", t.write_ms, 1, 600_000)?;
    range("timing.hedge_ms", t.hedge_ms, 1, t.lookup_ms)?;
    range("timing.retry_pct", t.retry_pct, 0, 100)?;
    range("timing.ping_ms", t.ping_ms, 10, 60_000)?;
    range("timing.idle_ms", t.idle_ms, t.ping_ms * 2, 600_000)?;
    range("timing.instances_ms", t.instances_ms, 10, 60_000)?;
    range("timing.hold_ms", t.hold_ms, t.lease_ms, 600_000)?;
    range("timing.linger_ms", t.linger_ms, 0, 60_000)?;
    range("timing.ledger_ms", t.ledger_ms, 1, 10_000)?;
    range("timing.keep_ms", t.keep_ms, t.hold_ms, 30 * 86_400_000)?;
    range("timing.sweep_ms", t.sweep_ms, 100, 86_400_000)?;
    let r = &cell.runner;
    range("runner.slots", r.slots.into(), 1, 4096)?;
    range("runner.connections", r.connections.into(), 1, 65_536)?;
    range("runner.service_ms", r.service_ms, 0, 60_000)?;
    if cell.entries.is_empty() {
        return Err(SettingsError::Empty { field: "entries".into() });
    }
    unique("entries.id", cell.entries.iter().map(|e| e.id.clone()))?;
    unique("runners.id", cell.runners.iter().map(|r| r.id.clone()))?;
    let addrs = cell
        .entries
        .iter()
        .map(|e| e.listen.to_string())
        .chain(cell.runners.iter().flat_map(|r| [r.listen.to_string(), r.admin.to_string()]));
    unique("listen", addrs.chain([p.listen.to_string()]))?;
    for (i, e) in cell.entries.iter().enumerate() {
        if cell.domain(&e.domain).is_none() {
            let field = format!("entries[{i}].domain");
            return Err(SettingsError::Unknown { field, value: e.domain.clone() });
        }
    }
    for (i, r) in cell.runners.iter().enumerate() {
        if cell.domain(&r.domain).is_none() {
            let field = format!("runners[{i}].domain");
            return Err(SettingsError::Unknown { field, value: r.domain.clone() });
        }
    }
    Ok(())
}
