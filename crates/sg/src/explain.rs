//! `sg explain`: what a revision changed and what it did.

use sg_report::explain::{self, Evidence, Subject};
use sg_store::history;
use sg_tree::{Node, diff};
use sg_types::prelude::*;

use crate::{Context, Error, options::Explain};

/// Runs `sg explain`.
///
/// # Errors
/// See [`Error`].
pub async fn run(context: &Context, options: &Explain) -> Result<(), Error> {
    let revision = options.revision.unwrap_or_default();
    let subject = subject(context, revision).await?;
    let mut evidence = Vec::new();
    let mut silent = Vec::new();
    let path = format!("/explain/{revision}");
    for (member, answer) in context.fleet()?.ask::<Evidence>(&path).await? {
        match answer {
            Some(answer) => evidence.push(answer),
            None => silent.push(member.instance),
        }
    }
    let report = explain::report(subject, &evidence, silent);
    if options.report {
        println!("{}", report.to_markdown().trim_end());
    } else {
        context.print(&report, || report.to_string());
    }
    Ok(())
}

/// What the store knows of the revision.
async fn subject(context: &Context, revision: Revision) -> Result<Subject, Error> {
    let store = context.store()?;
    let after = history::load(&store, revision).await?;
    let earlier = Revision::new(revision.get().saturating_sub(1));
    let before = match history::load(&store, earlier).await {
        Ok(before) => before.tree,
        Err(_) => Node::default(),
    };
    Ok(Subject {
        revision,
        author: after.head.author,
        note: after.head.note,
        difference: diff::diff(&before, &after.tree),
    })
}
