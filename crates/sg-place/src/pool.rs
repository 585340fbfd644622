//! The targets of one service, and the choice among them.

use sg_types::prelude::*;

use crate::{
    Plan, Target, cold,
    hash::Object,
    member::{End, Member, Report, Usual},
    shift::Guard,
};

/// Where the choosing instance is, and what reaching others costs.
#[derive(Debug, Clone)]
pub struct Here {
    /// The failure domain of this instance.
    pub domain: id::Domain,
    /// Its region.
    pub region: id::Region,
    /// This instance.
    pub instance: id::Instance,
    /// All instances that send to targets, this one among them.
    pub instances: Arc<[id::Instance]>,
    /// Seconds to a target of the same domain and back.
    pub near: f64,
    /// Seconds to another domain of the region and back.
    pub region_trip: f64,
    /// Seconds to another region and back.
    pub far: f64,
}

/// Seconds that a request may take longer before it leaves its domain: traffic between domains costs.
const DOMAIN_BIAS: f64 = 0.03;
/// The same before it leaves its region.
const REGION_BIAS: f64 = 0.15;
/// The most of the work that warmth saves that the first in rank is thought to take, if this instance
/// knows nothing of the object there: it is the first choice also while everything is cold.
const MOST_FIRST_COST: f64 = 0.9;
/// The same for a target that is warm but not the first in rank: small enough to stay there while the
/// first is crowded, large enough to return, and to use targets that join.
const OTHER_COST: f64 = 0.3;
/// The same beyond a cold request, for making one more target warm: others are evicted there.
const SPREAD_COST: f64 = 2.0;
/// The part of the wait that a queue suggests which requests really wait: reports of load are a little
/// old, and what stands there has run for a while.
const WAIT_PART: f64 = 0.6;
/// Seconds of work that a certain failure counts for.
const FAILURE_COST: f64 = 2.0;
/// The part of a target's slots above which the next one in rank is looked at.
const FULL: f64 = 0.9;

/// Refused requests that may run nowhere else, of about a second, from which on room is thought scarce:
/// more than a moment's crowd at the start.
const SCARCE: f64 = 5.0;
/// Seconds until a region may take more of the requests, while they shift as fast as they may.
const GUARD_WAIT: f64 = 0.5;

/// What a request asks of its target.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// What the request is about, if targets remember it.
    pub object: Option<Object>,
    /// What the plan places the request by.
    pub place: Object,
    /// Whether it may leave the region that the plan names, while there are targets.
    pub may_roam: bool,
    /// The expected work in seconds if the target is warm.
    pub warm: f64,
    /// The expected work in seconds if it is not.
    pub cold: f64,
    /// The part of requests that find their object cold at the first target in rank.
    pub doubt: f64,
    /// Seconds that a request which waits there takes.
    pub typical: f64,
    /// Targets that this request was sent to already.
    pub tried: &'a [id::Target],
    /// The only regions that may run it; empty for all.
    pub homes: &'a [id::Region],
    /// The same of the client account.
    pub account_homes: &'a [id::Region],
    /// The most requests a second over the fleet that a cold target bears.
    pub cold_rate: f64,
    /// Seconds that are left for the answer.
    pub left: f64,
    /// Bounds how fast requests change their region.
    pub guard: &'a Guard,
    /// The time.
    pub now: Instant,
}

/// A chosen target.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Whether this instance had an answer about the object from there lately.
    pub warm: bool,
    /// Seconds until the answer is expected.
    pub expected: f64,
    /// Seconds until the answer if the object is not warm there after all.
    pub longest: f64,
    /// Seconds that the way there and back takes.
    pub trip: f64,
    /// Seconds that it is expected to wait there before it runs.
    pub wait: f64,
    /// Seconds that the target is expected to work on it.
    pub work: f64,
    /// Whether it is the first in rank.
    pub first: bool,
    /// Whether it is in another region than the plan names.
    pub roams: bool,
    /// When it was chosen.
    pub at: Instant,
}

impl Choice {
    /// When the target is expected to begin the work.
    #[must_use]
    pub fn start(&self) -> Instant {
        self.at + Span::from_secs(1).mul_f64(self.wait)
    }
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Refused {
    /// No target may take the request.
    NoTarget,
    /// No target can answer in time; room is expected after so many seconds.
    Full(f64),
}

/// The targets of one service.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    members: IndexMap<id::Target, Member>,
    plan: Plan,
    crowd: f64,
    /// How many requests regions refused lately that may run nowhere else.
    scarce: IndexMap<id::Region, Decaying>,
}

/// A count that forgets within a second.
#[derive(Debug, Clone, Copy, Default)]
struct Decaying {
    count: f64,
    at: Instant,
}

impl Decaying {
    fn add(&mut self, more: f64, now: Instant) {
        self.count = self.get(now) + more;
        self.at = now;
    }

    fn get(&self, now: Instant) -> f64 {
        self.count * (-now.since(self.at).as_secs_f64()).exp()
    }
}

struct Scored<'a> {
    member: &'a Member,
    score: f64,
    trip: f64,
    wait: f64,
    choice: (bool, bool, f64, f64),
}

impl Pool {
    /// The targets.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The target of that name.
    pub fn member_mut(&mut self, id: &id::Target) -> Option<&mut Member> {
        self.members.get_mut(id)
    }

    /// Whether there is no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Adds a target or takes what it says of itself now; tells whether it is new.
    pub fn put(&mut self, target: Target, now: Instant) -> bool {
        match self.members.get_mut(&target.id) {
            Some(member) => {
                member.update(target, now);
                false
            }
            None => {
                let member = Member::new(target, now);
                self.members.insert(member.target.id.clone(), member);
                true
            }
        }
    }

    /// Forgets a target.
    pub fn remove(&mut self, id: &id::Target) -> bool {
        self.members.swap_remove(id).is_some()
    }

    /// Nothing is sent to the targets of `domain` before a health check answers.
    pub fn doubt(&mut self, domain: &id::Domain) {
        let members = self.members.values_mut();
        members
            .filter(|m| m.target.domain == *domain)
            .for_each(Member::doubt);
    }

    /// Follows `plan` from now on.
    pub fn follow(&mut self, plan: Plan) {
        self.plan = plan;
    }

    /// Instances of this region send `crowd` times as many requests as this one alone.
    pub fn crowd(&mut self, crowd: f64) {
        self.crowd = crowd;
    }

    /// The plan that is followed.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Chooses the target whose answer is expected first, with a bias toward the domain that the plan
    /// names for the object and toward near ones. `closed`: domains that take nothing.
    ///
    /// # Errors
    /// [`Refused`] if no target may take the request or none can answer in time.
    pub fn choose(
        &self,
        ask: &Ask<'_>,
        here: &Here,
        closed: &IndexSet<id::Domain>,
    ) -> Result<Choice, Refused> {
        let guarded = ask.guard.is_crowded(ask.now) && !self.is_hurt(ask.now);
        let planned = self.planned(ask, here, guarded);
        let banned = |member: &Member| member.is_banned(ask.now);
        let usable: Vec<&Member> = self
            .members
            .values()
            .filter(|member| may_use(member, ask, closed))
            .collect();
        let sound: Vec<&Member> = usable.iter().copied().filter(|m| !banned(m)).collect();
        let mut members = if sound.is_empty() { usable } else { sound };
        // One that may run anywhere leaves scarce room to those that may not.
        let free = ask.homes.is_empty() && ask.account_homes.is_empty();
        let yields = free && planned.is_some_and(|region| self.is_scarce(region, ask.now));
        if let Some(region) = planned.filter(|_| !ask.may_roam && !yields) {
            let stays = |member: &&Member| member.target.region == *region;
            if members.iter().any(stays) {
                members.retain(stays);
            }
        }
        if guarded {
            members.retain(|member| ask.guard.may_take(&member.target.region, ask.now));
            if members.is_empty() {
                return Err(Refused::Full(GUARD_WAIT));
            }
        }
        let firsts = firsts(&members, ask.object, ask.now);
        let scored: Vec<Scored<'_>> = members
            .iter()
            .filter(|member| self.has_cold_room(member, ask, here))
            .map(|member| score(member, ask, here, planned, &firsts, self.crowd))
            .collect();
        let order = |a: &&Scored<'_>, b: &&Scored<'_>| {
            let late = |scored: &Scored<'_>| scored.wait > 0.0 && scored.choice.2 > ask.left;
            late(a).cmp(&late(b)).then(a.score.total_cmp(&b.score))
        };
        let has_room = |scored: &Scored<'_>| {
            let member = scored.member;
            member.limit.has_room(member.in_flight, ask.now)
        };
        let elsewhere = |scored: &&Scored<'_>| {
            let region = &scored.member.target.region;
            let (known, first, ..) = scored.choice;
            let ready = known || first || ask.object.is_none();
            ready && Some(region) != planned && scored.wait <= 0.0 && has_room(scored)
        };
        let spare = scored.iter().filter(|scored| yields && elsewhere(scored));
        let planned_only = scored.iter().filter(|scored| {
            !yields || ask.may_roam || Some(&scored.member.target.region) == planned
        });
        let best = spare.min_by(order);
        let best = best.or_else(|| planned_only.min_by(order).or(scored.iter().min_by(order)));
        let Some(best) = best else {
            return Err(Refused::NoTarget);
        };
        // In a crowd a target that would have to warm up serves this request at the cost of others.
        let is_ready = |scored: &Scored<'_>| ask.object.is_none() || scored.choice.0;
        let best = if has_room(best) {
            Some(best)
        } else {
            let others = scored
                .iter()
                .filter(|scored| has_room(scored) && is_ready(scored));
            others.min_by(order)
        };
        let Some(best) = best else {
            return Err(Refused::Full(ask.typical));
        };
        let roams = !yields && planned.is_some_and(|region| *region != best.member.target.region);
        let (warm, first, expected, work) = best.choice;
        // A target with a free slot is tried whatever is expected: what was learnt may be out of date, and
        // only an answer tells.
        if expected > ask.left && best.wait > 0.0 {
            return Err(Refused::Full(expected - ask.left));
        }
        Ok(Choice {
            target: best.member.target.clone(),
            warm,
            expected,
            longest: expected - work + ask.cold.max(work),
            trip: best.trip,
            wait: best.wait,
            work,
            first,
            roams,
            at: ask.now,
        })
    }

    /// The region that the plan names, or another one while too many requests change to that.
    fn planned<'a>(
        &'a self,
        ask: &Ask<'_>,
        here: &'a Here,
        guarded: bool,
    ) -> Option<&'a id::Region> {
        let planned = self.plan.region(ask.place)?;
        if !guarded || ask.guard.may_take(planned, ask.now) {
            return Some(planned);
        }
        let parts = self.plan.parts.iter().filter(|part| part.weight > 0.0);
        let mut others = std::iter::once(&here.region).chain(parts.map(|part| &part.region));
        others.find(|region| ask.guard.may_take(region, ask.now))
    }

    /// A request that may run nowhere but in `homes` was refused for want of room.
    pub fn note_scarce<'a>(
        &mut self,
        homes: impl IntoIterator<Item = &'a id::Region>,
        now: Instant,
    ) {
        for home in homes {
            self.scarce.entry(home.clone()).or_default().add(1.0, now);
        }
    }

    fn is_scarce(&self, region: &id::Region, now: Instant) -> bool {
        let refused = self.scarce.get(region).map_or(0.0, |count| count.get(now));
        refused >= SCARCE
    }

    /// Whether targets are lost, so that requests have to change at once.
    fn is_hurt(&self, now: Instant) -> bool {
        self.members.values().any(|member| member.is_banned(now))
    }

    fn has_cold_room(&self, member: &Member, ask: &Ask<'_>, here: &Here) -> bool {
        if !member.is_cold(ask.now) || ask.cold_rate <= 0.0 {
            return true;
        }
        let allowance = cold::allowance(
            ask.cold_rate,
            &member.target.id,
            &here.instance,
            here.instances.iter(),
        );
        member.window.has_room(allowance, ask.now)
    }

    /// A request is sent to `id`.
    pub fn begin(&mut self, id: &id::Target, object: Option<Object>, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight += 1;
            member.window.note(now);
            if let Some(object) = object {
                member.warm_up(object, now);
            }
        }
    }

    /// A request that was sent to `id` has ended; `senders`: instances that send there.
    pub fn end(&mut self, id: &id::Target, end: End, senders: usize, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight = member.in_flight.saturating_sub(1);
            member.note(end, senders, now);
        }
    }

    /// The target reported its load.
    pub fn report(&mut self, id: &id::Target, report: Report, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.report(report, now);
        }
    }

    /// Slots of the targets in `domain` that may be used.
    #[must_use]
    pub fn slots(&self, domain: &id::Domain, now: Instant) -> f64 {
        let members = self.members.values().filter(|member| {
            member.target.domain == *domain && !member.target.draining && !member.is_banned(now)
        });
        members
            .map(|member| {
                let cold = if member.is_cold(now) { 0.3 } else { 1.0 };
                f64::from(member.slots()) * cold / member.slowness(now).max(1.0)
            })
            .sum()
    }
}

fn may_use(member: &Member, ask: &Ask<'_>, closed: &IndexSet<id::Domain>) -> bool {
    let target = &member.target;
    let at_home = |homes: &[id::Region]| homes.is_empty() || homes.contains(&target.region);
    !target.draining
        && !closed.contains(&target.domain)
        && at_home(ask.homes)
        && at_home(ask.account_homes)
        && !ask.tried.contains(&target.id)
}

/// The first in rank for the object among the sound targets of each region.
fn firsts<'a>(
    members: &[&'a Member],
    object: Option<Object>,
    now: Instant,
) -> IndexMap<&'a id::Region, &'a id::Target> {
    let mut best: IndexMap<&id::Region, (u64, &id::Target)> = IndexMap::new();
    let Some(object) = object else {
        return IndexMap::new();
    };
    let usual = Usual::of(members, now);
    for member in members
        .iter()
        .filter(|member| !member.is_ailing(usual, now))
    {
        let score = object.score(member.target.id.as_str());
        let entry = best
            .entry(&member.target.region)
            .or_insert((score, &member.target.id));
        if score > entry.0 {
            *entry = (score, &member.target.id);
        }
    }
    best.into_iter()
        .map(|(region, (_, id))| (region, id))
        .collect()
}

fn score<'a>(
    member: &'a Member,
    ask: &Ask<'_>,
    here: &Here,
    planned: Option<&id::Region>,
    firsts: &IndexMap<&id::Region, &id::Target>,
    crowd: f64,
) -> Scored<'a> {
    let target = &member.target;
    let same_region = target.region == here.region;
    let first = firsts
        .get(&target.region)
        .is_some_and(|id| **id == target.id);
    let known = ask
        .object
        .is_some_and(|object| member.is_warm(object, ask.now));
    let saved = ask.cold - ask.warm;
    let work = match (known, first) {
        (true, true) => ask.warm,
        (false, true) => ask.warm + saved * ask.doubt.min(MOST_FIRST_COST),
        (true, false) => ask.warm + saved * OTHER_COST,
        (false, false) => ask.cold + saved * SPREAD_COST,
    };
    let work = work * member.slowness(ask.now) * if member.is_cold(ask.now) { 2.0 } else { 1.0 };
    let slots = f64::from(member.slots());
    let busy = member.busy(if same_region { crowd } else { 1.0 }, ask.now);
    let queued = (busy + 1.0 - slots).max(0.0);
    let wait = queued / slots * ask.typical * WAIT_PART * member.slowness(ask.now);
    let full = ((busy + 1.0) / slots - FULL).max(0.0) * ask.warm;
    let near = target.domain == here.domain;
    let trip = match (near, same_region) {
        (true, _) => here.near,
        (_, true) => here.region_trip,
        _ => here.far,
    };
    let is_planned = planned.is_none_or(|region| *region == target.region);
    let mut bias = if is_planned { 0.0 } else { REGION_BIAS };
    if !near {
        bias += DOMAIN_BIAS;
    }
    let expected = trip + wait + work;
    Scored {
        member,
        score: expected + full + bias + member.failing(ask.now) * FAILURE_COST * ask.cold,
        trip,
        wait,
        choice: (known, first, expected, work),
    }
}
