//! Clients of the daemons.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{
    deployment::{HOST, KEY},
    http::{self, Head},
};

/// Returns the head of a request, with the length of its body if it is a POST request.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    more: &str,
    length: Option<usize>,
) -> String {
    let length = length.map_or(String::new(), |length| {
        format!("Content-Length: {length}\r\n")
    });
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Sassafrasgauge-Request-Id: {id}\r\n\
         Cookie: X-Sassafrasgauge-Affinity-Key={id}\r\nX-Sassafrasgauge-Deadline-Ms: {}\r\n\
         X-Sassafrasgauge-Key: {KEY}\r\n{more}{length}\r\n",
        deadline.as_millis()
    )
}

/// Returns the head of a GET request with the key `key`.
pub fn head_with_key(path: &str, id: &str, deadline: Duration, key: &str) -> String {
    request_head("GET", path, id, deadline, "", None).replace(KEY, key)
}

/// Sends `bytes` no faster than `bytes_per_second`.
pub fn write_paced(stream: &mut TcpStream, length: usize, bytes_per_second: f64) -> io::Result<()> {
    const PART: usize = 64 << 10;
    let part = [b'b'; PART];
    let (started, mut sent) = (Instant::now(), 0);
    while sent < length {
        let count = PART.min(length - sent);
        stream.write_all(&part[..count])?;
        sent += count;
        sleep_until(started + Duration::from_secs_f64(sent as f64 / bytes_per_second));
    }
    Ok(())
}

/// Reads one response.
pub fn read_response(stream: &TcpStream) -> io::Result<(Head, Vec<u8>)> {
    let mut reader = BufReader::with_capacity(4 << 10, stream);
    let head = http::read_head(&mut reader)?;
    let head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let body = http::read_body(&mut reader, &head, true)?;
    Ok((head, body))
}

/// Sends a request on a new connection and returns the response.
pub fn exchange(address: SocketAddr, head: &str, body: &[u8]) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_response(&stream)
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
