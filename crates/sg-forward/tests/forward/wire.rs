//! Plain TCP callers and targets, so that every byte is seen.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

/// What a target does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Writes this and waits for the next request.
    Answer(String),
    /// Writes this and closes.
    Last(String),
    /// Closes with what it read unanswered.
    Close,
    /// Resets the connection.
    Reset,
    /// Keeps the connection and says nothing.
    Silence,
    /// Waits, then writes.
    Late(Duration, String),
}

/// A whole small answer.
pub fn ok(body: &str) -> Act {
    Act::Answer(format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// A target and what it saw.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicU32>,
}

impl Target {
    /// Listens and answers each request, by its number, with what `act` says.
    pub async fn start(act: impl Fn(&str, usize) -> Act + Send + Sync + 'static) -> Self {
        Self::start_by_connection(move |text, number, _| act(text, number)).await
    }

    /// The same, by the number of the connection too.
    pub async fn start_by_connection(
        act: impl Fn(&str, usize, u32) -> Act + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let target = Self {
            address: listener.local_addr().expect("has an address"),
            seen: Arc::default(),
            connections: Arc::default(),
        };
        let copy = target.clone();
        let act = Arc::new(act);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = copy.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(copy.clone().serve(stream, connection, act.clone()));
            }
        });
        target
    }

    /// An address that nothing listens at, and that nothing else is given while the tests run.
    pub async fn absent() -> SocketAddr {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("binds");
        let address = socket.local_addr().expect("has an address");
        std::mem::forget(socket);
        address
    }

    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().clone()
    }

    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// The check of "runs at most once".
    pub fn ran_at_most_once(&self) -> Result<(), usize> {
        match self.seen().len() {
            0 | 1 => Ok(()),
            more => Err(more),
        }
    }

    async fn serve(
        self,
        mut stream: TcpStream,
        connection: u32,
        act: Arc<impl Fn(&str, usize, u32) -> Act>,
    ) {
        while let Some(request) = read_request(&mut stream).await {
            let number = {
                let mut seen = self.seen.lock();
                seen.push(request.clone());
                seen.len() - 1
            };
            match act(&request, number, connection) {
                Act::Answer(text) => write(&mut stream, &text).await,
                Act::Last(text) => {
                    write(&mut stream, &text).await;
                    return;
                }
                Act::Close => return,
                Act::Reset => {
                    let _ = stream.set_zero_linger();
                    return;
                }
                Act::Silence => {}
                Act::Late(wait, text) => {
                    tokio::time::sleep(wait).await;
                    write(&mut stream, &text).await;
                }
            }
        }
    }
}

async fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Reads one request with a stated length.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= stated(head)
        {
            return Some(text);
        }
        let read = stream.read(&mut buffer).await.ok().filter(|n| *n > 0)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
}

fn stated(head: &str) -> usize {
    header(head, "content-length").map_or(0, |text| text.parse().expect("a number"))
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(other, _)| other.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
}

/// An answer as a caller got it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn of(text: &str) -> Self {
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
        Self {
            head: head.to_owned(),
            body: body.to_owned(),
        }
    }

    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    /// The outcome and the reason.
    pub fn said(&self) -> (String, String) {
        let said = |name| self.header(name).unwrap_or_default();
        (said("sg-outcome"), said("sg-reason"))
    }

    pub fn expect(&self, outcome: Outcome, reason: Reason) {
        let wanted = (outcome.to_string(), reason.to_string());
        assert_eq!(self.said(), wanted, "{self:?}");
    }

    /// Whether the answer ended as its framing says.
    pub fn is_whole(&self) -> bool {
        match self.header("content-length") {
            Some(length) => self.body.len().to_string() == length,
            None => self.body.ends_with("0\r\n\r\n"),
        }
    }
}

/// Sends `text` and reads until the connection ends.
pub async fn raw(address: SocketAddr, text: impl AsRef<[u8]>) -> Answer {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(text.as_ref()).await.expect("writes");
    Answer::of(&read_all(&mut stream).await)
}

pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A request's text. `headers` are lines without their ends.
pub fn request(method: &str, path: &str, headers: &[String], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n");
    for line in headers {
        text.push_str(line);
        text.push_str("\r\n");
    }
    if !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text + "\r\n" + body
}

pub fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}")
}

pub fn with_ticket(ticket: &str) -> String {
    format!("idempotency-key: {ticket}")
}
