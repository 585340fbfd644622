//! Exchanges share between peers by requests, grants and nudges.

use sg_types::prelude::*;

use super::{Engine, Fault, Peer, Sent};
use crate::{
    Action, Message, budget,
    ledger::Lender,
    message::{Ask, Grant},
};

/// The time to wait for an answer before the next request to the same peer.
const PATIENCE: Span = Span::from_secs(1);
/// The minimum time between nudges to the same peer.
const NUDGE_GAP: Span = Span::from_millis(25);

/// The state of the exchange with one peer.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// Request that is not answered yet.
    sent: Option<Sent>,
    /// Budgets to include in the next request regardless of earlier requests.
    forced: IndexSet<budget::Id>,
}

impl Engine {
    /// Updates the demand of all budgets, requests missing share, returns idle share and nudges
    /// borrowers.
    pub(super) fn move_share(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for ledger in self.ledgers.values_mut() {
            ledger.demand.tick(now);
        }
        self.orders
            .retain(|peer, _| self.ledgers.values().any(|ledger| ledger.involves(peer)));
        self.nudges.retain(|_, last| now.since(*last) < PATIENCE);
        self.request_all(now, actions);
        self.nudge_all(now, actions);
    }

    pub(super) fn request_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let terms = self.terms();
        for ledger in self.ledgers.values_mut() {
            ledger.begin_round(now, terms);
        }
        let contacts: Vec<_> = self.contacts.keys().cloned().collect();
        for contact in contacts {
            self.request(&contact, now, actions);
        }
    }

    /// Sends one request to a contact for all budgets that need one.
    fn request(&mut self, to: &id::Instance, now: Instant, actions: &mut Vec<Action>) {
        let terms = self.terms();
        let run = self.registry.run(to).unwrap_or_default();
        let Some(contact) = self.contacts.get_mut(to) else {
            return;
        };
        if contact
            .sent
            .is_some_and(|sent| now.since(sent.at) < PATIENCE)
        {
            return;
        }
        let forced = std::mem::take(&mut contact.forced);
        let peer = Peer {
            instance: to.clone(),
            incarnation: run,
        };
        let asks: Vec<Ask> = self
            .ledgers
            .iter_mut()
            .filter_map(|(id, ledger)| ledger.ask(id, &peer, forced.contains(id), now, terms))
            .collect();
        if asks.is_empty() {
            return;
        }
        let number = self.next();
        if let Some(contact) = self.contacts.get_mut(to) {
            contact.sent = Some(Sent { number, at: now });
        }
        actions.push(Action::Send {
            to: to.clone(),
            message: Message::Borrow { n: number, l: asks },
        });
    }

    /// Handles a borrower's request. A request whose number is not newer than the last one is
    /// ignored.
    pub(super) fn on_borrow(
        &mut self,
        from: &Peer,
        n: u64,
        asks: &[Ask],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.orders.get(from).is_some_and(|last| *last >= n) {
            self.counters.stale_messages += 1;
            return;
        }
        let terms = self.terms();
        if now >= terms.valid_until {
            return;
        }
        self.orders.insert(from.clone(), n);
        let me = Lender {
            instance: &self.me.instance,
            seed: self.options.seed,
        };
        let mut grants = Vec::new();
        for ask in asks {
            if let Some(ledger) = self.ledgers.get_mut(&ask.id) {
                grants.push(ledger.lend(from, ask, &me, now, terms));
            }
        }
        actions.push(Action::Send {
            to: from.instance.clone(),
            message: Message::Lend { n, l: grants },
        });
        let ids: Vec<_> = asks.iter().map(|ask| ask.id.clone()).collect();
        self.nudge(&ids, Some(from), now, actions);
    }

    pub(super) fn on_lend(
        &mut self,
        from: &Peer,
        n: u64,
        grants: &[Grant],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let terms = self.terms();
        let stale_taken = self.options.fault == Some(Fault::AcceptStale);
        let Some(contact) = self.contacts.get_mut(&from.instance) else {
            return;
        };
        let answered = contact.sent.filter(|sent| sent.number == n);
        let sent = match answered {
            Some(sent) => sent.at,
            None if stale_taken => now,
            None => {
                self.counters.stale_messages += 1;
                return;
            }
        };
        contact.sent = None;
        for grant in grants {
            let ledger = self.ledgers.get_mut(&grant.id);
            if ledger.is_some_and(|ledger| ledger.receive(from, grant, sent, now, terms)) {
                contact.forced.insert(grant.id.clone());
            }
        }
        if !contact.forced.is_empty() {
            self.request(&from.instance, now, actions);
        }
    }

    pub(super) fn on_nudge(
        &mut self,
        from: &Peer,
        ids: Vec<budget::Id>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(contact) = self.contacts.get_mut(&from.instance) else {
            return;
        };
        contact.forced.extend(ids);
        self.request(&from.instance, now, actions);
    }

    pub(super) fn nudge_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ids: Vec<_> = self.ledgers.keys().cloned().collect();
        self.nudge(&ids, None, now, actions);
    }

    /// Asks borrowers to send a new request if they hold too much or may receive more.
    fn nudge(
        &mut self,
        ids: &[budget::Id],
        except: Option<&Peer>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_confirmed(now) {
            return;
        }
        let me = Lender {
            instance: &self.me.instance,
            seed: self.options.seed,
        };
        let mut nudges: IndexMap<id::Instance, Vec<budget::Id>> = IndexMap::new();
        for id in ids {
            let Some(ledger) = self.ledgers.get(id) else {
                continue;
            };
            for peer in ledger.nudged(&me, now) {
                if Some(&peer) != except {
                    nudges.entry(peer.instance).or_default().push(id.clone());
                }
            }
        }
        for (to, b) in nudges {
            let nudged = self.nudges.get(&to).copied().unwrap_or_default();
            if nudged != Instant::START && now.since(nudged) < NUDGE_GAP {
                continue;
            }
            self.nudges.insert(to.clone(), now);
            let message = Message::Nudge { b };
            actions.push(Action::Send { to, message });
        }
    }
}
