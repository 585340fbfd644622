//! The signals that ask the process to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves when the process is asked to stop, by Ctrl-C or SIGTERM. Later signals are taken and
/// ignored, so that they cut no answer short.
///
/// # Errors
/// The system's error if signals can't be taken.
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
