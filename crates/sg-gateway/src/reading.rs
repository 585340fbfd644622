//! Reads values of the store, large ones on a thread of their own.
//!
//! The load: configurations of thousands of routes, several in a row, while callers' requests arrive on the thread that
//! applies them.

use std::collections::VecDeque;

use bytes::Bytes;
use sg_clock::Timer;
use sg_mesh::mirror::Change;
use sg_types::prelude::*;
use tokio::task::JoinHandle;

use crate::{Interpreter, StoreValue, daemon::Context, ports::UnreadableValue};

/// The size of a value from which reading it would delay requests.
const LARGE_VALUE_BYTES: usize = 128 << 10;

/// A change whose value was read.
#[derive(Debug)]
pub(crate) struct Reading {
    pub change: Change,
    pub value: Result<StoreValue, UnreadableValue>,
    /// The time that reading took.
    pub took: Span,
}

impl Reading {
    /// Reads the value of `change` on this thread.
    pub fn of(interpreter: &impl Interpreter, timer: &Timer, change: Change) -> Self {
        let started = timer.now();
        let value = interpreter.interpret(&change.key, change.value.as_deref());
        Self {
            value,
            took: timer.now().since(started),
            change,
        }
    }
}

/// Large values that are read one after the other.
pub(crate) struct Readings<D, I, S> {
    context: Arc<Context<D, I, S>>,
    waiting: VecDeque<Change>,
    running: Option<JoinHandle<Reading>>,
}

impl<D, I, S> Readings<D, I, S>
where
    Context<D, I, S>: Send + Sync + 'static,
    I: Interpreter,
{
    pub fn new(context: Arc<Context<D, I, S>>) -> Self {
        Self {
            context,
            waiting: VecDeque::new(),
            running: None,
        }
    }

    /// Returns whether the value of a change is large, or such a value of the same key is still to be read.
    pub fn is_large(&self, change: &Change) -> bool {
        let length = change.value.as_ref().map_or(0, Bytes::len);
        length >= LARGE_VALUE_BYTES || self.waiting.iter().any(|other| other.key == change.key)
    }

    /// Adds a change. Earlier ones of the same key and era that wait are not read any more.
    pub fn push(&mut self, change: Change) {
        self.waiting.retain(|other| {
            let era = other.version.era();
            other.key != change.key || era != change.version.era() || other.version > change.version
        });
        self.waiting.push_back(change);
        self.start_next();
    }

    /// Waits for the next value. Returns `None` if there is none to wait for.
    pub async fn next(&mut self) -> Option<Reading> {
        loop {
            let reading = self.running.as_mut()?.await;
            self.running = None;
            self.start_next();
            match reading {
                Ok(reading) => return Some(reading),
                Err(error) => log::error!(error:% = error; "value not read"),
            }
        }
    }

    fn start_next(&mut self) {
        if self.running.is_some() {
            return;
        }
        let Some(change) = self.waiting.pop_front() else {
            return;
        };
        let context = self.context.clone();
        let read = move || Reading::of(&context.interpreter, &context.timer, change);
        self.running = Some(tokio::task::spawn_blocking(read));
    }
}
