//! Generates the settings reference from the definitions of the settings.

use std::fmt::Write as _;

use crate::setting::{self, Spec};

/// Returns the settings reference in Markdown. A test compares `docs/SETTINGS.md` with it.
#[must_use]
pub fn markdown() -> String {
    let mut text = String::from(
        "# Settings reference\n\nEvery setting of the tree. A setting may stand at the nodes that \
         use it or at any node above; a node inherits it from its parent unless it overrides it. \
         This page is written from the code by `sg tree reference`.\n\n\
         | setting | used by | written like | default | meaning |\n|---|---|---|---|---|\n",
    );
    for spec in setting::ALL {
        let _ = writeln!(text, "{}", table_row(spec));
    }
    text
}

fn table_row(spec: &Spec) -> String {
    let kinds: Vec<String> = spec
        .used_by
        .iter()
        .map(|kind| format!("{kind:?}").to_lowercase())
        .collect();
    let default = spec.default.unwrap_or("must be set");
    format!(
        "| `{}` | {} | `{}` | {default} | {} |",
        spec.name,
        kinds.join(", "),
        spec.format.example(),
        spec.doc
    )
}
