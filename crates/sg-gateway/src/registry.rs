//! Registers this instance in the store and reads the registrations of all instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sg_store::{Error, Lease, Precondition, Store, Swap, Version};
use sg_types::prelude::*;
use tokio::sync::watch;

use crate::{
    Interpreter, Protocol,
    daemon::{Context, INSTANCE_INDEX},
};

/// The key prefix of registrations.
pub(crate) const PREFIX: &str = "sg/instances/";
/// The lifetime of a registration that is not renewed. It is longer than a typical network partition, so
/// that a partition does not change how budgets are divided.
pub(crate) const REGISTRATION_TTL: Span = Span::from_secs(12);
/// The interval at which the registration is renewed.
const RENEWAL_INTERVAL: Span = Span::from_secs(3);
/// The longest delay before the registration is made anew after the store was restored from a copy,
/// which spreads the writes of all instances.
const MAX_REREGISTRATION_DELAY: Span = Span::from_millis(700);
/// The delay after a failed renewal or registration.
const RETRY_DELAY: Span = Span::from_millis(800);

/// The value of a registration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Registration {
    /// The address for other instances.
    #[serde(rename = "mesh")]
    pub mesh_address: SocketAddr,
    /// The instance's current run.
    pub incarnation: Incarnation,
}

/// Keeps this instance registered until it leaves, then revokes the registration.
pub(crate) async fn run<D: Protocol, I: Interpreter, S: Store>(
    context: Arc<Context<D, I, S>>,
    mut leaving: watch::Receiver<bool>,
) {
    let mut lease = None;
    let mut is_lost = false;
    let mut era = context.replica.subscribe_era();
    loop {
        let result = renew_or_register(&context, &mut lease).await;
        match &result {
            Ok(()) if is_lost => log::info!("registration regained"),
            Err(error) if !is_lost => log::warn!(error:% = error; "registration lost"),
            _ => {}
        }
        is_lost = result.is_err();
        let wait = if is_lost {
            RETRY_DELAY
        } else {
            RENEWAL_INTERVAL
        };
        let is_restored = tokio::select! {
            () = context.timer.sleep(wait) => false,
            // The sender lives as long as the replica in the context.
            Ok(()) = era.changed() => true,
            // An error means that the sender, and thus the daemon, was dropped.
            _ = leaving.wait_for(|leaving| *leaving) => break,
        };
        if is_restored {
            let delay = rand::random::<f64>();
            context
                .timer
                .sleep(MAX_REREGISTRATION_DELAY.mul_f64(delay))
                .await;
        }
    }
    if let Some(lease) = lease
        && let Err(error) = context.store.revoke(lease).await
    {
        log::warn!(error:% = error; "registration left to lapse");
    }
}

/// Renews the lease of the registration, or registers the instance if there is no lease.
async fn renew_or_register<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    lease: &mut Option<Lease>,
) -> Result<(), Error> {
    if let Some(current) = *lease {
        match context.store.renew(current).await {
            Err(Error::LeaseExpired) => *lease = None,
            other => return other,
        }
    }
    let granted = context.store.grant(REGISTRATION_TTL).await?;
    write_registration(context, granted).await?;
    *lease = Some(granted);
    Ok(())
}

/// Writes the registration with `lease`. Replaces a registration of an earlier run.
async fn write_registration<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    lease: Lease,
) -> Result<(), Error> {
    let key = format!("{PREFIX}{}", context.settings.instance);
    let registration = Registration {
        mesh_address: context.settings.mesh_address(),
        incarnation: context.incarnation,
    };
    let value = serde_json::to_vec(&registration).map_err(|error| Error::Malformed {
        cause: error.to_string(),
    })?;
    let mut expect = Precondition::Absent;
    loop {
        let swap = context
            .store
            .swap(&key, expect, value.clone().into(), Some(lease))
            .await?;
        match swap {
            Swap::Done(_) => return Ok(()),
            Swap::Conflict(found) => {
                expect = found.map_or(Precondition::Absent, |found| {
                    Precondition::At(found.version)
                });
            }
        }
    }
}

/// Returns the registered instances with their mesh addresses.
pub(crate) fn registered_instances<D, I, S>(
    context: &Context<D, I, S>,
) -> Vec<(id::Instance, SocketAddr)> {
    let Some(snapshot) = context
        .replica
        .snapshot_after(INSTANCE_INDEX, Version::default())
    else {
        return Vec::new();
    };
    let retained = snapshot.retained.into_iter();
    let registrations = retained.chain(snapshot.changes).filter_map(|change| {
        let name = change.key.strip_prefix(PREFIX)?.parse().ok()?;
        let registration: Registration = serde_json::from_slice(&change.value?).ok()?;
        Some((name, registration.mesh_address))
    });
    registrations.collect()
}

/// Updates the members with the registered instances.
pub(crate) fn update_members<D, I, S>(context: &Context<D, I, S>) {
    let registered = registered_instances(context).into_iter();
    let names = registered.map(|(name, _)| name);
    context.members.lock().set_registered(names.collect());
}
