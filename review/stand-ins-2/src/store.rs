//! Stand-in for the platform's store: topics of keyed records, each in one partition.

use crate::http::{Message, read_message, response, serve};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct State {
    /// Records of each topic: the content that follows their length.
    topics: HashMap<String, Vec<Vec<u8>>>,
    /// Topics whose partition is down: calls to it get 503, and nothing is done.
    down: HashSet<String>,
}

/// Stand-in for the platform's store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: String,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        serve(
            listener,
            Arc::new(move |stream| serve_calls(&shared, stream)),
        );
        Store { address, state }
    }

    /// Writes a record of the operator.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend(key.bytes());
        content.extend(value);
        let mut state = self.state.lock().expect("no thread panics");
        state.topics.entry(topic.into()).or_default().push(content);
    }

    /// Takes the partition of a topic down, or up again.
    pub fn set_down(&self, topic: &str, down: bool) {
        let mut state = self.state.lock().expect("no thread panics");
        if down {
            state.down.insert(topic.into());
        } else {
            state.down.remove(topic);
        }
    }
}

fn serve_calls(state: &Mutex<State>, mut stream: TcpStream) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(call)) = read_message(&mut reader) {
        if stream.write_all(&answer(state, &call)).is_err() {
            return;
        }
    }
}

fn parameter<'a>(target: &'a str, name: &str) -> &'a str {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map_or("", |(_, value)| value)
}

fn answer(state: &Mutex<State>, call: &Message) -> Vec<u8> {
    let target = call.target();
    let topic = parameter(target, "topic").to_owned();
    if state
        .lock()
        .expect("no thread panics")
        .down
        .contains(&topic)
    {
        return response(503, &[], b"");
    }
    match target.split('?').next().unwrap_or_default() {
        "/api/log-newest" => newest(state, &topic),
        "/api/log-read" => read(state, &topic, target),
        "/api/log-append" => append(state, &topic, &call.body),
        _ => response(404, &[], b""),
    }
}

const JSON: &[(&str, &str)] = &[("Content-Type", "application/json")];

fn newest(state: &Mutex<State>, topic: &str) -> Vec<u8> {
    let state = state.lock().expect("no thread panics");
    let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
    let mut newest = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let end = 1 + usize::from(record[0]);
        newest.insert(&record[1..end], (offset, &record[end..]));
    }
    let items: Vec<String> = newest
        .iter()
        .map(|(key, (offset, value))| {
            let (key, value) = (String::from_utf8_lossy(key), base64(value));
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        })
        .collect();
    let (items, end) = (items.join(","), records.len());
    let body = format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}");
    response(200, JSON, body.as_bytes())
}

fn read(state: &Mutex<State>, topic: &str, target: &str) -> Vec<u8> {
    let from: usize = parameter(target, "from").parse().unwrap_or(0);
    let wait: u64 = parameter(target, "wait_ms").parse().unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(wait);
    loop {
        {
            let state = state.lock().expect("no thread panics");
            if state.down.contains(topic) {
                return response(503, &[], b"");
            }
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return response(410, JSON, b"{\"first\":0}");
            }
            if records.len() > from || Instant::now() >= end {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in &records[from..] {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return response(200, &[], &body);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn append(state: &Mutex<State>, topic: &str, mut body: &[u8]) -> Vec<u8> {
    let mut state = state.lock().expect("no thread panics");
    let records = state.topics.entry(topic.into()).or_default();
    let offset = records.len();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        records.push(rest[..length].to_vec());
        body = &rest[length..];
    }
    let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
    response(200, JSON, body.as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 4];
        group[1..=chunk.len()].copy_from_slice(chunk);
        let group = u32::from_be_bytes(group);
        for place in 0..4 {
            let digit = (group >> (18 - 6 * place)) & 63;
            let is_padding = place > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                DIGITS[digit as usize] as char
            });
        }
    }
    text
}
