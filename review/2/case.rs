//! CONFIG: gray upstreams answer half and go silent; their consumers get no answer by the route's timeout.

#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 22;
/// Gray upstreams: 3 of 22, a share of 0.136.
const GRAY: usize = 3;
/// Share of their requests that the gray upstreams answer by half.
const HALF_SHARE: f64 = 0.45;
const GRAY_TIME: Duration = Duration::from_millis(6500);
const REQUESTS_PER_S: u64 = 110;
const TRAFFIC_TIME: Duration = Duration::from_millis(22_000);
const GRAY_FROM: Duration = Duration::from_millis(5000);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3000);
const TIME_LIMIT: Duration = Duration::from_millis(5000);

struct Sent {
    taken: Duration,
    end: End,
}

fn main() {
    let record = Record::new("review/2/record.txt".into());
    let code = run(&record);
    finish(&record, code)
}

fn run(record: &Record) -> i32 {
    let trouble = has_trouble();
    let folder = Folder::new();
    let store = Store::start();
    let service = "storefront";
    store.publish(&configuration(7, service, ["3000ms"; 3], ["800ms"; 3]));
    let mut ports = Ports::new();
    let machines: Vec<Arc<Machine>> = (0..MACHINES)
        .map(|number| {
            let zone = ["a", "b", "c"][number % 3];
            Arc::new(Machine::new(&mut ports, &format!("node-{zone}-{number}"), zone, service, &folder))
        })
        .collect();
    ports.release();
    let gray: Arc<Mutex<Option<(Instant, Instant)>>> = Default::default();
    let numbers = Arc::new(Mutex::new(Numbers::new(1)));
    let mut upstreams = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let (gray, numbers) = (gray.clone(), numbers.clone());
        let plan = move |_: &Head| {
            let now = Instant::now();
            let is_gray = number < GRAY
                && gray.lock().unwrap().is_some_and(|(from, until)| now >= from && now < until);
            let (spread, drawn) = {
                let mut numbers = numbers.lock().unwrap();
                (numbers.next(), numbers.next())
            };
            let time = ms((150.0 + 240.0 * spread) as u64);
            Work { time, body: 5000, is_half: is_gray && drawn < HALF_SHARE }
        };
        upstreams.push(Upstream::start(&format!("i-{}", machine.name), service, 4, record.clone(), plan));
    }
    for (machine, upstream) in machines.iter().zip(&upstreams) {
        machine.start(store.address);
        upstream.beat(machine.beside);
    }
    if !await_ready(&machines) {
        record.say("the daemons did not become ready");
        return NOT_RUN;
    }
    // The machines are in touch 3 s after their start.
    thread::sleep(ms(4000));

    let sent: Arc<Mutex<Vec<Sent>>> = Default::default();
    let mut consumers = Vec::new();
    let started = Instant::now();
    if trouble {
        record.say(format!("{GRAY} of {MACHINES} upstreams turn gray in 5 s, for 6.5 s"));
        *gray.lock().unwrap() = Some((started + GRAY_FROM, started + GRAY_FROM + GRAY_TIME));
    }
    let mut number = 0_u64;
    while started.elapsed() < TRAFFIC_TIME {
        number += 1;
        let entry = machines[number as usize % MACHINES].entry;
        let (sent, record) = (sent.clone(), record.clone());
        consumers.push(spawn(move || consume(entry, number, &sent, &record)));
        let due = started + Duration::from_micros(1_000_000 * number / REQUESTS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let sent = sent.lock().unwrap();
    let open = sent.iter().filter(|request| request.taken > ROUTE_TIMEOUT).count();
    let late = sent.iter().filter(|request| request.taken > ROUTE_TIMEOUT + ms(500)).count();
    let never = sent.iter().filter(|request| request.end == End::TimeLimit).count();
    let answered = sent.iter().filter(|request| matches!(request.end, End::Answer(_))).count();
    record.say(format!(
        "{} requests, {answered} answered; {open} unanswered at the route's timeout of 3 s, {late} of them \
         0.5 s later too, {never} never by their time limit of 5 s",
        sent.len()
    ));
    // The two sentences of the rule; `open` are the requests that last longer than the timeout.
    let most_unanswered = late * 2 > open;
    let eight_unanswered = late >= 8 && late * 4 > open;
    if most_unanswered || eight_unanswered { BROKEN } else { HELD }
}

/// Sends one request and waits for the answer until the time limit.
fn consume(entry: std::net::SocketAddr, number: u64, sent: &Mutex<Vec<Sent>>, record: &Record) {
    let id = format!("{:016x}", 0x9c41_0000_u64 + number);
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, ms(1000)) else {
        record.add(format!("{id} no connection"));
        return;
    };
    let (method, path, size) =
        if number % 3 == 0 { ("GET", "/read/1", 0) } else { ("POST", "/buy/1", 1200) };
    let head = head_text(method, path, &id, TIME_LIMIT, size);
    let path = format!("{path}?{number}");
    let head = head.replacen("/1 ", &format!("/1?{number} "), 1);
    record.add(format!("{id} {method} {path} sent"));
    if stream.write_all(&[head.as_bytes(), &vec![b'b'; size]].concat()).is_err() {
        return;
    }
    let start = Instant::now();
    let end = read_answer(&stream, start + TIME_LIMIT);
    let taken = start.elapsed();
    record.add(format!("{id} ends: {end:?} after {:.3} s", taken.as_secs_f64()));
    sent.lock().unwrap().push(Sent { taken, end });
}
