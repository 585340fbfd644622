//! Formats a report as text or Markdown.

use std::fmt::{self, Write as _};

use sg_types::prelude::*;

use super::{Account, Headroom, Refusal, Report, ServiceLevel, TrafficChange};
use crate::table::{self, UNKNOWN, fraction, millis};

/// Note on how long the evidence for a report is kept.
const RETENTION_NOTE: &str = "Instances keep the counters around their latest changes, in memory only, 64 MiB each: the \
     evidence of an instance ends when it stops or is replaced. Instances that were replaced since are left out of \
     all figures. Print the report while it can be printed.";

/// Columns of the table of traffic.
const TRAFFIC_COLUMNS: [&str; 6] = ["service", "region", "requests", "before", "after", "moved"];
/// Columns of the table of headroom.
const HEADROOM_COLUMNS: [&str; 5] = [
    "service",
    "region",
    "planned before",
    "planned after",
    "measured now",
];
/// Columns of the table of client accounts.
const ACCOUNT_COLUMNS: [&str; 8] = [
    "account",
    "requests",
    "ran before",
    "ran after",
    "p50 before",
    "p50 after",
    "p99 before",
    "p99 after",
];
/// Columns of the table of refusals.
const REFUSAL_COLUMNS: [&str; 4] = ["account", "reason", "before", "after"];
/// Name in the account column for the sum over all client accounts.
const ALL_ACCOUNTS: &str = "all";

impl Report {
    /// Returns the report in Markdown.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = format!("# Revision {}\n\n", self.revision);
        let _ = writeln!(text, "{}\n", self.origin_text());
        let _ = writeln!(text, "## What changed\n\n```\n{}\n```\n", self.difference);
        let _ = writeln!(
            text,
            "## Where it is in force\n\n{}\n",
            self.adoption_text()
        );
        let changes = self.moves.iter().map(traffic_cells);
        text.push_str(&table::markdown_section(
            "Traffic between regions",
            TRAFFIC_COLUMNS,
            changes,
        ));
        let _ = writeln!(text, "{}\n", self.shift_text());
        let headroom = self.headroom.iter().map(headroom_cells);
        text.push_str(&table::markdown_section(
            "Headroom",
            HEADROOM_COLUMNS,
            headroom,
        ));
        let accounts = self.accounts.iter().map(account_cells);
        text.push_str(&table::markdown_section(
            "Client accounts",
            ACCOUNT_COLUMNS,
            accounts,
        ));
        let _ = writeln!(text, "{}\n", self.worst_served_text());
        text.push_str(&table::markdown_section(
            "Refusals",
            REFUSAL_COLUMNS,
            self.refusal_rows(),
        ));
        let _ = writeln!(
            text,
            "## Evidence\n\n{}\n{RETENTION_NOTE}",
            self.window_text()
        );
        text
    }

    fn origin_text(&self) -> String {
        let note = match self.note.as_ref() {
            "" => "no note was given",
            note => note,
        };
        format!("By {}, accepted {}: {note}", self.author, self.accepted)
    }

    fn adoption_text(&self) -> String {
        let mut text = String::new();
        match &self.spread {
            None => text.push_str("No instance knows the revision."),
            Some(spread) => {
                let _ = write!(
                    text,
                    "In force on {} of {} instances, on the first {:.1} s ago, on the last {:.1} s \
                     ago; from the first to the last it took {:.2} s.",
                    spread.instances,
                    spread.instances + self.silent.len(),
                    spread.first.as_secs_f64(),
                    spread.last.as_secs_f64(),
                    spread.took.as_secs_f64()
                );
            }
        }
        for adoption in &self.adopted {
            let age = adoption.age.as_secs_f64();
            let _ = write!(text, "\n- {}: {age:.1} s ago", adoption.instance);
        }
        for name in &self.silent {
            let _ = write!(
                text,
                "\n- {name} gave no evidence: not reached, or replaced since"
            );
        }
        text
    }

    fn shift_text(&self) -> String {
        let shifts = self
            .shifts
            .iter()
            .map(|shift| format!("{}: {:.2} percentage points", shift.service, shift.points));
        let shifts: Vec<String> = shifts.collect();
        if shifts.is_empty() {
            return "Traffic moved between regions: not known.".to_owned();
        }
        format!("Traffic moved between regions: {}.", shifts.join(", "))
    }

    fn worst_served_text(&self) -> String {
        let text = |name: &Option<Arc<str>>, of: fn(&Account) -> &ServiceLevel| {
            let Some(name) = name else {
                return "nobody sent requests".to_owned();
            };
            let account = self.accounts.iter().find(|one| one.account == *name);
            let ran = account.and_then(|one| of(one).goodput);
            format!("{name} ({} ran)", fraction(ran))
        };
        format!(
            "Worst served before the change: {}; after: {}.",
            text(&self.worst.before, |one| &one.before),
            text(&self.worst.after, |one| &one.after)
        )
    }

    fn refusal_rows(&self) -> impl Iterator<Item = [String; 4]> + '_ {
        let by_account = self.accounts.iter().flat_map(|account| {
            let rows = account.refusals.iter();
            rows.map(|row| refusal_cells(&account.account, row))
        });
        let all = self
            .refusals
            .iter()
            .map(|row| refusal_cells(ALL_ACCOUNTS, row));
        all.chain(by_account)
    }

    fn window_text(&self) -> String {
        let before = match self.windows.before {
            Span::ZERO => "no instance saw the revision before".to_owned(),
            span => format!("up to {:.1} s before", span.as_secs_f64()),
        };
        let after = self.windows.after.as_secs_f64();
        let mut text =
            format!("Counted over {before} and up to {after:.1} s since it came into force.");
        for (others, side) in [
            (self.windows.others_before, "before"),
            (self.windows.others_after, "after"),
        ] {
            if others > 0 {
                let _ = write!(
                    text,
                    " Other changes of revision in the time {side}: {others}; the figures {side} \
                     are theirs too."
                );
            }
        }
        text
    }
}

fn traffic_cells(row: &TrafficChange) -> [String; 6] {
    let fractions = row.before.zip(row.after);
    [
        row.place.service.to_string(),
        row.place.region.to_string(),
        format!("{} / {}", row.requests_before, row.requests_after),
        fraction(row.before),
        fraction(row.after),
        fractions.map_or(UNKNOWN.to_owned(), |(before, after)| {
            format!("{:+.2} points", (after - before) * 100.0)
        }),
    ]
}

fn headroom_cells(row: &Headroom) -> [String; 5] {
    [
        row.place.service.to_string(),
        row.place.region.to_string(),
        fraction(Some(row.before)),
        fraction(Some(row.after)),
        fraction(row.now),
    ]
}

fn account_cells(row: &Account) -> [String; 8] {
    [
        row.account.to_string(),
        format!("{} / {}", row.before.requests, row.after.requests),
        fraction(row.before.goodput),
        fraction(row.after.goodput),
        millis(row.before.p50),
        millis(row.after.p50),
        millis(row.before.p99),
        millis(row.after.p99),
    ]
}

fn refusal_cells(account: &str, row: &Refusal) -> [String; 4] {
    [
        account.to_owned(),
        row.reason.to_string(),
        fraction(Some(row.before)),
        fraction(Some(row.after)),
    ]
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "revision {}\n{}", self.revision, self.origin_text())?;
        writeln!(f, "{}\n", self.difference)?;
        writeln!(f, "{}\n", self.adoption_text())?;
        table::write_text(f, TRAFFIC_COLUMNS, self.moves.iter().map(traffic_cells))?;
        writeln!(f, "{}\n", self.shift_text())?;
        if !self.headroom.is_empty() {
            table::write_text(
                f,
                HEADROOM_COLUMNS,
                self.headroom.iter().map(headroom_cells),
            )?;
            writeln!(f)?;
        }
        table::write_text(f, ACCOUNT_COLUMNS, self.accounts.iter().map(account_cells))?;
        writeln!(f, "{}\n", self.worst_served_text())?;
        table::write_text(f, REFUSAL_COLUMNS, self.refusal_rows())?;
        writeln!(f, "\n{}\n{RETENTION_NOTE}", self.window_text())
    }
}
