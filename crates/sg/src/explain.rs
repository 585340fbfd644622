//! `sg explain`: what a revision changed and what it did.

use sg_report::explain::{self, Evidence, RevisionInfo};
use sg_store::history;
use sg_tree::{Node, compile, diff, predict};
use sg_types::prelude::*;

use crate::{Context, Error, Output, options::Explain};

/// Runs `sg explain`.
///
/// # Errors
/// See [`Error`].
pub async fn run(context: &Context, options: &Explain) -> Result<Output, Error> {
    let revision = options.revision.unwrap_or_default();
    let fleet = context.fleet()?;
    let subject = subject(context, revision).await?;
    let mut evidence = Vec::new();
    let mut silent = Vec::new();
    let path = format!("/explain/{revision}");
    for (member, answer) in fleet.ask::<Evidence>(&path).await? {
        match answer {
            Some(answer) => evidence.push(answer),
            None => silent.push(member.instance),
        }
    }
    let report = explain::report(subject, &evidence, silent, &fleet.status().await?);
    let text = match options.report {
        true => report.to_markdown(),
        false => report.to_string(),
    };
    Ok(Output::new(&report, text))
}

/// What the store knows of the revision.
async fn subject(context: &Context, revision: Revision) -> Result<RevisionInfo, Error> {
    let store = context.store()?;
    let after = history::load(&store, revision).await;
    let after = after.map_err(|error| Error::revision(error, revision))?;
    let earlier = Revision::new(revision.get().saturating_sub(1));
    let before = match history::load(&store, earlier).await {
        Ok(before) => before.tree,
        Err(_) => Node::default(),
    };
    let view = |tree, revision| {
        let outcome = compile::compile(tree, revision);
        outcome.map(|outcome| outcome.view).unwrap_or_default()
    };
    Ok(RevisionInfo {
        revision,
        author: after.head.author,
        accepted: after.head.time.to_string().into(),
        note: after.head.note,
        difference: diff::diff(&before, &after.tree),
        prediction: predict::predict(&view(&before, earlier), &view(&after.tree, revision)),
    })
}
