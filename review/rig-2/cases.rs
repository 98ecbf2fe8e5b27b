//! The cases.

use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::caller::{Request, Seen};
use crate::daemon;
use crate::record::Record;
use crate::server;
use crate::store;

/// Plays a case. Returns whether the rule held.
///
/// # Errors
///
/// Returns why the case could not run.
pub fn play(case: &str, record: &Record, is_disrupted: bool) -> Result<bool, String> {
    match case {
        "drain-behind-upload" => drain_behind_upload(record, is_disrupted),
        "stop-behind-upload" => stop_behind_upload(record, is_disrupted),
        "nominated-header" => nominated_header(record, is_disrupted),
        "silent-settings" => silent_settings(record, is_disrupted),
        _ => Err(format!("there is no case '{case}'")),
    }
}

/// Folder for the settings and logs of a case, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Routes of the site strapline-pk that the cases use, in the form of the operator's configuration.
const CONFIGURATION: &str = r#"{"version":"00000001","routes":{"cols":["name","host","path_prefix","kind","timeout","slo","priority","service","max_attempts","split"],"rows":[["r-checkout","shop.example","/checkout/","unsafe","3000ms","800ms",1,"storefront",2,null],["r-photo","shop.example","/photo/","upload","8000ms","1000ms",1,"media",2,null]]},"services":{"cols":["name","health_path","max_conns","protocol","tls"],"rows":[["storefront","/healthz",360,"h1",false],["media","/healthz",360,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

/// Services of the machines of a deployment.
const SERVICES: [&str; 6] = ["media", "media", "storefront", "storefront", "storefront", "storefront"];
/// Bound `stable` of the site, after which the machines are in touch.
const STABLE: Duration = Duration::from_secs(3);

/// A deployment of machines, each with a daemon and a server beside it.
struct Deployment {
    daemons: Vec<daemon::Daemon>,
    servers: Vec<server::Server>,
    runs: server::Runs,
    _folder: Folder,
}

impl Deployment {
    /// Starts the machines, and waits until they are in touch.
    fn start(answers_early: bool, record: &Record) -> Result<Self, String> {
        let folder = Folder::new();
        let store = store::Store::start();
        store.publish(CONFIGURATION);
        let runs = server::Runs::default();
        let (mut daemons, mut servers) = (Vec::new(), Vec::new());
        for (index, service) in SERVICES.iter().enumerate() {
            let mut daemon = daemon::Daemon::new(&format!("vm-{index}"), store.address, &folder.0);
            daemon.write_settings(service);
            daemon.start();
            let server = server::Server::start(&format!("i-{index}"), service, answers_early, &runs, record);
            server.keep_checking_in(daemon.control);
            daemons.push(daemon);
            servers.push(server);
        }
        for daemon in &daemons {
            daemon.await_ready(Duration::from_secs(15))?;
        }
        std::thread::sleep(STABLE + Duration::from_millis(500));
        record.line("all machines are in touch");
        Ok(Self { daemons, servers, runs, _folder: folder })
    }

    /// Returns the runs of the requests whose ids begin with `prefix`.
    fn runs_of(&self, prefix: &str) -> Vec<server::Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.id.starts_with(prefix)).cloned().collect()
    }

    /// Starts a slow upload on the machine with number `index`, over `upload`, after some short ones, so that the
    /// servers have connections. Waits until a server has it, and returns the number of that server's machine too.
    fn start_upload(&self, index: usize, upload: Duration, record: &Record) -> Result<(JoinHandle<Seen>, usize), String> {
        for number in 0..12 {
            let request = photo(format!("first-{number}"), vec![b'w'; 1200], Duration::ZERO);
            request.send(self.daemons[index].entry, record);
        }
        let request = photo("slow".into(), vec![b'x'; 60_000], upload);
        let caller = request.spawn(self.daemons[index].entry, record);
        std::thread::sleep(Duration::from_millis(300));
        let run = self.runs_of("slow").pop().ok_or("the upload reached no server")?;
        let machine = self.servers.iter().position(|server| server.instance == run.instance);
        Ok((caller, machine.ok_or("the upload reached an unknown server")?))
    }

    /// Starts short uploads on the machine with number `index`.
    fn start_requests(&self, index: usize, record: &Record) -> Vec<JoinHandle<Seen>> {
        let start = |number: usize| {
            let request = photo(format!("short-{number}"), vec![b'y'; 1200], Duration::ZERO);
            std::thread::sleep(Duration::from_millis(10));
            request.spawn(self.daemons[index].entry, record)
        };
        (0..8).map(start).collect()
    }
}

fn photo(id: String, body: Vec<u8>, upload: Duration) -> Request {
    Request { id, path: "/photo/1", deadline: Duration::from_secs(8), headers: String::new(), body, upload }
}

fn join(requests: Vec<JoinHandle<Seen>>) -> Vec<Seen> {
    requests.into_iter().map(|request| request.join().expect("a caller does not panic")).collect()
}

/// A server answers a long upload before it has read it. A request that follows is still waiting when the server
/// leaves.
fn drain_behind_upload(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    const DRAIN: f64 = 2.0;
    let deployment = Deployment::start(is_disrupted, record)?;
    let (upload, leaving) = deployment.start_upload(2, Duration::from_secs(6), record)?;
    let requests = deployment.start_requests(3, record);
    std::thread::sleep(Duration::from_millis(300));
    let server = &deployment.servers[leaving];
    let acknowledged = server.drain(deployment.daemons[leaving].control);
    join(requests);
    join(vec![upload]);
    let runs = deployment.runs_of("short-");
    if runs.len() < 4 {
        return Err(format!("only {} of 8 requests ran", runs.len()));
    }
    let is_late = |run: &&server::Run| run.instance == server.instance && run.at > acknowledged + DRAIN;
    let late: Vec<_> = runs.iter().filter(is_late).collect();
    for run in &late {
        let after = run.at - acknowledged;
        record.line(format!("{} has reached {} {after:.3} s after the acknowledgement", run.id, run.instance));
    }
    Ok(late.is_empty())
}

/// A server answers a long upload before it has read it. The machine that has taken the requests that follow is
/// stopped as planned.
fn stop_behind_upload(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    const GRACE: Duration = Duration::from_secs(6);
    let mut deployment = Deployment::start(is_disrupted, record)?;
    let (upload, _) = deployment.start_upload(2, Duration::from_millis(7500), record)?;
    let requests = deployment.start_requests(3, record);
    std::thread::sleep(Duration::from_millis(300));
    deployment.daemons[3].signal(daemon::SIGTERM);
    record.line("vm-3 gets SIGTERM");
    std::thread::sleep(GRACE);
    let end = deployment.daemons[3].end();
    record.line(format!("the daemon of vm-3: {}", end.as_deref().unwrap_or("gets SIGKILL")));
    deployment.daemons[3].stop();
    let seen = join(requests);
    join(vec![upload]);
    let lost = seen.iter().filter(|seen| seen.status.is_none() && !seen.is_late).count();
    record.line(format!("{lost} of {} requests ended without an answer", seen.len()));
    Ok(lost == 0)
}

/// A caller names `X-Caller-Service` in its `Connection` header.
fn nominated_header(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    let deployment = Deployment::start(false, record)?;
    let connection = if is_disrupted { "keep-alive, X-Caller-Service" } else { "keep-alive" };
    let headers = format!("X-Caller-Service: media\r\nConnection: {connection}\r\n");
    for number in 0..10 {
        let request = Request {
            id: format!("req-{number}"),
            path: "/checkout/1",
            deadline: Duration::from_secs(5),
            headers: headers.clone(),
            body: vec![b'z'; 1200],
            upload: Duration::ZERO,
        };
        request.send(deployment.daemons[2].entry, record);
    }
    let runs = deployment.runs_of("req-");
    if runs.len() < 10 {
        return Err(format!("only {} of 10 requests ran", runs.len()));
    }
    let wrong = runs.iter().filter(|run| run.caller.as_deref() != Some("storefront")).count();
    record.line(format!("{wrong} of {} runs did not name the caller's service storefront", runs.len()));
    Ok(wrong == 0)
}

/// A machine gets a server of another service. Its settings file changes with it, and no signal is sent.
fn silent_settings(record: &Record, is_disrupted: bool) -> Result<bool, String> {
    /// Bound `config_apply` of the site; requests that are sent earlier are left out.
    const APPLY: f64 = 2.0;
    const MACHINE: usize = 3;
    let deployment = Deployment::start(false, record)?;
    let daemon = &deployment.daemons[MACHINE];
    let mut service = "storefront";
    if is_disrupted {
        let leaving = &deployment.servers[MACHINE];
        leaving.drain(daemon.control);
        std::thread::sleep(Duration::from_millis(2500));
        leaving.leave(daemon.control);
        std::thread::sleep(Duration::from_millis(2500));
        // The daemon compares the file every 5 s after its start; the change comes soon after that.
        let since = daemon.running_for().as_secs_f64() % 5.0;
        std::thread::sleep(Duration::from_secs_f64(5.3 - since));
        service = "media";
        daemon.write_settings(service);
        record.line("the settings of vm-3 name the service media, without a signal");
        let new = server::Server::start("i-new", service, false, &deployment.runs, record);
        if new.check_in(daemon.control) != Some(200) {
            return Err("the check-in of the new server was not acknowledged".into());
        }
        record.line("the daemon of vm-3 has acknowledged the check-in of i-new, of the service media");
        new.keep_checking_in(daemon.control);
    }
    let changed = record.seconds();
    while record.seconds() < changed + 6.0 {
        let is_counted = record.seconds() >= changed + APPLY;
        let request = Request {
            id: format!("{}-{:.2}", if is_counted { "after" } else { "soon" }, record.seconds() - changed),
            path: "/checkout/1",
            deadline: Duration::from_secs(5),
            headers: String::new(),
            body: vec![b'z'; 1200],
            upload: Duration::ZERO,
        };
        request.send(daemon.entry, record);
        std::thread::sleep(Duration::from_millis(80));
    }
    let runs = deployment.runs_of("after-");
    if runs.len() < 20 {
        return Err(format!("only {} requests ran", runs.len()));
    }
    let wrong = runs.iter().filter(|run| run.caller.as_deref() != Some(service)).count();
    record.line(format!("{wrong} of {} runs named another service than {service}", runs.len()));
    Ok(wrong == 0)
}
