//! A small blocking HTTP/1.1 reader and writer.

use std::io::{self, BufRead, Read, Write};

/// Headers in the order of their arrival, with lower-case names.
pub type Headers = Vec<(String, String)>;

/// Returns the value of the header `name`, which is given in lower case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

/// The start line and the headers of a request or a response.
#[derive(Debug, Clone)]
pub struct Head {
    pub start: String,
    pub headers: Headers,
}

impl Head {
    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads a head. Returns `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            let start = start.trim_end().to_owned();
            return Ok(Some(Head { start, headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a declared length or in chunks. A response without either ends with its connection,
/// a request without either has no body.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let encoding = header(&head.headers, "transfer-encoding");
    if encoding.is_some_and(|encoding| encoding.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = line.trim_end().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = [0; 2];
            reader.read_exact(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match header(&head.headers, "content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        Some(Err(_)) => return Err(io::ErrorKind::InvalidData.into()),
        None if is_response => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Reads the body of a request without keeping it, and returns its length.
pub fn skip_body(reader: &mut impl BufRead, head: &Head) -> io::Result<usize> {
    let length = header(&head.headers, "content-length").and_then(|text| text.parse::<u64>().ok());
    match length {
        Some(length) => {
            let copied = io::copy(&mut reader.take(length), &mut io::sink())?;
            if copied < length {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            Ok(copied as usize)
        }
        None => read_body(reader, head, false).map(|body| body.len()),
    }
}

/// Writes a response with a declared length.
pub fn write_response(
    writer: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)?;
    writer.flush()
}
