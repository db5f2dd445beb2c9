//! The platform's store: keyed topics with long polls, and one group.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};

const PARTS: u32 = 12;

#[derive(Clone)]
struct Line {
    key: String,
    value: Vec<u8>,
}

struct Member {
    name: String,
    until: Instant,
}

struct Partition {
    topic: String,
    part: u32,
    holder: String,
    /// The next holder, and the generation with which the present one gives it up.
    next: Option<(String, u64)>,
}

#[derive(Default)]
struct State {
    topics: Vec<(String, Vec<Line>)>,
    members: Vec<Member>,
    partitions: Vec<Partition>,
    generation: u64,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let store = Self { address, state: Arc::default() };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.connection(stream));
            }
        });
        store
    }

    /// Writes the newest record of a key; an empty value removes it.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key, value.as_bytes());
    }

    fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let line = Line { key: key.to_owned(), value: value.to_vec() };
        match state.topics.iter_mut().find(|(name, _)| name == topic) {
            Some((_, lines)) => lines.push(line),
            None => state.topics.push((topic.to_owned(), vec![line])),
        }
        changed.notify_all();
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, writer: &mut impl Write) -> std::io::Result<()> {
        let topic = request.query("topic").unwrap_or_default();
        let json = [("Content-Type", "application/json")];
        match request.path() {
            "/v1/log-newest" => {
                http::respond(writer, "200 OK", &json, self.newest(topic).as_bytes())
            }
            "/v1/log-read" => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let from: u64 = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                http::respond(writer, "200 OK", &[], &self.read(topic, from as usize, wait))
            }
            "/v1/log-append" => {
                let length = usize::from(request.body[4]);
                let key = String::from_utf8_lossy(&request.body[5..5 + length]).into_owned();
                self.append(topic, &key, &request.body[5 + length..]);
                http::respond(writer, "200 OK", &json, br#"{"offset":0,"end":1}"#)
            }
            "/v1/log-join" => {
                let answer = self.join(&String::from_utf8_lossy(&request.body));
                http::respond(writer, "200 OK", &json, answer.as_bytes())
            }
            "/v1/log-owners" => http::respond(writer, "200 OK", &json, self.owners().as_bytes()),
            _ => http::respond(writer, "404 Not Found", &json, b"{}"),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let found = state.topics.iter().find(|(name, _)| name == topic);
        let lines = found.map_or(&[][..], |(_, lines)| lines);
        let mut newest: Vec<(usize, &Line)> = Vec::new();
        for (offset, line) in lines.iter().enumerate() {
            newest.retain(|(_, known)| known.key != line.key);
            if !line.value.is_empty() {
                newest.push((offset, line));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(offset, line)| {
                let value = base64(&line.value);
                format!(r#"{{"key":"{}","value":"{value}","offset":{offset}}}"#, line.key)
            })
            .collect();
        format!(r#"{{"items":[{}],"has_more":false,"end":{}}}"#, items.join(","), lines.len())
    }

    /// Returns the records from an offset on, as soon as there is one or the wait is over.
    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let found = state.topics.iter().find(|(name, _)| name == topic);
            let lines = found.map_or(&[][..], |(_, lines)| lines);
            let left = until.saturating_duration_since(Instant::now());
            if lines.len() > from || left.is_zero() {
                let mut bytes = (lines.len() as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0u64.to_be_bytes());
                for line in lines.iter().skip(from) {
                    let length = 1 + line.key.len() + line.value.len();
                    bytes.extend_from_slice(&(length as u32).to_be_bytes());
                    bytes.push(line.key.len() as u8);
                    bytes.extend_from_slice(line.key.as_bytes());
                    bytes.extend_from_slice(&line.value);
                }
                return bytes;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn join(&self, body: &str) -> String {
        let mut state = self.state.0.lock().unwrap();
        let member = json_text(body, "member").unwrap_or_default();
        let ttl = json_number(body, "ttl_ms").unwrap_or(3_000);
        let known = json_number(body, "generation").unwrap_or(0);
        let topics = body.split_once("\"topics\":[").and_then(|(_, rest)| rest.split_once(']'));
        let topics = topics.map_or("", |(list, _)| list);
        let topics: Vec<String> =
            topics.split(',').map(|name| name.trim().trim_matches('"').to_owned()).collect();
        state.join(&member, Duration::from_millis(ttl), &topics);
        let parts = state.assigned(&member, known);
        format!(r#"{{"generation":{},"ttl_ms":{ttl},"parts":[{parts}]}}"#, state.generation)
    }

    fn owners(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let rows: Vec<String> = state
            .partitions
            .iter()
            .filter(|partition| !partition.holder.is_empty())
            .map(|p| format!(r#"["{}",{},"{}",0]"#, p.topic, p.part, p.holder))
            .collect();
        format!(r#"{{"parts":[{}]}}"#, rows.join(","))
    }
}

impl State {
    fn join(&mut self, name: &str, ttl: Duration, topics: &[String]) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|member| member.until > now);
        let mut changed = self.members.len() != before;
        match self.members.iter_mut().find(|member| member.name == name) {
            Some(member) => member.until = now + ttl,
            None => {
                self.members.push(Member { name: name.to_owned(), until: now + ttl });
                changed = true;
            }
        }
        if !changed {
            return;
        }
        self.generation += 1;
        if self.partitions.is_empty() {
            for topic in topics {
                self.partitions.extend((0..PARTS).map(|part| Partition {
                    topic: topic.clone(),
                    part,
                    holder: String::new(),
                    next: None,
                }));
            }
        }
        let names: Vec<String> = self.members.iter().map(|member| member.name.clone()).collect();
        for (number, partition) in self.partitions.iter_mut().enumerate() {
            let target = &names[number % names.len()];
            partition.next = None;
            if !names.contains(&partition.holder) {
                partition.holder.clone_from(target);
            } else if partition.holder != *target {
                partition.next = Some((target.clone(), self.generation));
            }
        }
    }

    fn assigned(&mut self, name: &str, known: u64) -> String {
        for partition in &mut self.partitions {
            if partition.holder == name
                && let Some((next, _)) = partition.next.take_if(|(_, from)| known >= *from)
            {
                partition.holder = next;
            }
        }
        let own = self.partitions.iter().filter(|p| p.holder == name && p.next.is_none());
        let rows: Vec<String> = own.map(|p| format!(r#"["{}",{},0]"#, p.topic, p.part)).collect();
        rows.join(",")
    }
}

/// Returns a text field of a flat JSON body without escapes.
pub fn json_text(body: &str, field: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{field}\":\""))?.1;
    rest.split_once('"').map(|(text, _)| text.to_owned())
}

/// Returns a whole number of a flat JSON body.
pub fn json_number(body: &str, field: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{field}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
