//! `sg status`: the fleet at a glance.

use crate::{Context, Error};

/// Runs `sg status`.
///
/// # Errors
/// See [`Error`].
pub async fn run(context: &Context) -> Result<(), Error> {
    let fleet = context.fleet()?.status().await?;
    context.print(&fleet, || fleet.to_string());
    Ok(())
}
