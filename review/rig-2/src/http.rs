//! The little of HTTP/1.1 that the stand-ins and the clients need, on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as a server received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads bytes up to the blank line; what follows stays in `rest`. `None` if the connection ended first.
fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = rest.windows(4).position(|part| part == b"\r\n\r\n") {
            let head: Vec<u8> = rest.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head[..end]).into_owned()));
        }
        if read_more(stream, rest)? == 0 {
            return Ok(None);
        }
    }
}

fn read_more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<usize> {
    let mut piece = [0; 16 << 10];
    let length = stream.read(&mut piece)?;
    rest.extend_from_slice(&piece[..length]);
    Ok(length)
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

fn length_of(headers: &[(String, String)]) -> Option<usize> {
    let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
    found.1.parse().ok()
}

/// Reads one request; `None` at the end of the connection. The gateway sends bodies with a length.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, rest)? else { return Ok(None) };
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let target = first.nth(1).unwrap_or_default().to_owned();
    let headers = parse_headers(lines);
    let length = length_of(&headers).unwrap_or(0);
    while rest.len() < length {
        if read_more(stream, rest)? == 0 {
            return Ok(None);
        }
    }
    let body = rest.drain(..length).collect();
    Ok(Some(Request { target, headers, body }))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head was received.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that the answer's framing states.
    pub whole: bool,
    /// Why there is no whole answer.
    pub cause: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(mut stream) => call_on(&mut stream, method, target, headers, body, limit),
        Err(error) => Answer { cause: format!("connect: {error}"), ..Answer::default() },
    }
}

/// Sends a request on a connection and reads its answer.
pub fn call_on(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let _ = stream.set_nodelay(true);
    let mut answer = Answer::default();
    if let Err(error) = stream.write_all(&bytes) {
        answer.cause = format!("write: {error}");
        return answer;
    }
    read_answer(stream, &mut answer, Instant::now() + limit);
    answer
}

/// Reads the answer to a request that was sent.
pub fn read_answer(stream: &mut TcpStream, answer: &mut Answer, until: Instant) {
    if let Err(error) = try_read_answer(stream, answer, until) {
        answer.cause = format!("read: {error}");
    }
}

fn try_read_answer(stream: &mut TcpStream, answer: &mut Answer, until: Instant) -> io::Result<()> {
    let mut rest = Vec::new();
    let wait = |stream: &TcpStream| {
        let left = until.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))
    };
    wait(stream)?;
    let Some(head) = read_head(stream, &mut rest)? else {
        answer.cause = "the connection ended without an answer".to_owned();
        return Ok(());
    };
    let mut lines = head.split("\r\n");
    let status = lines.next().unwrap_or_default().split(' ').nth(1).unwrap_or_default();
    answer.status = status.parse().unwrap_or(0);
    answer.headers = parse_headers(lines);
    if let Some(length) = length_of(&answer.headers) {
        while rest.len() < length {
            wait(stream)?;
            if read_more(stream, &mut rest)? == 0 {
                break;
            }
        }
        answer.whole = rest.len() >= length;
        rest.truncate(length);
        answer.body = rest;
        return Ok(());
    }
    if answer.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let line = loop {
                if let Some(end) = rest.windows(2).position(|part| part == b"\r\n") {
                    let line: Vec<u8> = rest.drain(..end + 2).collect();
                    break String::from_utf8_lossy(&line[..end]).into_owned();
                }
                wait(stream)?;
                if read_more(stream, &mut rest)? == 0 {
                    answer.cause = "the connection ended within the body".to_owned();
                    return Ok(());
                }
            };
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            while rest.len() < size + 2 {
                wait(stream)?;
                if read_more(stream, &mut rest)? == 0 {
                    answer.cause = "the connection ended within the body".to_owned();
                    return Ok(());
                }
            }
            let chunk: Vec<u8> = rest.drain(..size + 2).collect();
            answer.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                answer.whole = true;
                return Ok(());
            }
        }
    }
    // Without a length the answer ends with its connection.
    loop {
        wait(stream)?;
        if read_more(stream, &mut rest)? == 0 {
            break;
        }
    }
    answer.body = rest;
    answer.whole = true;
    Ok(())
}
