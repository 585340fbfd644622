//! `sg status`: the fleet at a glance.

use serde::Serialize;
use sg_report::status::{Fleet, FleetSplit, Summary};

use crate::{Context, Error, Output};

/// The fleet as programs read it.
#[derive(Debug, Serialize)]
struct Report<'a> {
    summary: Summary,
    parts: Vec<FleetSplit>,
    #[serde(flatten)]
    fleet: &'a Fleet,
}

/// Runs `sg status`.
///
/// # Errors
/// See [`Error`].
pub async fn run(context: &Context) -> Result<Output, Error> {
    let fleet = context.fleet()?.status().await?;
    let report = Report {
        summary: fleet.summary(),
        parts: fleet.splits(),
        fleet: &fleet,
    };
    Ok(Output::new(&report, fleet.to_string()))
}
