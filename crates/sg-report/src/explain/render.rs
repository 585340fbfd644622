//! Prints a report as a table for people, or in Markdown for the board.

use std::fmt::{self, Write as _};

use sg_types::time::Span;

use super::{Account, Move, Refusal, Report};

/// What stands where nothing was counted.
const NONE: &str = "-";

impl Report {
    /// The report in Markdown.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let mut text = format!("# Revision {}\n\n", self.revision);
        let _ = writeln!(text, "By {}. {}\n", self.author, self.note);
        let _ = writeln!(text, "## What changed\n\n```\n{}\n```\n", self.difference);
        let _ = writeln!(text, "## Where it is in force\n\n{}\n", self.places());
        text.push_str(&section(
            "Traffic between regions",
            MOVE,
            self.moves.iter().map(cells_of_move),
        ));
        text.push_str(&section(
            "Client accounts",
            ACCOUNT,
            self.accounts.iter().map(cells_of_account),
        ));
        let worst = self.worst.as_deref().unwrap_or(NONE);
        let _ = writeln!(text, "Worst served after the change: {worst}.\n");
        text.push_str(&section(
            "Refusals",
            REFUSAL,
            self.refusals.iter().map(cells_of_refusal),
        ));
        text
    }

    fn places(&self) -> String {
        let mut places: Vec<String> = self
            .adopted
            .iter()
            .map(|adoption| {
                format!(
                    "{} for {:.1} s",
                    adoption.instance,
                    adoption.age.as_secs_f64()
                )
            })
            .collect();
        places.extend(
            self.silent
                .iter()
                .map(|name| format!("{name} gave no evidence")),
        );
        places.join(", ")
    }
}

const MOVE: [&str; 4] = ["service", "region", "before", "after"];
const ACCOUNT: [&str; 7] = [
    "account",
    "ran before",
    "ran after",
    "p50 before",
    "p50 after",
    "p99 before",
    "p99 after",
];
const REFUSAL: [&str; 3] = ["reason", "before", "after"];

fn cells_of_move(row: &Move) -> [String; 4] {
    [
        row.place.service.to_string(),
        row.place.region.to_string(),
        percent(row.before),
        percent(row.after),
    ]
}

fn cells_of_account(row: &Account) -> [String; 7] {
    [
        row.account.to_string(),
        percent(row.before.goodput),
        percent(row.after.goodput),
        millis(row.before.p50),
        millis(row.after.p50),
        millis(row.before.p99),
        millis(row.after.p99),
    ]
}

fn cells_of_refusal(row: &Refusal) -> [String; 3] {
    [
        row.reason.to_string(),
        percent(Some(row.before)),
        percent(Some(row.after)),
    ]
}

fn percent(part: Option<f64>) -> String {
    part.map_or(NONE.to_owned(), |part| format!("{:.2}%", part * 100.0))
}

fn millis(span: Option<Span>) -> String {
    span.map_or(NONE.to_owned(), |span| {
        format!("{:.1} ms", span.as_secs_f64() * 1e3)
    })
}

fn section<const N: usize>(
    title: &str,
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> String {
    let mut text = format!(
        "## {title}\n\n| {} |\n|{}\n",
        header.join(" | "),
        "---|".repeat(N)
    );
    for row in rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text.push('\n');
    text
}

fn table<const N: usize>(
    f: &mut fmt::Formatter<'_>,
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> fmt::Result {
    let rows: Vec<[String; N]> = rows.collect();
    let mut widths = header.map(str::len);
    for row in &rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    line(f, &header.map(str::to_owned), &widths)?;
    for row in &rows {
        line(f, row, &widths)?;
    }
    writeln!(f)
}

fn line(f: &mut fmt::Formatter<'_>, cells: &[String], widths: &[usize]) -> fmt::Result {
    for (cell, width) in cells.iter().zip(widths) {
        write!(f, "{cell:<width$}  ")?;
    }
    writeln!(f)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "revision {} by {}: {}",
            self.revision, self.author, self.note
        )?;
        writeln!(f, "{}\n", self.difference)?;
        writeln!(f, "in force: {}\n", self.places())?;
        table(f, MOVE, self.moves.iter().map(cells_of_move))?;
        table(f, ACCOUNT, self.accounts.iter().map(cells_of_account))?;
        writeln!(
            f,
            "worst served after the change: {}\n",
            self.worst.as_deref().unwrap_or(NONE)
        )?;
        table(f, REFUSAL, self.refusals.iter().map(cells_of_refusal))
    }
}
