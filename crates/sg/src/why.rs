//! `sg why`: the decisions taken for one request.

use serde::Serialize;
use sg_types::prelude::*;

use crate::{Context, Error, options::Why};

/// What one instance knows of the request.
#[derive(Debug, Serialize)]
struct Knowledge {
    instance: id::Instance,
    record: serde_json::Value,
}

/// Runs `sg why`.
///
/// # Errors
/// [`Error::Refused`] if no instance knows the request any more.
pub async fn run(context: &Context, options: &Why) -> Result<(), Error> {
    let Some(request) = &options.request else {
        return Err(Error::Usage("name a request".to_owned()));
    };
    let answers = context.fleet()?.ask(&format!("/why/{request}")).await?;
    let known: Vec<Knowledge> = answers
        .into_iter()
        .filter_map(|(member, record)| {
            let instance = member.instance;
            record.map(|record| Knowledge { instance, record })
        })
        .collect();
    if known.is_empty() {
        return Err(Error::Refused(format!(
            "no instance knows request '{request}'; instances keep the latest requests only, and a \
             replaced one takes its knowledge with it"
        )));
    }
    context.print(&known, || {
        let texts: Vec<String> = known.iter().map(text).collect();
        texts.join("\n")
    });
    Ok(())
}

fn text(known: &Knowledge) -> String {
    let record = serde_json::to_string_pretty(&known.record).unwrap_or_default();
    format!("{}:\n{record}", known.instance)
}
