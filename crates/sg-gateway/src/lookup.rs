//! Chooses the instances that a lookup response names.

use std::net::SocketAddr;

use sg_types::prelude::*;

use crate::ports::LookupRequest;

/// An instance that a lookup response may name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub domain: id::Domain,
    pub region: id::Region,
    pub address: SocketAddr,
    /// Whether the instance has lost its paths to all targets and passes requests on.
    pub cut_off: bool,
}

/// Returns the addresses of all candidates in the caller's failure domain, or else in the caller's
/// region, or else all addresses. Leaves out candidates that are cut off from targets, if the caller's
/// region has others.
pub(crate) fn choose_addresses(
    request: &LookupRequest,
    candidates: &[Candidate],
) -> Vec<SocketAddr> {
    let is_in_region = |candidate: &Candidate| request.region.as_ref() == Some(&candidate.region);
    let has_connected = candidates
        .iter()
        .any(|candidate| is_in_region(candidate) && !candidate.cut_off);
    let usable: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| !(candidate.cut_off && has_connected))
        .collect();
    let addresses = |is_wanted: &dyn Fn(&Candidate) -> bool| -> Vec<SocketAddr> {
        let wanted = usable.iter().filter(|candidate| is_wanted(candidate));
        wanted.map(|candidate| candidate.address).collect()
    };
    let same_domain = addresses(&|candidate| request.domain.as_ref() == Some(&candidate.domain));
    if !same_domain.is_empty() {
        return same_domain;
    }
    let same_region = addresses(&is_in_region);
    if !same_region.is_empty() {
        return same_region;
    }
    addresses(&|_| true)
}
