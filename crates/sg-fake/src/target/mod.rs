//! A stand-in of a target: slots, service time, cold start, shedding, drain and faults.

mod control;
mod front;
mod record;

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::{
    id,
    time::{Instant, Span},
};

use self::{control::Behaviour, front::Front};
pub use self::{
    control::{Answers, Cold, Control},
    front::Answer,
    record::{Clock, End, Header, Records, Run},
};
use crate::{
    server::{self, Handle},
    wire::Switch,
};

/// The text that makes a target crash when it stands in the body of a request.
pub const POISON: &str = "sg-poison";

/// How long a target that was crashed by a request stays down.
pub const POISON_DOWN: Span = Span::from_secs(2);

/// How a target runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name.
    pub name: id::Target,
    /// Where it listens.
    pub listen: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The usual time of a request.
    pub service_time: Span,
    /// How it starts cold.
    pub cold: Cold,
    /// How old its health and load reports are.
    pub lag: Span,
    /// The seed of its jitter.
    pub seed: u64,
}

/// What `/health` and `/load` say.
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
    /// [`server::Error`] if the address can't be bound.
    pub async fn start(options: Options) -> Result<Self, server::Error> {
        let switch = Switch::new();
        let listener = server::bind(options.listen, &switch).await?;
        let shared = Arc::new(Shared::new(options, switch.clone()));
        let handle = Handle::spawn(listener, switch, Front(shared.clone()));
        Ok(Self { shared, handle })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Changes its behaviour.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// What it saw.
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
                answers: Answers::Whole,
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
            state.behaviour.set(control);
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

    /// Loses every connection, stays down for `down`, and starts again cold.
    fn crash(self: &Arc<Self>, down: Span) {
        self.state.lock().records.crashes += 1;
        self.switch.set_down(true);
        self.switch.cut();
        let shared = self.clone();
        tokio::spawn(async move {
            shared.timer.sleep(down).await;
            shared.state.lock().started = shared.timer.now();
            shared.switch.set_down(false);
        });
    }
}
