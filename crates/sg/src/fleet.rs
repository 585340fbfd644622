//! Asks the instances of the fleet on their admin addresses.

use std::{fmt, future::Future, net::SocketAddr, pin::pin};

use futures_util::future::join_all;
use reqwest::redirect;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sg_clock::Timer;
use sg_report::status::{self, Fleet};
use sg_types::prelude::*;

use crate::Error;

/// How long one instance may take to answer.
const PATIENCE: Span = Span::from_secs(2);
/// How often to ask while a change spreads.
pub(crate) const POLL: Span = Span::from_millis(100);
/// The list of instances, as the platform publishes it.
const LIST: &str = "/v1/health/service/sassafrasgauge";

/// An instance of the list.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its name.
    pub instance: id::Instance,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// Where a change is in force.
#[derive(Debug, Clone, Serialize)]
pub struct Force {
    /// Instances that have it in force.
    pub instances: Vec<id::Instance>,
    /// Instances that don't have it, or don't answer.
    pub missing: Vec<id::Instance>,
    /// How long it took until the last one had it, or until waiting ended.
    pub took: Span,
}

impl fmt::Display for Force {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = self.instances.len() + self.missing.len();
        let secs = self.took.as_secs_f64();
        write!(
            f,
            "in force on {} of {all} after {secs:.1} s",
            self.instances.len()
        )?;
        if self.missing.is_empty() {
            return Ok(());
        }
        let names: Vec<&str> = self.missing.iter().map(id::Instance::as_str).collect();
        write!(
            f,
            "; missing: {}. A missing instance that still runs serves no keyed route once it can't \
             confirm the tree",
            names.join(", ")
        )
    }
}

/// A client of the fleet.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    list: SocketAddr,
    timer: Timer,
}

#[derive(Deserialize)]
struct Listed {
    #[serde(rename = "Service")]
    service: ListedService,
}

#[derive(Deserialize)]
struct ListedService {
    #[serde(rename = "ID")]
    id: id::Instance,
    #[serde(rename = "Meta")]
    meta: Meta,
}

#[derive(Deserialize)]
struct Meta {
    admin: SocketAddr,
}

impl Client {
    /// A client of the fleet that the list at `list` names.
    ///
    /// # Errors
    /// [`Error::Outage`] if the HTTP library fails.
    pub fn new(list: SocketAddr, timer: Timer) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .redirect(redirect::Policy::none())
            .no_proxy()
            .timeout(PATIENCE.into())
            .build()
            .map_err(|error| Error::Outage(format!("the HTTP client can't be made: {error}")))?;
        Ok(Self { http, list, timer })
    }

    /// The instances of the list, each once.
    ///
    /// # Errors
    /// [`Error::Outage`] if the list can't be read.
    pub async fn members(&self) -> Result<Vec<Member>, Error> {
        let listed: Vec<serde_json::Value> =
            self.fetch(self.list, LIST).await.map_err(|cause| {
                Error::Outage(format!(
                    "the list of instances can't be read ({cause}); check --instances"
                ))
            })?;
        let mut members = IndexMap::new();
        for entry in listed {
            if let Ok(Listed { service }) = serde_json::from_value(entry) {
                members.insert(service.id, service.meta.admin);
            }
        }
        let members = members
            .into_iter()
            .map(|(instance, admin)| Member { instance, admin });
        Ok(members.collect())
    }

    /// Asks every instance for `path`; `None` for those that don't answer.
    ///
    /// # Errors
    /// [`Error::Outage`] if the list can't be read.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Vec<(Member, Option<T>)>, Error> {
        let members = self.members().await?;
        let answers = members
            .iter()
            .map(|member| async { self.fetch(member.admin, path).await.ok() });
        let answers = join_all(answers).await;
        Ok(members.into_iter().zip(answers).collect())
    }

    /// The state of every instance.
    ///
    /// # Errors
    /// [`Error::Outage`] if the list can't be read.
    pub async fn status(&self) -> Result<Fleet, Error> {
        let mut fleet = Fleet::default();
        for (member, status) in self.ask::<status::Instance>("/status").await? {
            match status {
                Some(status) => fleet.instances.push(status),
                None => fleet.missing.push(member.instance),
            }
        }
        Ok(fleet)
    }

    /// Waits, for `patience` at most, until `revision` or a later one is in force everywhere or
    /// `interrupted` ends.
    pub async fn follow(
        &self,
        revision: Revision,
        patience: Span,
        interrupted: impl Future<Output = ()>,
    ) -> Force {
        let mut interrupted = pin!(interrupted);
        let start = self.timer.now();
        loop {
            let fleet = self.status().await.unwrap_or_default();
            let took = self.timer.now().since(start);
            let force = force(fleet, revision, took);
            let complete = force.missing.is_empty() && !force.instances.is_empty();
            if complete || took >= patience {
                return force;
            }
            tokio::select! {
                () = self.timer.sleep(POLL) => {}
                () = &mut interrupted => return force,
            }
        }
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let url = format!("http://{address}{path}");
        let answer = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        let answer = answer
            .error_for_status()
            .map_err(|error| error.to_string())?;
        answer.json().await.map_err(|error| error.to_string())
    }
}

fn force(fleet: Fleet, revision: Revision, took: Span) -> Force {
    let mut force = Force {
        instances: Vec::new(),
        missing: fleet.missing,
        took,
    };
    for status in fleet.instances {
        if status.revision >= revision {
            force.instances.push(status.instance);
        } else {
            force.missing.push(status.instance);
        }
    }
    force
}
