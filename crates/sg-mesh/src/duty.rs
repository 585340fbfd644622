//! Decides which instances of a failure domain follow the store for the others, and which exchange the
//! domain's beacons with other domains.
//!
//! The load: every instance that follows the store by itself costs the store as many calls, and every
//! beacon that goes to every instance costs the network the square of the fleet. A few instances of each
//! domain do both for the others. Nobody appoints them: each instance decides from the beacons that it has
//! heard. Two instances may disagree for a moment; then more instances do the work than necessary.

use sg_types::prelude::*;

use crate::members::{Member, Members};

/// Number of instances of a failure domain that follow the store for the others. While it is gone and nobody has
/// noticed, the domain hears of changes from the followers of other domains.
pub const FOLLOWERS: usize = 1;
/// Number of instances of a failure domain that exchange its beacons with other domains.
pub const EXCHANGERS: usize = 2;
/// Time that an instance has to follow the store and to say so before the next one does.
const TAKEOVER_STEP: Span = Span::from_millis(300);
/// Time without a beacon after which an instance no longer counts as doing a duty. It is shorter than the
/// time after which the instance counts as gone, because a duty that nobody does delays changes.
const SILENCE_TIMEOUT: Span = Span::from_millis(1_300);

/// Returns for how long `own` waits before it follows the store itself; `None` if it doesn't have to, because
/// [`FOLLOWERS`] instances of its failure domain that go before it say that they follow.
///
/// Instances that go before it and don't follow yet come first. Each place behind them adds a step to the
/// wait, so that not all of a domain follow at once when its followers fail.
#[must_use]
pub fn delay_to_follow(
    members: &Members,
    own: &id::Instance,
    domain: &id::Domain,
    now: Instant,
) -> Option<Span> {
    let earlier = fresh(members, domain, now).filter(|member| member.beacon.instance < *own);
    let (following, others): (Vec<&Member>, Vec<&Member>) =
        earlier.partition(|member| member.beacon.follows);
    let missing = FOLLOWERS
        .checked_sub(following.len())
        .filter(|missing| *missing > 0)?;
    let places = (others.len() + 1).saturating_sub(missing);
    Some(TAKEOVER_STEP.mul_f64(places as f64))
}

/// Returns the place of `own` among the instances that exchange beacons with other domains for its own one, or
/// `None` if it doesn't.
#[must_use]
pub fn exchange_place(
    members: &Members,
    own: &id::Instance,
    domain: &id::Domain,
    now: Instant,
) -> Option<usize> {
    let earlier = fresh(members, domain, now)
        .filter(|member| member.beacon.takes_digests && member.beacon.instance < *own);
    let place = earlier.count();
    (place < EXCHANGERS).then_some(place)
}

/// Returns the member of `domain`, another one than the own, that gets the digests of the instance at `place`
/// of its own domain.
///
/// A domain hears of each other one on two ways that share no instance: the first instance that exchanges
/// beacons sends to the first one there, the second to any other one by `draw`, which returns an index below
/// its argument. The draw reaches the domain while those that exchange its beacons are gone and nobody has
/// noticed.
#[must_use]
pub fn receiver<'a>(
    members: &'a Members,
    domain: &id::Domain,
    place: usize,
    now: Instant,
    draw: impl FnOnce(usize) -> usize,
) -> Option<&'a Member> {
    let takers = fresh(members, domain, now).filter(|member| member.beacon.takes_digests);
    let mut takers: Vec<&Member> = takers.collect();
    takers.sort_by(|a, b| a.beacon.instance.cmp(&b.beacon.instance));
    match takers.as_slice() {
        [] => None,
        [first] => Some(first),
        [first, ..] if place == 0 => Some(first),
        [_, others @ ..] => Some(others[draw(others.len())]),
    }
}

/// Returns the number of live instances of builds that don't read digests.
#[must_use]
pub fn earlier_builds(members: &Members, now: Instant) -> usize {
    let alive = members.alive(now);
    alive.filter(|member| !member.beacon.takes_digests).count()
}

/// Returns the instances of `domain` that were heard of lately and stay.
fn fresh<'a>(
    members: &'a Members,
    domain: &id::Domain,
    now: Instant,
) -> impl Iterator<Item = &'a Member> {
    members.alive(now).filter(move |member| {
        member.beacon.location.domain == *domain
            && !member.beacon.leaving
            && now.since(member.last_seen) <= SILENCE_TIMEOUT
    })
}
