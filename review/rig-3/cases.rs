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

/// Sends an upload on a new connection, records its end and returns the status of the answer. The
/// connection is closed `kept` after the answer.
fn upload_kept(
    case: &Case,
    daemon: &Daemon,
    id: &str,
    limit_ms: u64,
    size: usize,
    kept: Duration,
) -> Option<u16> {
    case.record.add(format!("caller at {} sends {id}, an upload of {size} bytes", daemon.name));
    let exchange = || {
        let mut wire = Wire::connect(daemon.outbound)?;
        wire.stream.set_read_timeout(Some(ms(limit_ms + 1000)))?;
        wire.send(request("POST", "/up/x", id, limit_ms, size).as_bytes())?;
        wire.send(&vec![b'u'; size])?;
        let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = wire.body(&head, true)?;
        Ok::<(Wire, Head, usize), io::Error>((wire, head, body.len()))
    };
    match exchange() {
        Ok((wire, head, length)) => {
            let (status, stamp) = (head.status(), head.get("x-response-stamp").unwrap_or("none"));
            case.record.add(format!("caller gets {status} for {id}, {length} bytes, stamp {stamp}"));
            thread::sleep(kept);
            drop(wire);
            Some(status)
        }
        Err(error) => {
            case.record.add(format!("caller gets no answer for {id}: {error}"));
            None
        }
    }
}

/// Sends an upload on a connection that is closed after its answer.
fn upload(case: &Case, daemon: &Daemon, id: &str, limit_ms: u64, size: usize) -> Option<u16> {
    upload_kept(case, daemon, id, limit_ms, size, Duration::ZERO)
}

pub fn run(name: &str, case: &Case) -> Verdict {
    match name {
        "case-11" => late_after_drain(case),
        "case-12" => unread_upload(case),
        "case-13" => unread_download(case),
        "case-14" => unsent_at_shutdown(case),
        _ => cannot_run("no such case"),
    }
}

/// A server answers a long request before it has read it, keeps the connection and reads on later.
/// It leaves meanwhile.
fn late_after_drain(case: &Case) -> Verdict {
    /// `drain` of the deployment in ms.
    const DRAIN: u128 = 2000;
    let config = configuration(7, &[("/up/", "upload", "8000ms", "media")], &["media"]);
    case.store.put("keyed.op", "config", config.as_bytes());
    let daemons: Vec<Daemon> = (1..=2)
        .map(|index| Daemon::new(&case.folder, index, "media", case.store.address, &small()))
        .collect();
    daemons.iter().for_each(Daemon::start);
    let early = case.trouble;
    // When each request reached which server.
    let arrivals: Arc<Mutex<Vec<(u128, String, String)>>> = Arc::default();
    let seen = arrivals.clone();
    let behaviour = move |server: &Server, wire: &mut Wire, head: &Head| {
        let id = head.get("x-attempt-id").unwrap_or("-").to_string();
        server.record.add(format!("{id} reaches server {}", server.id));
        seen.lock().unwrap().push((server.record.ms(), id.clone(), server.id.clone()));
        let stamp = server.stamp(&id);
        if early && id == "long" {
            server.reply(wire, head, 200, &stamp, b"known already")?;
            server.record.add(format!("server {} answers {id} before it has read it", server.id));
            thread::sleep(ms(3500));
            wire.body(head, false)?;
            server.record.add(format!("server {} has read the rest of {id}", server.id));
            return Ok(true);
        }
        wire.body(head, false)?;
        thread::sleep(ms(250));
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
    for index in 0..6 {
        upload(case, &daemons[0], &format!("first-{index}"), 8000, 1000);
    }
    let mut answers = Vec::new();
    let (mut ack, mut leaving) = (0, servers[0].clone());
    thread::scope(|scope| {
        let daemon = &daemons[0];
        let mut callers = vec![scope.spawn(move || {
            upload_kept(case, daemon, "long", 8000, 360_000, ms(5000))
        })];
        thread::sleep(ms(300));
        for index in 0..8 {
            let id = format!("short-{index}");
            callers.push(scope.spawn(move || upload(case, daemon, &id, 8000, 1000)));
            thread::sleep(ms(20));
        }
        let arrivals = arrivals.lock().unwrap().clone();
        let Some((_, _, id)) = arrivals.iter().find(|(_, id, _)| id == "long") else {
            cannot_run("the long request has reached no server");
        };
        leaving = servers.iter().find(|server| server.id == *id).unwrap().clone();
        ack = leaving.drain();
        // It serves for `drain` after the ack and a little longer.
        thread::sleep(ms(3100).saturating_sub(ms((case.record.ms() - ack) as u64)));
        let _ = leaving.delete();
        leaving.end();
        answers = callers.into_iter().map(|caller| caller.join().unwrap_or(None)).collect();
    });
    let late: Vec<String> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|(at, _, server)| *server == leaving.id && *at > ack + DRAIN)
        .map(|(at, id, _)| format!("{id} {} ms after the ack", at - ack))
        .collect();
    let failed = answers.iter().filter(|answer| **answer != Some(200)).count();
    match late.is_empty() {
        true => Ok(format!("nothing reached server {} after the drain; {failed} failed", leaving.id)),
        false => Err(format!(
            "DRAIN: server {} was reached later than {DRAIN} ms after its ack: {}; {failed} failed",
            leaving.id,
            late.join(", ")
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
        daemon.signal("TERM");
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
    daemon.signal("HUP");
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

/// A server answers long requests before it has read them, keeps the connections and reads on later.
/// The daemon beside it gets SIGTERM meanwhile.
fn unsent_at_shutdown(case: &Case) -> Verdict {
    const SHORT: usize = 8;
    const LONG: usize = 360_000;
    /// Pieces in which the rest of a long request is read, 0.4 s apart.
    const PIECES: usize = 18;
    let config = configuration(7, &[("/up/", "upload", "8000ms", "media")], &["media"]);
    case.store.put("keyed.op", "config", config.as_bytes());
    let daemons: Vec<Daemon> = (1..=2)
        .map(|index| Daemon::new(&case.folder, index, "media", case.store.address, &small()))
        .collect();
    daemons.iter().for_each(Daemon::start);
    let early = case.trouble;
    let arrivals: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = arrivals.clone();
    let behaviour = move |server: &Server, wire: &mut Wire, head: &Head| {
        let id = head.get("x-attempt-id").unwrap_or("-").to_string();
        server.record.add(format!("{id} reaches server {}", server.id));
        seen.lock().unwrap().push(id.clone());
        let stamp = server.stamp(&id);
        if early && id.starts_with("long") {
            server.reply(wire, head, 200, &stamp, b"known already")?;
            server.record.add(format!("server {} answers {id} before it has read it", server.id));
            for _ in 0..PIECES {
                thread::sleep(ms(400));
                wire.exact(LONG / PIECES)?;
            }
            server.record.add(format!("server {} has read the rest of {id}", server.id));
            return Ok(true);
        }
        wire.body(head, false)?;
        thread::sleep(ms(250));
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
    for index in 0..6 {
        upload(case, &daemons[0], &format!("first-{index}"), 8000, 1000);
    }
    let mut answers = Vec::new();
    thread::scope(|scope| {
        let daemon = &daemons[0];
        for index in 0..2 {
            let id = format!("long-{index}");
            scope.spawn(move || upload_kept(case, daemon, &id, 8000, LONG, ms(9000)));
        }
        thread::sleep(ms(300));
        let callers: Vec<_> = (0..SHORT)
            .map(|index| {
                let id = format!("short-{index}");
                thread::sleep(ms(20));
                (id.clone(), scope.spawn(move || upload(case, daemon, &id, 8000, 1000)))
            })
            .collect();
        thread::sleep(ms(200));
        daemon.signal("TERM");
        case.record.add(format!("{} gets SIGTERM", daemon.name));
        answers = callers
            .into_iter()
            .map(|(id, caller)| (id, caller.join().unwrap_or(None)))
            .collect::<Vec<(String, Option<u16>)>>();
    });
    let arrivals = arrivals.lock().unwrap();
    let lost: Vec<String> = answers
        .iter()
        .filter(|(_, answer)| answer.is_none())
        .map(|(id, _)| {
            let reached = if arrivals.contains(id) { "was sent" } else { "was never sent" };
            format!("{id}, which {reached} to a server")
        })
        .collect();
    match lost.is_empty() {
        true => Ok(format!("all {SHORT} short uploads were answered")),
        false => Err(format!("LOST: no answer for {}", lost.join("; "))),
    }
}
