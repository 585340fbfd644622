//! The story of one request, out of the log lines of many instances.

use std::{collections::BTreeMap, fmt, io::BufRead};

use serde::Serialize;
use serde_json::{Map, Value};
use sg_types::prelude::*;

/// Events that tell what an instance knew of the configuration and the store, newest of each.
const KNOWN: [&str; 3] = ["configuration read", "store lost", "store regained"];
/// Events that tell what an instance knew of a target, newest of all.
const OF_TARGETS: [&str; 3] = ["target read", "target gone", "address has another target"];
/// Fields that stand in every line.
const COMMON: [&str; 5] = ["time", "level", "instance", "event", "request"];

/// One log line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Milliseconds since the epoch.
    pub time: u64,
    /// Who wrote it.
    pub instance: String,
    /// What happened.
    pub event: String,
    /// The other fields.
    pub fields: Map<String, Value>,
}

/// A line about the request, with what its instance knew when the request arrived.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// The line.
    pub line: Line,
    /// The newest lines of the instance that bear on it, oldest first.
    pub known: Vec<Line>,
}

/// What the lines tell of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Default)]
pub struct Story {
    /// The lines about the request, in the order in which it arrived.
    pub steps: Vec<Step>,
    /// Lines that were read.
    pub read: u64,
    /// Lines that are no log lines of this product.
    pub foreign: u64,
}

impl Line {
    /// Reads a line; what stands before its object is left out.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let text = |name| Some(fields.get(name)?.as_str()?.to_owned());
        Some(Self {
            time: fields.get("time")?.as_u64()?,
            instance: text("instance")?,
            event: text("event")?,
            fields,
        })
    }

    fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// When what it tells of began: a request's line is written when it is answered.
    fn began(&self) -> u64 {
        let took = self.fields.get("took_ms").and_then(Value::as_u64);
        self.time.saturating_sub(took.unwrap_or(0))
    }

    /// The targets that a request was sent to.
    fn targets(&self) -> impl Iterator<Item = &str> {
        let sends = self.text("sent").split_whitespace();
        sends.filter_map(|send| Some(send.split_once('@')?.0))
    }
}

impl Story {
    /// Takes the lines about `request` out of `logs`, and what their instances knew.
    ///
    /// # Errors
    /// What reading a log says.
    pub fn read(
        request: &id::Request,
        logs: impl IntoIterator<Item = Box<dyn BufRead>>,
    ) -> std::io::Result<Self> {
        let mut story = Self::default();
        let mut about = Vec::new();
        // By instance and what it is about, in the order of time.
        let mut known: BTreeMap<(String, String), Vec<Line>> = BTreeMap::new();
        for log in logs {
            for text in log.split(b'\n') {
                let text = text?;
                let text = String::from_utf8_lossy(&text);
                if text.trim().is_empty() {
                    continue;
                }
                story.read += 1;
                let Some(line) = Line::read(&text) else {
                    story.foreign += 1;
                    continue;
                };
                if line.text("request") == request.as_str() {
                    about.push(line);
                } else if KNOWN.contains(&line.event.as_str()) {
                    let key = (line.instance.clone(), line.event.clone());
                    known.entry(key).or_default().push(line);
                } else if OF_TARGETS.contains(&line.event.as_str()) {
                    let key = (line.instance.clone(), line.text("target_id").to_owned());
                    known.entry(key).or_default().push(line);
                }
            }
        }
        about.sort_by_key(Line::began);
        let newest = |line: &Line, what: &str| {
            let lines = known.get(&(line.instance.clone(), what.to_owned()))?;
            let before = lines.iter().filter(|known| known.time <= line.began());
            before.max_by_key(|known| known.time).cloned()
        };
        story.steps = about
            .into_iter()
            .map(|line| {
                let what = KNOWN.into_iter().chain(line.targets());
                let mut known: Vec<Line> = what.filter_map(|what| newest(&line, what)).collect();
                known.sort_by_key(|known| known.time);
                known.dedup();
                Step { line, known }
            })
            .collect();
        Ok(story)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.event)?;
        let fields = self.fields.iter();
        for (name, value) in fields.filter(|(name, _)| !COMMON.contains(&name.as_str())) {
            match value {
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.steps.first().map_or(0, |step| step.line.began());
        for step in &self.steps {
            let line = &step.line;
            let after = line.began().saturating_sub(first);
            writeln!(f, "+{after} ms {}: {line}", line.instance)?;
            for known in &step.known {
                let age = line.began().saturating_sub(known.time);
                writeln!(f, "    known for {age} ms: {known}")?;
            }
        }
        Ok(())
    }
}
