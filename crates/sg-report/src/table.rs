//! Formats tables as aligned text and as Markdown.

use std::fmt::{self, Write as _};

use sg_types::time::Span;

/// Placeholder for a value that is not known.
pub(crate) const UNKNOWN: &str = "-";

/// Writes a header and rows, with each column as wide as its widest cell.
pub(crate) fn write_text<const N: usize>(
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
    write_line(f, &header.map(str::to_owned), &widths)?;
    for row in &rows {
        write_line(f, row, &widths)?;
    }
    Ok(())
}

fn write_line(f: &mut fmt::Formatter<'_>, cells: &[String], widths: &[usize]) -> fmt::Result {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        let _ = write!(text, "{cell:<width$}  ");
    }
    writeln!(f, "{}", text.trim_end())
}

/// Returns a Markdown section with a table, or with a note if there are no rows.
pub(crate) fn markdown_section<const N: usize>(
    title: &str,
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> String {
    let mut rows = rows.peekable();
    if rows.peek().is_none() {
        return format!("## {title}\n\nNothing to report.\n\n");
    }
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

/// Formats a fraction as a percentage.
pub(crate) fn fraction(value: Option<f64>) -> String {
    value.map_or(UNKNOWN.to_owned(), |value| format!("{:.2}%", value * 100.0))
}

/// Formats a span in milliseconds.
pub(crate) fn millis(span: Option<Span>) -> String {
    span.map_or(UNKNOWN.to_owned(), |span| {
        format!("{:.1} ms", span.as_secs_f64() * 1e3)
    })
}
