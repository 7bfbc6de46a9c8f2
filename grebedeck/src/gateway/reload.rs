//! Taking changed settings in force.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use grebedeck_kernel::log;

use super::options::GatewaySettings;
use super::service::Gateway;
use crate::settings;

/// How often the settings file is looked at, as it may change without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Reads the settings file and puts it in force whole, or keeps the settings in force.
pub fn reload(gateway: &Gateway, file: &Path, cause: &str) {
    let read: anyhow::Result<GatewaySettings> = settings::read(file);

    match read {
        Ok(new) => {
            let fixed = new.changed_fixed_fields(&gateway.settings());
            gateway.set_settings(new);
            log::info!("reload", kv: {
                cause, outcome = "in force", needs_restart = fixed.join(","),
            });
        }
        Err(error) => {
            log::error!("reload", kv: { cause, outcome = "refused", error = error.to_string() });
        }
    }
}

/// Looks for changes of the settings file until the task is dropped.
pub async fn follow_file(gateway: Rc<Gateway>, file: std::path::PathBuf) {
    let mut known = changed_at(&file);

    loop {
        async_std::task::sleep(LOOK_PERIOD).await;
        let seen = changed_at(&file);

        if seen != known {
            known = seen;
            reload(&gateway, &file, "file");
        }
    }
}

fn changed_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
