//! Checks for targets that share an address.

use std::net::SocketAddr;

use sg_types::prelude::*;

use super::service_path;
use crate::{Fault, Path, View, setting};

/// Returns the faults of targets that share an address, over all services.
pub(super) fn check(view: &View) -> Vec<Fault> {
    let mut seen: IndexMap<SocketAddr, Path> = IndexMap::new();
    let mut faults = Vec::new();
    for service in view.services.values() {
        for (name, target) in &service.targets {
            let path = service_path(service).join("targets").join(name);
            match seen.get(&target.address) {
                Some(first) => faults.push(duplicate_address(&path, first, target.address)),
                None => {
                    seen.insert(target.address, path);
                }
            }
        }
    }
    faults
}

fn duplicate_address(path: &Path, first: &Path, address: SocketAddr) -> Fault {
    Fault::error(
        path.join(setting::ADDRESS.name),
        format!("{address} is also the address of {first}: its slots would be counted twice"),
        "correct the address, or remove one of the two targets",
    )
}
