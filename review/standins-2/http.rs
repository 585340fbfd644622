//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A message: the words of its first line, its fields with lower-case names, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: Vec<String>,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the field `name`, which is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.get(1).and_then(|status| status.parse().ok());
        status.unwrap_or(0)
    }
}

/// Reads a message with a body of a declared length or in chunks.
///
/// # Errors
/// Returns the error of the connection, or `UnexpectedEof` if it has ended.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message::default();
    let start = read_line(reader)?;
    message.start = start.splitn(3, ' ').map(str::to_owned).collect();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
    if message.field("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut data = vec![0; size + 2];
            reader.read_exact(&mut data)?;
            message.body.extend_from_slice(&data[..size]);
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.field("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(io::Error::other)
}

/// Writes a response with a body.
///
/// # Errors
/// Returns the error of the connection.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
