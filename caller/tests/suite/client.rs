//! A client that writes raw HTTP, so that tests can also send invalid requests.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A response read from the connection, with chunked bodies decoded.
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether a chunked body ended with its final chunk; true for other bodies.
    pub(crate) whole: bool,
}

impl RawAnswer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.clone()).expect("a body in UTF-8")
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Builds the text of a request with a valid credential. Each line of `headers` ends in `\r\n`.
pub(crate) fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\
         authorization: Bearer good\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// Sends `text` on a new connection and reads the response until the connection ends.
pub(crate) async fn send(address: SocketAddr, text: &str) -> RawAnswer {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    parse(&bytes)
}

/// Sends a request with a valid credential and no further headers.
pub(crate) async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> RawAnswer {
    send(address, &request(method, path, "", body)).await
}

pub(crate) fn parse(bytes: &[u8]) -> RawAnswer {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("the end of the head") + 4;
    let head = String::from_utf8(bytes[..end].to_vec()).expect("a head in UTF-8");
    let status = head[9..12].parse().expect("a status");
    let mut answer = RawAnswer { status, head, body: bytes[end..].to_vec(), whole: true };
    if answer.header("transfer-encoding") == Some("chunked") {
        let (body, whole) = unchunk(&bytes[end..]);
        answer.body = body;
        answer.whole = whole;
    }
    answer
}

fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).expect("a chunk size");
        let size = usize::from_str_radix(size, 16).expect("a hexadecimal size");
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(end + 2..end + 2 + size) else { break };
        body.extend_from_slice(chunk);
        rest = rest.get(end + 4 + size..).unwrap_or_default();
    }
    (body, false)
}
