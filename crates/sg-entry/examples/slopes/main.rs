//! Measures what grows with the fleet, the tree and the callers, at three sizes or more each, with
//! a line through the points and how far off it they are.
//!
//! `cargo run --release -p sg-entry --example slopes [parts|whole]`

mod fleet;
mod line;
mod parts;
mod usage;
mod whole;

#[tokio::main]
async fn main() {
    let only = std::env::args().nth(1);
    let wanted = |part: &str| only.as_deref().is_none_or(|only| only == part);
    if wanted("parts") {
        parts::members();
        parts::trees();
    }
    if wanted("whole") {
        whole::measure().await;
    }
}
