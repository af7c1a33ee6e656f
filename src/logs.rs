//! Structured logs: one JSON line per change of state, through `log` and `fern`.

use log::LevelFilter;

/// Errors of log set-up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// A logger was set already.
    #[error("logger already set: {0}")]
    Set(#[from] log::SetLoggerError),
}

/// Sends log lines as JSON to standard error, tagged with the process's `role` and `id`.
pub fn init(role: &str, id: &str, level: LevelFilter) -> Result<(), LogError> {
    let (role, id) = (role.to_string(), id.to_string());
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let now = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map(|d| d.as_millis())
                .unwrap_or(0);
            let line = serde_json::json!({
                "t_ms": now,
                "level": record.level().as_str(),
                "role": role,
                "id": id,
                "target": record.target(),
                "msg": message.to_string(),
            });
            out.finish(format_args!("{line}"))
        })
        .level(level)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
