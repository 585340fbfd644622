//! Chooses the entry of a call by lookup, with a cache for each caller and service.

use std::net::SocketAddr;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use reqwest::Client;
use serde::Deserialize;
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::plan::Entry;

/// Lookups that a caller attempts before it uses its configured list of entries.
const MOST_ASKED: usize = 3;

/// Time for which a caller uses its configured list before the next lookup.
const FALLBACK_CACHE: Span = Span::from_secs(1);

/// Timeout of a lookup.
const TIMEOUT: Span = Span::from_millis(500);

#[derive(Debug, Deserialize)]
struct Answer {
    entries: Vec<Choice>,
    cache: Span,
}

#[derive(Debug, Clone, Deserialize)]
struct Choice {
    instance: id::Instance,
    address: SocketAddr,
    weight: Percent,
}

#[derive(Debug, Clone)]
struct Cached {
    until: Instant,
    choices: Vec<Choice>,
}

/// The source address and service of a lookup.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Question {
    source: usize,
    service: id::Service,
}

/// Returns the entries of `known` that don't answer a lookup for `service`. An entry that responds
/// with "not found" has no lookups and counts as ready.
pub async fn unready(client: &Client, known: &[Entry], service: &id::Service) -> Vec<id::Instance> {
    let mut unready = Vec::new();
    for entry in known {
        if !is_ready(client, entry.address, service).await {
            unready.push(entry.instance.clone());
        }
    }
    unready
}

async fn is_ready(client: &Client, address: SocketAddr, service: &id::Service) -> bool {
    let url = format!("http://{address}/.sg/lookup?service={service}");
    let Ok(response) = client.get(url).timeout(TIMEOUT.into()).send().await else {
        return false;
    };
    response.status().is_success() || response.status() == http::StatusCode::NOT_FOUND
}

async fn ask_one(client: &Client, address: SocketAddr, service: &id::Service) -> Option<Answer> {
    let url = format!("http://{address}/.sg/lookup?service={service}");
    let request = client.get(url).timeout(TIMEOUT.into());
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let answer = response.json::<Answer>().await.ok()?;
    (!answer.entries.is_empty()).then_some(answer)
}

/// The lookups of all callers of one run.
#[derive(Debug)]
pub struct Lookup {
    timer: Timer,
    known: Vec<Entry>,
    cache: Mutex<IndexMap<Question, Cached>>,
    random: Mutex<StdRng>,
}

impl Lookup {
    /// Creates the lookups of callers that know the entries `known`.
    #[must_use]
    pub fn new(timer: Timer, known: Vec<Entry>, seed: u64) -> Self {
        Self {
            timer,
            known,
            cache: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Chooses an entry for `service`, and one of `avoided` only if there is no other.
    pub async fn entry(
        &self,
        client: &Client,
        source: usize,
        service: &id::Service,
        avoided: &[id::Instance],
    ) -> Option<Entry> {
        let question = Question {
            source,
            service: service.clone(),
        };
        let choices = self.choices(client, question).await;
        let fresh = |choice: &&Choice| !avoided.contains(&choice.instance);
        let wanted: Vec<_> = choices.iter().filter(fresh).collect();
        if let Some(choice) = self.draw(&wanted) {
            return Some(choice);
        }
        let others = self.fallback();
        let wanted: Vec<_> = others.iter().filter(fresh).collect();
        let all: Vec<_> = others.iter().collect();
        self.draw(&wanted).or_else(|| self.draw(&all))
    }

    async fn choices(&self, client: &Client, question: Question) -> Vec<Choice> {
        let now = self.timer.now();
        let cached = self.cache.lock().get(&question).cloned();
        if let Some(cached) = cached.filter(|cached| cached.until > now) {
            return cached.choices;
        }
        let cached = match self.ask(client, &question.service).await {
            Some(answer) => Cached {
                until: now + answer.cache,
                choices: answer.entries,
            },
            None => Cached {
                until: now + FALLBACK_CACHE,
                choices: self.fallback(),
            },
        };
        self.cache.lock().insert(question, cached.clone());
        cached.choices
    }

    async fn ask(&self, client: &Client, service: &id::Service) -> Option<Answer> {
        for _ in 0..MOST_ASKED {
            let place = self.random.lock().random_range(0..self.known.len());
            let answer = ask_one(client, self.known[place].address, service).await;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    fn fallback(&self) -> Vec<Choice> {
        let known = self.known.iter();
        known
            .map(|entry| Choice {
                instance: entry.instance.clone(),
                address: entry.address,
                weight: Percent::FULL,
            })
            .collect()
    }

    fn draw(&self, choices: &[&Choice]) -> Option<Entry> {
        let total: f64 = choices.iter().map(|choice| choice.weight.as_f64()).sum();
        if total <= 0.0 {
            return None;
        }
        let mut point = self.random.lock().random_range(0.0..total);
        let drawn = choices.iter().find(|choice| {
            point -= choice.weight.as_f64();
            point < 0.0
        });
        let choice = drawn.or(choices.last())?;
        Some(Entry {
            instance: choice.instance.clone(),
            address: choice.address,
        })
    }
}
