//! Tests of the settings: the example cell is valid and documents every field, and each invalid
//! file is refused with an error that names the field.

use assert_matches::assert_matches;
use currantgw::options::{self, SettingsError};

#[test]
fn example_cell_is_valid_and_embedded() {
    let cell = options::parse(options::DEFAULT_CELL).unwrap();
    assert_eq!(cell.entries.len(), 3);
    assert_eq!(cell.runners.len(), 4);
    assert_eq!(cell.platform.domains.len(), 2);
    let from_file = options::load(Some(std::path::Path::new("examples/cell.json"))).unwrap();
    assert_eq!(serde_json::to_value(&cell).unwrap(), serde_json::to_value(&from_file).unwrap());
}

/// Every field of the settings is in the example and in the operators' page, so that an operator
/// finds every setting and its default in both.
#[test]
fn every_setting_is_in_the_example_and_documented() {
    let example: serde_json::Value = serde_json::from_str(options::DEFAULT_CELL).unwrap();
    let full = serde_json::to_value(options::parse(options::DEFAULT_CELL).unwrap()).unwrap();
    assert_eq!(example, full, "examples/cell.json must spell out every field");
    let page = std::fs::read_to_string("docs/ops/settings.md").unwrap();
    let mut missing = Vec::new();
    fn walk(v: &serde_json::Value, path: &str, out: &mut Vec<String>) {
        match v {
            serde_json::Value::Object(m) => {
                for (k, v) in m {
                    let p = if path.is_empty() { k.clone() } else { format!("{path}.{k}") };
                    out.push(p.clone());
                    walk(v, &p, out);
                }
            }
            serde_json::Value::Array(a) => {
                a.iter().take(1).for_each(|v| walk(v, &format!("{path}[]"), out))
            }
            _ => {}
        }
    }
    let mut fields = Vec::new();
    walk(&full, "", &mut fields);
    for f in fields {
        if !page.contains(&format!("`{f}`")) {
            missing.push(f);
        }
    }
    assert!(missing.is_empty(), "docs/ops/settings.md lacks {missing:?}");
}

fn load_error(name: &str) -> SettingsError {
    let path = format!("tests/invalid_settings/{name}");
    options::load(Some(std::path::Path::new(&path))).unwrap_err()
}

#[test]
fn unknown_field_is_refused() {
    assert_matches!(load_error("unknown_field.json"), SettingsError::Parse(e) if e.to_string().contains("colour"));
}

#[test]
fn malformed_json_is_refused() {
    assert_matches!(load_error("malformed.json"), SettingsError::Parse(_));
}

#[test]
fn heartbeat_longer_than_half_a_lease_is_refused() {
    assert_matches!(load_error("heartbeat_range.json"), SettingsError::Range { field, .. } if field == "timing.heartbeat_ms");
}

#[test]
fn entry_in_unknown_domain_is_refused() {
    assert_matches!(load_error("unknown_domain.json"), SettingsError::Unknown { field, .. } if field == "entries[0].domain");
}

#[test]
fn duplicate_entry_id_is_refused() {
    assert_matches!(load_error("duplicate_id.json"), SettingsError::Duplicate { field, .. } if field == "entries.id");
}

#[test]
fn no_domains_is_refused() {
    assert_matches!(load_error("no_domains.json"), SettingsError::Empty { field } if field == "platform.domains");
}

#[test]
fn missing_file_is_refused() {
    assert_matches!(load_error("no_such_file.json"), SettingsError::Read { .. });
}
