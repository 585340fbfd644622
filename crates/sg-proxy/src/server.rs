//! Accepts and serves connections of callers.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use sg_clock::Timer;
use sg_types::prelude::*;
use socket2::SockRef;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use crate::{Body, connections};

/// Delay after the system failed to accept a connection, most likely for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(50);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Limits of the connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum time that a connection may wait for the head of a request.
    pub header_timeout: Duration,
}

/// Progress of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Connections are accepted.
    #[default]
    Open,
    /// No connection is accepted; open connections end with their next response, idle ones at once.
    Closing,
}

/// Binds `address`, with a listen queue that is long enough for a burst of new connections.
///
/// # Errors
/// Returns the error of the system, most likely that the address is in use.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Serves connections until `phase` becomes [`Phase::Closing`], then waits until all of them have
/// ended. Dropping the future aborts the remaining connections.
pub async fn run<F, R>(
    listener: TcpListener,
    timer: Timer,
    options: Options,
    mut phase: watch::Receiver<Phase>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let connections_phase = phase.clone();
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    if let Err(error) = connections::configure_socket(&SockRef::from(&stream)) {
                        log::debug!(error:% = error; "caller's socket not configured");
                    }
                    connections.spawn(serve_connection(stream, options, connections_phase.clone(), handler.clone()));
                }
                Err(error) => {
                    log::warn!(error:% = error; "connection not accepted");
                    timer.sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = wait_for_closing(&mut phase) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until the phase is [`Phase::Closing`].
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The wait fails if the sender was dropped with the daemon. All connections end then, too.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

async fn serve_connection<F, R>(
    stream: tokio::net::TcpStream,
    options: Options,
    mut phase: watch::Receiver<Phase>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header_timeout)
        .max_buf_size(options.max_head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_closing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller's connection ended");
    }
}
