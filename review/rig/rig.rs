//! Parts of the cases: a store, upstreams, consumers and daemons as separate processes, all on loopback.

#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64, unused2: u64, unused3: u64, unused4: u64) -> i32;
}

/// `PR_SET_PDEATHSIG`: a daemon ends with the case, also if that is killed.
const PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Ids of the daemons that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons, saves the record and exits.
pub fn finish(record: &Record, code: i32) -> ! {
    for id in STARTED.lock().unwrap().drain(..) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
    record.save();
    std::process::exit(code)
}

/// Starts a thread with a small stack; a case uses many.
pub fn spawn<F: FnOnce() + Send + 'static>(run: F) -> thread::JoinHandle<()> {
    thread::Builder::new().stack_size(256 * 1024).spawn(run).expect("a thread starts")
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Record of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self { start: Instant::now(), lines: Default::default(), path }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.3} s  {}", text.as_ref()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }

    pub fn save(&self) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        let _ = fs::write(&self.path, text);
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`, which the scripts pass on as an argument.
pub fn has_trouble() -> bool {
    std::env::args().nth(1).as_deref() != Some("without-disruption")
}

/// Free ports below those that the system gives to outgoing connections. They stay reserved until `release`.
pub struct Ports {
    next: u16,
    reserved: Vec<TcpListener>,
}

/// Ports that are tried, from the first to the last.
const PORTS: (u16, u16) = (12_000, 32_000);

impl Ports {
    pub fn new() -> Self {
        let offset = std::process::id().wrapping_mul(397) % u32::from(PORTS.1 - PORTS.0);
        Self { next: PORTS.0 + offset as u16, reserved: Vec::new() }
    }

    pub fn take(&mut self) -> u16 {
        loop {
            self.next = if self.next + 1 < PORTS.1 { self.next + 1 } else { PORTS.0 };
            if let Ok(listener) = TcpListener::bind(loopback(self.next)) {
                self.reserved.push(listener);
                return self.next;
            }
        }
    }

    pub fn release(&mut self) {
        self.reserved.clear();
    }
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// ---------------------------------------------------------------------------------------------- HTTP

/// Head of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the stream.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let is_empty = head.first.is_empty();
            return if is_empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length, in chunks, or, for a response, up to the end of the connection.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.get("content-length") {
        let length: usize = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if is_response {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Sends one request on a new connection and reads the whole response within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, ms(1000))?;
    stream.set_read_timeout(Some(timeout))?;
    let mut writer = stream.try_clone()?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    writer.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head, true)?;
    Ok((head.status(), body))
}

// --------------------------------------------------------------------------------------------- store

/// Stand-in of the platform's store with the calls that the daemons make: append, read, newest.
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<HashMap<String, Vec<(String, Vec<u8>)>>>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = (word >> (18 - 6 * index)) & 63;
            text.push(if index <= chunk.len() { DIGITS[digit as usize] as char } else { '=' });
        }
    }
    text
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self { address: listener.local_addr().unwrap(), state: Default::default() };
        let state = store.state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                spawn(move || drop(Self::serve(stream, &state)));
            }
        });
        store
    }

    /// Writes a configuration, as the operator does.
    pub fn publish(&self, configuration: &str) {
        Self::append(&self.state, "keyed.op", "config".to_owned(), configuration.into());
    }

    fn append(
        state: &(Mutex<HashMap<String, Vec<(String, Vec<u8>)>>>, Condvar),
        topic: &str,
        key: String,
        value: Vec<u8>,
    ) -> usize {
        let mut topics = state.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key, value));
        let end = records.len();
        state.1.notify_all();
        end
    }

    fn serve(
        stream: TcpStream,
        state: &(Mutex<HashMap<String, Vec<(String, Vec<u8>)>>>, Condvar),
    ) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head, false)?;
            let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or("");
            let number =
                |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
            thread::sleep(ms(4));
            let (status, answer) = match path {
                "/-/log-append" => {
                    let mut rest = &body[..];
                    let mut end = 0;
                    let mut count = 0;
                    while rest.len() > 4 {
                        let size = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                        let content = &rest[4..4 + size];
                        rest = &rest[4 + size..];
                        let key_size = usize::from(content[0]);
                        let key = String::from_utf8_lossy(&content[1..1 + key_size]).into_owned();
                        end = Self::append(state, topic, key, content[1 + key_size..].to_vec());
                        count += 1;
                    }
                    let first = end - count;
                    (200, format!("{{\"offset\":{first},\"end_offset\":{end}}}").into_bytes())
                }
                "/-/log-newest" => {
                    let topics = state.0.lock().unwrap();
                    let empty = Vec::new();
                    let records = topics.get(topic).unwrap_or(&empty);
                    let mut newest: Vec<(&str, usize)> = Vec::new();
                    for (offset, (key, _)) in records.iter().enumerate() {
                        newest.retain(|(known, _)| known != key);
                        newest.push((key, offset));
                    }
                    let items: Vec<String> = newest
                        .iter()
                        .map(|(key, offset)| {
                            let value = base64(&records[*offset].1);
                            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                        })
                        .collect();
                    let text = format!(
                        "{{\"items\":[{}],\"has_more\":false,\"end_offset\":{}}}",
                        items.join(","),
                        records.len()
                    );
                    (200, text.into_bytes())
                }
                "/-/log-read" => {
                    let from = number("from") as usize;
                    let until = Instant::now() + ms(number("wait_ms").min(30_000));
                    let mut topics = state.0.lock().unwrap();
                    loop {
                        let end = topics.get(topic).map_or(0, Vec::len);
                        let left = until.saturating_duration_since(Instant::now());
                        if end > from || left.is_zero() {
                            break;
                        }
                        topics = state.1.wait_timeout(topics, left).unwrap().0;
                    }
                    let empty = Vec::new();
                    let records = topics.get(topic).unwrap_or(&empty);
                    let mut page = Vec::new();
                    page.extend((records.len() as u64).to_be_bytes());
                    page.extend(0_u64.to_be_bytes());
                    for (key, value) in records.iter().skip(from) {
                        page.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        page.push(key.len() as u8);
                        page.extend(key.as_bytes());
                        page.extend(value);
                    }
                    (200, page)
                }
                _ => (404, Vec::new()),
            };
            let head = format!(
                "HTTP/1.1 {status} OK\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all(&[head.as_bytes(), &answer].concat())?;
        }
        Ok(())
    }
}

// ------------------------------------------------------------------------------------------- daemons

/// A machine: its addresses, and the daemon on it as a separate process.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub service: String,
    pub entry: SocketAddr,
    pub gate: SocketAddr,
    pub control: SocketAddr,
    pub beside: SocketAddr,
    pub admin: SocketAddr,
    pub metrics: SocketAddr,
    process: Mutex<Option<Child>>,
    folder: PathBuf,
}

/// Temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{stamp}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Machine {
    pub fn new(ports: &mut Ports, name: &str, zone: &'static str, service: &str, folder: &Folder) -> Self {
        let mut next = || loopback(ports.take());
        Self {
            name: name.to_owned(),
            zone,
            service: service.to_owned(),
            entry: next(),
            gate: next(),
            control: next(),
            beside: next(),
            admin: next(),
            metrics: next(),
            process: Mutex::new(None),
            folder: folder.0.clone(),
        }
    }

    /// Writes the settings that the template of the deploy file gives. Returns their file.
    pub fn write_settings(&self, store: SocketAddr) -> PathBuf {
        let settings = format!(
            "name = \"{}\"\ndomain = \"{}\"\nsecret = \"lynxmast-on-the-platform\"\nstore = \"{store}\"\n\
             service = \"{}\"\nheartbeat = \"1500ms\"\n\n[listen]\nentry = \"{}\"\ngate = \"{}\"\n\
             control = \"{}\"\nbeside = \"{}\"\nadmin = \"{}\"\nmetrics = \"{}\"\n\n[limits]\n\
             connections = 3000\nmemory-mb = 260\nshutdown = \"6s\"\n\n[services]\nretry-ratio = 0.2\n\
             retry-reserve = 60\nretry-window = \"10s\"\nfloor-share = 0.7\n\n[quota]\n",
            self.name, self.zone, self.service, self.entry, self.gate, self.control, self.beside,
            self.admin, self.metrics
        );
        let file = self.folder.join(format!("{}.toml", self.name));
        fs::write(&file, settings).expect("the settings are written");
        file
    }

    /// Starts the daemon.
    pub fn start(&self, store: SocketAddr) {
        let file = self.write_settings(store);
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new("target/release/lynxmastd");
        command.arg("--settings").arg(&file);
        command.stdout(Stdio::from(log.try_clone().unwrap())).stderr(Stdio::from(log));
        // SAFETY: the call only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the daemon starts");
        STARTED.lock().unwrap().push(child.id());
        *self.process.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.process.lock().unwrap().as_ref() {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the daemon's process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.wait();
        }
    }

    /// Asks for readiness, as the platform does once a second.
    pub fn is_ready(&self) -> bool {
        matches!(call(self.admin, "GET", "/ready", b"", ms(900)), Ok((200, _)))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all daemons are ready; `false` after ten seconds.
pub fn await_ready(machines: &[Arc<Machine>]) -> bool {
    let until = Instant::now() + ms(10_000);
    while Instant::now() < until {
        if machines.iter().all(|machine| machine.is_ready()) {
            return true;
        }
        thread::sleep(ms(100));
    }
    false
}

// ----------------------------------------------------------------------------------------- upstreams

/// What an upstream does with a request that it runs.
pub struct Work {
    pub time: Duration,
    pub body: usize,
    /// Writes the head and half of the body, and nothing more: half an answer.
    pub is_half: bool,
}

type Plan = dyn Fn(&Head) -> Work + Send + Sync;

/// Upstream beside a daemon. It runs at most `capacity` requests at a time and queues a few more.
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub capacity: u32,
    record: Record,
    plan: Box<Plan>,
    busy: (Mutex<u32>, Condvar),
    waiting: AtomicU32,
    sequence: AtomicU64,
    /// Whether it has exited.
    gone: AtomicBool,
    beating: AtomicBool,
    /// Whether it begins to work on an upload with its head, and reads the body meanwhile.
    pub streams: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// When the head of each request for this upstream arrived.
    pub arrivals: Mutex<Vec<(String, Instant)>>,
    /// Requests that it has begun to work on.
    pub begun: Mutex<HashSet<String>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        capacity: u32,
        record: Record,
        plan: impl Fn(&Head) -> Work + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            capacity,
            record,
            plan: Box::new(plan),
            busy: Default::default(),
            waiting: Default::default(),
            sequence: Default::default(),
            gone: Default::default(),
            beating: AtomicBool::new(true),
            streams: Default::default(),
            open: Default::default(),
            arrivals: Default::default(),
            begun: Default::default(),
        });
        let server = upstream.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.gone.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                let _ = stream.set_nodelay(true);
                spawn(move || {
                    if let Ok(copy) = stream.try_clone() {
                        server.open.lock().unwrap().push(copy);
                    }
                    let _ = server.serve(stream);
                });
            }
        });
        upstream
    }

    /// Returns the next check-in.
    pub fn check_in(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"capacity\":{},\
             \"state\":\"{state}\",\"cold_left\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.capacity, self.born
        )
    }

    /// Sends a check-in to the control address of its machine. Returns the status; 0 without an answer.
    pub fn send(&self, control: SocketAddr, body: &str) -> u16 {
        let target = format!("/-/instances/{}", self.id);
        call(control, "PUT", &target, body.as_bytes(), ms(1000)).map_or(0, |(status, _)| status)
    }

    /// Says that it leaves, without `draining` before.
    pub fn leave(&self, control: SocketAddr) -> u16 {
        self.beating.store(false, Ordering::SeqCst);
        let target = format!("/-/instances/{}", self.id);
        call(control, "DELETE", &target, b"", ms(1000)).map_or(0, |(status, _)| status)
    }

    /// Sends a check-in every 1.5 s until it leaves.
    pub fn beat(self: &Arc<Self>, control: SocketAddr) {
        let upstream = self.clone();
        spawn(move || {
            while upstream.beating.load(Ordering::SeqCst) {
                let status = upstream.send(control, &upstream.check_in("ready"));
                // One that isn't acknowledged is repeated soon.
                thread::sleep(if status == 200 { ms(1500) } else { ms(300) });
            }
        });
    }

    pub fn stop_beating(&self) {
        self.beating.store(false, Ordering::SeqCst);
    }

    /// Exits: closes its connections and accepts no others.
    pub fn exit(&self) {
        self.gone.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let arrived = Instant::now();
            let id = head.get("x-attempt-id").unwrap_or("").to_owned();
            let left = head.get("x-deadline-ms").and_then(|text| text.parse().ok());
            let until = arrived + ms(left.unwrap_or(60_000));
            if head.get("x-expect-instance").is_some_and(|wanted| wanted != self.id) {
                read_body(&mut reader, &head, false)?;
                self.reply(&mut writer, 421, &id, &[("X-Instance-Id", &self.id)], b"")?;
                continue;
            }
            self.arrivals.lock().unwrap().push((id.clone(), arrived));
            self.record.add(format!(
                "{id} reaches {} ({}, {} ms left)",
                self.id,
                head.first,
                left.unwrap_or(0)
            ));
            let streams = self.streams.load(Ordering::SeqCst);
            let mut has_slot = false;
            if streams {
                has_slot = self.take_slot(until);
                if has_slot {
                    self.record.add(format!("{id} runs at {}, which reads its body meanwhile", self.id));
                    self.begun.lock().unwrap().insert(id.clone());
                }
            }
            if let Err(error) = read_body(&mut reader, &head, false) {
                if has_slot {
                    self.free_slot();
                }
                self.record.add(format!("{id} at {}: the connection closed before its body was in", self.id));
                return Err(error);
            }
            if !has_slot && (streams || !self.take_slot(until)) {
                self.reply(&mut writer, 503, &id, &[("X-Not-Executed", "1")], b"")?;
                self.record.add(format!("{id} rejected by {}: not run", self.id));
                continue;
            }
            if !streams {
                self.record.add(format!("{id} runs at {}", self.id));
            }
            self.begun.lock().unwrap().insert(id.clone());
            let work = (self.plan)(&head);
            let end = Instant::now() + work.time;
            let result = self.work(&stream, end.min(until));
            if result.is_ok() && end > until {
                self.free_slot();
                self.reply(&mut writer, 504, &id, &[("X-Response-Stamp", &self.id)], b"")?;
                continue;
            }
            if let Err(error) = result {
                self.free_slot();
                self.record.add(format!("{id} dropped by {}: its connection closed", self.id));
                return Err(error);
            }
            let body = vec![b'x'; work.body];
            let stamp = format!("{}.{id}", self.id);
            if work.is_half {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: {stamp}\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all(&[head.as_bytes(), &body[..body.len() / 2]].concat())?;
                self.record.add(format!("{id} half answered by {}, then silence", self.id));
                // Hangs until its caller gives up.
                let result = self.work(&stream, Instant::now() + ms(60_000));
                self.free_slot();
                self.record.add(format!("{id} at {}: the connection closed", self.id));
                return result;
            }
            self.free_slot();
            self.reply(&mut writer, 200, &id, &[("X-Response-Stamp", &stamp)], &body)?;
            self.record.add(format!("{id} answered by {}", self.id));
        }
        Ok(())
    }

    fn reply(
        &self,
        writer: &mut TcpStream,
        status: u16,
        id: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        writer.write_all(&[text.as_bytes(), body].concat())
    }

    /// Waits for a slot. Returns `false` if the queue is full or the time is over.
    fn take_slot(&self, until: Instant) -> bool {
        let mut busy = self.busy.0.lock().unwrap();
        if *busy >= self.capacity && self.waiting.load(Ordering::SeqCst) >= 40 {
            return false;
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let mut has_slot = true;
        while *busy >= self.capacity {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                has_slot = false;
                break;
            }
            busy = self.busy.1.wait_timeout(busy, left).unwrap().0;
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        *busy += u32::from(has_slot);
        has_slot
    }

    fn free_slot(&self) {
        *self.busy.0.lock().unwrap() -= 1;
        self.busy.1.notify_one();
    }

    /// Works until `end`; fails when the connection closes before.
    fn work(&self, stream: &TcpStream, end: Instant) -> io::Result<()> {
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            stream.set_nonblocking(true)?;
            let mut byte = [0];
            let peeked = stream.peek(&mut byte);
            stream.set_nonblocking(false)?;
            match peeked {
                Ok(0) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
                _ => thread::sleep(left.min(ms(5))),
            }
        }
    }
}

// ----------------------------------------------------------------------------------------- consumers

/// How a consumer's request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A whole answer with its status.
    Answer(u16),
    /// The connection ended after so many bytes of an answer.
    Cut(usize),
    /// No connection.
    Refused,
    /// The consumer's time limit passed.
    TimeLimit,
}

/// Reads one answer by the time limit. `whole` is the body size of a success.
pub fn read_answer(stream: &TcpStream, limit: Instant) -> End {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(status) = whole_answer(&bytes) {
            return End::Answer(status);
        }
        let left = limit.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::TimeLimit;
        }
        let _ = stream.set_read_timeout(Some(left));
        match (&mut &*stream).read(&mut chunk) {
            Ok(0) => return End::Cut(bytes.len()),
            Ok(size) => bytes.extend_from_slice(&chunk[..size]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return End::TimeLimit;
            }
            Err(_) => return End::Cut(bytes.len()),
        }
    }
}

fn whole_answer(bytes: &[u8]) -> Option<u16> {
    if bytes.is_empty() {
        return None;
    }
    let mut reader = bytes;
    let head = read_head(&mut reader).ok()??;
    if head.get("content-length").is_none() && head.get("transfer-encoding").is_none() {
        return None;
    }
    read_body(&mut reader, &head, false).ok().map(|_| head.status())
}

/// Returns a request head.
pub fn head_text(method: &str, path: &str, id: &str, limit: Duration, size: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Content-Length: {size}\r\n\r\n",
        limit.as_millis()
    )
}

/// Returns a configuration with routes of one service: `/read/` is safe, `/buy/` unsafe, `/photo/` for
/// uploads.
pub fn configuration(version: u64, service: &str, timeouts: [&str; 3], goals: [&str; 3]) -> String {
    let row = |name: &str, path: &str, kind: &str, index: usize| {
        format!(
            "[\"{name}\",\"shop.example\",\"{path}\",\"{kind}\",\"{}\",\"{}\",1,\"{service}\",2,null]",
            timeouts[index], goals[index]
        )
    };
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"cols\":[\"name\",\"host\",\"path_prefix\",\"kind\",\
         \"timeout\",\"slo\",\"priority\",\"service\",\"max_attempts\",\"split\"],\"rows\":[{},{},{}]}},\
         \"services\":{{\"cols\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\"],\"rows\":\
         [[\"{service}\",\"/healthz\",360,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}}}",
        row("r1", "/read/", "safe", 0),
        row("r2", "/buy/", "unsafe", 1),
        row("r3", "/photo/", "upload", 2)
    )
}

/// Deterministic numbers between 0 and 1.
pub struct Numbers(u64);

impl Numbers {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}
