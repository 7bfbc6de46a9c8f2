//! Reload of the settings file while the process runs.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use grebedeck_kernel::log;

use super::options::GatewaySettings;
use super::service::Gateway;
use crate::settings;

/// Interval at which the settings file is checked, as it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings file and applies all of it; if it is invalid, keeps the current settings.
pub fn reload(gateway: &Gateway, file: &Path, cause: &str) {
    let read: anyhow::Result<GatewaySettings> = settings::read(file);

    match read {
        Ok(new) => {
            let needs_restart = new.changed_fixed_fields(&gateway.settings());
            gateway.set_settings(new);
            log::info!("reload", kv: {
                cause, outcome = "in force", needs_restart = needs_restart.join(","),
            });
        }
        Err(error) => {
            log::error!("reload", kv: { cause, outcome = "refused", error = error.to_string() });
        }
    }
}

/// Reloads the settings file whenever it has changed, until the task is dropped.
pub async fn follow_file(gateway: Rc<Gateway>, file: std::path::PathBuf) {
    let mut known = modified_at(&file);

    loop {
        async_std::task::sleep(CHECK_INTERVAL).await;
        let current = modified_at(&file);

        if current != known {
            known = current;
            reload(&gateway, &file, "file");
        }
    }
}

fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
