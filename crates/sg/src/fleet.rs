//! Asks the instances of the fleet on their admin addresses.

use std::net::SocketAddr;

use futures_util::future::join_all;
use reqwest::redirect;
use serde::{Deserialize, de::DeserializeOwned};
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

/// A client of the fleet.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    list: SocketAddr,
    pub(crate) timer: Timer,
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
