//! A client that reads an answer as fast or as slowly as told.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{find_header, read_head};
use crate::site::HOST;

/// How much a slow client reads at once.
const PIECE_BYTES: usize = 16 << 10;

/// A request to be sent.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub model: Option<&'a str>,
    /// The most that the client reads in a second.
    pub bytes_per_s: Option<usize>,
}

/// An answer as far as it was received.
pub struct Answer {
    pub status: u16,
    pub id: String,
    pub sealed: bool,
    pub body: Vec<u8>,
    /// Whether the body ended as its length or its chunks say.
    pub complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn text(&self) -> String {
        format!(
            "status {}, seal {}, {} bytes, {}, after {} ms",
            self.status,
            if self.sealed { "yes" } else { "no" },
            self.body.len(),
            if self.complete { "complete" } else { "cut" },
            self.took.as_millis()
        )
    }
}

/// A connection that is kept for several requests.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub fn open(gateway: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(gateway)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        Ok(Self(BufReader::with_capacity(PIECE_BYTES, stream)))
    }

    /// Sends a request and reads its answer; an error if there is no head of one.
    pub fn call(&mut self, call: &Call<'_>) -> io::Result<Answer> {
        exchange(&mut self.0, call)
    }
}

/// Sends a request on a connection of its own and reads its answer; an error if there is no head of one.
pub fn call(gateway: SocketAddr, call: &Call<'_>) -> io::Result<Answer> {
    Connection::open(gateway)?.call(call)
}

fn exchange(reader: &mut BufReader<TcpStream>, call: &Call<'_>) -> io::Result<Answer> {
    let started = Instant::now();
    let model = call.model.map(|model| {
        format!("Coltsfoothook-Model: {model}\r\nColtsfoothook-Token-Count: 100,80\r\n")
    });
    let body = if call.method == "GET" { "" } else { "{\"a\":1}" };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nColtsfoothook-Request-Id: {}\r\n{}Coltsfoothook-Deadline-Ms: 8000\r\nContent-Length: {}\r\n\r\n{body}",
        call.method,
        call.path,
        call.id,
        model.unwrap_or_default(),
        body.len()
    );
    reader.get_mut().write_all(head.as_bytes())?;
    let (start, headers) = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if !start.starts_with("HTTP/1.1 ") {
        let text: String = start.chars().take(60).collect();
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("no answer: {text:?}")));
    }
    let status = start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let sealed = find_header(&headers, "coltsfoothook-server-seal").is_some();
    let mut body = Vec::new();
    let length = find_header(&headers, "content-length").and_then(|text| text.parse().ok());
    let read = match length {
        Some(length) => read_length(reader, length, call.bytes_per_s, &mut body),
        None => read_chunks(reader, &mut body),
    };
    let id = find_header(&headers, "coltsfoothook-request-id").unwrap_or_default().to_owned();
    Ok(Answer { status, id, sealed, body, complete: read.is_ok(), took: started.elapsed() })
}

fn read_length(
    reader: &mut impl Read,
    length: usize,
    bytes_per_s: Option<usize>,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    while body.len() < length {
        let wanted = PIECE_BYTES.min(length - body.len());
        let count = reader.read(&mut piece[..wanted])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&piece[..count]);
        if let Some(rate) = bytes_per_s {
            std::thread::sleep(Duration::from_secs_f64(count as f64 / rate as f64));
        }
    }
    Ok(())
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
