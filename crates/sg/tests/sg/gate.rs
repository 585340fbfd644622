//! Stands between the command line and the store, and acts on writes of the head.

use std::net::SocketAddr;

use bytes::Bytes;
use parking_lot::Mutex;
use poem::{
    Endpoint, Request, Response, Server, http::StatusCode, listener::Acceptor as _,
    listener::Listener as _, listener::TcpListener,
};
use sg_types::prelude::*;
use tokio::{sync::Notify, task::JoinHandle};

/// The path of writes.
const TXN: &str = "/v3/kv/txn";
/// The head's key as the store's interface writes it.
const HEAD: &str = "\"c2cvdHJlZS9oZWFk\"";

/// What happens to a write of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Nothing.
    Pass,
    /// It waits for a release.
    Wait,
    /// It takes effect and its answer is lost; the next ones pass.
    LoseAnswerOnce,
    /// It takes effect, its answer is lost, and the store is down from then on.
    LoseAnswer,
    /// It never reaches the store, which is down from then on.
    LoseWrite,
    /// It never reaches the store and is never answered.
    HangBefore,
    /// It takes effect and is never answered.
    HangAfter,
    /// No call is answered well.
    Down,
}

struct Shared {
    store: SocketAddr,
    http: reqwest::Client,
    mode: Mutex<Mode>,
    reached: Notify,
    release: Notify,
}

/// A running gate.
pub struct Gate {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Gate {
    pub async fn start(listen: SocketAddr, store: SocketAddr) -> Self {
        let acceptor = TcpListener::bind(listen.to_string())
            .into_acceptor()
            .await
            .expect("bound");
        let address = acceptor.local_addr().remove(0);
        let shared = Arc::new(Shared {
            store,
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
            mode: Mutex::new(Mode::Pass),
            reached: Notify::new(),
            release: Notify::new(),
        });
        let front = Front(shared.clone());
        let task = tokio::spawn(async move {
            let _ = Server::new_with_acceptor(acceptor).run(front).await;
        });
        Self {
            address: *address.as_socket_addr().expect("an address"),
            shared,
            task,
        }
    }

    pub fn set(&self, mode: Mode) {
        *self.shared.mode.lock() = mode;
    }

    /// Waits until a write of the head is held.
    pub async fn reached(&self) {
        self.shared.reached.notified().await;
    }

    /// Lets a write that waits go on, and all later ones.
    pub fn release(&self) {
        self.set(Mode::Pass);
        self.shared.release.notify_one();
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Front(Arc<Shared>);

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let body = request.take_body().into_bytes().await?;
        let head = path == TXN && String::from_utf8_lossy(&body).contains(HEAD);
        let mode = *self.0.mode.lock();
        let broken = StatusCode::INTERNAL_SERVER_ERROR;
        match mode {
            Mode::Down => return Ok(broken.into()),
            Mode::Wait if head => {
                self.0.reached.notify_one();
                self.0.release.notified().await;
            }
            Mode::LoseAnswer | Mode::LoseAnswerOnce if head => {
                self.0.forward(&path, body).await;
                *self.0.mode.lock() = match mode {
                    Mode::LoseAnswerOnce => Mode::Pass,
                    _ => Mode::Down,
                };
                return Ok(broken.into());
            }
            Mode::LoseWrite if head => {
                *self.0.mode.lock() = Mode::Down;
                return Ok(broken.into());
            }
            Mode::HangBefore if head => {
                self.0.reached.notify_one();
                std::future::pending::<()>().await;
            }
            Mode::HangAfter if head => {
                self.0.forward(&path, body.clone()).await;
                self.0.reached.notify_one();
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        Ok(self.0.forward(&path, body).await)
    }
}

impl Shared {
    async fn forward(&self, path: &str, body: Bytes) -> Response {
        let url = format!("http://{}{path}", self.store);
        let Ok(answer) = self.http.post(url).body(body).send().await else {
            return StatusCode::BAD_GATEWAY.into();
        };
        let status = answer.status();
        let Ok(body) = answer.bytes().await else {
            return StatusCode::BAD_GATEWAY.into();
        };
        Response::builder().status(status).body(body)
    }
}
