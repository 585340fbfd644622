//! Chooses the instances to which an instance that is cut off from all targets may pass requests, and
//! judges their rejections.

use sg_types::prelude::*;

use crate::location::Location;

/// Another instance that accepts requests and reaches targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Region of the instance.
    pub region: id::Region,
    /// Address for callers' requests.
    pub address: std::net::SocketAddr,
}

/// A request that is to be passed on.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Regions that may see the request; empty for all regions.
    pub home_regions: &'a [id::Region],
    /// Regions that may see requests of the client account; empty for all regions.
    pub account_home_regions: &'a [id::Region],
    /// Instances that the request was already passed to.
    pub tried: &'a [id::Instance],
}

impl Query<'_> {
    fn allows(&self, peer: &Peer) -> bool {
        let is_home = |regions: &[id::Region]| regions.is_empty() || regions.contains(&peer.region);
        is_home(self.home_regions)
            && is_home(self.account_home_regions)
            && !self.tried.contains(&peer.instance)
    }
}

/// Returns the peers among which one is to be drawn, of those that may see the request: the ones in other
/// failure domains of the region at `location`, or else the others of the region, or else those of other
/// regions. An instance of the same failure domain may be cut off as well and not know so yet.
#[must_use]
pub fn candidates<'a>(peers: &'a [Peer], location: &Location, query: &Query<'_>) -> Vec<&'a Peer> {
    let allowed = peers.iter().filter(|peer| query.allows(peer));
    let (near, far): (Vec<&Peer>, Vec<&Peer>) =
        allowed.partition(|peer| peer.region == location.region);
    if near.is_empty() {
        return far;
    }
    let (neighbors, others): (Vec<&Peer>, Vec<&Peer>) = near
        .into_iter()
        .partition(|peer| peer.domain == location.domain);
    if others.is_empty() { neighbors } else { others }
}

/// Returns whether a rejection by the configuration `theirs` of another instance is outdated, because this
/// instance admits the request by the newer configuration `ours`. `theirs` is `None` if the configuration
/// doesn't decide on the rejection, or the other instance doesn't name its revision.
#[must_use]
pub fn is_outdated(theirs: Option<Revision>, ours: Revision) -> bool {
    theirs.is_some_and(|theirs| theirs < ours)
}
