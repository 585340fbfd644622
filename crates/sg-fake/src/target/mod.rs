//! A fake target with slots, service time, cold start, shedding, drain and faults.

mod control;
mod handler;
mod record;

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::{
    id,
    time::{Instant, Span},
};

use self::{control::Behaviour, handler::Handler};
pub use self::{
    control::{Cold, Control, ResponseFault},
    handler::ResponseBody,
    record::{Clock, End, Header, Records, Run},
};
use crate::{
    server::{self, Handle},
    wire::Switch,
};

/// The text in a request body that makes a target crash.
pub const POISON: &str = "sg-poison";

/// The time for which a target stays down after a request with [`POISON`].
pub const POISON_DOWN: Span = Span::from_secs(2);

/// The configuration of a target.
#[derive(Debug, Clone)]
pub struct Options {
    /// The name of the target.
    pub name: id::Target,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The mean time that a request takes, before the cold start multiplier.
    pub service_time: Span,
    /// The slowdown after a start.
    pub cold: Cold,
    /// The age up to which health and load reports are reused.
    pub lag: Span,
    /// The seed of the service time's jitter.
    pub seed: u64,
}

/// The state that `/health` and `/load` report.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: Instant,
    in_flight: u32,
    healthy: bool,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    records: Records,
    in_flight: u32,
    started: Instant,
    report: Report,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    timer: Timer,
    switch: Switch,
    state: Mutex<State>,
}

/// A running target.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    handle: Handle,
}

impl Server {
    /// Starts a target.
    ///
    /// # Errors
    /// Returns [`server::Error`] if the address cannot be bound.
    pub async fn start(options: Options) -> Result<Self, server::Error> {
        let switch = Switch::new();
        let listener = server::bind(options.listen, &switch).await?;
        let shared = Arc::new(Shared::new(options, switch.clone()));
        let handle = Handle::spawn(listener, switch, Handler(shared.clone()));
        Ok(Self { shared, handle })
    }

    /// Returns the address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Applies a change to the target's behaviour.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Returns the records of the requests that the target received.
    #[must_use]
    pub fn records(&self) -> Records {
        self.shared.records()
    }
}

impl Shared {
    fn new(options: Options, switch: Switch) -> Self {
        let timer = Timer::new();
        let now = timer.now();
        let state = State {
            behaviour: Behaviour {
                service_time: options.service_time,
                slots: options.slots,
                answers: ResponseFault::Whole,
                late: Span::ZERO,
                leaving: false,
                shed: false,
                lag: options.lag,
                lie: 1.0,
                healthy: None,
                cold: options.cold,
            },
            records: Records {
                target: options.name.to_string(),
                ..Records::default()
            },
            in_flight: 0,
            started: now,
            report: Report {
                at: now,
                in_flight: 0,
                healthy: true,
            },
        };
        Self {
            options,
            timer,
            switch,
            state: Mutex::new(state),
        }
    }

    fn records(&self) -> Records {
        self.state.lock().records.clone()
    }

    fn control(self: &Arc<Self>, control: &Control) {
        let now = self.timer.now();
        {
            let mut state = self.state.lock();
            let was_leaving = state.behaviour.leaving;
            state.behaviour.apply(control);
            if !state.behaviour.leaving {
                state.records.leaving_us = None;
            } else if !was_leaving {
                state.records.leaving_us = Some(record::micros(now));
            }
            if control.cold.is_some() {
                state.started = now;
            }
        }
        if control.silence {
            self.switch.silence();
        }
        if let Some(down) = control.crash {
            self.crash(down);
        }
    }

    /// Resets every connection, stays down for `down` and then starts cold.
    fn crash(self: &Arc<Self>, down: Span) {
        self.state.lock().records.crashes += 1;
        self.switch.set_down(true);
        self.switch.reset_all();
        let shared = self.clone();
        tokio::spawn(async move {
            shared.timer.sleep(down).await;
            shared.state.lock().started = shared.timer.now();
            shared.switch.set_down(false);
        });
    }
}
