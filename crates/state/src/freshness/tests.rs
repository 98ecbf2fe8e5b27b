//! Tests of confirmations in fleets whose daemons, links and source fail. The decisions are those of the
//! product; messages and reads take a fixed time.

use std::net;

use super::*;
use crate::member;

/// What happens to a fleet after it has converged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The processes of all readers are stopped and keep their connections.
    ReadersPaused,
    ReadersKilled,
    /// The next reader of each failure domain is killed every second.
    KilledInTurn,
    /// The next reader of each failure domain is paused every second.
    PausedInTurn,
    /// The source rejects all readers.
    ReadersRefused,
    /// No daemon gets messages of others.
    PeersCut,
    /// Reads take as long as the pages allow a slow source.
    SlowSource,
    /// Reads get no response.
    SilentSource,
    /// The source goes silent for a while; reads that it has not answered by then get no response.
    Outage,
    /// The same, and the readers are paused before the source responds again.
    OutageReadersPaused,
    /// The same, and the readers are killed before the source responds again.
    OutageReadersKilled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Running,
    Paused,
    Killed,
}

/// Message to another daemon that has no response yet.
struct Ask {
    to: usize,
    sent: time::Instant,
    age: Option<time::Duration>,
}

/// Read of the source that has no response yet.
struct Read {
    sent: time::Instant,
    /// Time for which the source waits for news; `None` if it responds at once.
    wait: Option<time::Duration>,
    /// Whether the source has been silent meanwhile.
    is_lost: bool,
}

struct Daemon {
    freshness: Freshness,
    relay: membership::Relay,
    process: Process,
    is_refused: bool,
    ask: Option<Ask>,
    read: Option<Read>,
}

struct Fleet {
    records: Vec<member::Record>,
    daemons: Vec<Daemon>,
    fault: Fault,
    /// Time at which an outage of the source ends.
    outage_end: time::Duration,
    start: time::Instant,
    now: time::Instant,
    /// Times of the calls to the source.
    calls: Vec<time::Duration>,
}

const STEP: time::Duration = time::Duration::from_millis(10);
const DOMAINS: usize = 3;
const READ_TIME: time::Duration = time::Duration::from_millis(10);
const SLOW_READ_TIME: time::Duration = time::Duration::from_millis(200);
const HOLD_MAX: time::Duration = time::Duration::from_millis(1100);
const GAIN_MIN: time::Duration = time::Duration::from_millis(50);
/// Time after the start at which the fault begins.
const FAULT_START: time::Duration = time::Duration::from_millis(4370);
const END: time::Duration = time::Duration::from_secs(12);
/// Time in which a new version must be in use, and so the largest age of a confirmation.
const APPLY_TIME: time::Duration = time::Duration::from_secs(2);
/// Time after the end of an outage from which new versions must again be in use in time.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(3);
/// Time before the end of an outage at which readers are lost.
const LOSS_LEAD: time::Duration = time::Duration::from_millis(200);
/// Time after which a read without response has failed, and the same after the end of its wait.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
const WAIT_END_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Further time for daemons that the source rejects.
const PARTITION_TIME: time::Duration = time::Duration::from_secs(5);

impl Daemon {
    fn lost_read_timeout(&self) -> time::Duration {
        let is_waiting = self.read.as_ref().is_some_and(|read| read.wait.is_some());
        if is_waiting { WAIT_END_TIMEOUT } else { READ_TIMEOUT }
    }
}

impl Fleet {
    fn new(size: usize, fault: Fault) -> Self {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
        let addresses = member::Addresses { sidecar: address, control: address, admin: address };
        let record = |index: usize| {
            let domain = ["a", "b", "c"][index * DOMAINS / size];
            member::Record::new(format!("d{index:03}").into(), 1, domain.into(), addresses)
        };
        let records: Vec<member::Record> = (0..size).map(record).collect();
        let daemon = |own| Daemon {
            freshness: Freshness::default(),
            relay: membership::Relay::new(own, records.iter(), &[], false),
            process: Process::Running,
            is_refused: false,
            ask: None,
            read: None,
        };
        let daemons = records.iter().map(daemon).collect();
        let start = time::Instant::now();
        let outage_end = FAULT_START;
        Self { records, daemons, fault, outage_end, start, now: start, calls: Vec::new() }
    }

    fn elapsed(&self) -> time::Duration {
        self.now - self.start
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.fault == fault && self.elapsed() >= FAULT_START
    }

    fn is_in_outage(&self) -> bool {
        (FAULT_START..self.outage_end).contains(&self.elapsed())
    }

    fn apply_fault(&mut self) {
        let since = self.elapsed().saturating_sub(FAULT_START);
        let is_start = self.elapsed() == FAULT_START;
        let is_before_end = self.elapsed() + LOSS_LEAD == self.outage_end;
        let turn = since.as_millis() as usize / 1000;
        let is_turn = self.elapsed() >= FAULT_START && since.as_millis().is_multiple_of(1000);
        let size = self.daemons.len();
        for index in 0..size {
            let rank = index - (index * DOMAINS / size * size).div_ceil(DOMAINS);
            let daemon = &mut self.daemons[index];
            // A small fleet has no others than readers; one daemon is left.
            if index + 1 == size {
                continue;
            }
            let is_reader = daemon.relay.is_reader;
            match self.fault {
                Fault::ReadersPaused if is_start && is_reader => daemon.process = Process::Paused,
                Fault::ReadersKilled if is_start && is_reader => daemon.process = Process::Killed,
                Fault::OutageReadersPaused if is_before_end && is_reader => {
                    daemon.process = Process::Paused;
                }
                Fault::OutageReadersKilled if is_before_end && is_reader => {
                    daemon.process = Process::Killed;
                }
                Fault::ReadersRefused if is_start => daemon.is_refused = is_reader,
                Fault::KilledInTurn if is_turn && rank == turn => daemon.process = Process::Killed,
                Fault::PausedInTurn if is_turn && rank == turn => daemon.process = Process::Paused,
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.apply_fault();
        for index in 0..self.daemons.len() {
            if self.daemons[index].process == Process::Running {
                self.finish_read(index);
                self.start_read(index);
                self.exchange(index);
            }
        }
        self.now += STEP;
    }

    fn update_relay(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let suspects = daemon.freshness.suspects(self.now);
        let (own, is_failing) = (&self.records[index], daemon.freshness.is_failing());
        daemon.relay = membership::Relay::new(own, self.records.iter(), &suspects, is_failing);
    }

    fn finish_read(&mut self, index: usize) {
        let is_silent = self.has_fault(Fault::SilentSource);
        let is_slow = self.has_fault(Fault::SlowSource);
        let is_in_outage = self.is_in_outage();
        // Differs between the reads of a daemon, as the random one of the product.
        let jitter = ((index * 37 + self.calls.len() * 61) % 100) as f64 / 100.0;
        let (daemon, now) = (&mut self.daemons[index], self.now);
        if let Some(read) = &mut daemon.read {
            read.is_lost |= is_in_outage;
        }
        let is_lost = daemon.read.as_ref().is_some_and(|read| read.is_lost);
        let time = match is_lost {
            true => daemon.lost_read_timeout(),
            false if is_slow => SLOW_READ_TIME,
            false => READ_TIME,
        };
        let is_over = |read: &mut Read| now >= read.sent + read.wait.unwrap_or_default() + time;
        // A pending read gets no response if the source goes silent or rejects the daemon meanwhile.
        let Some(read) = daemon.read.take_if(is_over) else { return };
        if is_silent || is_lost || daemon.is_refused {
            daemon.freshness.record_failure(daemon.relay.is_reader, jitter, read.sent, now);
        } else {
            daemon.freshness.record_read(read.sent + read.wait.unwrap_or_default(), now);
        }
        let suspects = daemon.freshness.suspects(now);
        daemon.ask.take_if(|ask| suspects.contains(&self.records[ask.to].daemon));
        self.update_relay(index);
    }

    fn start_read(&mut self, index: usize) {
        let (daemon, now) = (&mut self.daemons[index], self.now);
        let (relay, freshness) = (&daemon.relay, &daemon.freshness);
        let is_waiting = daemon.read.as_ref().is_some_and(|read| read.wait.is_some());
        if daemon.read.is_some() && !is_waiting {
            return;
        }
        let is_due = freshness.read_due(relay, is_waiting, now).is_none_or(|due| now >= due);
        if is_due {
            daemon.read = Some(Read { sent: now, wait: None, is_lost: false });
        } else if relay.is_reader && !is_waiting && !freshness.is_failing() {
            daemon.read =
                Some(Read { sent: now, wait: Some(freshness.wait(relay, now)), is_lost: false });
        } else {
            return;
        }
        self.calls.push(self.elapsed());
    }

    fn exchange(&mut self, index: usize) {
        let (now, is_cut) = (self.now, self.has_fault(Fault::PeersCut));
        let daemon = &mut self.daemons[index];
        let timeout = daemon.freshness.ask_timeout().unwrap_or(time::Duration::MAX);
        if let Some(ask) = daemon.ask.take_if(|ask| now - ask.sent >= timeout) {
            daemon.freshness.suspect(self.records[ask.to].daemon.clone(), now);
        }
        if daemon.ask.is_none() {
            self.update_relay(index);
            let daemon = &mut self.daemons[index];
            let Some(parent) = &daemon.relay.parent else { return };
            daemon.freshness.ask(&parent.daemon, now);
            let to = self.records.iter().position(|record| record.daemon == parent.daemon);
            let age = daemon.freshness.age(now);
            daemon.ask = Some(Ask { to: to.expect("a member"), sent: now, age });
        }
        let Some(Ask { to, sent, age }) = self.daemons[index].ask else { return };
        let held = now - sent;
        let parent_age = match self.daemons[to].process {
            Process::Running if !is_cut => self.daemons[to].freshness.age(now),
            Process::Killed => {
                self.daemons[index].ask = None;
                self.daemons[index].freshness.suspect(self.records[to].daemon.clone(), now);
                return;
            }
            _ => return,
        };
        let is_gain = |parent| age.is_none_or(|age| parent + GAIN_MIN <= age + held);
        if !parent_age.is_some_and(is_gain) && held < HOLD_MAX {
            return;
        }
        let daemon = &mut self.daemons[index];
        daemon.ask = None;
        if let Some(parent_age) = parent_age {
            daemon.freshness.confirm(&self.records[to].daemon, now - parent_age, now);
        }
    }

    /// Returns the age of the oldest confirmation among the running daemons that the source rejects, or
    /// among the others.
    fn oldest(&self, is_refused: bool) -> time::Duration {
        let is_counted = |daemon: &&Daemon| {
            daemon.process == Process::Running && daemon.is_refused == is_refused
        };
        let running = self.daemons.iter().filter(is_counted);
        let age = |daemon: &Daemon| daemon.freshness.age(self.now).unwrap_or(time::Duration::MAX);
        running.map(age).max().unwrap_or_default()
    }

    /// Returns the largest number of calls to the source within `span` from `from` on.
    fn most_calls(&self, span: time::Duration, from: time::Duration) -> usize {
        let calls: Vec<_> = self.calls.iter().filter(|at| **at >= from).collect();
        let within = |first: &&time::Duration| {
            calls.iter().filter(|at| ***at >= **first && ***at < **first + span).count()
        };
        calls.iter().map(within).max().unwrap_or(0)
    }
}

/// Runs a fleet and returns it with the largest age of a confirmation after the start, of daemons that
/// the source does not reject and of those that it rejects.
fn run(size: usize, fault: Fault) -> (Fleet, [time::Duration; 2]) {
    let mut fleet = Fleet::new(size, fault);
    let mut oldest = [time::Duration::ZERO; 2];
    while fleet.elapsed() < END {
        fleet.step();
        if fleet.elapsed() > time::Duration::from_secs(1) {
            let now = [fleet.oldest(false), fleet.oldest(true)];
            oldest = [oldest[0].max(now[0]), oldest[1].max(now[1])];
        }
    }
    println!(
        "{size} {fault:?}: {oldest:?}, {} calls, at most {} in 0.1 s",
        fleet.calls.len(),
        fleet.most_calls(time::Duration::from_millis(100), FAULT_START)
    );
    (fleet, oldest)
}

// Guards against daemons that use an outdated policy because they trust readers, peers or pending reads
// that have been lost. Clocks that differ need no case, as no decision depends on the time of day.
#[test_case::test_matrix(
    [3, 27, 235, 710],
    [
        Fault::None,
        Fault::ReadersPaused,
        Fault::ReadersKilled,
        Fault::KilledInTurn,
        Fault::PausedInTurn,
        Fault::ReadersRefused,
        Fault::PeersCut,
        Fault::SlowSource,
    ]
)]
fn no_confirmation_gets_older_than_the_time_to_apply_a_version(size: usize, fault: Fault) {
    let (_, [oldest, refused]) = run(size, fault);
    assert!(oldest < APPLY_TIME, "the oldest confirmation is {oldest:?} old");
    let limit = APPLY_TIME + PARTITION_TIME;
    assert!(refused < limit, "the oldest confirmation at a rejected daemon is {refused:?} old");
}

// Guards against daemons whose backoff outlasts an outage of the source, because they trust readers that
// have been lost meanwhile to notice its end.
#[test_case::test_matrix(
    [3, 27, 235, 710],
    [Fault::Outage, Fault::OutageReadersPaused, Fault::OutageReadersKilled],
    [2100, 9700]
)]
fn confirmations_are_renewed_in_time_after_an_outage(size: usize, fault: Fault, outage_ms: u64) {
    let mut fleet = Fleet::new(size, fault);
    fleet.outage_end = FAULT_START + time::Duration::from_millis(outage_ms);
    let recovered = fleet.outage_end + RECOVERY_TIME;
    let mut oldest = time::Duration::ZERO;
    while fleet.elapsed() < recovered + APPLY_TIME * 2 {
        fleet.step();
        if fleet.elapsed() >= recovered {
            oldest = oldest.max(fleet.oldest(false));
        }
    }
    println!("{size} {fault:?}, {outage_ms} ms: {oldest:?}, {} calls", fleet.calls.len());
    assert!(oldest < APPLY_TIME, "the oldest confirmation is {oldest:?} old");
}

// Guards against calls to the source that grow with the fleet while nothing fails.
#[test_case::test_case(3)]
#[test_case::test_case(27)]
#[test_case::test_case(235)]
#[test_case::test_case(710)]
fn a_calm_fleet_makes_about_one_call_per_interval(size: usize) {
    let (fleet, _) = run(size, Fault::None);
    let seconds = (END - FAULT_START).as_secs_f64();
    let calls = fleet.calls.iter().filter(|at| **at >= FAULT_START).count();
    assert!(calls as f64 <= seconds + 1.0, "{calls} calls in {seconds} s");
}

// Guards against a fleet that calls the source at once when all readers are lost: each lost daemon may
// cost a call of those that ask it and some of its own, in a fleet of any size.
#[test_case::test_matrix(
    [235, 710],
    [Fault::ReadersPaused, Fault::ReadersKilled, Fault::ReadersRefused, Fault::PausedInTurn]
)]
fn few_daemons_read_for_lost_readers(size: usize, fault: Fault) {
    let (fleet, _) = run(size, fault);
    let most = fleet.most_calls(time::Duration::from_secs(1), FAULT_START);
    let is_lost = |daemon: &&Daemon| daemon.process != Process::Running || daemon.is_refused;
    let lost = fleet.daemons.iter().filter(is_lost).count();
    assert!(
        most <= lost * (relay::CHILDREN_MAX + 3),
        "{most} calls in 1 s for {lost} lost daemons"
    );
}

// Guards against a fleet that keeps calling a source that does not respond.
#[test_case::test_case(235)]
#[test_case::test_case(710)]
fn calls_to_a_silent_source_become_rare(size: usize) {
    let (fleet, _) = run(size, Fault::SilentSource);
    let later = END - time::Duration::from_secs(3);
    let most = fleet.most_calls(time::Duration::from_secs(1), later);
    assert!(most <= size / 2, "{most} calls in 1 s");
}
