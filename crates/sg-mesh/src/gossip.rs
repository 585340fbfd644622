//! Sends and receives frames over UDP.

use std::{io, net::SocketAddr};

use tokio::net::UdpSocket;

use crate::frame::{Frame, MAX_FRAME_BYTES};

/// The UDP socket that instances exchange frames over.
#[derive(Debug)]
pub struct Gossip {
    socket: UdpSocket,
}

impl Gossip {
    /// Binds `address`.
    ///
    /// # Errors
    /// Returns the operating system's error, most likely that the address is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Sends `frame` to each of `addresses`. A datagram that can't be sent at once is dropped, because
    /// the protocol has to tolerate lost datagrams anyway.
    pub fn send(&self, frame: &Frame, addresses: impl IntoIterator<Item = SocketAddr>) {
        let bytes = match frame.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(error:% = error; "frame not sent");
                return;
            }
        };
        for address in addresses {
            self.send_bytes(&bytes, address);
        }
    }

    /// Sends the datagram `bytes`, which is dropped if it can't be sent at once.
    pub fn send_bytes(&self, bytes: &[u8], address: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            log::debug!(to:% = address, error:% = error; "frame dropped");
        }
    }

    /// Waits for the next frame. Skips datagrams that do not decode as a frame.
    ///
    /// # Errors
    /// Returns the operating system's error if the socket fails.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> io::Result<(Frame, SocketAddr)> {
        buffer.resize(MAX_FRAME_BYTES, 0);
        loop {
            let (length, from) = self.socket.recv_from(buffer).await?;
            match Frame::decode(&buffer[..length]) {
                Ok(frame) => return Ok((frame, from)),
                Err(error) => log::debug!(from:% = from, error:% = error; "datagram skipped"),
            }
        }
    }
}
