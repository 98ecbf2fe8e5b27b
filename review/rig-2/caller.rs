//! A caller that sends one request on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// A request of a caller.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub path: &'static str,
    /// Value of `X-Deadline-Ms`, after which the caller leaves.
    pub deadline: Duration,
    /// Further header lines, each with its end.
    pub headers: String,
    pub body: Vec<u8>,
    /// Time over which the body is sent.
    pub upload: Duration,
}

/// What a caller has seen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    /// Status of a complete answer; `None` if the connection ended without one.
    pub status: Option<u16>,
    /// Whether the time limit of the caller had passed.
    pub is_late: bool,
}

/// Number of parts in which a body is sent over time.
const PARTS: usize = 60;

impl Request {
    /// Sends the request and waits for the answer until the time limit.
    pub fn send(&self, entry: SocketAddr, record: &Record) -> Seen {
        let started = Instant::now();
        let result = self.exchange(entry, started, record);
        let seen = Seen { status: result.as_ref().ok().copied(), is_late: started.elapsed() >= self.deadline };
        let text = result.map_or_else(|error| format!("no answer ({error})"), |status| status.to_string());
        record.line(format!("caller of {}: {text} after {:.3} s", self.id, started.elapsed().as_secs_f64()));
        seen
    }

    /// Sends the request on a thread.
    pub fn spawn(&self, entry: SocketAddr, record: &Record) -> JoinHandle<Seen> {
        let (request, record) = (self.clone(), record.clone());
        std::thread::spawn(move || request.send(entry, &record))
    }

    fn exchange(&self, entry: SocketAddr, started: Instant, record: &Record) -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.deadline))?;
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.headers,
            self.body.len()
        );
        record.line(format!("caller sends {} to {entry}, POST {}, {} bytes", self.id, self.path, self.body.len()));
        stream.write_all(head.as_bytes())?;
        let reading = stream.try_clone()?;
        let sender = self.spawn_sender(stream, started, record);
        let mut reader = BufReader::new(reading);
        let answer = http::read_message(&mut reader, true)?;
        let status = answer.ok_or(std::io::ErrorKind::UnexpectedEof)?.status();
        if !self.upload.is_zero() {
            record.line(format!("caller of {}: {status} after {:.3} s", self.id, started.elapsed().as_secs_f64()));
        }
        // A caller that has its answer still sends the rest of its body.
        let _ = sender.join();
        Ok(status)
    }

    fn spawn_sender(&self, mut stream: TcpStream, started: Instant, record: &Record) -> JoinHandle<()> {
        let (id, body, upload, record) = (self.id.clone(), self.body.clone(), self.upload, record.clone());
        std::thread::spawn(move || {
            let size = if upload.is_zero() { body.len().max(1) } else { body.len().div_ceil(PARTS) };
            for (number, part) in body.chunks(size).enumerate() {
                let due = started + upload * number as u32 / PARTS as u32;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if let Err(error) = stream.write_all(part) {
                    return record.line(format!("caller of {id} cannot send the rest of its body: {error}"));
                }
            }
            if !upload.is_zero() {
                record.line(format!("caller of {id} has sent its whole body"));
            }
        })
    }
}
