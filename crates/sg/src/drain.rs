//! `sg drain`: takes a target, failure domain, region or entry out of service, and tells how far
//! that is.

mod place;
mod safe;
mod wait;

use std::str::FromStr;

use sg_tree::setting;

use self::place::Place;
use crate::{Context, Error, Output, Plan, options::Drain};

/// What may be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A target of a service.
    Target,
    /// A failure domain.
    Domain,
    /// A region.
    Region,
    /// An instance of the system.
    Entry,
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "target" => Ok(Self::Target),
            "domain" => Ok(Self::Domain),
            "region" => Ok(Self::Region),
            "entry" => Ok(Self::Entry),
            _ => Err("drain a target, domain, region or entry".to_owned()),
        }
    }
}

/// Runs `sg drain`.
///
/// # Errors
/// See [`Error`]; refused if a cap would be broken or a region overloaded while work runs there.
pub async fn run(context: &Context, options: &Drain) -> Result<Output, Error> {
    let (Some(kind), Some(name)) = (options.kind, &options.name) else {
        return Err(Error::Usage("name a kind and a name".to_owned()));
    };
    let loaded = context.load().await?;
    let place = Place::find(&loaded.tree, kind, name)?;
    if options.status {
        let drained = place.drained(&loaded.tree);
        if !drained {
            return Err(Error::Refused(format!(
                "{} is not drained in revision {}; 'sg drain' drains it",
                place.path, loaded.head.revision
            )));
        }
        let scope = place.scope(&loaded.tree)?;
        let progress = wait::progress(context, &scope, loaded.head.revision).await?;
        let text = progress.to_string();
        return Ok(Output::new(&progress, text));
    }
    let mut after = loaded.tree.clone();
    let setting = place.path.join(setting::DRAIN.name);
    if options.undo {
        after.remove(&setting);
        return context.change(Plan::new(&loaded, &after)).await;
    }
    after.set(&setting, "yes");
    safe::check(context, &place, &loaded.tree, &after).await?;
    let mut change = context.make(Plan::new(&loaded, &after)).await?;
    if change.written && context.knows_fleet() {
        let scope = place.scope(&after)?;
        // The change stands, whatever is known of its progress.
        change.drain = wait::progress(context, &scope, change.revision).await.ok();
    }
    Ok(change.output())
}
