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
}

/// Returns the addresses of all candidates in the caller's failure domain, or else in the caller's
/// region, or else all addresses.
pub(crate) fn choose_addresses(
    request: &LookupRequest,
    candidates: &[Candidate],
) -> Vec<SocketAddr> {
    let same_domain: Vec<SocketAddr> = candidates
        .iter()
        .filter(|candidate| request.domain.as_ref() == Some(&candidate.domain))
        .map(|candidate| candidate.address)
        .collect();
    if !same_domain.is_empty() {
        return same_domain;
    }
    let same_region: Vec<SocketAddr> = candidates
        .iter()
        .filter(|candidate| request.region.as_ref() == Some(&candidate.region))
        .map(|candidate| candidate.address)
        .collect();
    if !same_region.is_empty() {
        return same_region;
    }
    candidates
        .iter()
        .map(|candidate| candidate.address)
        .collect()
}
