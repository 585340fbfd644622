//! `sg tree`: reads and changes the tree of settings.

use std::path::PathBuf;

use serde::Serialize;
use sg_store::{head::Head, history};
use sg_tree::{Fault, Node, Path, compile, diff, effective, fault::Severity, guarantees};
use sg_types::prelude::*;

use crate::{
    Context, Error, Output, Plan,
    options::{Apply, Check, Diff, Get, Revert, Set, TreeCommand, Unset},
};

/// Runs one `sg tree` command.
///
/// # Errors
/// See [`Error`].
pub async fn run(context: &Context, command: &TreeCommand) -> Result<Output, Error> {
    match command {
        TreeCommand::Get(options) => get(context, options).await,
        TreeCommand::Set(options) => set(context, options).await,
        TreeCommand::Unset(options) => unset(context, options).await,
        TreeCommand::Apply(options) => apply(context, options).await,
        TreeCommand::Diff(options) => difference(context, options).await,
        TreeCommand::Check(options) => check(options),
        TreeCommand::History(_) => list(context).await,
        TreeCommand::Revert(options) => revert(context, options).await,
        TreeCommand::Status(options) => context.acceptance(options.revision).await,
        TreeCommand::Reference(_) => {
            let markdown = sg_tree::reference::markdown();
            Ok(Output::new(
                &Reference {
                    markdown: &markdown,
                },
                &*markdown,
            ))
        }
    }
}

/// The settings reference, as programs read it.
#[derive(Serialize)]
struct Reference<'a> {
    markdown: &'a str,
}

/// One setting.
#[derive(Serialize)]
struct Setting<'a> {
    path: &'a Path,
    value: &'a str,
}

/// The values in force.
#[derive(Serialize)]
struct Effective {
    settings: Vec<effective::Setting>,
}

/// A tree that was checked and has no error.
#[derive(Serialize)]
struct Checked {
    warnings: Vec<Fault>,
}

/// The revisions that are kept.
#[derive(Serialize)]
struct Listed {
    revisions: Vec<Row>,
}

/// One revision.
#[derive(Serialize)]
struct Row {
    #[serde(flatten)]
    head: Head,
    date: String,
}

async fn get(context: &Context, options: &Get) -> Result<Output, Error> {
    let tree = match options.revision {
        None => context.load().await?.tree,
        Some(revision) => earlier(context, revision).await?,
    };
    let path = options.path.clone().unwrap_or_default();
    if options.effective {
        let settings = traces(&tree, &path)?;
        let text = effective::format_table(&settings);
        return Ok(Output::new(&Effective { settings }, text));
    }
    if let Some(value) = tree.setting(&path) {
        let setting = Setting { path: &path, value };
        return Ok(Output::new(&setting, value));
    }
    let node = tree.at(&path).ok_or_else(|| missing(&path))?;
    Ok(Output::new(node, node.to_json()))
}

/// The values in force at or below a node, or of one setting.
fn traces(tree: &Node, path: &Path) -> Result<Vec<effective::Setting>, Error> {
    if tree.at(path).is_some() {
        return Ok(effective::list(tree, path));
    }
    let trace = effective::resolve(tree, path).ok_or_else(|| missing(path))?;
    Ok(vec![trace])
}

fn missing(path: &Path) -> Error {
    Error::Refused(format!(
        "nothing stands at {path}; 'sg tree get' prints the whole tree"
    ))
}

async fn set(context: &Context, options: &Set) -> Result<Output, Error> {
    let (Some(path), Some(value)) = (&options.path, &options.value) else {
        return Err(Error::Usage("give a path and a value".to_owned()));
    };
    let (revision, before) = context.load_or_empty().await?;
    let mut after = before.clone();
    after.set(path, value);
    let plan = Plan {
        base: revision,
        before: &before,
        after: &after,
        key: None,
    };
    context.change(plan).await
}

async fn unset(context: &Context, options: &Unset) -> Result<Output, Error> {
    let path = options.path.clone().unwrap_or_default();
    let loaded = context.load().await?;
    let mut after = loaded.tree.clone();
    if !after.remove(&path) {
        return Err(missing(&path));
    }
    context.change(Plan::new(&loaded, &after)).await
}

async fn apply(context: &Context, options: &Apply) -> Result<Output, Error> {
    let after = read(&options.file.clone().unwrap_or_default())?;
    let (revision, before) = context.load_or_empty().await?;
    let plan = Plan {
        base: revision,
        before: &before,
        after: &after,
        key: None,
    };
    context.change(plan).await
}

async fn revert(context: &Context, options: &Revert) -> Result<Output, Error> {
    let revision = options.revision.unwrap_or_default();
    let loaded = context.load().await?;
    let earlier = earlier(context, revision).await?;
    let after = keep_keys(earlier, &loaded.tree);
    context.change(Plan::new(&loaded, &after)).await
}

/// The earlier tree with the keys of the accepted one, so that no withdrawn key works again.
#[must_use]
pub fn keep_keys(mut earlier: Node, accepted: &Node) -> Node {
    let accounts = Path::root().join("accounts");
    let names: IndexSet<Arc<str>> = [&earlier, accepted]
        .into_iter()
        .filter_map(|tree| tree.at(&accounts))
        .flat_map(|node| node.children.keys().cloned())
        .collect();
    for name in names {
        let keys = accounts.join(&name).join("keys");
        earlier.remove(&keys);
        let account = earlier.at(&accounts.join(&name)).is_some();
        if let (true, Some(node)) = (account, accepted.at(&keys)) {
            *earlier.at_or_insert(&keys) = node.clone();
        }
    }
    earlier
}

async fn difference(context: &Context, options: &Diff) -> Result<Output, Error> {
    let before = side(context, options.before.as_deref()).await?;
    let after = side(context, options.after.as_deref()).await?;
    let difference = diff::diff(&before, &after);
    Ok(Output::new(&difference, difference.to_string()))
}

/// The tree of an earlier revision.
async fn earlier(context: &Context, revision: Revision) -> Result<Node, Error> {
    let loaded = history::load(&context.store()?, revision).await;
    let loaded = loaded.map_err(|error| Error::revision(error, revision))?;
    Ok(loaded.tree)
}

/// A revision's number, a file's name, or the accepted revision.
async fn side(context: &Context, text: Option<&str>) -> Result<Node, Error> {
    let Some(text) = text else {
        return Ok(context.load().await?.tree);
    };
    match text.parse::<Revision>() {
        Ok(revision) => earlier(context, revision).await,
        Err(_) => read(&PathBuf::from(text)),
    }
}

fn check(options: &Check) -> Result<Output, Error> {
    let tree = read(&options.file.clone().unwrap_or_default())?;
    let outcome = compile::compile(&tree, Revision::new(1))?;
    let mut faults = outcome.warnings;
    faults.extend(guarantees::check(&outcome.view));
    if faults.iter().any(|fault| fault.severity == Severity::Error) {
        return Err(Error::Faults(faults));
    }
    let text = report(&faults);
    Ok(Output::new(&Checked { warnings: faults }, text))
}

fn report(faults: &[Fault]) -> String {
    let mut lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.push(format!("no errors, {} warnings", faults.len()));
    lines.join("\n")
}

async fn list(context: &Context) -> Result<Output, Error> {
    let heads = history::list(&context.store()?).await?;
    let lines: Vec<String> = heads.iter().map(line).collect();
    let rows = heads.into_iter().map(|head| Row {
        date: head.time.to_string(),
        head,
    });
    let listed = Listed {
        revisions: rows.collect(),
    };
    Ok(Output::new(&listed, lines.join("\n")))
}

fn line(head: &Head) -> String {
    format!(
        "{:>6}  {}  {}  {}  (change {})",
        head.revision, head.time, head.author, head.note, head.change
    )
}

/// Reads a tree from a file.
pub(crate) fn read(file: &PathBuf) -> Result<Node, Error> {
    let name = file.display().to_string();
    let text = std::fs::read(file).map_err(|cause| Error::File {
        file: name.clone(),
        cause,
    })?;
    Node::from_json(text).map_err(|cause| Error::Unreadable { file: name, cause })
}
