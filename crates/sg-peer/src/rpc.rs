//! Transport over JSON-RPC.

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
    frame::{MAX_BYTES, Rejection},
    handler::Handler,
    transport::{Chunk, ChunkRequest, Error, MAX_CHUNK_BYTES, Transport},
};

/// The method name of an exchange: one letter, since every exchange carries it.
const EXCHANGE_METHOD: &str = "x";
/// The method name of a request for a chunk of a tree.
const TREE_METHOD: &str = "tree";
/// The code of an error that carries a [`Rejection`].
const REFUSED_CODE: i32 = -32_010;
/// The code of the error for an unknown revision.
const ABSENT_CODE: i32 = -32_011;
/// The maximum number of connections from other instances.
const MAX_CONNECTIONS: u32 = 8_192;
/// The maximum number of clients kept for reuse of their connections.
const MAX_CLIENTS: usize = 64;
/// The maximum size of a response, in bytes: an escaped chunk of a tree with its head.
const MAX_RESPONSE_BYTES: u32 = 4 * MAX_CHUNK_BYTES as u32;

/// Client middleware that removes the `Accept` header, which no instance reads.
type HeaderFilter = MapRequest<HttpBackend, fn(HttpRequest) -> HttpRequest>;
/// A client for one other instance.
type Client = HttpClient<RpcLogger<RpcService<HeaderFilter>>>;

/// The JSON-RPC transport. All clones share connections.
#[derive(Debug, Clone)]
pub struct Rpc {
    clients: Arc<Mutex<IndexMap<SocketAddr, Client>>>,
    timeout: Span,
}

/// A running server. Dropping the guard stops the server.
#[derive(Debug)]
pub struct Guard {
    handle: ServerHandle,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // An error means that the server has already stopped.
        let _ = self.handle.stop();
    }
}

impl Rpc {
    /// Creates a transport that waits at most `timeout` for a response.
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
        let filter = ServiceBuilder::new().map_request(remove_accept_header as fn(_) -> _);
        let client = HttpClientBuilder::new()
            .set_http_middleware(filter)
            .request_timeout(self.timeout.into())
            .connect_timeout(self.timeout.into())
            .max_request_size(MAX_BYTES)
            .max_response_size(MAX_RESPONSE_BYTES)
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
        client.request(method, params).await.map_err(convert_error)
    }
}

fn convert_error(error: ClientError) -> Error {
    match error {
        ClientError::Call(object) if object.code() == ABSENT_CODE => Error::Absent,
        ClientError::Call(object) if object.code() == REFUSED_CODE => object
            .data()
            .and_then(|data| serde_json::from_str::<Rejection>(data.get()).ok())
            .map_or(
                Error::Malformed(object.message().to_owned()),
                Error::Refused,
            ),
        ClientError::RequestTimeout => Error::Timeout,
        ClientError::Transport(error) => Error::Unreachable(error.to_string()),
        error => Error::Malformed(error.to_string()),
    }
}

/// Removes the `Accept` header, since every response is JSON.
fn remove_accept_header(mut request: HttpRequest) -> HttpRequest {
    request.headers_mut().remove(header::ACCEPT);
    request
}

/// Removes the `Content-Type` header, since the client reads every response as JSON.
fn remove_content_type_header(mut response: HttpResponse) -> HttpResponse {
    response.headers_mut().remove(header::CONTENT_TYPE);
    response
}

fn refused_error(refused: Rejection) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED_CODE, refused.to_string(), Some(refused))
}

fn absent_error(error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(ABSENT_CODE, error.to_string(), None::<()>)
}

fn rpc_module(handler: Handler) -> Result<RpcModule<Handler>, Error> {
    let malformed = |error: &dyn std::error::Error| Error::Malformed(error.to_string());
    let mut module = RpcModule::new(handler);
    module
        .register_method(EXCHANGE_METHOD, |params, handler, _| {
            let frame: Frame = params.one()?;
            handler.exchange(frame).map_err(refused_error)
        })
        .map_err(|error| malformed(&error))?;
    module
        .register_method(TREE_METHOD, |params, handler, _| {
            let request: ChunkRequest = params.one()?;
            handler
                .tree_chunk(request)
                .map_err(|error| absent_error(&error))
        })
        .map_err(|error| malformed(&error))?;
    Ok(module)
}

impl Transport for Rpc {
    type Server = Guard;

    async fn serve(&self, address: SocketAddr, handler: Handler) -> Result<Guard, Error> {
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MAX_BYTES)
            .max_response_body_size(MAX_RESPONSE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .build();
        let filter = ServiceBuilder::new().map_response(remove_content_type_header as fn(_) -> _);
        let server = ServerBuilder::with_config(config)
            .set_http_middleware(filter)
            .build(address)
            .await
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        let handle = server.start(rpc_module(handler)?);
        Ok(Guard { handle })
    }

    async fn exchange(&self, to: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
        self.call(to, EXCHANGE_METHOD, frame).await
    }

    async fn tree_chunk(&self, to: SocketAddr, request: ChunkRequest) -> Result<Chunk, Error> {
        self.call(to, TREE_METHOD, request).await
    }
}
