//! Prints a report as a table for people, or in Markdown for the board.

use std::fmt::{self, Write as _};

use sg_types::prelude::*;

use super::{Account, Headroom, Move, Refusal, Report, Served};
use crate::table::{self, NONE, fraction, millis};

/// How long what the report was made of lives.
const LIFETIME: &str = "Instances keep the counters around their latest changes, in memory only, 64 MiB each: the \
     evidence of an instance ends when it stops or is replaced. Instances that were replaced since are left out of \
     all figures. Print the report while it can be printed.";

/// The columns of traffic.
const MOVE: [&str; 6] = ["service", "region", "requests", "before", "after", "moved"];
/// The columns of headroom.
const HEADROOM: [&str; 5] = [
    "service",
    "region",
    "planned before",
    "planned after",
    "measured now",
];
/// The columns of client accounts.
const ACCOUNT: [&str; 8] = [
    "account",
    "requests",
    "ran before",
    "ran after",
    "p50 before",
    "p50 after",
    "p99 before",
    "p99 after",
];
/// The columns of refusals.
const REFUSAL: [&str; 4] = ["account", "reason", "before", "after"];
/// Stands for all client accounts together.
const ALL: &str = "all";

impl Report {
    /// The report in Markdown.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = format!("# Revision {}\n\n", self.revision);
        let _ = writeln!(text, "{}\n", self.origin());
        let _ = writeln!(text, "## What changed\n\n```\n{}\n```\n", self.difference);
        let _ = writeln!(text, "## Where it is in force\n\n{}\n", self.places());
        let moves = self.moves.iter().map(cells_of_move);
        text.push_str(&table::section("Traffic between regions", MOVE, moves));
        let _ = writeln!(text, "{}\n", self.moved());
        let headroom = self.headroom.iter().map(cells_of_headroom);
        text.push_str(&table::section("Headroom", HEADROOM, headroom));
        let accounts = self.accounts.iter().map(cells_of_account);
        text.push_str(&table::section("Client accounts", ACCOUNT, accounts));
        let _ = writeln!(text, "{}\n", self.worst_served());
        text.push_str(&table::section(
            "Refusals",
            REFUSAL,
            self.rows_of_refusals(),
        ));
        let _ = writeln!(text, "## Evidence\n\n{}\n{LIFETIME}", self.counted());
        text
    }

    fn origin(&self) -> String {
        let note = match self.note.as_ref() {
            "" => "no note was given",
            note => note,
        };
        format!("By {}, accepted {}: {note}", self.author, self.accepted)
    }

    fn places(&self) -> String {
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

    fn moved(&self) -> String {
        let moved = self
            .shifts
            .iter()
            .map(|shift| format!("{}: {:.2} percentage points", shift.service, shift.points));
        let moved: Vec<String> = moved.collect();
        if moved.is_empty() {
            return "Traffic moved between regions: not known.".to_owned();
        }
        format!("Traffic moved between regions: {}.", moved.join(", "))
    }

    fn worst_served(&self) -> String {
        let text = |name: &Option<Arc<str>>, of: fn(&Account) -> &Served| {
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

    fn rows_of_refusals(&self) -> impl Iterator<Item = [String; 4]> + '_ {
        let each = self.accounts.iter().flat_map(|account| {
            let rows = account.refusals.iter();
            rows.map(|row| cells_of_refusal(&account.account, row))
        });
        let all = self.refusals.iter().map(|row| cells_of_refusal(ALL, row));
        all.chain(each)
    }

    fn counted(&self) -> String {
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

fn cells_of_move(row: &Move) -> [String; 6] {
    let points = row.before.zip(row.after);
    [
        row.place.service.to_string(),
        row.place.region.to_string(),
        format!("{} / {}", row.requests_before, row.requests_after),
        fraction(row.before),
        fraction(row.after),
        points.map_or(NONE.to_owned(), |(before, after)| {
            format!("{:+.2} points", (after - before) * 100.0)
        }),
    ]
}

fn cells_of_headroom(row: &Headroom) -> [String; 5] {
    [
        row.place.service.to_string(),
        row.place.region.to_string(),
        fraction(Some(row.before)),
        fraction(Some(row.after)),
        fraction(row.now),
    ]
}

fn cells_of_account(row: &Account) -> [String; 8] {
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

fn cells_of_refusal(account: &str, row: &Refusal) -> [String; 4] {
    [
        account.to_owned(),
        row.reason.to_string(),
        fraction(Some(row.before)),
        fraction(Some(row.after)),
    ]
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "revision {}\n{}", self.revision, self.origin())?;
        writeln!(f, "{}\n", self.difference)?;
        writeln!(f, "{}\n", self.places())?;
        table::write(f, MOVE, self.moves.iter().map(cells_of_move))?;
        writeln!(f, "{}\n", self.moved())?;
        if !self.headroom.is_empty() {
            table::write(f, HEADROOM, self.headroom.iter().map(cells_of_headroom))?;
            writeln!(f)?;
        }
        table::write(f, ACCOUNT, self.accounts.iter().map(cells_of_account))?;
        writeln!(f, "{}\n", self.worst_served())?;
        table::write(f, REFUSAL, self.rows_of_refusals())?;
        writeln!(f, "\n{}\n{LIFETIME}", self.counted())
    }
}
