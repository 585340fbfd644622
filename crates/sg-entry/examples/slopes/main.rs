//! Measures the costs that grow with the fleet, the tree and the callers. Each cost is measured at
//! three or more sizes and printed with a least-squares line and the residuals.
//!
//! Run the example with `cargo run --release -p sg-entry --example slopes [parts|whole]`: `parts`
//! measures components without sockets, `whole` measures instances.

mod components;
mod fleet;
mod instances;
mod line;
mod usage;

#[tokio::main]
async fn main() {
    let selected = std::env::args().nth(1);
    let is_selected = |part: &str| selected.as_deref().is_none_or(|selected| selected == part);
    if is_selected("parts") {
        components::measure_members();
        components::measure_trees();
    }
    if is_selected("whole") {
        instances::measure().await;
    }
}
