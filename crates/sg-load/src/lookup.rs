//! Chooses the entry of a call by lookup, with a cache for each caller and service.

use std::net::SocketAddr;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use reqwest::Client;
use serde::Deserialize;
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::plan::Entry;

/// The number of lookups that a caller attempts before it uses its configured list of entries.
const MAX_LOOKUP_ATTEMPTS: usize = 3;

/// Time for which a caller uses its configured list before the next lookup.
const FALLBACK_CACHE_SPAN: Span = Span::from_secs(1);

/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Span = Span::from_millis(500);

#[derive(Debug, Deserialize)]
struct LookupResponse {
    entries: Vec<Candidate>,
    cache: Span,
}

#[derive(Debug, Clone, Deserialize)]
struct Candidate {
    instance: id::Instance,
    address: SocketAddr,
    weight: Percent,
}

#[derive(Debug, Clone)]
struct Cached {
    until: Instant,
    candidates: Vec<Candidate>,
}

/// The source address and service of a lookup.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CacheKey {
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
    let Ok(response) = client.get(url).timeout(LOOKUP_TIMEOUT.into()).send().await else {
        return false;
    };
    response.status().is_success() || response.status() == http::StatusCode::NOT_FOUND
}

async fn query_entry(
    client: &Client,
    address: SocketAddr,
    service: &id::Service,
) -> Option<LookupResponse> {
    let url = format!("http://{address}/.sg/lookup?service={service}");
    let request = client.get(url).timeout(LOOKUP_TIMEOUT.into());
    let response = request.send().await.ok()?.error_for_status().ok()?;
    let lookup = response.json::<LookupResponse>().await.ok()?;
    (!lookup.entries.is_empty()).then_some(lookup)
}

/// The lookups of all callers of one run.
#[derive(Debug)]
pub struct Lookup {
    timer: Timer,
    known: Vec<Entry>,
    cache: Mutex<IndexMap<CacheKey, Cached>>,
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
        let key = CacheKey {
            source,
            service: service.clone(),
        };
        let candidates = self.candidates(client, key).await;
        let is_not_avoided = |candidate: &&Candidate| !avoided.contains(&candidate.instance);
        let preferred: Vec<_> = candidates.iter().filter(is_not_avoided).collect();
        if let Some(candidate) = self.choose_weighted(&preferred) {
            return Some(candidate);
        }
        let known = self.fallback();
        let preferred: Vec<_> = known.iter().filter(is_not_avoided).collect();
        let all: Vec<_> = known.iter().collect();
        self.choose_weighted(&preferred)
            .or_else(|| self.choose_weighted(&all))
    }

    async fn candidates(&self, client: &Client, key: CacheKey) -> Vec<Candidate> {
        let now = self.timer.now();
        let cached = self.cache.lock().get(&key).cloned();
        if let Some(cached) = cached.filter(|cached| cached.until > now) {
            return cached.candidates;
        }
        let cached = match self.query(client, &key.service).await {
            Some(response) => Cached {
                until: now + response.cache,
                candidates: response.entries,
            },
            None => Cached {
                until: now + FALLBACK_CACHE_SPAN,
                candidates: self.fallback(),
            },
        };
        self.cache.lock().insert(key, cached.clone());
        cached.candidates
    }

    async fn query(&self, client: &Client, service: &id::Service) -> Option<LookupResponse> {
        for _ in 0..MAX_LOOKUP_ATTEMPTS {
            let index = self.random.lock().random_range(0..self.known.len());
            let response = query_entry(client, self.known[index].address, service).await;
            if response.is_some() {
                return response;
            }
        }
        None
    }

    fn fallback(&self) -> Vec<Candidate> {
        let known = self.known.iter();
        known
            .map(|entry| Candidate {
                instance: entry.instance.clone(),
                address: entry.address,
                weight: Percent::FULL,
            })
            .collect()
    }

    fn choose_weighted(&self, candidates: &[&Candidate]) -> Option<Entry> {
        let total: f64 = candidates
            .iter()
            .map(|candidate| candidate.weight.as_f64())
            .sum();
        if total <= 0.0 {
            return None;
        }
        let mut point = self.random.lock().random_range(0.0..total);
        let drawn = candidates.iter().find(|candidate| {
            point -= candidate.weight.as_f64();
            point < 0.0
        });
        let candidate = drawn.or(candidates.last())?;
        Some(Entry {
            instance: candidate.instance.clone(),
            address: candidate.address,
        })
    }
}
