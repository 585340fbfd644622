//! What the instances and the dispatcher tell each other.

use sg_dispatch::{Ask, Bid, Decision, Group, message};
use sg_types::prelude::*;

use super::{BOUNDS, Event, Request, Simulation, TOLD, TRIP_MICROS, at, name, span, ticket};
use crate::service::WARM_FRACTION;

impl Simulation {
    pub(super) fn list_targets(&mut self, now: u64) {
        let slots = self.service.slots as u32;
        let views = (0..self.service.targets).map(|index| message::TargetView {
            id: name(&format!("t{index}")),
            slots,
            is_usable: true,
            is_cold: false,
        });
        self.group.set_targets(views, at(now));
    }

    pub(super) fn lease(&self, index: usize, request: &Request, now: u64) -> message::Lease {
        let kind = self.service.kinds[request.kind];
        let left = if request.is_running {
            kind.deadline_seconds
        } else {
            0.0
        };
        message::Lease {
            ticket: ticket(index),
            target: name(&format!("t{}", request.target)),
            object: Some(self.object(index)),
            work: span(kind.cold_seconds * WARM_FRACTION),
            age: Span::from_micros(now - request.sent),
            deadline_left: span(left),
        }
    }

    /// Begins a dispatcher that knows only what the instances tell it.
    pub(super) fn replace_dispatcher(&mut self, now: u64) {
        self.group = Group::new(BOUNDS, at(now));
        self.list_targets(now);
        // Each instance tells its slots in use and the last slots that it used.
        let granted = self.requests.iter().enumerate();
        let granted = granted.filter(|(_, request)| request.is_granted);
        let mut told = vec![0; self.service.instances];
        let told = granted.rev().filter(|(_, request)| {
            told[request.instance] += 1;
            request.is_running || told[request.instance] <= TOLD
        });
        let mut leases: Vec<message::Lease> = told
            .map(|(index, request)| self.lease(index, request, now))
            .collect();
        leases.reverse();
        self.group.adopt(leases, at(now));
        for index in 0..self.requests.len() {
            if self.requests[index].is_asking {
                self.schedule(now + TRIP_MICROS, Event::AskAgain(index));
            }
        }
    }

    pub(super) fn decide(&mut self, now: u64, decide: impl FnOnce(&mut Group) -> Vec<Decision>) {
        let began = std::time::Instant::now();
        let decisions = decide(&mut self.group);
        self.decision_time += began.elapsed();
        self.totals.messages += decisions.len() as u32;
        for decision in decisions {
            self.schedule(now + TRIP_MICROS, Event::Decided(decision));
        }
    }

    pub(super) fn ask(&mut self, index: usize, now: u64) -> Ask {
        self.totals.messages += 1;
        self.requests[index].is_asking = true;
        let request = &self.requests[index];
        let kind = self.service.kinds[request.kind];
        let work = &self.work[request.instance][request.kind];
        let waited = (now - request.arrived) as f64 / 1e6;
        Ask {
            ticket: ticket(index),
            object: Some(self.object(index)),
            bid: Bid {
                priority: kind.priority,
                objective_left: span(kind.objective_seconds - waited),
                deadline_left: span(kind.deadline_seconds - waited),
                work: span(work.expected_work_seconds(false)),
                waited: span(waited),
                account: None,
                route: name(&format!("route-{}", request.kind)),
            },
            warm_work: span(work.expected_work_seconds(true)),
            cold_work: span(work.expected_work_seconds(false)),
            excluded: request.tried.clone(),
        }
    }

    pub(super) fn follow(&mut self, decision: Decision, now: u64) {
        match decision {
            Decision::Grant {
                ticket,
                target,
                is_warm,
            } => {
                let index = ticket.number as usize;
                let request = &mut self.requests[index];
                // A grant of the dispatcher that was replaced, to a request that has asked again.
                if !std::mem::take(&mut request.is_asking) {
                    return;
                }
                (request.is_granted, request.is_running) = (true, true);
                self.send(index, &target, is_warm, false, now);
            }
            Decision::Wait { .. } => {}
            Decision::Reject {
                ticket,
                retry_after,
            } => {
                let index = ticket.number as usize;
                if std::mem::take(&mut self.requests[index].is_asking) {
                    self.refuse(index, retry_after.as_secs_f64(), now);
                }
            }
        }
    }
}
