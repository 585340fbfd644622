//! Signals that stop the process.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves at the first SIGINT or SIGTERM. Later signals are caught and ignored, so that they do
/// not interrupt responses.
///
/// # Errors
/// Returns the system's error if the signal handlers can't be installed.
pub fn requested() -> std::io::Result<impl Future<Output = ()>> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
            }
        });
    })
}
