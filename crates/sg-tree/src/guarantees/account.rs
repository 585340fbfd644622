//! Checks the bursts of client accounts against the number of slots that share each burst.

use sg_types::prelude::*;

use crate::{Fault, Path, View, setting, view};

/// Returns the faults of the client accounts.
pub(super) fn check(view: &View) -> Vec<Fault> {
    let accounts = view.accounts.iter();
    accounts
        .filter_map(|(name, account)| burst_below_slots(view, name, account))
        .collect()
}

fn burst_below_slots(view: &View, name: &id::Account, account: &view::Account) -> Option<Fault> {
    let slots = view.fleet.slots;
    let burst = account.burst;
    (burst < slots).then(|| {
        Fault::warning(
            Path::root()
                .join("accounts")
                .join(name)
                .join(setting::BURST.name),
            format!(
                "{burst} is less than one whole request for each of the fleet's {slots} slots: the \
                 first request at an instance may wait until the instance borrows a share"
            ),
            format!("set it to {slots} or more"),
        )
    })
}
