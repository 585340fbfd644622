//! HTTP/1.1 messages over TCP, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The head and the body of a message. `first` is the request line or the status line.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target of a request or the status of a response.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&bytes).trim_end().to_owned()))
}

/// Reads one message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let text = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length: Option<usize> = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let size = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    }
    Ok(Some(message))
}

/// Writes a response with a body of known length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Decodes a query into names and values.
pub fn query(target: &str) -> Vec<(String, String)> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (decode(name), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
                decoded.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                at += 2;
            }
            b'+' => decoded.push(b' '),
            other => decoded.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
