//! Stand-in of the platform's metadata store: keyed topics and one group, as PROTOCOL.md describes them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, respond};

/// Partitions of each topic of the group.
const PARTS: u32 = 12;

struct Record {
    key: String,
    /// `None` drops the key.
    value: Option<Vec<u8>>,
}

struct Member {
    name: String,
    joined: Instant,
    lifetime: Duration,
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
    topics: Vec<(String, Vec<Record>)>,
    members: Vec<Member>,
    partitions: Vec<Partition>,
    generation: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, state: Arc::default() };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record, or drops its key.
    pub fn write(&self, topic: &str, key: &str, value: Option<&str>) {
        self.append(topic, key, value.map(|value| value.as_bytes().to_vec()));
    }

    fn append(&self, topic: &str, key: &str, value: Option<Vec<u8>>) -> usize {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let record = Record { key: key.to_owned(), value };
        let offset = match state.topics.iter_mut().find(|(name, _)| name == topic) {
            Some((_, records)) => {
                records.push(record);
                records.len() - 1
            }
            None => {
                state.topics.push((topic.to_owned(), vec![record]));
                0
            }
        };
        changed.notify_all();
        offset
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut rest) {
            let json = [("content-type", "application/json")];
            let sent = match request.path() {
                "/v1/log-newest" => {
                    let body = self.newest(request.query("topic").unwrap_or_default());
                    respond(&mut stream, "200 OK", &json, body.as_bytes())
                }
                "/v1/log-read" => {
                    let body = self.read(&request);
                    respond(&mut stream, "200 OK", &[], &body)
                }
                "/v1/log-append" => {
                    let topic = request.query("topic").unwrap_or_default().to_owned();
                    let offset = self.append_body(&topic, &request.body);
                    let body = format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1);
                    respond(&mut stream, "200 OK", &json, body.as_bytes())
                }
                "/v1/log-join" => {
                    let body = self.join(&String::from_utf8_lossy(&request.body));
                    respond(&mut stream, "200 OK", &json, body.as_bytes())
                }
                "/v1/log-owners" => {
                    let body = self.owners();
                    respond(&mut stream, "200 OK", &json, body.as_bytes())
                }
                _ => respond(&mut stream, "404 Not Found", &json, b"{}"),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Appends the one record of a call's body to a keyed topic.
    fn append_body(&self, topic: &str, body: &[u8]) -> usize {
        let key_length = usize::from(body[4]);
        let key = String::from_utf8_lossy(&body[5..5 + key_length]).into_owned();
        self.append(topic, &key, Some(body[5 + key_length..].to_vec()))
    }

    fn newest(&self, topic: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.iter().find(|(name, _)| name == topic);
        let records = records.map_or(&[][..], |(_, records)| records);
        let mut items: Vec<(&str, usize, &[u8])> = Vec::new();
        for (offset, record) in records.iter().enumerate() {
            items.retain(|(key, ..)| *key != record.key);
            if let Some(value) = &record.value {
                items.push((&record.key, offset, value));
            }
        }
        let items: Vec<String> = items
            .iter()
            .map(|(key, offset, value)| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = records.len();
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{end}}}", items.join(","))
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let topic = request.query("topic").unwrap_or_default();
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let records = state.topics.iter().find(|(name, _)| name == topic);
            let records = records.map_or(&[][..], |(_, records)| records);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    let value = record.value.as_deref().unwrap_or_default();
                    let length = 1 + record.key.len() + value.len();
                    bytes.extend_from_slice(&(length as u32).to_be_bytes());
                    bytes.push(record.key.len() as u8);
                    bytes.extend_from_slice(record.key.as_bytes());
                    bytes.extend_from_slice(value);
                }
                return bytes;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn join(&self, body: &str) -> String {
        let name = text_field(body, "member").unwrap_or_default();
        let lifetime = Duration::from_millis(number_field(body, "ttl_ms").unwrap_or(1_000));
        let known = number_field(body, "generation").unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        state.join(&name, lifetime, &list_field(body, "topics"));
        let parts = state.assigned(&name, known);
        let generation = state.generation;
        format!("{{\"generation\":{generation},\"ttl_ms\":3000,\"parts\":[{}]}}", parts.join(","))
    }

    fn owners(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let rows = state.partitions.iter().map(|partition| {
            let Partition { topic, part, holder, .. } = partition;
            format!("[\"{topic}\",{part},\"{holder}\",0]")
        });
        format!("{{\"parts\":[{}]}}", rows.collect::<Vec<_>>().join(","))
    }
}

impl State {
    /// Renews a member, and deals the partitions evenly if one joined or expired.
    fn join(&mut self, name: &str, lifetime: Duration, topics: &[String]) {
        let before = self.members.len();
        self.members.retain(|member| member.joined.elapsed() < member.lifetime);
        let mut changed = self.members.len() != before;
        match self.members.iter_mut().find(|member| member.name == name) {
            Some(member) => member.joined = Instant::now(),
            None => {
                self.members.push(Member {
                    name: name.to_owned(),
                    joined: Instant::now(),
                    lifetime,
                });
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

    /// Returns the partitions of a member that joins with the generation `known`.
    fn assigned(&mut self, name: &str, known: u64) -> Vec<String> {
        for partition in self.partitions.iter_mut().filter(|partition| partition.holder == name) {
            if let Some((next, _)) = partition.next.take_if(|(_, from)| known >= *from) {
                partition.holder = next;
            }
        }
        let own = self.partitions.iter().filter(|p| p.holder == name && p.next.is_none());
        own.map(|p| format!("[\"{}\",{},0]", p.topic, p.part)).collect()
    }
}

/// Returns a text of a flat JSON body.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns a whole number of a flat JSON body.
pub fn number_field(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn list_field(body: &str, name: &str) -> Vec<String> {
    let list =
        body.split_once(&format!("\"{name}\":[")).and_then(|(_, rest)| rest.split(']').next());
    let items = list.unwrap_or_default().split(',').map(|item| item.trim_matches('"').to_owned());
    items.collect()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - part.len()));
        for digit in 0..4 {
            if digit <= part.len() {
                let index = (number >> (18 - 6 * digit)) as usize & 63;
                text.push(char::from(DIGITS[index]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
