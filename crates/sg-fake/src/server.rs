//! A running stand-in.

use std::net::SocketAddr;

use poem::{IntoEndpoint, Server};
use tokio::task::JoinHandle;

use crate::wire::{Listener, Switch};

/// Why a stand-in did not start.
#[derive(Debug, thiserror::Error)]
#[error("{address} can't be bound: {source}; free the address or choose another")]
pub struct Error {
    /// The address.
    pub address: SocketAddr,
    /// What the system said.
    pub source: std::io::Error,
}

/// A running stand-in. Dropping it closes its listener and resets its connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    switch: Switch,
    task: JoinHandle<()>,
}

impl Handle {
    /// Serves `endpoint` on `listener` in a task of its own.
    pub(crate) fn spawn(
        listener: Listener,
        switch: Switch,
        endpoint: impl IntoEndpoint<Endpoint: 'static> + Send + 'static,
    ) -> Self {
        let address = listener.address();
        let task = tokio::spawn(async move {
            if let Err(error) = Server::new_with_acceptor(listener).run(endpoint).await {
                log::error!("{address} stopped serving: {error}");
            }
        });
        Self {
            address,
            switch,
            task,
        }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks its connections.
    #[must_use]
    pub fn switch(&self) -> &Switch {
        &self.switch
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
        self.switch.cut();
    }
}

/// Binds `address` under `switch`.
pub(crate) async fn bind(address: SocketAddr, switch: &Switch) -> Result<Listener, Error> {
    Listener::bind(address, switch.clone())
        .await
        .map_err(|source| Error { address, source })
}
