//! The predicted effect of a change on each region and client account.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{View, capacity, promise, view::Service};

/// The least change of headroom that is told, as a fraction.
const HEADROOM_STEP: f64 = 0.000_5;

/// What a change does to one service in one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Region {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
    /// The region's part of the traffic before.
    pub before: Percent,
    /// The region's part of the traffic after.
    pub after: Percent,
    /// Unused capacity before the change, as a fraction of the whole; negative if overloaded.
    pub headroom_before: f64,
    /// Unused capacity after the change, as a fraction of the whole; negative if overloaded.
    pub headroom: f64,
    /// How long the shift takes under the cap.
    pub takes: Span,
}

/// What a change does to one client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The client account.
    pub account: id::Account,
    /// The rate before; `None` if the account is new.
    pub before: Option<Rate>,
    /// The rate after; `None` if the account is removed.
    pub after: Option<Rate>,
    /// The burst before, in requests.
    pub burst_before: Option<u32>,
    /// The burst after, in requests.
    pub burst_after: Option<u32>,
    /// Keys that stop working.
    pub withdrawn: Vec<id::Key>,
    /// Keys that start working.
    pub added: Vec<id::Key>,
}

/// The predicted effect of a change.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Prediction {
    /// Regions whose traffic or headroom changes.
    pub regions: Vec<Region>,
    /// Client accounts that change.
    pub accounts: Vec<Account>,
}

impl fmt::Display for Prediction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.regions.is_empty() && self.accounts.is_empty() {
            return f.write_str("no region or client account is affected");
        }
        for region in &self.regions {
            writeln!(
                f,
                "{} in {}: {} -> {} of the traffic, headroom {:.1}% -> {:.1}%, takes {}",
                region.service,
                region.region,
                region.before,
                region.after,
                region.headroom_before * 100.0,
                region.headroom * 100.0,
                region.takes
            )?;
        }
        for account in &self.accounts {
            writeln!(f, "{account}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.account)?;
        if self.before != self.after {
            write!(f, " rate {} -> {},", text(self.before), text(self.after))?;
        }
        if self.burst_before != self.burst_after {
            let (before, after) = (text(self.burst_before), text(self.burst_after));
            write!(f, " burst {before} -> {after},")?;
        }
        let (added, withdrawn) = (self.added.len(), self.withdrawn.len());
        write!(f, " {added} keys added, {withdrawn} withdrawn")
    }
}

/// A value, or that there is none.
fn text(value: Option<impl fmt::Display>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

/// Predicts what changing from `before` to `after` does.
#[must_use]
pub fn predict(before: &View, after: &View) -> Prediction {
    let regions = after
        .services
        .values()
        .flat_map(|service| regions(before, after, service))
        .collect();
    let names: IndexSet<&id::Account> = before
        .accounts
        .keys()
        .chain(after.accounts.keys())
        .collect();
    let accounts = names
        .into_iter()
        .filter_map(|name| account(before, after, name))
        .collect();
    Prediction { regions, accounts }
}

fn regions(before: &View, after: &View, service: &Service) -> Vec<Region> {
    let old = before.services.get(&service.name);
    let demand = promise::demand(after, service);
    let mut regions = Vec::new();
    for (name, capacity) in capacity::of_service(after, service) {
        let was = old.map_or(Percent::ZERO, |old| promise::weight(before, old, &name));
        let now = promise::weight(after, service, &name);
        let headroom_after = headroom(after, service, &name, demand);
        let headroom_before = old.map_or(0.0, |old| {
            headroom(before, old, &name, promise::demand(before, old))
        });
        let unchanged = old.is_some_and(|old| {
            was == now
                && capacity::of_service(before, old).get(&name) == Some(&capacity)
                && (headroom_after - headroom_before).abs() < HEADROOM_STEP
        });
        if unchanged {
            continue;
        }
        regions.push(Region {
            service: service.name.clone(),
            region: name,
            before: was,
            after: now,
            headroom_before,
            headroom: headroom_after,
            takes: shift_time(service, was, now),
        });
    }
    regions
}

/// The unused part of what the region carries of `service`, by the rates that were sold.
fn headroom(view: &View, service: &Service, region: &id::Region, demand: f64) -> f64 {
    let load = demand * promise::weight(view, service, region).as_f64();
    let carried = capacity::of_service(view, service);
    let full = carried.get(region).map_or(0.0, |one| one.full.as_f64());
    match (load > 0.0, full > 0.0) {
        (false, _) => 1.0,
        (true, true) => 1.0 - load / full,
        (true, false) => -1.0,
    }
}

/// How long moving from `was` to `now` takes under the service's cap.
fn shift_time(service: &Service, was: Percent, now: Percent) -> Span {
    let moved = was.as_ppm().abs_diff(now.as_ppm());
    let cap = service.shift_cap.as_ppm().max(1);
    let steps = u64::from(moved.div_ceil(cap));
    Span::from_nanos(service.shift_interval.as_nanos().saturating_mul(steps))
}

fn account(before: &View, after: &View, name: &id::Account) -> Option<Account> {
    let old = before.accounts.get(name);
    let new = after.accounts.get(name);
    let withdrawn = missing_keys(before, after, name);
    let added = missing_keys(after, before, name);
    let rate = |account: Option<&crate::view::Account>| account.map(|account| account.rate);
    let burst = |account: Option<&crate::view::Account>| account.map(|account| account.burst);
    let same = rate(old) == rate(new) && burst(old) == burst(new);
    if same && withdrawn.is_empty() && added.is_empty() {
        return None;
    }
    Some(Account {
        account: name.clone(),
        before: rate(old),
        after: rate(new),
        burst_before: burst(old),
        burst_after: burst(new),
        withdrawn,
        added,
    })
}

/// Keys of `account` that work in `a` and not in `b`.
fn missing_keys(a: &View, b: &View, account: &id::Account) -> Vec<id::Key> {
    a.keys
        .iter()
        .filter(|(digest, key)| key.account == *account && !b.keys.contains_key(*digest))
        .map(|(_, key)| key.name.clone())
        .collect()
}
