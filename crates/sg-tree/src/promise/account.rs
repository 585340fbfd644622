//! Client accounts against the number of shares that their rate is cut into.

use sg_types::prelude::*;

use crate::{Fault, Path, View, setting, view};

/// The faults of the client accounts.
pub(super) fn check(view: &View) -> Vec<Fault> {
    let accounts = view.accounts.iter();
    accounts
        .filter_map(|(name, account)| burst(view, name, account))
        .collect()
}

fn burst(view: &View, name: &id::Account, account: &view::Account) -> Option<Fault> {
    let slots = view.fleet.slots;
    let burst = account.burst;
    (burst < slots).then(|| {
        Fault::warning(
            Path::root()
                .join("accounts")
                .join(name)
                .join(setting::BURST.name),
            format!(
                "{burst} is less than one whole request for each of the fleet's {slots} slots: a \
                 first request may wait until share has moved"
            ),
            format!("set it to {slots} or more"),
        )
    })
}
