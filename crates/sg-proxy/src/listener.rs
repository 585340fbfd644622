//! Sockets that accept connections of callers.

use std::net::SocketAddr;

use sg_types::prelude::*;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

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

/// Limits the bytes that the system receives for each connection of `listener` before they are read.
///
/// # Errors
/// Returns the error of the system.
pub fn limit_receive_buffer(listener: &TcpListener, bytes: Bytes) -> std::io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(bytes.as_len())
}
