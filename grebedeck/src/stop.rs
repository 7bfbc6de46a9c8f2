//! Graceful shutdown of entries and agents.

use std::time::Duration;

use grebedeck_kernel::{Clock, Kernel, log};

/// Interval at which a stopping process checks whether its services are idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for a signal to stop.
pub async fn wait_for_signal() -> anyhow::Result<()> {
    let (sender, receiver) = async_channel::bounded(1);
    ctrlc::set_handler(move || {
        let _ = sender.try_send(());
    })?;
    receiver.recv().await?;

    Ok(())
}

/// Stops all services and waits until they are idle; returns whether they were within `limit`.
pub async fn drain(kernel: &Kernel, limit: Duration) -> bool {
    let clock = Clock::default();
    log::info!("stopping", kv: { limit_ms = limit.as_millis() as u64 });
    kernel.begin_stop();

    while !kernel.is_idle() {
        if clock.now() >= limit {
            log::warn!("stopped with work in flight");
            return false;
        }

        async_std::task::sleep(IDLE_CHECK_INTERVAL).await;
    }

    log::info!("stopped");
    true
}
