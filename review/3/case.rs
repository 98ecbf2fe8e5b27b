//! DRAIN: an upstream that has left is in use again after all daemons were killed.

#[path = "../rig/rig.rs"]
mod rig;

use rig::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One of six upstreams leaves, a share of 0.167.
const MACHINES: usize = 6;
const DRAIN: Duration = Duration::from_millis(2000);
const STABLE: Duration = Duration::from_millis(3000);
/// Delay of the check-in that the upstream sent before it left.
const LATE: Duration = Duration::from_millis(3500);
/// Time from the acknowledgement of the leaving to the kill, and from there to the restart.
const KILL_AFTER: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(1000);
/// Time from the acknowledgement to the exit of the upstream: `drain` and some seconds.
const EXIT_AFTER: Duration = Duration::from_millis(8000);
const TIME_LIMIT: Duration = Duration::from_millis(5000);

fn main() {
    let record = Record::new("review/3/record.txt".into());
    let code = run(&record);
    finish(&record, code)
}

fn run(record: &Record) -> i32 {
    let trouble = has_trouble();
    let folder = Folder::new();
    let store = Store::start();
    let service = "storefront";
    store.publish(&configuration(7, service, ["4000ms", "3000ms", "8000ms"], ["800ms"; 3]));
    let mut ports = Ports::new();
    let machines: Vec<Arc<Machine>> = (0..MACHINES)
        .map(|number| {
            let zone = ["a", "b", "c"][number % 3];
            Arc::new(Machine::new(&mut ports, &format!("node-{zone}-{number}"), zone, service, &folder))
        })
        .collect();
    ports.release();
    // When each request that reached the leaving upstream did so.
    let reached: Arc<Mutex<Vec<(String, Instant)>>> = Default::default();
    let upstreams: Vec<Arc<Upstream>> = machines
        .iter()
        .enumerate()
        .map(|(number, machine)| {
            let reached = reached.clone();
            let plan = move |head: &Head| {
                if number == 0 {
                    let id = head.get("x-attempt-id").unwrap_or("").to_owned();
                    reached.lock().unwrap().push((id, Instant::now()));
                }
                Work { time: ms(270), body: 5000, is_half: false }
            };
            Upstream::start(&format!("i-{}", machine.name), service, 4, record.clone(), plan)
        })
        .collect();
    for (machine, upstream) in machines.iter().zip(&upstreams) {
        machine.start(store.address);
        upstream.beat(machine.beside);
    }
    if !await_ready(&machines) {
        record.say("the daemons did not become ready");
        return NOT_RUN;
    }
    thread::sleep(ms(4500));

    let sent: Arc<Mutex<Vec<(String, Instant, End)>>> = Default::default();
    let (leaving, machine) = (upstreams[0].clone(), machines[0].clone());
    let traffic = {
        let (machines, sent, record) = (machines.clone(), sent.clone(), record.clone());
        spawn(move || {
            let started = Instant::now();
            let mut consumers = Vec::new();
            let mut number = 0_u64;
            while started.elapsed() < ms(14_000) {
                number += 1;
                let entry = machines[number as usize % MACHINES].entry;
                let (sent, record) = (sent.clone(), record.clone());
                consumers.push(spawn(move || consume(entry, number, &sent, &record)));
                thread::sleep(ms(25));
            }
            for consumer in consumers {
                let _ = consumer.join();
            }
        })
    };
    thread::sleep(ms(2000));

    // A check-in that is on its way for 3.5 s, then the leaving, which is acknowledged at once.
    leaving.stop_beating();
    thread::sleep(ms(1600));
    let check_in = leaving.check_in("ready");
    let arrives = Instant::now() + LATE;
    record.say(format!("{} sends a check-in, which arrives 3.5 s later", leaving.id));
    thread::sleep(ms(100));
    let status = leaving.leave(machine.beside);
    let acknowledged = Instant::now();
    record.say(format!("{} says that it leaves: {status}", leaving.id));
    if status != 200 {
        record.say("the leaving was not acknowledged");
        return NOT_RUN;
    }
    let mut restarted = acknowledged;
    if trouble {
        thread::sleep(KILL_AFTER.saturating_sub(acknowledged.elapsed()));
        record.say("all daemons are killed");
        machines.iter().for_each(|machine| machine.kill());
        thread::sleep(DOWN);
        record.say("all daemons start again");
        machines.iter().for_each(|machine| machine.start(store.address));
        restarted = Instant::now();
    }
    thread::sleep(arrives.saturating_duration_since(Instant::now()));
    let status = leaving.send(machine.beside, &check_in);
    record.say(format!("the late check-in of {} arrives: {status}", leaving.id));
    thread::sleep((acknowledged + EXIT_AFTER).saturating_duration_since(Instant::now()));
    record.say(format!("{} exits", leaving.id));
    leaving.exit();
    let _ = traffic.join();

    let (sent, reached) = (sent.lock().unwrap(), reached.lock().unwrap());
    let in_touch = restarted + STABLE;
    let mut broken = 0;
    let mut lost = 0;
    for (id, at) in reached.iter().filter(|(_, at)| *at > acknowledged + DRAIN) {
        let request = sent.iter().find(|(known, ..)| known == id);
        let taken = request.map(|(_, taken, _)| *taken);
        if !taken.is_some_and(|taken| !trouble || taken > in_touch) {
            continue;
        }
        broken += 1;
        let is_lost = request.is_some_and(|(.., end)| *end != End::Answer(200));
        lost += u32::from(is_lost);
        record.add(format!(
            "{id} reached {} {:.2} s after it was acknowledged to be gone",
            leaving.id,
            at.duration_since(acknowledged).as_secs_f64()
        ));
    }
    record.say(format!(
        "{} requests, {} reached the upstream that had left; {broken} of them later than `drain` after the \
         acknowledgement, from machines in touch; {lost} of these got no success",
        sent.len(),
        reached.len()
    ));
    if broken > 0 { BROKEN } else { HELD }
}

fn consume(
    entry: std::net::SocketAddr,
    number: u64,
    sent: &Mutex<Vec<(String, Instant, End)>>,
    record: &Record,
) {
    let id = format!("{:016x}", 0x9c41_0000_u64 + number);
    let Ok(mut stream) = TcpStream::connect_timeout(&entry, ms(1000)) else {
        record.add(format!("{id} no connection"));
        return;
    };
    let head = head_text("POST", &format!("/buy/{number}"), &id, TIME_LIMIT, 1200);
    let start = Instant::now();
    record.add(format!("{id} POST /buy/{number} sent"));
    if stream.write_all(&[head.as_bytes(), &vec![b'b'; 1200]].concat()).is_err() {
        return;
    }
    let end = read_answer(&stream, start + TIME_LIMIT);
    record.add(format!("{id} ends: {end:?} after {:.3} s", start.elapsed().as_secs_f64()));
    sent.lock().unwrap().push((id, start, end));
}
