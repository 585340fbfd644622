//! Makes a change of the tree: checks it, publishes it, follows it and says what it did.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use sg_peer::accept;
use sg_report::drain::Progress;
use sg_store::{
    change,
    head::{Date, Head},
    history,
    key::Key,
    load, publish,
};
use sg_tree::{Fault, Node, compile, diff, fault::Severity, guarantees, predict};
use sg_types::prelude::*;

use crate::{
    Context, DONE, Error, Output, PENDING,
    follow::{self, Acceptance},
};

/// How long to look for an interrupted change in the store.
const LOOK: Span = Span::from_secs(2);

/// What is said where nobody was asked whether a change is accepted.
const UNFOLLOWED: &str = "not known to be accepted, since no instance was asked: give --instances ADDRESS or set \
     SG_INSTANCES";

/// A change to be made.
#[derive(Debug)]
pub struct Plan<'a> {
    /// The revision that the operator changed.
    pub base: Revision,
    /// Its tree.
    pub before: &'a Node,
    /// The tree to be written.
    pub after: &'a Node,
    /// A new key, shown once the change is written.
    pub key: Option<&'a Key>,
}

impl<'a> Plan<'a> {
    /// A change of the tree that was loaded.
    #[must_use]
    pub fn new(loaded: &'a load::Outcome, after: &'a Node) -> Self {
        Self {
            base: loaded.head.revision,
            before: &loaded.tree,
            after,
            key: None,
        }
    }
}

/// What a change did.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    /// Whether it stands in the store.
    pub written: bool,
    /// Whether it is accepted: in force everywhere, or nobody without it serves keyed routes.
    pub accepted: bool,
    pub revision: Revision,
    pub change: change::Id,
    /// Whether an earlier run with the same id had made it already.
    pub repeated: bool,
    pub difference: diff::Difference,
    pub prediction: predict::Prediction,
    pub warnings: Vec<Fault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub acceptance: Option<Acceptance>,
    /// Shown this once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain: Option<Progress>,
}

impl Context {
    /// Checks, publishes and follows a change.
    ///
    /// # Errors
    /// Faults, races, and those of the store.
    pub async fn change(&self, plan: Plan<'_>) -> Result<Output, Error> {
        let change = self.make(plan).await?;
        Ok(change.output())
    }

    /// Like [`Context::change`], for commands that add to what is printed.
    pub(crate) async fn make(&self, plan: Plan<'_>) -> Result<Change, Error> {
        let revision = plan.base.next();
        let compiled = compile::compile(plan.after, revision)?;
        let old = compile::compile(plan.before, plan.base).map(|outcome| outcome.view);
        let old = old.unwrap_or_default();
        let mut warnings = compiled.warnings;
        warnings.extend(guarantees::check(&compiled.view));
        if refused(&warnings, &guarantees::check(&old)) {
            return Err(Error::Faults(warnings));
        }
        let mut change = Change {
            written: false,
            accepted: false,
            revision,
            change: self.change_id(),
            repeated: false,
            difference: diff::diff(plan.before, plan.after),
            prediction: predict::predict(&old, &compiled.view),
            warnings,
            acceptance: None,
            key: None,
            drain: None,
        };
        if !self.dry_run {
            let head = self.publish(change.change, &plan).await?;
            change.written = true;
            change.revision = head.revision;
            change.key = plan.key.map(ToString::to_string);
            let followed = follow::change(head.revision, plan.before, plan.after);
            change.observe(self.follow(followed).await);
        }
        Ok(change)
    }

    /// What became of the change that the operator names by `--change`, if the store knows it.
    ///
    /// # Errors
    /// Those of the store.
    pub(crate) async fn repeated(&self) -> Result<Option<Output>, Error> {
        let Some(id) = self.change else {
            return Ok(None);
        };
        let store = self.store()?;
        let heads = history::list(&store).await?;
        let Some(head) = heads.into_iter().find(|head| head.change == id) else {
            return Ok(None);
        };
        let (before, after) = self.trees(&head).await?;
        let mut change = Change {
            written: true,
            accepted: false,
            revision: head.revision,
            change: id,
            repeated: true,
            difference: diff::diff(&before, &after),
            prediction: predict::Prediction::default(),
            warnings: Vec::new(),
            acceptance: None,
            key: None,
            drain: None,
        };
        let followed = follow::change(head.revision, &before, &after);
        change.observe(self.follow(followed).await);
        Ok(Some(change.output()))
    }

    /// The trees before and after a revision. An earlier one that is no longer kept counts as
    /// empty.
    async fn trees(&self, head: &Head) -> Result<(Node, Node), Error> {
        let store = self.store()?;
        let after = load::tree(&store, head).await?;
        let earlier = Revision::new(head.revision.get().saturating_sub(1));
        let before = history::load(&store, earlier).await;
        let before = before.map_or_else(|_| Node::default(), |before| before.tree);
        Ok((before, after))
    }

    /// Whether a revision, or else the newest one, is accepted.
    ///
    /// # Errors
    /// Those of the store, and [`Error::Usage`] without the address of the list of instances.
    pub(crate) async fn acceptance(&self, revision: Option<Revision>) -> Result<Output, Error> {
        self.fleet()?;
        let head = match revision {
            None => self.load().await?.head,
            Some(revision) => {
                let loaded = history::load(&self.store()?, revision).await;
                loaded
                    .map_err(|error| Error::revision(error, revision))?
                    .head
            }
        };
        let (before, after) = self.trees(&head).await?;
        let followed = follow::change(head.revision, &before, &after);
        let Some(acceptance) = self.follow(followed).await else {
            return Err(Error::Usage(UNFOLLOWED.to_owned()));
        };
        Ok(acceptance.output())
    }

    async fn publish(&self, id: change::Id, plan: &Plan<'_>) -> Result<Head, Error> {
        let options = publish::Options {
            base: plan.base,
            author: self.author.clone(),
            note: self.note.clone(),
            change: id,
            time: now(),
        };
        let store = self.store()?;
        self.interrupt.begin_write();
        let work = publish::publish(&store, plan.after, options);
        let outcome = tokio::select! {
            outcome = work => Some(outcome),
            () = self.interrupt.raised() => None,
        };
        match outcome {
            Some(Ok(outcome)) => Ok(outcome.head),
            Some(Err(error)) => {
                Err(Error::publication(error, plan.before).of_key(plan.key.is_some()))
            }
            None => Err(self.interrupted(id, plan).await),
        }
    }

    /// What is known of a change whose publication was cut off.
    async fn interrupted(&self, id: change::Id, plan: &Plan<'_>) -> Error {
        let revision = plan.base.next();
        let deadline = self.timer.now() + LOOK;
        let look = async {
            history::find(&self.store()?, revision)
                .await
                .map_err(Error::from)
        };
        let found = self.timer.until(deadline, look).await;
        match found {
            Ok(Ok(Some(head))) if head.change == id => Error::Interrupted(format!(
                "interrupted, but the change was written as revision {revision} (change {id}); 'sg \
                 tree status {revision}' tells whether it is accepted, 'sg tree revert {}' \
                 takes it back",
                plan.base
            )),
            Ok(Ok(Some(head))) => Error::Refused(format!(
                "interrupted: the change was not made, since {} changed the tree to revision \
                 {revision} first",
                head.author
            )),
            _ => Error::unknown("interrupted", id).of_key(plan.key.is_some()),
        }
    }

    /// Follows a change until it is accepted, if the list of instances is known.
    async fn follow(&self, change: accept::Change) -> Option<Acceptance> {
        if !self.knows_fleet() {
            return None;
        }
        let fleet = self.fleet().ok()?;
        let interrupted = self.interrupt.raised();
        Some(fleet.follow(change, self.wait(), interrupted).await)
    }
}

/// Whether there is an error that did not stand before. A standing one must not hold up what has
/// nothing to do with it, such as the withdrawal of a key.
fn refused(faults: &[Fault], standing: &[Fault]) -> bool {
    let mut errors = faults.iter().filter(|one| one.severity == Severity::Error);
    errors.any(|error| !standing.contains(error))
}

impl Change {
    /// Notes how far the change was when following it ended.
    fn observe(&mut self, acceptance: Option<Acceptance>) {
        self.accepted = acceptance.as_ref().is_some_and(|one| one.accepted);
        self.acceptance = acceptance;
    }

    pub(crate) fn output(&self) -> Output {
        // Without the list of instances nobody was asked, and the command did what it could.
        let code = match &self.acceptance {
            Some(acceptance) if !acceptance.accepted => PENDING,
            _ => DONE,
        };
        Output::new(self, text(self)).with_code(code)
    }
}

fn text(change: &Change) -> String {
    let mut lines = vec![change.difference.to_string()];
    if !change.repeated {
        lines.push(change.prediction.to_string().trim_end().to_owned());
    }
    lines.extend(change.warnings.iter().map(ToString::to_string));
    lines.push(verdict(change));
    match &change.acceptance {
        Some(acceptance) => lines.push(acceptance.to_string()),
        None if change.written => lines.push(format!(
            "{UNFOLLOWED}, then 'sg tree status {}' tells",
            change.revision
        )),
        None => {}
    }
    let key = change.key.as_ref();
    lines.extend(key.map(|key| format!("the key, shown this once: {key}")));
    lines.extend(change.drain.as_ref().map(ToString::to_string));
    lines.join("\n")
}

fn verdict(change: &Change) -> String {
    let (revision, id) = (change.revision, change.change);
    match (change.written, change.repeated) {
        (false, _) => "not made (--dry-run)".to_owned(),
        (true, false) => format!("written to the store as revision {revision} (change {id})"),
        (true, true) => format!(
            "was written before, as revision {revision} (change {id}); nothing was changed now"
        ),
    }
}

/// The time by this machine's calendar clock.
fn now() -> Date {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Date::from_unix_millis(since.map_or(0, |since| Span::from(since).as_millis()))
}
