//! The transport over JSON-RPC.

use std::{net::SocketAddr, sync::Arc};

use http::header;
use indexmap::IndexMap;
use jsonrpsee::{
    RpcModule,
    core::client::{ClientT, Error as ClientError},
    http_client::{HttpBackend, HttpClient, HttpClientBuilder, HttpRequest, RpcLogger, RpcService},
    rpc_params,
    server::{BatchRequestConfig, HttpResponse, ServerBuilder, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use sg_types::time::Span;
use tower::{ServiceBuilder, util::MapRequest};

use crate::{
    Frame,
    frame::{MAX_BYTES, Refused},
    handler::Handler,
    transport::{Error, PART, Part, Slice, Transport},
};

// Short, since each exchange carries it.
const EXCHANGE: &str = "x";
const TREE: &str = "tree";
/// The code of an error that carries [`Refused`].
const REFUSED: i32 = -32_010;
/// The code of an error that says that a revision is not known.
const ABSENT: i32 = -32_011;
/// The most connections from other instances.
const MAX_CONNECTIONS: u32 = 8_192;
/// The most clients that are kept for reuse of their connections.
const MAX_CLIENTS: usize = 64;
/// The largest answer: a part of a tree, escaped, and its head.
const MAX_ANSWER: u32 = 4 * PART as u32;

/// What leaves out headers that no instance reads.
type Lean = MapRequest<HttpBackend, fn(HttpRequest) -> HttpRequest>;
/// A client of one other instance.
type Client = HttpClient<RpcLogger<RpcService<Lean>>>;

/// The transport. Clones share connections.
#[derive(Debug, Clone)]
pub struct Rpc {
    clients: Arc<Mutex<IndexMap<SocketAddr, Client>>>,
    timeout: Span,
}

/// A running server; dropping it stops it.
#[derive(Debug)]
pub struct Guard {
    handle: ServerHandle,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // An error means that it has stopped already.
        let _ = self.handle.stop();
    }
}

impl Rpc {
    /// A transport that waits for an answer for `timeout` at most.
    #[must_use]
    pub fn new(timeout: Span) -> Self {
        Self {
            clients: Arc::default(),
            timeout,
        }
    }

    fn client(&self, to: SocketAddr) -> Result<Client, Error> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&to) {
            return Ok(client.clone());
        }
        let lean = ServiceBuilder::new().map_request(lean_request as fn(_) -> _);
        let client = HttpClientBuilder::new()
            .set_http_middleware(lean)
            .request_timeout(self.timeout.into())
            .connect_timeout(self.timeout.into())
            .max_request_size(MAX_BYTES)
            .max_response_size(MAX_ANSWER)
            .build(format!("http://{to}"))
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        if clients.len() >= MAX_CLIENTS {
            clients.shift_remove_index(0);
        }
        clients.insert(to, client.clone());
        Ok(client)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        method: &str,
        body: impl Serialize + Send,
    ) -> Result<T, Error> {
        let client = self.client(to)?;
        let params = rpc_params![body];
        client.request(method, params).await.map_err(convert)
    }
}

fn convert(error: ClientError) -> Error {
    match error {
        ClientError::Call(object) if object.code() == ABSENT => Error::Absent,
        ClientError::Call(object) if object.code() == REFUSED => object
            .data()
            .and_then(|data| serde_json::from_str::<Refused>(data.get()).ok())
            .map_or(
                Error::Malformed(object.message().to_owned()),
                Error::Refused,
            ),
        ClientError::RequestTimeout => Error::Timeout,
        ClientError::Transport(error) => Error::Unreachable(error.to_string()),
        error => Error::Malformed(error.to_string()),
    }
}

/// Every answer is JSON, whatever the request accepts.
fn lean_request(mut request: HttpRequest) -> HttpRequest {
    request.headers_mut().remove(header::ACCEPT);
    request
}

/// The client reads every answer as JSON.
fn lean_response(mut response: HttpResponse) -> HttpResponse {
    response.headers_mut().remove(header::CONTENT_TYPE);
    response
}

fn refused(refused: Refused) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED, refused.to_string(), Some(refused))
}

fn absent(error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(ABSENT, error.to_string(), None::<()>)
}

fn module(handler: Handler) -> Result<RpcModule<Handler>, Error> {
    let failed = |error: &dyn std::error::Error| Error::Malformed(error.to_string());
    let mut module = RpcModule::new(handler);
    module
        .register_method(EXCHANGE, |params, handler, _| {
            let frame: Frame = params.one()?;
            handler.exchange(frame).map_err(refused)
        })
        .map_err(|error| failed(&error))?;
    module
        .register_method(TREE, |params, handler, _| {
            let part: Part = params.one()?;
            handler.tree(part).map_err(|error| absent(&error))
        })
        .map_err(|error| failed(&error))?;
    Ok(module)
}

impl Transport for Rpc {
    type Server = Guard;

    async fn serve(&self, address: SocketAddr, handler: Handler) -> Result<Guard, Error> {
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MAX_BYTES)
            .max_response_body_size(MAX_ANSWER)
            .max_connections(MAX_CONNECTIONS)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .build();
        let lean = ServiceBuilder::new().map_response(lean_response as fn(_) -> _);
        let server = ServerBuilder::with_config(config)
            .set_http_middleware(lean)
            .build(address)
            .await
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        let handle = server.start(module(handler)?);
        Ok(Guard { handle })
    }

    async fn exchange(&self, to: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
        self.call(to, EXCHANGE, frame).await
    }

    async fn tree(&self, to: SocketAddr, part: Part) -> Result<Slice, Error> {
        self.call(to, TREE, part).await
    }
}
