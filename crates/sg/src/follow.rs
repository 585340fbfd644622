//! Follows a change until it is accepted, and tells where it is missing and why.

use std::{future::Future, pin::pin};

use serde::{Deserialize, Serialize};
use sg_peer::{
    accept::{Change, Follower, Progress},
    member::Status,
    report,
};
use sg_tree::{Fault, Node, compile};
use sg_types::prelude::*;

use crate::{
    DONE, Output, PENDING,
    fleet::{Client, Member, POLL},
};

mod text;

/// Where instances tell their state.
const PATH: &str = "/report";

/// How far a change is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is in force on every known instance.
    Everywhere,
    /// It is in force on a majority of the slots, and the missing instances must have fenced
    /// themselves.
    Fenced,
    /// It is in force on a majority; the missing instances have yet to fence themselves.
    Fencing,
    /// It is not in force on a majority.
    Waiting,
    /// Instances that know of it don't have it in force, and are not fenced.
    Refused,
}

/// Why a change is not in force on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "why", rename_all = "kebab-case")]
pub enum Why {
    /// The instance doesn't answer.
    Silent,
    /// An earlier revision is in force.
    Older {
        /// That revision.
        in_force: Revision,
    },
    /// The instance refused the tree.
    Refused {
        /// The revision that it refused.
        newest: Revision,
        /// The revision in force.
        in_force: Revision,
        /// What is wrong with the tree.
        faults: Vec<Fault>,
    },
}

/// An instance on which the change is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Missing {
    /// The instance.
    pub instance: id::Instance,
    /// Why.
    #[serde(flatten)]
    pub why: Why,
}

/// Whether a change is accepted, and where it is in force.
#[derive(Debug, Clone, Serialize)]
pub struct Acceptance {
    /// The revision.
    pub revision: Revision,
    /// Whether it is accepted.
    pub accepted: bool,
    /// How far it is.
    pub state: State,
    /// Instances that have it in force.
    pub in_force: Vec<id::Instance>,
    /// Instances that don't have it in force.
    pub missing: Vec<Missing>,
    /// How long until the missing ones must have fenced themselves.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fenced_in: Option<Span>,
    /// How long it was followed.
    pub took: Span,
}

impl Acceptance {
    /// What is printed, with the exit code.
    pub(crate) fn output(&self) -> Output {
        let code = match self.accepted {
            true => DONE,
            false => PENDING,
        };
        Output::new(self, self.to_string()).with_code(code)
    }
}

/// What is followed of the change from `before` to `after`. A tree before that can't be read
/// counts as the one after.
#[must_use]
pub fn change(revision: Revision, before: &Node, after: &Node) -> Change {
    let fleet = |tree| {
        let outcome = compile::compile(tree, revision);
        outcome.map(|outcome| outcome.view.fleet).ok()
    };
    let new = fleet(after).unwrap_or_default();
    let old = fleet(before).unwrap_or_else(|| new.clone());
    Change {
        revision,
        slots_before: old.slots,
        slots: new.slots,
        validity: old.validity.max(new.validity),
    }
}

/// The part of an instance's report that is read.
#[derive(Debug, Deserialize)]
struct Report {
    node: report::Node,
}

/// What is known of one change on all instances.
#[derive(Debug)]
struct Watch {
    change: Change,
    follower: Follower,
    /// The latest report of each known instance, if it ever answered.
    nodes: IndexMap<id::Instance, Option<report::Node>>,
}

impl Watch {
    fn new(change: Change) -> Self {
        Self {
            change,
            follower: Follower::new(change, []),
            nodes: IndexMap::new(),
        }
    }

    /// Takes a round of answers, all of which came before `now`.
    fn take(&mut self, answers: Vec<(Member, Option<Report>)>, now: Instant) {
        for (member, _) in &answers {
            self.expect(&member.instance);
        }
        for node in answers
            .into_iter()
            .filter_map(|(_, answer)| Some(answer?.node))
        {
            let serving = node.members.iter();
            let serving = serving.filter(|member| member.status == Status::Alive);
            for member in serving {
                self.expect(&member.instance);
            }
            self.follower.take(&node, now);
            self.nodes.insert(node.instance.clone(), Some(node));
        }
    }

    fn expect(&mut self, instance: &id::Instance) {
        self.follower.expect(instance.clone());
        self.nodes.entry(instance.clone()).or_default();
    }

    fn acceptance(&self, now: Instant, took: Span) -> Acceptance {
        let progress = self.follower.progress(now);
        let mut in_force = Vec::new();
        let mut missing = Vec::new();
        for (instance, node) in &self.nodes {
            match self.why(node.as_ref()) {
                None => in_force.push(instance.clone()),
                Some(why) => missing.push(Missing {
                    instance: instance.clone(),
                    why,
                }),
            }
        }
        let state = state(&progress, &missing);
        Acceptance {
            revision: self.change.revision,
            accepted: matches!(state, State::Everywhere | State::Fenced),
            state,
            in_force,
            missing,
            fenced_in: match (state, &progress) {
                (State::Fencing, Progress::Fencing { until, .. }) => Some(until.since(now)),
                _ => None,
            },
            took,
        }
    }

    /// Why the change is not in force on an instance with this report; `None` if it is.
    fn why(&self, node: Option<&report::Node>) -> Option<Why> {
        let Some(node) = node else {
            return Some(Why::Silent);
        };
        if node.in_force >= self.change.revision {
            return None;
        }
        let knows = node.newest >= self.change.revision;
        Some(match knows && !node.faults.is_empty() {
            true => Why::Refused {
                newest: node.newest,
                in_force: node.in_force,
                faults: node.faults.clone(),
            },
            false => Why::Older {
                in_force: node.in_force,
            },
        })
    }
}

/// An instance that knows of the change fences itself no more; if it doesn't have it in force, the
/// change is not accepted.
fn state(progress: &Progress, missing: &[Missing]) -> State {
    let fences = |one: &Missing| progress.missing().contains(&one.instance);
    match progress {
        Progress::Waiting { .. } => State::Waiting,
        _ if !missing.iter().all(fences) => State::Refused,
        Progress::Everywhere => State::Everywhere,
        Progress::Fenced { .. } => State::Fenced,
        Progress::Fencing { .. } => State::Fencing,
    }
}

impl Client {
    /// Follows `change` until it is accepted or `interrupted` ends. No new round of questions
    /// begins after `patience`; the first one always does.
    pub async fn follow(
        &self,
        change: Change,
        patience: Span,
        interrupted: impl Future<Output = ()>,
    ) -> Acceptance {
        let mut interrupted = pin!(interrupted);
        let mut watch = Watch::new(change);
        let start = self.timer.now();
        loop {
            let round = self.ask::<Report>(PATH);
            let ended = tokio::select! {
                answers = round => {
                    // A list that can't be read leaves what is known.
                    watch.take(answers.unwrap_or_default(), self.timer.now());
                    false
                }
                () = &mut interrupted => true,
            };
            let now = self.timer.now();
            let acceptance = watch.acceptance(now, now.since(start));
            if ended || acceptance.accepted || acceptance.took >= patience {
                return acceptance;
            }
            tokio::select! {
                () = self.timer.sleep(POLL) => {}
                () = &mut interrupted => return acceptance,
            }
        }
    }
}
