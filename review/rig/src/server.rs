//! A backend server as a process of its own, so that it can be killed.
//!
//! The end of a request's path says what it answers: `whole/BYTES` with a length, `unframed/BYTES/PAUSE_MS` in two
//! halves without a length, and `events/COUNT/PAUSE_MS` as a stream without a length. Answers without a length end
//! with their connection.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::http::{self, Request};
use crate::record::Record;

/// The model that each server holds.
pub const MODEL: &str = "base";

/// A server that spoils answers spoils one in so many.
const SPOILED_ONE_IN: u32 = 50;

struct Server {
    name: String,
    born: u64,
    record: Record,
    spoils: bool,
    /// How many answers with a length it gave.
    answers: AtomicU32,
}

/// Serves until the process is killed. Prints the port that it listens on.
pub fn run(name: &str, born: u64, record: Record, spoils: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().expect("a bound socket").port());
    let server = Arc::new(Server {
        name: name.to_owned(),
        born,
        record,
        spoils,
        answers: AtomicU32::new(0),
    });
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        std::thread::spawn(move || server.connection(stream));
    }
}

/// Returns the first `length` bytes of the body that all answers of that length have.
pub fn body_bytes(length: usize) -> Vec<u8> {
    let lines = (0..length / 8 + 1).flat_map(|number| format!("{number:07}\n").into_bytes());
    lines.take(length).collect()
}

impl Server {
    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if !matches!(self.answer(&request, &mut writer), Ok(true)) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection goes on.
    fn answer(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<bool> {
        let instance = [("Coltsfoothook-Instance-Id", self.name.as_str())];
        let expected = request.header("coltsfoothook-expect-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            http::respond(writer, "421 Misdirected Request", &instance, b"")?;
            return Ok(true);
        }
        match request.path() {
            "/health" => {
                http::respond(writer, "200 OK", &instance, b"")?;
                return Ok(true);
            }
            "/v1/report" => {
                let report = format!(
                    r#"{{"stage":"hybrid","models":[{{"name":"{MODEL}","version":1,"adapters":[]}}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"born":{}}}"#,
                    self.born
                );
                http::respond(writer, "200 OK", &[], report.as_bytes())?;
                return Ok(true);
            }
            _ => {}
        }
        let id = request.header("coltsfoothook-request-id").unwrap_or_default().to_owned();
        self.record
            .line(&format!("server {} runs {id} {} {}", self.name, request.method, request.target));
        let words: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        let number = |back: usize| words[words.len() - back].parse::<usize>().unwrap_or(0);
        let seal = format!("seal-of-{}", self.name);
        let own = [
            ("Coltsfoothook-Request-Id", id.as_str()),
            ("Coltsfoothook-Server-Seal", seal.as_str()),
        ];
        if words.len() >= 2 && words[words.len() - 2] == "whole" {
            let body = body_bytes(number(1));
            let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if self.spoils && answers % SPOILED_ONE_IN == SPOILED_ONE_IN / 5 {
                self.record.line(&format!(
                    "server {} spoils its answer to {id}: {} bytes in chunks, and a length of {}",
                    self.name,
                    body.len(),
                    body.len() / 2
                ));
                let head = format!(
                    "HTTP/1.1 200 OK\r\nColtsfoothook-Request-Id: {id}\r\nColtsfoothook-Server-Seal: {seal}\r\nContent-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
                    body.len() / 2,
                    body.len()
                );
                writer.write_all(&[head.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat())?;
                return Ok(true);
            }
            http::respond(writer, "200 OK", &own, &body)?;
            self.record.line(&format!(
                "server {} sent all {} bytes of {id}",
                self.name,
                body.len()
            ));
            return Ok(true);
        }
        let (count, pause) = (number(2), Duration::from_millis(number(1) as u64));
        let is_stream = words.len() >= 3 && words[words.len() - 3] == "events";
        let kind = if is_stream { "text/event-stream" } else { "application/octet-stream" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\nColtsfoothook-Request-Id: {id}\r\nColtsfoothook-Server-Seal: {seal}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        if is_stream {
            for event in 1..=count {
                writer.write_all(format!("id: {event}\ndata: token-{event}\n\n").as_bytes())?;
                std::thread::sleep(pause);
            }
            self.record.line(&format!("server {} sent all {count} events of {id}", self.name));
            return Ok(false);
        }
        let body = body_bytes(count);
        let (first, second) = body.split_at(count / 2);
        writer.write_all(first)?;
        self.record.line(&format!(
            "server {} sent {} of {count} bytes of {id}",
            self.name,
            first.len()
        ));
        std::thread::sleep(pause);
        writer.write_all(second)?;
        self.record.line(&format!("server {} sent all {count} bytes of {id}", self.name));
        Ok(false)
    }
}
