//! Stand-in for the platform's store: the calls of a log with topics that keep the newest record of
//! each key.

use crate::http::{Connection, Message, encode};
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    /// Contents of the records of each topic, without their lengths.
    topics: HashMap<String, Vec<Vec<u8>>>,
}

/// The store; clones share its contents.
#[derive(Clone)]
pub struct Store {
    pub address: String,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves the store on `address`.
    pub fn start(address: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store {
            address: address.to_owned(),
            shared: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes the newest configuration; the store's acknowledgement is the return.
    pub fn put_config(&self, config: &str) {
        let mut content = vec![6];
        content.extend_from_slice(b"config");
        content.extend_from_slice(config.as_bytes());
        self.append("keyed.op", content);
    }

    fn append(&self, topic: &str, content: Vec<u8>) -> usize {
        let mut state = self.shared.0.lock().unwrap_or_else(|e| e.into_inner());
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push(content);
        let end = records.len();
        self.shared.1.notify_all();
        end
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(Duration::from_secs(60)) {
            let (status, kind, body) = self.answer(&request);
            // The store takes a few milliseconds for an answer.
            std::thread::sleep(Duration::from_millis(2));
            let start = format!("HTTP/1.1 {status} -");
            let bytes = encode(&start, &[("Content-Type", kind)], &body);
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, &'static str, Vec<u8>) {
        let json = "application/json";
        let target = request.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map(|(_, value)| value.to_owned())
        };
        let topic = parameter("topic").unwrap_or_default();
        match path {
            "/api/log-append" => {
                let mut rest = &request.body[..];
                let mut end = 0;
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let content = rest[4..].get(..length).unwrap_or_default().to_vec();
                    rest = rest.get(4 + length..).unwrap_or_default();
                    end = self.append(&topic, content);
                }
                let offset = end.saturating_sub(1);
                (
                    200,
                    json,
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into(),
                )
            }
            "/api/log-newest" => (200, json, self.newest(&topic).into()),
            "/api/log-read" => {
                let number = |name| parameter(name).and_then(|text: String| text.parse().ok());
                let from: usize = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                (
                    200,
                    "application/octet-stream",
                    self.read(&topic, from, wait),
                )
            }
            _ => (404, json, b"{}".to_vec()),
        }
    }

    /// The newest record of each key, all on one page.
    fn newest(&self, topic: &str) -> String {
        let state = self.shared.0.lock().unwrap_or_else(|e| e.into_inner());
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, content) in records.iter().enumerate() {
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = records.len();
        format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
            items.join(",")
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap_or_else(|e| e.into_inner());
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for content in records.iter().skip(from) {
                    body.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    body.extend_from_slice(content);
                }
                return body;
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}
