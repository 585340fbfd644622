//! In-memory network with partitions, delays and losses.

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_peer::{
    Frame,
    handler::Handler,
    transport::{Chunk, ChunkRequest, Error, Transport},
};
use sg_types::prelude::*;

/// The maximum overhead of an exchange over sockets, in bytes, as checked by the loopback test.
pub const ENVELOPE_BYTES: u64 = 260;

/// The time limit of a request for a chunk of a tree.
const REQUEST_TIMEOUT: Span = Span::from_secs(1);

#[derive(Default)]
struct State {
    handlers: IndexMap<SocketAddr, Handler>,
    /// The partition of each address. Addresses reach each other only within the same partition.
    groups: IndexMap<SocketAddr, u32>,
    delay: Span,
    lose_responses: bool,
    lose_trees: bool,
    /// Bytes of trees per second; `None` for no limit.
    tree_rate: Option<f64>,
    frames: u64,
    bytes: u64,
}

/// The network as seen by one instance.
#[derive(Clone)]
pub struct Net {
    state: Arc<Mutex<State>>,
    timer: Timer,
    me: SocketAddr,
}

/// Guard that removes the instance from the network on drop.
pub struct Guard {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.lock().handlers.shift_remove(&self.address);
    }
}

impl Net {
    pub fn new(timer: Timer) -> Self {
        Self {
            state: Arc::default(),
            timer,
            me: SocketAddr::from(([127, 0, 0, 1], 1)),
        }
    }

    pub fn for_address(&self, me: SocketAddr) -> Self {
        Self { me, ..self.clone() }
    }

    /// Moves addresses to the partition `group`.
    pub fn partition(&self, group: u32, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut state = self.state.lock();
        state
            .groups
            .extend(addresses.into_iter().map(|address| (address, group)));
    }

    pub fn heal(&self) {
        self.state.lock().groups.clear();
    }

    pub fn set_delay(&self, delay: Span) {
        self.state.lock().delay = delay;
    }

    pub fn lose_responses(&self, lose: bool) {
        self.state.lock().lose_responses = lose;
    }

    /// Loses responses that carry a tree, like a path that drops large packets.
    pub fn lose_trees(&self, lose: bool) {
        self.state.lock().lose_trees = lose;
    }

    /// Sets the bytes of trees per second that a link carries.
    pub fn set_tree_rate(&self, rate: f64) {
        self.state.lock().tree_rate = Some(rate);
    }

    /// Returns the number and bytes of all frames, requests and responses together.
    pub fn traffic(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.frames, state.bytes)
    }

    fn count(&self, frame: &Frame) {
        let mut state = self.state.lock();
        state.frames += 1;
        state.bytes += frame.size() as u64;
    }

    async fn reach(&self, to: SocketAddr) -> Result<Handler, Error> {
        let delay = self.state.lock().delay;
        if delay > Span::ZERO {
            self.timer.sleep(delay).await;
        }
        let state = self.state.lock();
        let group = |address| state.groups.get(&address).copied().unwrap_or(0);
        let handler = state.handlers.get(&to).cloned();
        handler
            .filter(|_| group(self.me) == group(to))
            .ok_or_else(|| Error::Unreachable("partitioned".to_owned()))
    }
}

impl Transport for Net {
    type Server = Guard;

    async fn serve(&self, address: SocketAddr, handler: Handler) -> Result<Guard, Error> {
        self.state.lock().handlers.insert(address, handler);
        Ok(Guard {
            state: Arc::clone(&self.state),
            address,
        })
    }

    async fn exchange(&self, to: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
        self.count(frame);
        let handler = self.reach(to).await?;
        let response = handler.exchange(frame.clone())?;
        self.count(&response);
        match self.state.lock().lose_responses {
            true => Err(Error::Unreachable("response lost".to_owned())),
            false => Ok(response),
        }
    }

    async fn tree_chunk(&self, to: SocketAddr, request: ChunkRequest) -> Result<Chunk, Error> {
        let handler = self.reach(to).await?;
        let (is_lost, rate) = {
            let state = self.state.lock();
            (state.lose_trees, state.tree_rate)
        };
        if is_lost {
            return Err(Error::Timeout);
        }
        let chunk = handler.tree_chunk(request)?;
        if let Some(rate) = rate {
            let time = Span::from_secs(1).mul_f64(chunk.text.len() as f64 / rate);
            self.timer.sleep(time.min(REQUEST_TIMEOUT)).await;
            if time > REQUEST_TIMEOUT {
                return Err(Error::Timeout);
            }
        }
        Ok(chunk)
    }
}
