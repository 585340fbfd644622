//! Decisions do not depend on the scale of a deployment's times.

use quickcheck::quickcheck;
use sg_dispatch::{
    Ask, Bid, Decision, Group, Ticket,
    message::{End, Outcome, TargetView},
    room::Bounds,
};
use sg_place::{hash::Object, member::LoadReport, pace::Pace};
use sg_types::prelude::*;

const SLOTS: u32 = 2;

/// One ask: object, work, whether it is urgent, and the time since the one before, in 10 ms.
type Step = (u8, u8, bool, u8);

struct Fleet {
    group: Group,
    scale: u64,
    decisions: Vec<Decision>,
    /// Requests in use of a slot, by the time of their end.
    running: Vec<(u64, Ticket, id::Target)>,
}

impl Fleet {
    fn new(targets: usize, scale: u64) -> Self {
        let bounds = Bounds {
            requests: 12,
            bytes: Bytes::new(1 << 20),
            time: Span::from_millis(20_000 * scale),
        };
        let mut group = Group::new(bounds, Instant::START);
        let views = (0..targets).map(|index| TargetView {
            id: format!("t{index}").parse().expect("a name"),
            slots: SLOTS,
            is_usable: true,
            is_cold: index == 3,
        });
        group.set_targets(views, Instant::START);
        Self {
            group,
            scale,
            decisions: Vec::new(),
            running: Vec::new(),
        }
    }

    fn span(&self, millis: u64) -> Span {
        Span::from_millis(millis * self.scale)
    }

    fn at(&self, millis: u64) -> Instant {
        Instant::START + self.span(millis)
    }

    fn record(&mut self, decisions: Vec<Decision>, works: &[u64], now: u64) {
        for decision in decisions {
            if let Decision::Grant { ticket, target, .. } = &decision {
                let end = now + works[ticket.number as usize];
                self.running.push((end, *ticket, target.clone()));
            }
            self.decisions.push(decision);
        }
    }

    /// Ends the requests that are due, and returns whether no target ever has more than its share.
    fn advance(&mut self, works: &[u64], now: u64) -> bool {
        self.running.sort();
        while self.running.first().is_some_and(|(end, ..)| *end <= now) {
            let (end, ticket, target) = self.running.remove(0);
            let at_target = self.running.iter().filter(|(.., other)| *other == target);
            let count = at_target.count() as u32;
            let report = LoadReport {
                running: count.min(SLOTS),
                waiting: count.saturating_sub(SLOTS),
                slots: SLOTS,
                pace: Some(Pace::from_percent(100 + ticket.number as u32 % 3 * 100)),
            };
            let message = End {
                outcome: Outcome::Answered,
                report: Some(report),
                work: Some(self.span(works[ticket.number as usize])),
            };
            let decisions = self.group.end(ticket, message, self.at(end));
            self.record(decisions, works, end);
            self.running.sort();
        }
        let decisions = self.group.tick(self.at(now));
        self.record(decisions, works, now);
        let mut counts: IndexMap<&id::Target, u32> = IndexMap::new();
        for (.., target) in &self.running {
            *counts.entry(target).or_default() += 1;
        }
        counts.values().all(|count| *count <= SLOTS + 1)
    }

    fn ask(&mut self, number: usize, step: Step, works: &[u64], now: u64) {
        let (object, _, is_urgent, _) = step;
        let work = self.span(works[number]);
        let ask = Ask {
            ticket: Ticket {
                sender: Incarnation::new(1),
                number: number as u64,
            },
            object: (object % 8 > 0).then(|| Object::new("object", object % 8)),
            bid: Bid {
                priority: u32::from(!is_urgent),
                objective_left: work.mul_f64(2.0),
                deadline_left: work.mul_f64(40.0),
                work,
                waited: Span::ZERO,
                account: None,
                route: "route".parse().expect("a name"),
            },
            warm_work: work.mul_f64(0.25),
            cold_work: work,
            excluded: Vec::new(),
        };
        let decisions = self.group.ask(ask, self.at(now));
        self.record(decisions, works, now);
    }

    /// Runs the steps. Returns the decisions with their times as multiples of the scale, and whether no
    /// target ever had more than its share.
    fn run(mut self, steps: &[Step]) -> (Vec<String>, bool) {
        let works = steps.iter().map(|(_, work, ..)| 200 + u64::from(*work) * 8);
        let works: Vec<u64> = works.collect();
        let (mut now, mut is_bounded) = (0, true);
        for (number, step) in steps.iter().enumerate() {
            now += u64::from(step.3 % 16) * 10;
            is_bounded &= self.advance(&works, now);
            self.ask(number, *step, &works, now);
        }
        is_bounded &= self.advance(&works, now + 60_000);
        let decisions = self.decisions.iter().map(|decision| match decision {
            Decision::Grant { ticket, target, .. } => format!("{} at {target}", ticket.number),
            Decision::Wait { ticket, .. } => format!("{} waits", ticket.number),
            Decision::Reject { ticket, .. } => format!("{} rejected", ticket.number),
        });
        (decisions.collect(), is_bounded)
    }
}

quickcheck! {
    /// All times multiplied by a factor give the same decisions. Powers of two keep the arithmetic exact
    /// enough.
    fn the_scale_of_times_does_not_matter(steps: Vec<Step>, targets: u8) -> bool {
        let targets = usize::from(targets % 5);
        let (plain, _) = Fleet::new(targets, 1).run(&steps);
        let (scaled, _) = Fleet::new(targets, 4).run(&steps);
        plain == scaled
    }

    /// No sequence of asks and ends gives a target more than its slots and one request, and every ask is
    /// answered by a grant or a rejection in the end.
    fn grants_are_bounded_and_every_ask_is_decided(steps: Vec<Step>, targets: u8) -> bool {
        let targets = usize::from(targets % 5);
        let (decisions, is_bounded) = Fleet::new(targets, 1).run(&steps);
        let decided = decisions.iter().filter(|text| !text.ends_with("waits"));
        is_bounded && decided.count() == steps.len()
    }
}
