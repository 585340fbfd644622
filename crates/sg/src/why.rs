//! `sg why`: the decisions taken for one request.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde::Serialize;
use sg_report::why::InstanceRecord;
use sg_types::prelude::*;

use crate::{Context, Error, Output, options::Why, story::Story};

/// What the fleet knows of a request.
#[derive(Debug, Serialize)]
struct Report {
    known: Vec<InstanceRecord>,
    /// Instances that did not know it or did not answer.
    others: Vec<id::Instance>,
}

/// Runs `sg why`.
///
/// # Errors
/// [`Error::Refused`] if no instance or log knows the request any more; [`Error::Outage`] if the list of
/// instances can't be read; [`Error::File`] for a log that can't be read.
pub async fn run(context: &Context, options: &Why) -> Result<Output, Error> {
    let Some(request) = &options.request else {
        return Err(Error::Usage("name a request".to_owned()));
    };
    if !options.logs.is_empty() {
        return from_logs(request, &options.logs);
    }
    let mut report = Report {
        known: Vec::new(),
        others: Vec::new(),
    };
    let path = format!("/why/{request}");
    for (member, record) in context.fleet()?.ask(&path).await? {
        let instance = member.instance;
        match record {
            Some(record) => report.known.push(InstanceRecord { instance, record }),
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

fn from_logs(request: &id::Request, logs: &[PathBuf]) -> Result<Output, Error> {
    let opened: Result<Vec<_>, Error> = logs.iter().map(|log| open(log)).collect();
    let story = Story::read(request, opened?).map_err(|cause| {
        let names: Vec<String> = logs.iter().map(|log| log.display().to_string()).collect();
        let file = names.join(", ");
        Error::File { file, cause }
    })?;
    if story.steps.is_empty() {
        return Err(Error::Refused(format!(
            "none of the {} lines is about request '{request}' ({} are no log lines); ordinary answers \
             are sampled, and an instance that took no request with this id writes nothing of it",
            story.read, story.foreign
        )));
    }
    Ok(Output::new(&story, story.to_string()))
}

fn open(log: &Path) -> Result<Box<dyn BufRead>, Error> {
    if log == Path::new("-") {
        return Ok(Box::new(BufReader::new(io::stdin())));
    }
    let file = File::open(log).map_err(|cause| Error::File {
        file: log.display().to_string(),
        cause,
    })?;
    Ok(Box::new(BufReader::new(file)))
}
