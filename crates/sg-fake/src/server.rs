//! The listener and task that all fake servers share.

use std::net::SocketAddr;

use poem::{IntoEndpoint, Server};
use tokio::task::JoinHandle;

use crate::wire::{Listener, Switch};

/// A failure to bind the address of a server.
#[derive(Debug, thiserror::Error)]
#[error("cannot bind {address}: {source}; free the address or choose another one")]
pub struct Error {
    /// The address that could not be bound.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// A running server. Dropping the handle closes the listener and resets all connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    switch: Switch,
    task: JoinHandle<()>,
}

impl Handle {
    /// Serves `endpoint` on `listener` in a new task.
    pub(crate) fn spawn(
        listener: Listener,
        switch: Switch,
        endpoint: impl IntoEndpoint<Endpoint: 'static> + Send + 'static,
    ) -> Self {
        let address = listener.address();
        let task = tokio::spawn(async move {
            if let Err(error) = Server::new_with_acceptor(listener).run(endpoint).await {
                log::error!("server on {address} stopped: {error}");
            }
        });
        Self {
            address,
            switch,
            task,
        }
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the switch that breaks the server's connections.
    #[must_use]
    pub fn switch(&self) -> &Switch {
        &self.switch
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
        self.switch.reset_all();
    }
}

/// Binds `address`; `switch` controls the listener and its connections.
pub(crate) async fn bind(address: SocketAddr, switch: &Switch) -> Result<Listener, Error> {
    Listener::bind(address, switch.clone())
        .await
        .map_err(|source| Error { address, source })
}
