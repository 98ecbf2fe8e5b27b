//! A backend server as the pages describe it.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// A request that a server has run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Seconds since the start of the record at which the request arrived.
    pub at: f64,
    pub instance: String,
    pub id: String,
    /// Value of `X-Caller-Service`, if there is one.
    pub caller: Option<String>,
}

/// Requests that the servers have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A server; clones are the same one.
#[derive(Clone)]
pub struct Server {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    born: u128,
    sequence: Arc<Mutex<u64>>,
    /// State in the check-ins; empty once the server has left.
    state: Arc<Mutex<&'static str>>,
    /// Whether requests with long bodies are answered before they are read.
    answers_early: bool,
    runs: Runs,
    record: Record,
}

/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(20);
/// Size in bytes from which a body is long.
const LONG_BODY: usize = 10_000;
/// Time between two check-ins.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(1500);

impl Server {
    /// Starts a server on a free port.
    pub fn start(instance: &str, service: &str, answers_early: bool, runs: &Runs, record: &Record) -> Self {
        let (listener, address) = http::listen();
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time after 1970");
        let server = Self {
            instance: instance.into(),
            service: service.into(),
            address,
            born: born.as_millis(),
            sequence: Default::default(),
            state: Arc::new(Mutex::new("ready")),
            answers_early,
            runs: runs.clone(),
            record: record.clone(),
        };
        let served = server.clone();
        http::serve(listener, move |stream| served.serve(stream));
        server
    }

    /// Serves the requests of a connection, one at a time.
    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
        let mut stream = stream;
        while let Ok(Some(request)) = http::read_head(&mut reader) {
            if self.respond(&mut reader, &mut stream, request).is_err() {
                return;
            }
        }
    }

    fn respond(
        &self,
        reader: &mut BufReader<TcpStream>,
        stream: &mut TcpStream,
        request: http::Message,
    ) -> std::io::Result<()> {
        let at = self.record.seconds();
        let instance = format!("X-Instance-Id: {}\r\n", self.instance);
        if request.word(1) == "/healthz" {
            return http::respond(stream, "200 OK", &instance, b"");
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.instance) {
            http::read_body(reader, &request, false)?;
            return http::respond(stream, "421 Misdirected Request", &instance, b"");
        }
        let Some(id) = request.header("x-attempt-id") else {
            http::read_body(reader, &request, false)?;
            return http::respond(stream, "400 Bad Request", "X-Not-Executed: 1\r\n", b"");
        };
        let caller = request.header("x-caller-service").map(str::to_owned);
        let text = caller.as_deref().unwrap_or("(none)");
        self.record.line(format!("server {} ({}) runs {id}, X-Caller-Service {text}", self.instance, self.service));
        self.runs.lock().unwrap().push(Run { at, instance: self.instance.clone(), id: id.into(), caller });
        let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let headers = format!("X-Attempt-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\n", self.instance);
        let is_early = self.answers_early && length >= LONG_BODY;
        if is_early {
            http::respond(stream, "200 OK", &headers, b"done")?;
            self.record.line(format!("server {} has answered {id} and reads on", self.instance));
        }
        let body = http::read_body(reader, &request, false);
        let result = body.as_ref().map(|body| format!("{} bytes", body.len())).unwrap_or_else(|e| e.to_string());
        self.record.line(format!("server {} has read the body of {id}: {result}", self.instance));
        body?;
        std::thread::sleep(WORK);
        if is_early { Ok(()) } else { http::respond(stream, "200 OK", &headers, b"done") }
    }

    /// Sends a check-in to the daemon on its machine, and returns the status of the response.
    pub fn check_in(&self, control: SocketAddr) -> Option<u16> {
        let sequence = {
            let mut sequence = self.sequence.lock().unwrap();
            *sequence += 1;
            *sequence
        };
        let state = *self.state.lock().unwrap();
        let body = format!(
            r#"{{"service":"{}","addr":"{}","zone":"zone-a","version":"v1","capacity":4,"state":"{state}","cold_left":"0ms","sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.born
        );
        let request = format!(
            "PUT /-/instances/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.instance,
            body.len()
        );
        http::call(control, request.as_bytes(), Duration::from_secs(1)).ok().map(|response| response.status())
    }

    /// Checks in at its interval from now on; the first ones are repeated until one is acknowledged.
    pub fn keep_checking_in(&self, control: SocketAddr) {
        let server = self.clone();
        std::thread::spawn(move || {
            while server.check_in(control) != Some(200) {
                std::thread::sleep(Duration::from_millis(200));
            }
            loop {
                std::thread::sleep(CHECK_IN_INTERVAL);
                if server.state.lock().unwrap().is_empty() {
                    return;
                }
                server.check_in(control);
            }
        });
    }

    /// Reports that the server is draining, until the daemon acknowledges it. Later check-ins say the same.
    /// Returns the time of the acknowledgement.
    pub fn drain(&self, control: SocketAddr) -> f64 {
        *self.state.lock().unwrap() = "draining";
        while self.check_in(control) != Some(200) {
            std::thread::sleep(Duration::from_millis(100));
        }
        let at = self.record.seconds();
        self.record.line(format!("the daemon of {} has acknowledged that it is draining", self.instance));
        at
    }

    /// Says that the server leaves, and ends its check-ins.
    pub fn leave(&self, control: SocketAddr) {
        *self.state.lock().unwrap() = "";
        let request = format!("DELETE /-/instances/{} HTTP/1.1\r\nHost: control\r\n\r\n", self.instance);
        let status = http::call(control, request.as_bytes(), Duration::from_secs(1)).map(|response| response.status());
        self.record.line(format!("{} leaves: {status:?}", self.instance));
    }
}
