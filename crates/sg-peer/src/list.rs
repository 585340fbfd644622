//! Client of the platform's instance list. The list may lag behind the fleet.

use std::{future::Future, net::SocketAddr, sync::Arc};

use serde::Deserialize;
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::frame::Place;

/// The HTTP path of the list.
const PATH: &str = "/v1/health/service/sassafrasgauge";
/// The maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The name of the instance.
    pub instance: id::Instance,
    /// The location and addresses of the instance.
    pub place: Place,
    /// Whether the list marks the instance as leaving.
    pub leaving: bool,
}

/// The result of one read of the list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// The usable entries, duplicates included.
    pub entries: Vec<Listed>,
    /// The number of entries that can't be used.
    pub malformed: usize,
}

/// The reason for which the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No address is configured.
    #[error("the instance list has no address; set at least one in the settings")]
    NoAddress,
    /// The list did not answer.
    #[error("the instance list did not respond ({0}); check its address and that it runs")]
    Unreachable(String),
    /// The response is not a list.
    #[error(
        "the response of the instance list can't be parsed ({0}); check that its address is right"
    )]
    Malformed(String),
}

/// A source of the instance list.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads the list once.
    fn read(&self) -> impl Future<Output = Result<Outcome, Error>> + Send;
}

/// Options of the client.
#[derive(Debug, Clone)]
pub struct Options {
    /// The addresses of the list, tried in order.
    pub addresses: Vec<SocketAddr>,
    /// The time to wait for each address.
    pub timeout: Span,
}

/// A client of the Consul health interface.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    options: Arc<Options>,
    timer: Timer,
}

impl Client {
    /// Creates a client without connecting.
    ///
    /// # Errors
    /// [`Error::NoAddress`] if no address is given, or [`Error::Unreachable`] if the HTTP client
    /// can't be built.
    pub fn new(options: Options, timer: Timer) -> Result<Self, Error> {
        if options.addresses.is_empty() {
            return Err(Error::NoAddress);
        }
        let http = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .http1_only()
            .build()
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        Ok(Self {
            http,
            options: Arc::new(options),
            timer,
        })
    }

    async fn fetch(&self, address: SocketAddr) -> Result<Vec<u8>, Error> {
        let unreachable = |error: reqwest::Error| Error::Unreachable(error.to_string());
        let request = self.http.get(format!("http://{address}{PATH}"));
        let mut response = request.send().await.map_err(unreachable)?;
        if !response.status().is_success() {
            return Err(Error::Unreachable(format!("status {}", response.status())));
        }
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(unreachable)? {
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Err(Error::Malformed("response too long".to_owned()));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }
}

impl Source for Client {
    async fn read(&self) -> Result<Outcome, Error> {
        let mut last_error = Error::NoAddress;
        for address in &self.options.addresses {
            let deadline = self.timer.now() + self.options.timeout;
            let fetched = self.timer.until(deadline, self.fetch(*address)).await;
            match fetched.unwrap_or_else(|_| Err(Error::Unreachable("no response in time".into())))
            {
                Ok(body) => return parse(&body),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}

#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(rename = "Service")]
    service: Service,
}

#[derive(Debug, Deserialize)]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Address")]
    address: String,
    #[serde(rename = "Port")]
    port: u16,
    #[serde(rename = "Meta", default)]
    meta: Option<Meta>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Meta {
    domain: String,
    region: String,
    peer: String,
    admin: String,
    leaving: String,
}

impl Service {
    fn into_listed(self) -> Option<Listed> {
        let meta = self.meta?;
        let place = Place {
            domain: meta.domain.parse().ok()?,
            region: meta.region.parse().ok()?,
            peer: meta.peer.parse().ok()?,
            entry: SocketAddr::new(self.address.parse().ok()?, self.port),
            admin: meta.admin.parse().ok(),
        };
        Some(Listed {
            instance: self.id.parse().ok()?,
            place,
            leaving: meta.leaving == "true",
        })
    }
}

/// Parses a response of the list. Unusable entries are counted and left out.
///
/// # Errors
/// [`Error::Malformed`] if the text is not a JSON array.
pub fn parse(text: &[u8]) -> Result<Outcome, Error> {
    let values: Vec<serde_json::Value> =
        serde_json::from_slice(text).map_err(|error| Error::Malformed(error.to_string()))?;
    let total = values.len();
    let entries: Vec<_> = values
        .into_iter()
        .filter_map(|value| serde_json::from_value::<Entry>(value).ok())
        .filter_map(|entry| entry.service.into_listed())
        .collect();
    Ok(Outcome {
        malformed: total - entries.len(),
        entries,
    })
}
