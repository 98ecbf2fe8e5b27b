//! The platform's store: keyed topics with one partition.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    /// Highest epoch of each producer.
    epochs: HashMap<(String, String), u64>,
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = http::listen();
        let store = Self { address, state: Default::default() };
        let served = store.clone();
        http::serve(listener, move |stream| served.serve(stream));
        store
    }

    /// Writes a configuration as the operator.
    pub fn publish(&self, configuration: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry("keyed.op".into()).or_default();
        topic.push(("config".into(), configuration.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
        let mut stream = stream;
        while let Ok(Some(request)) = http::read_message(&mut reader, false) {
            let (status, body) = self.respond(&request);
            if http::respond(&mut stream, status, "Store-Era: 1\r\n", &body).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &http::Message) -> (&'static str, Vec<u8>) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default().to_owned();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        match path {
            "/-/log-append" => {
                if let Some(producer) = query.get("producer") {
                    let key = (topic.clone(), (*producer).to_owned());
                    let newest = state.epochs.entry(key).or_default();
                    if number("epoch") < *newest {
                        return ("409 Conflict", br#"{"why":"fenced"}"#.to_vec());
                    }
                    *newest = number("epoch");
                }
                let records = state.topics.entry(topic).or_default();
                let offset = records.len();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let content = &rest[4..4 + length];
                    let (key, value) = content[1..].split_at(usize::from(content[0]));
                    records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
                    rest = &rest[4 + length..];
                }
                let body = format!(r#"{{"offset":{offset},"end_offset":{}}}"#, records.len());
                changed.notify_all();
                ("200 OK", body.into_bytes())
            }
            "/-/log-newest" => {
                let records = state.topics.get(&topic).cloned().unwrap_or_default();
                let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key.clone(), (offset, value.clone()));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, (_, value))| !value.is_empty())
                    .map(|(key, (offset, value))| {
                        format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
                    })
                    .collect();
                let end = records.len();
                let body = format!(r#"{{"items":[{}],"has_more":false,"end_offset":{end}}}"#, items.join(","));
                ("200 OK", body.into_bytes())
            }
            "/-/log-read" => {
                let until = Instant::now() + Duration::from_millis(number("wait_ms"));
                let from = number("from") as usize;
                loop {
                    let end = state.topics.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        break;
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
                let records = state.topics.get(&topic).cloned().unwrap_or_default();
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    page.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    page.push(key.len() as u8);
                    page.extend(key.as_bytes());
                    page.extend(value);
                }
                ("200 OK", page)
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for position in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * position)) as usize & 63] as char;
            text.push(if position <= group.len() { digit } else { '=' });
        }
    }
    text
}
