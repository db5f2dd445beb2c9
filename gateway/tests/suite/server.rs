//! A stand-in of the platform's backend servers: it counts what runs, and fails as it is told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// How a server treats the next requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ServerMood {
    /// It answers.
    #[default]
    Well,
    /// It runs a request and closes the connection without an answer.
    LosesAnswer,
    /// It answers 500 after it ran.
    Fails,
    /// It closes a stream in the middle of its second event.
    CutsStream,
    /// It sends an answer to another request first.
    AnswersTwice,
    /// It says that it is full, and does not run the request.
    Full,
    /// It takes a second for each event of a stream.
    Slow,
    /// It takes some tens of milliseconds for each event.
    Paced,
    /// It falls silent after the first event, for longer than callers commonly wait, and goes on.
    Silent,
}

/// An adapter whose load is accepted and never done.
pub(crate) const NEVER_LOADED: &str = "a9";

#[derive(Default)]
struct ServerState {
    mood: ServerMood,
    adapters: Vec<String>,
    orders: Vec<Value>,
    /// Requests that ran: id, expected version, last event, deadline.
    runs: Vec<RunNote>,
    /// Streams whose reader left before their end.
    left: usize,
    /// The millisecond of its start; each start under its name has a later one.
    incarnation: u64,
    /// The highest fencing number of an order, and who gave it.
    fence: (u64, String),
    /// What no caller of orders may do.
    faults: Vec<String>,
}

/// A request as the server saw it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunNote {
    pub(crate) id: String,
    pub(crate) head: String,
    pub(crate) body: String,
    /// When it came.
    pub(crate) at: Option<Instant>,
}

impl RunNote {
    /// A header of the request.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = |line: &&str| {
            line.split_once(':').is_some_and(|(key, _)| key.eq_ignore_ascii_case(name))
        };
        self.head.lines().find(found).and_then(|line| line.split_once(':')).map(|(_, v)| v.trim())
    }
}

/// The server. Clones share it.
#[derive(Clone)]
pub(crate) struct StandinServer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    /// Grows with each start; connections of the one before are cut.
    starts: Arc<watch::Sender<u64>>,
    /// Set once the server has crashed or left.
    ended: Arc<watch::Sender<bool>>,
}

/// Events of each stream.
pub(crate) const EVENTS: usize = 4;
/// Places for adapters.
pub(crate) const PLACES: usize = 2;
/// The base model that every server holds.
pub(crate) const MODEL: &str = "base";

impl StandinServer {
    pub(crate) async fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(ServerState {
                incarnation: 1_000,
                ..ServerState::default()
            })),
            starts: Arc::new(watch::Sender::new(0)),
            ended: Arc::new(watch::Sender::new(false)),
        };
        let served = server.clone();
        tokio::spawn(async move {
            let mut ended = served.ended.subscribe();
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let server = served.clone();
                    tokio::spawn(async move {
                        let mut ended = server.ended.subscribe();
                        let mut starts = server.starts.subscribe();
                        tokio::select! {
                            () = server.connection(stream) => {}
                            _ = starts.changed() => {}
                            _ = ended.wait_for(|ended| *ended) => {}
                        }
                    });
                }
            };
            tokio::select! {
                () = accept => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
        });
        server
    }

    /// Cuts all connections and takes no more, as a crash does.
    pub(crate) fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Crashes and starts again under its name and at its address, with nothing of before.
    pub(crate) fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        let incarnation = state.incarnation + 5_000;
        let (mood, runs) = (state.mood, std::mem::take(&mut state.runs));
        *state = ServerState { incarnation, mood, runs, ..ServerState::default() };
        drop(state);
        self.starts.send_modify(|starts| *starts += 1);
    }

    /// Whether it has crashed or left.
    pub(crate) fn is_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// What callers of orders did that none may do.
    pub(crate) fn faults(&self) -> Vec<String> {
        self.state.lock().unwrap().faults.clone()
    }

    /// Its entry in the store.
    pub(crate) fn entry(&self, service: &str, heartbeat: u64, state: &str) -> Value {
        let held = self.state.lock().unwrap();
        let adapters: Vec<String> = held.adapters.iter().map(|name| format!("{name}@1")).collect();
        json!({
            "service": service, "address": self.address, "zone": "d1", "version": "v1",
            "slots": 8, "state": state, "seq": heartbeat, "born": held.incarnation,
            "models": [{ "name": MODEL, "version": 1, "adapters": adapters }],
        })
    }

    pub(crate) fn set_mood(&self, mood: ServerMood) {
        self.state.lock().unwrap().mood = mood;
    }

    pub(crate) fn runs(&self) -> Vec<RunNote> {
        self.state.lock().unwrap().runs.clone()
    }

    pub(crate) fn left(&self) -> usize {
        self.state.lock().unwrap().left
    }

    pub(crate) fn orders(&self) -> Vec<Value> {
        self.state.lock().unwrap().orders.clone()
    }

    async fn connection(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some((head, body)) = read_request(&mut stream, &mut buffer).await {
            if !self.answer(&mut stream, head, body).await {
                return;
            }
        }
    }

    /// Answers one request; false if the connection ends.
    async fn answer(&self, stream: &mut TcpStream, head: String, body: String) -> bool {
        let note = RunNote { head, body, at: Some(Instant::now()), ..RunNote::default() };
        let note = RunNote {
            id: note.header("coltsfoothook-request-id").unwrap_or_default().to_owned(),
            ..note
        };
        if note.header("coltsfoothook-expect-instance") != Some(&self.name) {
            return send(stream, 421, "", "").await;
        }
        if note.head.starts_with("GET /v1/report") {
            let report = self.report().to_string();
            return send(stream, 200, "", &report).await;
        }
        if note.head.starts_with("POST /v1/order") {
            let status = self.order(serde_json::from_str(&note.body).unwrap());
            return send(stream, status, "", "").await;
        }
        let echo = format!("coltsfoothook-request-id: {}\r\n", note.id);
        let mood = self.state.lock().unwrap().mood;
        if mood == ServerMood::Full {
            let head = format!("{echo}coltsfoothook-not-run: 1\r\n");
            return send(stream, 503, &head, "").await;
        }
        if let Some((_, adapter)) =
            note.header("coltsfoothook-model").and_then(|m| m.split_once('/'))
            && !self.state.lock().unwrap().adapters.iter().any(|held| held == adapter)
        {
            return send(stream, 421, &echo, "").await;
        }
        self.state.lock().unwrap().runs.push(note.clone());
        let sealed = format!("{echo}coltsfoothook-server-seal: seal-{}\r\n", self.name);
        match mood {
            ServerMood::LosesAnswer => return false,
            ServerMood::Fails => return send(stream, 500, &sealed, "failed").await,
            ServerMood::AnswersTwice => {
                let other = "coltsfoothook-request-id: another\r\ncoltsfoothook-server-seal: x\r\n";
                return send(stream, 200, other, "another's answer").await
                    && send(stream, 200, &sealed, "own answer").await;
            }
            _ => {}
        }
        if note.header("coltsfoothook-model").is_none() {
            return send(stream, 200, &sealed, &format!("ran {}", note.id)).await;
        }
        self.stream(stream, &note, &sealed, mood).await
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        note: &RunNote,
        sealed: &str,
        mood: ServerMood,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{sealed}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        let last = note.header("last-event-id").map_or(0, |id| id.parse::<usize>().unwrap());
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {} {number}\n\n", note.id);
            let cut = mood == ServerMood::CutsStream && number == 2;
            let event = if cut { &event[..event.len() / 2] } else { &event };
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                self.state.lock().unwrap().left += 1;
                return false;
            }
            if cut {
                return false;
            }
            let pause = match mood {
                ServerMood::Slow => 1_000,
                ServerMood::Paced => 60,
                ServerMood::Silent if number == last + 1 => 2_400,
                _ => 5,
            };
            sleep(Duration::from_millis(pause)).await;
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let adapters: Vec<String> = state.adapters.iter().map(|name| format!("{name}@1")).collect();
        json!({
            "stage": "hybrid", "busy": false, "seq": state.orders.len(), "born": state.incarnation,
            "models": [{ "name": MODEL, "version": 1, "adapters": adapters }],
        })
    }

    fn order(&self, order: Value) -> u16 {
        let mut state = self.state.lock().unwrap();
        let (fence, holder) = (order["fence"].as_u64(), order["holder"].as_str());
        let (fence, holder) = (fence.unwrap_or(0), holder.unwrap_or_default().to_owned());
        if fence < state.fence.0 {
            return 412;
        }
        if fence == state.fence.0 && fence > 0 && holder != state.fence.1 {
            let fault = format!("{holder} and {} both order with {fence}", state.fence.1);
            state.faults.push(fault);
        }
        state.fence = (fence, holder);
        if order["precondition"].as_u64() != Some(state.orders.len() as u64) {
            return 409;
        }
        let adapter = order["adapter"].as_str().unwrap_or_default().to_owned();
        let load = order["operation"] == "load";
        state.adapters.retain(|held| *held != adapter);
        if load && adapter != NEVER_LOADED {
            state.adapters.push(adapter);
        }
        if state.adapters.len() > PLACES {
            let fault = format!("{:?} are more than {PLACES} adapters", state.adapters);
            state.faults.push(fault);
        }
        state.orders.push(order);
        if load { 202 } else { 200 }
    }
}

async fn send(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Reads a request with a length, or without a body.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8(buffer[..end].to_vec()).ok()?;
            let note = RunNote { head, ..RunNote::default() };
            let length: usize =
                note.header("content-length").map_or(0, |text| text.parse().unwrap());
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                buffer.drain(..end + 4 + length);
                return Some((note.head, body));
            }
        }
        let mut piece = [0; 4_096];
        let read = stream.read(&mut piece).await.ok()?;
        if read == 0 {
            return None;
        }
        buffer.extend_from_slice(&piece[..read]);
    }
}
