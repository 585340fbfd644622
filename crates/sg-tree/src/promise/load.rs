//! What client accounts may send against what services carry.

use sg_types::prelude::*;

use crate::{Fault, Path, View, capacity, view::Service};

/// All rates together exceed what all services carry.
pub(super) fn oversold(view: &View) -> Option<Fault> {
    let carried: u64 = view
        .services
        .values()
        .map(|service| capacity::total(view, service).as_micros())
        .sum();
    let sold = capacity::sold(view);
    if view.services.is_empty() || sold.as_micros() <= carried {
        return None;
    }
    Some(Fault::error(
        Path::root().join("accounts"),
        format!(
            "the client accounts' rates add up to {sold}, and the services carry {}",
            Rate::from_micros(carried)
        ),
        "lower the rates, or add targets",
    ))
}

/// One client account alone may exceed the service.
pub(super) fn accounts(view: &View, service: &Service) -> Vec<Fault> {
    let total = capacity::total(view, service);
    let over = view
        .accounts
        .iter()
        .filter(|(_, account)| account.rate > total);
    over.map(|(name, account)| {
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
