//! Ctrl-C: ends a command at once, unless a change is on its way to the store.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::sync::watch;

/// Tells a command that the operator wants it to end. Clones are the same signal.
#[derive(Debug, Clone)]
pub struct Interrupt {
    raised: watch::Receiver<bool>,
    writing: Arc<AtomicBool>,
}

impl Interrupt {
    /// An interrupt that is raised when `signal` ends. It has to be made in a runtime.
    #[must_use]
    pub fn new(signal: impl Future<Output = ()> + Send + 'static) -> Self {
        let (sender, raised) = watch::channel(false);
        tokio::spawn(async move {
            signal.await;
            sender.send_replace(true);
            // Receivers wait for a change as long as there is a sender.
            sender.closed().await;
        });
        Self {
            raised,
            writing: Arc::default(),
        }
    }

    /// Waits until it is raised.
    pub async fn raised(&self) {
        let mut raised = self.raised.clone();
        if raised.wait_for(|raised| *raised).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Notes that a change is on its way from now on, so that it is no longer certain that nothing
    /// was changed.
    pub(crate) fn begin_write(&self) {
        self.writing.store(true, Ordering::Relaxed);
    }

    /// Whether a change is on its way or was made.
    pub(crate) fn writing(&self) -> bool {
        self.writing.load(Ordering::Relaxed)
    }
}
