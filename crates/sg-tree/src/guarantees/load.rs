//! Checks the rates of client accounts against the capacity of services.

use sg_types::prelude::*;

use crate::{Fault, Path, View, capacity, view::Service};

/// Returns a fault if the sum of all accounts' rates exceeds the capacity of all services.
pub(super) fn check_total_rate(view: &View) -> Option<Fault> {
    let capacity: u64 = view
        .services
        .values()
        .map(|service| capacity::total(view, service).as_micros())
        .sum();
    let total_rate = capacity::total_account_rate(view);
    if view.services.is_empty() || total_rate.as_micros() <= capacity {
        return None;
    }
    Some(Fault::error(
        Path::root().join("accounts"),
        format!(
            "the client accounts' rates add up to {total_rate}, but the capacity of all services is \
             {}",
            Rate::from_micros(capacity)
        ),
        "lower the rates, or add targets",
    ))
}

/// Returns a fault for each account whose rate alone exceeds the capacity of `service`.
pub(super) fn check_account_rates(view: &View, service: &Service) -> Vec<Fault> {
    let total = capacity::total(view, service);
    let exceeding = view
        .accounts
        .iter()
        .filter(|(_, account)| account.rate > total);
    exceeding
        .map(|(name, account)| {
            Fault::error(
                Path::root().join("accounts").join(name).join("rate"),
                format!(
                    "{} exceeds what service '{}' carries ({total})",
                    account.rate, service.name
                ),
                "lower the rate, or add targets to the service",
            )
        })
        .collect()
}
