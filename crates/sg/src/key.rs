//! `sg key`: gives and withdraws keys of client accounts.

use serde::Serialize;
use sg_store::key;
use sg_tree::{Node, Path};
use sg_types::prelude::*;

use crate::{
    Context, Error,
    options::{KeyCommand, KeyList, KeyName},
};

/// A key as it stands in the tree.
#[derive(Debug, Serialize)]
struct Listed {
    key: Arc<str>,
    withdrawn: bool,
}

/// Runs one `sg key` command.
///
/// # Errors
/// See [`Error`].
pub async fn run(context: &Context, command: &KeyCommand) -> Result<(), Error> {
    match command {
        KeyCommand::Add(name) => add(context, name).await,
        KeyCommand::Withdraw(name) => withdraw(context, name).await,
        KeyCommand::List(options) => list(context, options).await,
    }
}

async fn add(context: &Context, name: &KeyName) -> Result<(), Error> {
    let path = path(name)?;
    let loaded = context.load().await?;
    known(&loaded.tree, name)?;
    if loaded.tree.at(&path).is_some() {
        return Err(Error::Refused(format!(
            "{path} exists; choose another name for the new key"
        )));
    }
    let key = key::generate();
    let mut after = loaded.tree.clone();
    after.set(&path.join("digest"), key.digest().to_string());
    context
        .change_with_key(loaded.head.revision, &loaded.tree, &after, Some(&key))
        .await
}

async fn withdraw(context: &Context, name: &KeyName) -> Result<(), Error> {
    let path = path(name)?;
    let loaded = context.load().await?;
    if loaded.tree.at(&path).is_none() {
        return Err(Error::Refused(format!(
            "no key stands at {path}; 'sg key list ACCOUNT' prints the keys"
        )));
    }
    let mut after = loaded.tree.clone();
    after.set(&path.join("withdrawn"), "yes");
    context
        .change(loaded.head.revision, &loaded.tree, &after)
        .await
}

async fn list(context: &Context, options: &KeyList) -> Result<(), Error> {
    let Some(account) = &options.account else {
        return Err(Error::Usage("name a client account".to_owned()));
    };
    let loaded = context.load().await?;
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
                .get("withdrawn")
                .is_some_and(|v| v.as_ref() == "yes"),
        })
        .collect();
    context.print(&listed, || {
        let lines: Vec<String> = listed.iter().map(line).collect();
        lines.join("\n")
    });
    Ok(())
}

fn line(listed: &Listed) -> String {
    let state = if listed.withdrawn {
        "withdrawn"
    } else {
        "works"
    };
    format!("{}  {state}", listed.key)
}

fn path(name: &KeyName) -> Result<Path, Error> {
    let (Some(account), Some(key)) = (&name.account, &name.key) else {
        return Err(Error::Usage("name a client account and a key".to_owned()));
    };
    Ok(Path::root()
        .join("accounts")
        .join(account)
        .join("keys")
        .join(key))
}

fn known(tree: &Node, name: &KeyName) -> Result<(), Error> {
    let account = name
        .account
        .as_ref()
        .map(id::Account::as_str)
        .unwrap_or_default();
    let path = Path::root().join("accounts").join(account);
    if tree.at(&path).is_some() {
        return Ok(());
    }
    Err(Error::Refused(format!(
        "no client account is called '{account}'; set one up with 'sg tree set {path}/rate RATE'"
    )))
}
