//! Snapshot of the catalogue in the object store, from which an instance starts while the table is
//! unavailable. It may be out of date, and is replaced by any later version read from the table.

use crate::entry::catalogue::Catalogue;
use crate::standin::client::{Client, PlatformError};

fn object_name(domain: &str) -> String {
    format!("catalogue-{domain}")
}

/// Writes the catalogue snapshot of failure domain `domain`.
pub async fn save(platform: &Client, domain: &str, cat: &Catalogue) -> Result<(), PlatformError> {
    let text = serde_json::to_string(cat)
        .map_err(|e| PlatformError::Transport { detail: e.to_string() })?;
    platform.put_object(&object_name(domain), text).await.map(drop)
}

/// Reads the catalogue snapshot of failure domain `domain`; none if it is absent or unreadable.
pub async fn load(platform: &Client, domain: &str) -> Option<Catalogue> {
    let object = platform.get_object(&object_name(domain)).await.ok()?;
    serde_json::from_str(&object.body).ok()
}
