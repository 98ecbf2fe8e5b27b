//! The cases of the third review.

use super::*;

/// What was seen: `Err` if the rule is broken.
pub type Verdict = Result<String, String>;

/// Bytes of the kernel's receive buffer of servers.
const BUFFER: i32 = 64 * 1024;

/// Terms of the small deployments (`strapline-pk`).
fn small() -> Terms {
    Terms { heartbeat: "1500ms", grace: "6s", memory_mb: 260 }
}

/// Route of a configuration: prefix, kind, timeout and service.
type Route<'a> = (&'a str, &'a str, &'a str, &'a str);

/// Configuration that the operator writes.
fn configuration(version: u32, routes: &[Route<'_>], services: &[&str]) -> String {
    let row = |(prefix, kind, timeout, service): &Route<'_>| {
        format!(
            r#"["r-{service}{version}","shop.example","{prefix}","{kind}","{timeout}","1000ms",1,"{service}",2,null]"#
        )
    };
    let rows: Vec<String> = routes.iter().map(row).collect();
    let services: Vec<String> =
        services.iter().map(|name| format!(r#"["{name}","/healthz",360,"h1",false]"#)).collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{"cols":["name","host","path_prefix","kind","timeout","slo","priority","service","max_attempts","split"],"rows":[{}]}},"services":{{"cols":["name","health_path","max_conns","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#,
        rows.join(","),
        services.join(",")
    )
}

/// Head of a caller's request.
fn request(method: &str, path: &str, id: &str, limit_ms: u64, length: usize) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {limit_ms}\r\n{length}\r\n"
    )
}

/// Sends an upload on a new connection, records its end and returns the status of the answer.
fn upload(case: &Case, daemon: &Daemon, id: &str, limit_ms: u64, size: usize) -> Option<u16> {
    case.record.add(format!("caller at {} sends {id}, an upload of {size} bytes", daemon.name));
    let head = request("POST", "/up/x", id, limit_ms, size);
    let body = vec![b'u'; size];
    match exchange(daemon.outbound, &head, &body, ms(limit_ms + 1000)) {
        Ok((head, body)) => {
            let stamp = head.get("x-response-stamp").unwrap_or("none");
            let (status, length) = (head.status(), body.len());
            case.record
                .add(format!("caller gets {status} for {id}, {length} bytes, stamp {stamp}"));
            Some(status)
        }
        Err(error) => {
            case.record.add(format!("caller gets no answer for {id}: {error}"));
            None
        }
    }
}

pub fn run(name: &str, case: &Case) -> Verdict {
    match name {
        "case-11" => forgotten_ack(case),
        "case-12" => unread_upload(case),
        "case-13" => unread_download(case),
        _ => cannot_run("no such case"),
    }
}

/// A server leaves while the store is silent. The daemon beside it is killed before it can acknowledge
/// that; its next process acknowledges it. Then all daemons are killed, and an earlier heartbeat of the
/// server arrives late.
fn forgotten_ack(case: &Case) -> Verdict {
    /// `drain` and `stable` of the deployment in ms.
    const DRAIN: u128 = 2000;
    const STABLE: u128 = 3000;
    let record = &case.record;
    let config = configuration(7, &[("/up/", "upload", "8000ms", "media")], &["media"]);
    case.store.put("keyed.op", "config", config.as_bytes());
    let daemons: Vec<Daemon> = (1..=6)
        .map(|index| Daemon::new(&case.folder, index, "media", case.store.address, &small()))
        .collect();
    daemons.iter().for_each(Daemon::start);
    let arrivals: Arc<Mutex<Vec<(u128, String, String)>>> = Arc::default();
    let seen = arrivals.clone();
    let behaviour = move |server: &Server, wire: &mut Wire, head: &Head| {
        let id = head.get("x-attempt-id").unwrap_or("-").to_string();
        seen.lock().unwrap().push((server.record.ms(), id.clone(), server.id.clone()));
        wire.body(head, false)?;
        thread::sleep(ms(50));
        let stamp = server.stamp(&id);
        server.reply(wire, head, 200, &stamp, b"stored")?;
        server.record.add(format!("server {} has run {id}", server.id));
        Ok(true)
    };
    let behaviour: Arc<Behaviour> = Arc::new(behaviour);
    let servers: Vec<Arc<Server>> = daemons
        .iter()
        .map(|daemon| Server::start(daemon, "media", 4, BUFFER, record, behaviour.clone()))
        .collect();
    daemons.iter().for_each(|daemon| daemon.await_ready(ms(15_000)));
    thread::sleep(ms(2000));
    let leaving = &servers[0];
    let late = leaving.heartbeat("ready");
    record.add(format!("server {} sends a heartbeat that arrives late", leaving.id));
    case.store.is_silent.store(case.trouble, Ordering::SeqCst);
    let silent = record.ms();
    if case.trouble {
        record.add("the store is silent from now on".into());
    }
    leaving.beats.store(false, Ordering::SeqCst);
    let mut is_killed = false;
    let ack = loop {
        let status = leaving.beat("draining");
        record.add(format!("server {} reports draining: {status:?}", leaving.id));
        if matches!(status, Ok(200)) {
            break record.ms();
        }
        if record.ms() > silent + 4000 {
            cannot_run("the draining is not acknowledged");
        }
        if !is_killed && record.ms() > silent + 700 {
            is_killed = true;
            daemons[0].kill();
            record.add(format!("{} is killed", daemons[0].name));
            case.store.is_silent.store(false, Ordering::SeqCst);
            record.add("the store answers again".into());
            thread::sleep(ms(200));
            daemons[0].start();
            record.add(format!("{} is started again", daemons[0].name));
            // The next heartbeat is due an interval after the last one.
            thread::sleep(ms(1300));
        }
    };
    record.add("the draining is acknowledged; the server is cut off from its daemon".into());
    thread::sleep(ms(100));
    daemons.iter().for_each(Daemon::kill);
    record.add("all daemons are killed".into());
    thread::sleep(ms(1000));
    daemons.iter().for_each(Daemon::start);
    let started = record.ms();
    record.add("all daemons are started again".into());
    thread::sleep(ms(800));
    let status = leaving.call("PUT", &late);
    record.add(format!("the late heartbeat arrives: {status:?}"));
    let in_touch = started + STABLE;
    thread::sleep(ms((in_touch + 300).saturating_sub(record.ms()) as u64));
    record.add("all machines are in touch".into());
    thread::scope(|scope| {
        for index in 0..40 {
            let daemon = &daemons[1 + index % 5];
            scope.spawn(move || upload(case, daemon, &format!("short-{index}"), 8000, 1000));
            thread::sleep(ms(30));
        }
    });
    let status = leaving.beat("draining");
    record.add(format!("the next heartbeat arrives: {status:?}"));
    let count = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, _, server)| *server == leaving.id && *at > (ack + DRAIN).max(in_touch))
        .count();
    match count {
        0 => Ok(format!("nothing reached server {} after the drain", leaving.id)),
        _ => Err(format!(
            "DRAIN: {count} requests reached server {} later than {DRAIN} ms after its ack",
            leaving.id
        )),
    }
}

/// A server is slow to read the bodies of uploads, while the daemon that took them gets SIGTERM.
fn unread_upload(case: &Case) -> Verdict {
    const UPLOADS: usize = 4;
    const BUFFER: i32 = 16 * 1024;
    let config = configuration(7, &[("/up/", "upload", "8000ms", "media")], &["media"]);
    case.store.put("keyed.op", "config", config.as_bytes());
    let daemons: Vec<Daemon> = (1..=2)
        .map(|index| Daemon::new(&case.folder, index, "media", case.store.address, &small()))
        .collect();
    daemons.iter().for_each(Daemon::start);
    let slow = case.trouble;
    let behaviour = move |server: &Server, wire: &mut Wire, head: &Head| {
        let id = head.get("x-attempt-id").unwrap_or("-").to_string();
        server.record.add(format!("{id} reaches server {}, which begins to work on it", server.id));
        let start = Instant::now();
        if slow {
            let part = wire.exact(2000)?.len();
            thread::sleep(ms(5800));
            let rest = wire.exact(head.length().unwrap_or(0) - part);
            let read = rest.as_ref().map(|rest| part + rest.len());
            server.record.add(format!("server {} has read of {id}: {read:?}", server.id));
            rest?;
        } else {
            wire.body(head, false)?;
        }
        thread::sleep(ms(6000).saturating_sub(start.elapsed()));
        let stamp = server.stamp(&id);
        server.reply(wire, head, 200, &stamp, b"stored")?;
        server.record.add(format!("server {} has run {id}", server.id));
        Ok(true)
    };
    let behaviour: Arc<Behaviour> = Arc::new(behaviour);
    let servers: Vec<Arc<Server>> = daemons
        .iter()
        .map(|daemon| Server::start(daemon, "media", 4, BUFFER, &case.record, behaviour.clone()))
        .collect();
    daemons.iter().for_each(|daemon| daemon.await_ready(ms(15_000)));
    thread::sleep(ms(2000));
    let _running = servers;
    let mut answers = Vec::new();
    thread::scope(|scope| {
        let daemon = &daemons[0];
        let callers: Vec<_> = (0..UPLOADS)
            .map(|index| {
                let id = format!("upload-{index}");
                scope.spawn(move || upload(case, daemon, &id, 8000, 60_000))
            })
            .collect();
        thread::sleep(ms(1500));
        daemon.signal(SIGTERM);
        case.record.add(format!("{} gets SIGTERM", daemon.name));
        answers = callers.into_iter().map(|caller| caller.join().unwrap_or(None)).collect();
    });
    let lost = answers.iter().filter(|answer| **answer != Some(200)).count();
    match lost {
        0 => Ok(format!("all {UPLOADS} uploads were answered by their servers")),
        _ => Err(format!(
            "LOST: {lost} of {UPLOADS} uploads were broken off while their server was at work"
        )),
    }
}

/// Callers are slow to read a download, around a SIGHUP of their daemon.
fn unread_download(case: &Case) -> Verdict {
    const CALLERS: usize = 6;
    const SIZE: usize = 540_000;
    let config = configuration(7, &[("/down/", "download", "15000ms", "data")], &["data"]);
    case.store.put("keyed.op", "config", config.as_bytes());
    let terms = Terms { memory_mb: 160, ..small() };
    let daemons: Vec<Daemon> = (1..=2)
        .map(|index| Daemon::new(&case.folder, index, "data", case.store.address, &terms))
        .collect();
    daemons.iter().for_each(Daemon::start);
    let behaviour = move |server: &Server, wire: &mut Wire, head: &Head| {
        let id = head.get("x-attempt-id").unwrap_or("-").to_string();
        server.record.add(format!("{id} reaches server {}", server.id));
        wire.body(head, false)?;
        thread::sleep(ms(100));
        let stamp = server.stamp(&id);
        server.reply(wire, head, 200, &stamp, &vec![b'd'; SIZE])?;
        server.record.add(format!("server {} has answered {id} whole", server.id));
        Ok(true)
    };
    let behaviour: Arc<Behaviour> = Arc::new(behaviour);
    let servers: Vec<Arc<Server>> = daemons
        .iter()
        .map(|daemon| Server::start(daemon, "data", 9, BUFFER, &case.record, behaviour.clone()))
        .collect();
    daemons.iter().for_each(|daemon| daemon.await_ready(ms(15_000)));
    thread::sleep(ms(2000));
    let _running = servers;
    let daemon = &daemons[0];
    daemon.signal(SIGHUP);
    case.record.add(format!("{} gets SIGHUP", daemon.name));
    let pause = if case.trouble { ms(6500) } else { ms(0) };
    let mut answers = Vec::new();
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|index| {
                let id = format!("download-{index}");
                scope.spawn(move || download(case, daemon, &id, pause))
            })
            .collect();
        answers = callers.into_iter().map(|caller| caller.join().unwrap_or(0)).collect();
    });
    let lost = answers.iter().filter(|length| **length != SIZE).count();
    match lost {
        0 => Ok(format!("all {CALLERS} downloads were whole")),
        _ => Err(format!("LOST: {lost} of {CALLERS} downloads ended without their whole answer")),
    }
}

/// Requests a download, reads a part, reads nothing for `pause`, and reads the rest. Returns the
/// number of bytes read.
fn download(case: &Case, daemon: &Daemon, id: &str, pause: Duration) -> usize {
    let record = &case.record;
    record.add(format!("caller at {} sends {id}", daemon.name));
    let read = || {
        let mut wire = Wire::connect(daemon.outbound)?;
        set_receive_buffer(&wire.stream, 16 * 1024);
        wire.stream.set_read_timeout(Some(ms(16_000)))?;
        wire.send(request("GET", "/down/x", id, 15_000, 0).as_bytes())?;
        let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let begun = wire.exact(50_000)?.len();
        record.add(format!("caller has {} for {id} and {begun} bytes", head.status()));
        thread::sleep(pause);
        let rest = wire.exact(head.length().unwrap_or(0) - begun)?;
        Ok::<usize, io::Error>(begun + rest.len())
    };
    let result = read();
    record.add(format!("caller has read of {id}: {result:?}"));
    result.unwrap_or(0)
}
