//! `sg key`: gives and withdraws keys of client accounts.

use serde::Serialize;
use sg_store::key;
use sg_tree::{Node, Path, setting};
use sg_types::prelude::*;

use crate::{
    Context, Error, Output, Plan,
    options::{KeyCommand, KeyList, KeyName},
};

/// A key as it stands in the tree.
#[derive(Debug, Serialize)]
struct Listed {
    key: Arc<str>,
    withdrawn: bool,
}

/// The keys of a client account.
#[derive(Debug, Serialize)]
struct List<'a> {
    keys: &'a [Listed],
}

/// Runs one `sg key` command.
///
/// # Errors
/// See [`Error`].
pub async fn run(context: &Context, command: &KeyCommand) -> Result<Output, Error> {
    match command {
        KeyCommand::Add(name) => add(context, name).await,
        KeyCommand::Withdraw(name) => withdraw(context, name).await,
        KeyCommand::List(options) => list(context, options).await,
    }
}

async fn add(context: &Context, name: &KeyName) -> Result<Output, Error> {
    let (account, path) = place(name)?;
    let loaded = context.load().await?;
    known(&loaded.tree, account)?;
    if loaded.tree.at(&path).is_some() {
        return Err(Error::Refused(format!(
            "{path} exists; choose another name for the new key"
        )));
    }
    let key = key::generate();
    let mut after = loaded.tree.clone();
    after.set(&path.join(setting::DIGEST.name), key.digest().to_string());
    let plan = Plan {
        key: Some(&key),
        ..Plan::new(&loaded, &after)
    };
    context.change(plan).await
}

async fn withdraw(context: &Context, name: &KeyName) -> Result<Output, Error> {
    let (_, path) = place(name)?;
    let loaded = context.load().await?;
    if loaded.tree.at(&path).is_none() {
        return Err(Error::Refused(format!(
            "no key stands at {path}; 'sg key list ACCOUNT' prints the keys"
        )));
    }
    let mut after = loaded.tree.clone();
    after.set(&path.join(setting::WITHDRAWN.name), "yes");
    context.change(Plan::new(&loaded, &after)).await
}

async fn list(context: &Context, options: &KeyList) -> Result<Output, Error> {
    let Some(account) = &options.account else {
        return Err(Error::Usage("name a client account".to_owned()));
    };
    let loaded = context.load().await?;
    known(&loaded.tree, account)?;
    let keys = Path::root().join("accounts").join(account).join("keys");
    let listed: Vec<Listed> = loaded
        .tree
        .at(&keys)
        .into_iter()
        .flat_map(|node| &node.children)
        .map(|(name, node)| Listed {
            key: name.clone(),
            withdrawn: node
                .settings
                .get(setting::WITHDRAWN.name)
                .is_some_and(|v| v.as_ref() == "yes"),
        })
        .collect();
    let lines: Vec<String> = listed.iter().map(line).collect();
    Ok(Output::new(&List { keys: &listed }, lines.join("\n")))
}

fn line(listed: &Listed) -> String {
    let state = if listed.withdrawn {
        "withdrawn"
    } else {
        "works"
    };
    format!("{}  {state}", listed.key)
}

/// The client account and the key's node.
fn place(name: &KeyName) -> Result<(&id::Account, Path), Error> {
    let (Some(account), Some(key)) = (&name.account, &name.key) else {
        return Err(Error::Usage("name a client account and a key".to_owned()));
    };
    let keys = Path::root().join("accounts").join(account).join("keys");
    Ok((account, keys.join(key)))
}

fn known(tree: &Node, account: &id::Account) -> Result<(), Error> {
    let path = Path::root().join("accounts").join(account);
    if tree.at(&path).is_some() {
        return Ok(());
    }
    Err(Error::Refused(format!(
        "no client account is called '{account}'; set one up with 'sg tree set {path}/rate RATE'"
    )))
}
