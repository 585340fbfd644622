//! Measures the costs that grow with the fleet, the tree and the callers. Each is measured at three
//! or more sizes and printed with a least-squares line and the residuals.
//!
//! `cargo run --release -p sg-entry --example slopes [parts|whole]`

mod fleet;
mod line;
mod parts;
mod usage;
mod whole;

#[tokio::main]
async fn main() {
    let selected = std::env::args().nth(1);
    let is_selected = |part: &str| selected.as_deref().is_none_or(|selected| selected == part);
    if is_selected("parts") {
        parts::measure_members();
        parts::measure_trees();
    }
    if is_selected("whole") {
        whole::measure().await;
    }
}
