//! Predicts the effect of a change on each region and client account.

use std::fmt;

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{View, capacity, guarantees, view::Service};

/// Smallest change of headroom that is reported, as a fraction of the capacity.
const MIN_HEADROOM_CHANGE: f64 = 0.000_5;

/// The effect of a change on one service in one region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Region {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
    /// The region's fraction of the service's traffic before the change.
    #[serde(rename = "before")]
    pub weight_before: Percent,
    /// The region's fraction of the service's traffic after the change.
    #[serde(rename = "after")]
    pub weight_after: Percent,
    /// Unused fraction of the region's capacity before the change; negative if overloaded.
    pub headroom_before: f64,
    /// Unused fraction of the region's capacity after the change; negative if overloaded.
    #[serde(rename = "headroom")]
    pub headroom_after: f64,
    /// Time that the traffic shift takes under the service's shift cap.
    #[serde(rename = "takes")]
    pub shift_duration: Span,
}

/// The effect of a change on one client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The client account.
    pub account: id::Account,
    /// The rate before the change; `None` if the account is new.
    #[serde(rename = "before")]
    pub rate_before: Option<Rate>,
    /// The rate after the change; `None` if the account is removed.
    #[serde(rename = "after")]
    pub rate_after: Option<Rate>,
    /// The burst before the change, in requests; `None` if the account is new.
    pub burst_before: Option<u32>,
    /// The burst after the change, in requests; `None` if the account is removed.
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
                region.weight_before,
                region.weight_after,
                region.headroom_before * 100.0,
                region.headroom_after * 100.0,
                region.shift_duration
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
        if self.rate_before != self.rate_after {
            write!(
                f,
                " rate {} -> {},",
                value_or_none(self.rate_before),
                value_or_none(self.rate_after)
            )?;
        }
        if self.burst_before != self.burst_after {
            let (before, after) = (
                value_or_none(self.burst_before),
                value_or_none(self.burst_after),
            );
            write!(f, " burst {before} -> {after},")?;
        }
        let (added, withdrawn) = (self.added.len(), self.withdrawn.len());
        write!(f, " {added} keys added, {withdrawn} withdrawn")
    }
}

/// Formats `value`, or `none` if there is no value.
fn value_or_none(value: Option<impl fmt::Display>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

/// Predicts the effect of a change from `before` to `after`.
#[must_use]
pub fn predict(before: &View, after: &View) -> Prediction {
    let regions = after
        .services
        .values()
        .flat_map(|service| predict_regions(before, after, service))
        .collect();
    let names: IndexSet<&id::Account> = before
        .accounts
        .keys()
        .chain(after.accounts.keys())
        .collect();
    let accounts = names
        .into_iter()
        .filter_map(|name| predict_account(before, after, name))
        .collect();
    Prediction { regions, accounts }
}

fn predict_regions(before: &View, after: &View, service: &Service) -> Vec<Region> {
    let old = before.services.get(&service.name);
    let expected_rate = guarantees::expected_rate(after, service);
    let mut regions = Vec::new();
    for (name, capacity) in capacity::by_region(after, service) {
        let weight_before = old.map_or(Percent::ZERO, |old| {
            guarantees::region_weight(before, old, &name)
        });
        let weight_after = guarantees::region_weight(after, service, &name);
        let headroom_after = headroom(after, service, &name, expected_rate);
        let headroom_before = old.map_or(0.0, |old| {
            headroom(before, old, &name, guarantees::expected_rate(before, old))
        });
        let unchanged = old.is_some_and(|old| {
            weight_before == weight_after
                && capacity::by_region(before, old).get(&name) == Some(&capacity)
                && (headroom_after - headroom_before).abs() < MIN_HEADROOM_CHANGE
        });
        if unchanged {
            continue;
        }
        regions.push(Region {
            service: service.name.clone(),
            region: name,
            weight_before,
            weight_after,
            headroom_before,
            headroom_after,
            shift_duration: shift_duration(service, weight_before, weight_after),
        });
    }
    regions
}

/// Returns the unused fraction of the region's capacity for `service` if the whole service receives
/// `expected_rate` requests per second. The fraction is negative if the region is overloaded.
fn headroom(view: &View, service: &Service, region: &id::Region, expected_rate: f64) -> f64 {
    let load = expected_rate * guarantees::region_weight(view, service, region).as_f64();
    let capacities = capacity::by_region(view, service);
    let full = capacities
        .get(region)
        .map_or(0.0, |capacity| capacity.full.as_f64());
    match (load > 0.0, full > 0.0) {
        (false, _) => 1.0,
        (true, true) => 1.0 - load / full,
        (true, false) => -1.0,
    }
}

/// Returns the time that a shift from `weight_before` to `weight_after` takes under the service's
/// shift cap.
fn shift_duration(service: &Service, weight_before: Percent, weight_after: Percent) -> Span {
    let moved = weight_before.as_ppm().abs_diff(weight_after.as_ppm());
    let cap = service.shift_cap.as_ppm().max(1);
    let intervals = u64::from(moved.div_ceil(cap));
    Span::from_nanos(service.shift_interval.as_nanos().saturating_mul(intervals))
}

fn predict_account(before: &View, after: &View, name: &id::Account) -> Option<Account> {
    let old = before.accounts.get(name);
    let new = after.accounts.get(name);
    let withdrawn = keys_only_in(before, after, name);
    let added = keys_only_in(after, before, name);
    let rate = |account: Option<&crate::view::Account>| account.map(|account| account.rate);
    let burst = |account: Option<&crate::view::Account>| account.map(|account| account.burst);
    let unchanged = rate(old) == rate(new) && burst(old) == burst(new);
    if unchanged && withdrawn.is_empty() && added.is_empty() {
        return None;
    }
    Some(Account {
        account: name.clone(),
        rate_before: rate(old),
        rate_after: rate(new),
        burst_before: burst(old),
        burst_after: burst(new),
        withdrawn,
        added,
    })
}

/// Returns the keys of `account` that work under `view` but not under `other`.
fn keys_only_in(view: &View, other: &View, account: &id::Account) -> Vec<id::Key> {
    view.keys
        .iter()
        .filter(|(digest, key)| key.account == *account && !other.keys.contains_key(*digest))
        .map(|(_, key)| key.name.clone())
        .collect()
}
