//! `sg why`: the decisions taken for one request.

use serde::Serialize;
use sg_report::why::Knowledge;
use sg_types::prelude::*;

use crate::{Context, Error, Output, options::Why};

/// What the fleet knows of a request.
#[derive(Debug, Serialize)]
struct Report {
    known: Vec<Knowledge>,
    /// Instances that did not know it or did not answer.
    others: Vec<id::Instance>,
}

/// Runs `sg why`.
///
/// # Errors
/// [`Error::Refused`] if no instance knows the request any more; [`Error::Outage`] if the list of
/// instances can't be read.
pub async fn run(context: &Context, options: &Why) -> Result<Output, Error> {
    let Some(request) = &options.request else {
        return Err(Error::Usage("name a request".to_owned()));
    };
    let mut report = Report {
        known: Vec::new(),
        others: Vec::new(),
    };
    let path = format!("/why/{request}");
    for (member, record) in context.fleet()?.ask(&path).await? {
        let instance = member.instance;
        match record {
            Some(record) => report.known.push(Knowledge { instance, record }),
            None => report.others.push(instance),
        }
    }
    if report.known.is_empty() {
        return Err(Error::Refused(format!(
            "no instance that answers knows request '{request}'; instances keep their latest \
             requests only, and a replaced one takes its knowledge with it"
        )));
    }
    let texts: Vec<String> = report.known.iter().map(ToString::to_string).collect();
    Ok(Output::new(&report, texts.join("\n")))
}
