//! Stand-in of a backend server, a process of its own. It prints what it runs, a line each.

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use crate::http::{Request, read_request, respond};

/// The variable that names a model, any request for which crashes the server.
pub const DEADLY_MODEL_VARIABLE: &str = "REVIEW_DEADLY_MODEL";
/// The variable that makes a server crash in the middle of answers without a length.
pub const IN_ANSWERS_VARIABLE: &str = "REVIEW_CRASHES_IN_ANSWERS";
/// The variable with the milliseconds from the end of the connection on which a server crashes to the end of its process.
pub const TEARDOWN_VARIABLE: &str = "REVIEW_TEARDOWN_MS";
/// How many events a stream has, and the time between two.
pub const EVENTS: usize = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(250);
/// How long an answer in two halves pauses between them.
const HALF_PAUSE: Duration = Duration::from_millis(2_800);
/// How long an answer of a second takes.
const SECOND: Duration = Duration::from_secs(1);
/// How long after it began a request that crashes its server does so.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// The size of an answer in two halves, in bytes.
const HALVES_BYTES: usize = 800;

/// Returns the whole body of an answer to a request, of `size` bytes.
pub fn body_of(id: &str, size: usize) -> Vec<u8> {
    let line = format!("answer to {id};");
    line.bytes().cycle().take(size).collect()
}

/// Returns the event with a number, from 1 on, of the stream for a request.
pub fn event_of(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} piece {number} of {EVENTS}\n\n")
}

/// Returns the whole body that belongs to a request's path.
pub fn whole_body(path: &str, id: &str) -> Vec<u8> {
    let last = path.rsplit('/').next().unwrap_or_default();
    match last.split_once('-') {
        Some(("large", size)) => body_of(id, size.parse().unwrap_or(0)),
        _ if last == "events" => {
            (1..=EVENTS).map(|number| event_of(id, number)).collect::<String>().into_bytes()
        }
        _ => body_of(id, HALVES_BYTES),
    }
}

/// Returns whether the server crashes in the middle of answers without a length, unless they go on with a stream.
fn crashes_in_answers() -> bool {
    std::env::var_os(IN_ANSWERS_VARIABLE).is_some()
}

/// Crashes, some time after the connection has ended if the server was started so.
fn crash(stream: &TcpStream) -> ! {
    if let Some(ms) = std::env::var(TEARDOWN_VARIABLE).ok().and_then(|ms| ms.parse().ok()) {
        let _ = stream.shutdown(Shutdown::Both);
        std::thread::sleep(Duration::from_millis(ms));
    }
    std::process::abort()
}

/// Serves at an address until it is killed.
pub fn run(name: &str, address: &str) {
    let listener = TcpListener::bind(address).expect("the address");
    say(&format!("listening {}", listener.local_addr().expect("an address")));
    for stream in listener.incoming().flatten() {
        let name = name.to_owned();
        std::thread::spawn(move || serve(stream, &name));
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn serve(mut stream: TcpStream, name: &str) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut rest) {
        if !answer(&mut stream, &request, name) {
            return;
        }
    }
}

/// Answers a request. Returns whether the connection stays open.
fn answer(stream: &mut TcpStream, request: &Request, name: &str) -> bool {
    if request.path() == "/health" {
        let id = [("coltsfoothook-instance-id", name)];
        return respond(stream, "200 OK", &id, b"").is_ok();
    }
    let expected = request.header("coltsfoothook-expect-instance");
    if expected.is_some_and(|expected| expected != name) {
        let id = [("coltsfoothook-instance-id", name)];
        return respond(stream, "421 Misdirected Request", &id, b"").is_ok();
    }
    let Some(id) = request.header("coltsfoothook-request-id").map(str::to_owned) else {
        let not_run = [("coltsfoothook-not-run", "1")];
        return respond(stream, "400 Bad Request", &not_run, b"").is_ok();
    };
    say(&format!("run {id}"));
    let body = whole_body(request.path(), &id);
    let seal = format!("{name}.{id}.{}", body.len());
    let headers = [("coltsfoothook-request-id", id.as_str()), ("coltsfoothook-server-seal", &seal)];
    let last = request.path().rsplit('/').next().unwrap_or_default();
    let is_deadly_here = std::env::var_os(DEADLY_MODEL_VARIABLE)
        .is_some_and(|deadly| request.header("coltsfoothook-model") == deadly.to_str());
    if last == "deadly" || is_deadly_here {
        // It crashes each server that begins to run it.
        std::thread::sleep(CRASH_DELAY);
        crash(stream);
    }
    let sent = match last {
        "halves" => send_halves(stream, &headers, &body),
        "events" => send_events(stream, &headers, request, &id),
        "second" => {
            std::thread::sleep(SECOND);
            respond(stream, "200 OK", &headers, &body)
        }
        _ => respond(stream, "200 OK", &headers, &body),
    };
    say(&format!("sent {id} {}", if sent.is_ok() { "whole" } else { "broken" }));
    sent.is_ok() && !matches!(last, "halves" | "events")
}

/// Writes the head of an answer that has no length and ends with its connection.
fn send_head(stream: &mut TcpStream, headers: &[(&str, &str)], kind: &str) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())
}

fn send_halves(
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let (first, second) = body.split_at(body.len() / 2);
    send_head(stream, headers, "application/octet-stream")?;
    stream.write_all(first)?;
    std::thread::sleep(HALF_PAUSE);
    if crashes_in_answers() {
        crash(stream);
    }
    stream.write_all(second)
}

fn send_events(
    stream: &mut TcpStream,
    headers: &[(&str, &str)],
    request: &Request,
    id: &str,
) -> std::io::Result<()> {
    let after = request.header("last-event-id").and_then(|id| id.parse::<usize>().ok());
    send_head(stream, headers, "text/event-stream")?;
    for number in after.unwrap_or(0) + 1..=EVENTS {
        if after.is_none() && number > EVENTS / 2 && crashes_in_answers() {
            crash(stream);
        }
        stream.write_all(event_of(id, number).as_bytes())?;
        std::thread::sleep(EVENT_INTERVAL);
    }
    Ok(())
}
