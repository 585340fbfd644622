//! Tables, as aligned text and as Markdown.

use std::fmt::{self, Write as _};

use sg_types::time::Span;

/// What stands where nothing was counted.
pub(crate) const NONE: &str = "-";

/// Writes rows under a header, each column as wide as its widest cell.
pub(crate) fn write<const N: usize>(
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
    Ok(())
}

fn line(f: &mut fmt::Formatter<'_>, cells: &[String], widths: &[usize]) -> fmt::Result {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        let _ = write!(text, "{cell:<width$}  ");
    }
    writeln!(f, "{}", text.trim_end())
}

/// A section in Markdown with a table, or a word that there is nothing to show.
pub(crate) fn section<const N: usize>(
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

/// A fraction as a percentage.
pub(crate) fn fraction(part: Option<f64>) -> String {
    part.map_or(NONE.to_owned(), |part| format!("{:.2}%", part * 100.0))
}

/// A span in milliseconds.
pub(crate) fn millis(span: Option<Span>) -> String {
    span.map_or(NONE.to_owned(), |span| {
        format!("{:.1} ms", span.as_secs_f64() * 1e3)
    })
}
