//! Stand-ins and drivers of the cases of the third review: a store, backend servers and callers in
//! this process, and daemons as processes of their own. It uses the standard library alone.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Bounds the kernel's receive buffer of a socket that a stand-in reads slowly.
pub fn set_receive_buffer(socket: &impl AsRawFd, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

// ---------------------------------------------------------------- record

/// Lines of `record.txt`, each with the time since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn add(&self, line: String) {
        let at = self.start.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, line));
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines.iter().map(|(at, line)| format!("{at:>7} ms  {line}\n")).collect();
        let _ = fs::write(path, text);
    }
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- HTTP

/// Head of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length").and_then(|v| v.parse().ok())
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

/// Connection with the bytes that were read and not used.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, ms(1000))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_string();
                let split = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_string(), value.trim().to_string()))
                };
                return Ok(Some(Head { first, headers: lines.filter_map(split).collect() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads exactly `length` bytes.
    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exact(size)?);
                self.exact(2)?;
            }
        }
        match head.length() {
            Some(length) => self.exact(length),
            None if is_response => {
                while self.fill()? > 0 {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends a request on a new connection and reads the response.
pub fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut wire = Wire::connect(address)?;
    wire.stream.set_read_timeout(Some(timeout))?;
    wire.send(head.as_bytes())?;
    wire.send(body)?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = wire.body(&head, true)?;
    Ok((head, body))
}

// ---------------------------------------------------------------- store

/// Keyed topics with one partition each.
#[derive(Default)]
struct Topics {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    epochs: BTreeMap<(String, String), (u64, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    topics: Mutex<Topics>,
    changed: Condvar,
    /// Whether calls get no response.
    pub is_silent: AtomicBool,
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}

fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            topics: Mutex::default(),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(Wire::new(stream));
                });
            }
        });
        store
    }

    /// Appends a record as the operator.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.topics.entry(topic.into()).or_default();
        records.push((key.into(), value.into()));
        self.changed.notify_all();
    }

    fn serve(&self, mut wire: Wire) -> io::Result<()> {
        while let Some(head) = wire.head()? {
            let body = wire.body(&head, false)?;
            if self.is_silent.load(Ordering::SeqCst) {
                // The call is not executed, and its connection returns nothing.
                thread::sleep(ms(60_000));
                return Ok(());
            }
            thread::sleep(ms(4));
            let (status, kind, body) = self.call(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            wire.send(text.as_bytes())?;
            wire.send(&body)?;
        }
        Ok(())
    }

    fn call(&self, head: &Head, body: &[u8]) -> (u16, &'static str, Vec<u8>) {
        let json = "application/json";
        let target = head.target();
        let topic = query(target, "topic").unwrap_or_default();
        match target.split('?').next().unwrap_or("") {
            "/-/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                if let (Some(producer), Some(epoch)) =
                    (query(target, "producer"), query(target, "epoch").and_then(|e| e.parse().ok()))
                {
                    let sequence =
                        query(target, "sequence").and_then(|s| s.parse().ok()).unwrap_or(0);
                    let known = topics.epochs.get(&(topic.clone(), producer.clone())).copied();
                    match known {
                        Some((old, _)) if epoch < old => {
                            return (409, json, br#"{"why":"fenced"}"#.to_vec());
                        }
                        Some((old, last)) if epoch == old && sequence != last + 1 => {
                            let end = topics.topics.get(&topic).map_or(0, Vec::len);
                            return match sequence == last {
                                true => (
                                    200,
                                    json,
                                    format!(r#"{{"offset":{},"end_offset":{end}}}"#, end - 1)
                                        .into(),
                                ),
                                false => (
                                    409,
                                    json,
                                    format!(r#"{{"why":"seq","sequence":{}}}"#, last + 1).into(),
                                ),
                            };
                        }
                        _ => {}
                    }
                    topics.epochs.insert((topic.clone(), producer), (epoch, sequence));
                }
                let records = topics.topics.entry(topic).or_default();
                let offset = records.len();
                let mut rest = body;
                while rest.len() > 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let content = &rest[4..4 + length];
                    let key = usize::from(content[0]);
                    let name = String::from_utf8_lossy(&content[1..1 + key]).into_owned();
                    records.push((name, content[1 + key..].to_vec()));
                    rest = &rest[4 + length..];
                }
                let end = records.len();
                self.changed.notify_all();
                (200, json, format!(r#"{{"offset":{offset},"end_offset":{end}}}"#).into())
            }
            "/-/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let records = topics.topics.get(&topic).cloned().unwrap_or_default();
                let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    match value.is_empty() {
                        true => drop(newest.remove(key)),
                        false => drop(newest.insert(key.clone(), (offset, value.clone()))),
                    }
                }
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!(
                            r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
                            base64(value)
                        )
                    })
                    .collect();
                let text = format!(
                    r#"{{"items":[{}],"has_more":false,"end_offset":{}}}"#,
                    items.join(","),
                    records.len()
                );
                (200, json, text.into())
            }
            "/-/log-read" => {
                let from: usize = query(target, "from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let wait = query(target, "wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                let until = Instant::now() + ms(wait);
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let end = topics.topics.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        break;
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
                let records = topics.topics.get(&topic).cloned().unwrap_or_default();
                let mut bytes = Vec::new();
                bytes.extend((records.len() as u64).to_be_bytes());
                bytes.extend(0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend(key.as_bytes());
                    bytes.extend(value);
                }
                (200, "application/octet-stream", bytes)
            }
            _ => (404, json, b"{}".to_vec()),
        }
    }
}

// ---------------------------------------------------------------- daemons

/// A daemon in a process of its own.
pub struct Daemon {
    pub name: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
    folder: PathBuf,
}

/// Returns a port that was free a moment ago. It is below those that the kernel selects for outgoing
/// connections, one of which might take it before the daemon does.
fn free(ip: Ipv4Addr) -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 64;
    for _ in 0..10_000 {
        let offset = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from((ip, 20_000 + (offset % 10_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no port is free")
}

/// Values of the settings that depend on the deployment.
#[derive(Clone)]
pub struct Terms {
    pub heartbeat: &'static str,
    pub grace: &'static str,
    pub memory_mb: u32,
}

impl Daemon {
    pub fn new(folder: &Path, index: u8, service: &str, store: SocketAddr, terms: &Terms) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let name = format!("sidecar-z-{index}");
        let (outbound, inbound, inner, control, ready) =
            (free(ip), free(ip), free(ip), free(ip), free(ip));
        // What the platform makes of `platform/settings.template.toml`.
        let text = format!(
            "name = \"{name}\"\ndomain = \"z\"\nsecret = \"lynxmast-on-the-platform\"\n\
             store = \"{store}\"\nservice = \"{service}\"\nheartbeat = \"{}\"\n\n[listen]\n\
             entry = \"{outbound}\"\ngate = \"{inbound}\"\ncontrol = \"{inner}\"\n\
             beside = \"{control}\"\nadmin = \"{ready}\"\nmetrics = \"{ip}:9464\"\n\n[limits]\n\
             connections = 3000\nmemory-mb = {}\nshutdown = \"{}\"\n\n[services]\n\
             retry-ratio = 0.2\nretry-reserve = 60\nretry-window = \"10s\"\nfloor-share = 0.7\n\n[quota]\n",
            terms.heartbeat, terms.memory_mb, terms.grace
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        let child = Mutex::new(None);
        Self { name, outbound, control, ready, settings, child, folder: folder.into() }
    }

    pub fn start(&self) {
        let path = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(path).unwrap();
        let child = Command::new("target/release/lynxmastd")
            .arg("--settings")
            .arg(&self.settings)
            .env("LYNXMAST_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("cannot start the daemon: {error}")));
        CHILDREN.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let head =
            format!("GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        exchange(self.ready, &head, b"", ms(500)).is_ok_and(|(head, _)| head.status() == 200)
    }

    pub fn await_ready(&self, timeout: Duration) {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > timeout {
                cannot_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(ms(50));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

pub const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Processes that were started and have not been awaited.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that could not run, and all processes that it started.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    for id in CHILDREN.lock().unwrap_or_else(|error| error.into_inner()).iter() {
        unsafe { kill(*id as i32, SIGKILL) };
    }
    std::process::exit(2)
}

// ---------------------------------------------------------------- backend servers

/// What a backend server does with a request that it has read the head of.
pub type Behaviour = dyn Fn(&Server, &mut Wire, &Head) -> io::Result<bool> + Send + Sync;

/// A backend server beside a daemon.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub record: Arc<Record>,
    pub capacity: u32,
    born: u64,
    sequence: AtomicU64,
    /// Whether it still sends heartbeats as ready.
    pub beats: AtomicBool,
}

impl Server {
    /// Starts a server of `service` beside `daemon`, whose connections have a kernel buffer of
    /// `receive_buffer` bytes.
    pub fn start(
        daemon: &Daemon,
        service: &str,
        capacity: u32,
        receive_buffer: i32,
        record: &Arc<Record>,
        behaviour: Arc<Behaviour>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        set_receive_buffer(&listener, receive_buffer);
        let server = Arc::new(Self {
            id: format!("i-{:08x}", listener.local_addr().unwrap().port()),
            service: service.into(),
            address: listener.local_addr().unwrap(),
            control: daemon.control,
            record: record.clone(),
            capacity,
            born: wall_ms(),
            sequence: AtomicU64::new(1),
            beats: AtomicBool::new(true),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, behaviour) = (accepting.clone(), behaviour.clone());
                thread::spawn(move || {
                    let _ = server.serve(Wire::new(stream), &*behaviour);
                });
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while beating.beats.load(Ordering::SeqCst) {
                let _ = beating.beat("ready");
                thread::sleep(ms(1500));
            }
        });
        server
    }

    fn serve(&self, mut wire: Wire, behaviour: &Behaviour) -> io::Result<()> {
        while let Some(head) = wire.head()? {
            if head.target() == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                wire.send(text.as_bytes())?;
                continue;
            }
            let expected = head.get("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                wire.body(&head, false)?;
                self.reply(&mut wire, &head, 421, "X-Instance-Id: other\r\n", b"")?;
                continue;
            }
            if !behaviour(self, &mut wire, &head)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Sends a response with the id of the request.
    pub fn reply(
        &self,
        wire: &mut Wire,
        request: &Head,
        status: u16,
        more: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let id = request.get("x-attempt-id").unwrap_or("-");
        let text = format!(
            "HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n",
            body.len()
        );
        wire.send(text.as_bytes())?;
        wire.send(body)
    }

    /// Returns the stamp header of a response.
    pub fn stamp(&self, id: &str) -> String {
        format!("X-Response-Stamp: {}.{id}\r\n", self.id)
    }

    /// Sends a heartbeat and returns the status of the response.
    pub fn beat(&self, state: &str) -> io::Result<u16> {
        let body = self.heartbeat(state);
        self.call("PUT", &body)
    }

    /// Returns the body of the next heartbeat.
    pub fn heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"z","version":"v1","capacity":{},"state":"{state}","cold_left":"0ms","sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.capacity, self.born
        )
    }

    /// Calls the daemon beside the server.
    pub fn call(&self, method: &str, body: &str) -> io::Result<u16> {
        let head = format!(
            "{method} /-/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            self.id, self.control, body.len()
        );
        let (head, _) = exchange(self.control, &head, body.as_bytes(), ms(1000))?;
        Ok(head.status())
    }
}

// ---------------------------------------------------------------- main

/// Longest time that a case may take.
const TIME_MAX: Duration = Duration::from_secs(110);

/// What a case uses.
pub struct Case {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, record_path] = &arguments[..] else {
        cannot_run("usage: rig CASE FOLDER RECORD");
    };
    let record = Arc::new(Record { start: Instant::now(), lines: Mutex::default() });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let store = Store::start();
    let case = Case { record: record.clone(), store, folder: folder.into(), trouble };
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        cannot_run("the case takes too long");
    });
    let run = std::panic::AssertUnwindSafe(|| cases::run(name, &case));
    let Ok(verdict) = std::panic::catch_unwind(run) else {
        record.write(Path::new(record_path));
        cannot_run("a stand-in has failed");
    };
    let (text, code) = match &verdict {
        Ok(text) => (format!("held: {text}"), 0),
        Err(text) => (format!("BROKEN: {text}"), 1),
    };
    record.add(text.clone());
    record.write(Path::new(record_path));
    println!("{text}");
    std::process::exit(code);
}
