//! Stopping a process without cutting off what is in flight.

use std::time::Duration;

use grebedeck_kernel::{Clock, Kernel, log};

/// How often the services are asked whether they are idle.
const IDLE_CHECK: Duration = Duration::from_millis(20);

/// Waits for a signal to stop.
pub async fn wait_for_signal() -> anyhow::Result<()> {
    let (sender, receiver) = async_channel::bounded(1);
    ctrlc::set_handler(move || {
        let _ = sender.try_send(());
    })?;
    receiver.recv().await?;

    Ok(())
}

/// Stops all services and waits until they are idle; tells whether they were within the limit.
pub async fn drain(kernel: &Kernel, limit: Duration) -> bool {
    let clock = Clock::default();
    log::info!("stopping", kv: { limit_ms = limit.as_millis() as u64 });
    kernel.begin_stop();

    while !kernel.is_idle() {
        if clock.now() >= limit {
            log::warn!("stopped with work in flight");
            return false;
        }

        async_std::task::sleep(IDLE_CHECK).await;
    }

    log::info!("stopped");
    true
}
