//! Command line arguments.

use std::net;
use std::path;

use gumdrop::Options;

/// Options before the command.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "print the version")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// Command and its options.
#[derive(Debug, Options)]
pub enum Command {
    #[options(
        help = "validate section files or a configuration before it is sent, and show what it changes"
    )]
    Check(Check),
    #[options(help = "generate a team's key pair: writes the private key, prints the public key")]
    Key(Key),
    #[options(help = "publish a section and wait until it is active on every daemon")]
    Publish(Publish),
    #[options(help = "show the active sections")]
    Show(DaemonQuery),
    #[options(help = "show a daemon, its local upstreams and the members of the fleet")]
    Status(DaemonQuery),
    #[options(help = "show the merged timeline of all reachable daemons, or of log files")]
    Timeline(Timeline),
    #[options(help = "explain the outcome of one request from the logs of all daemons")]
    Explain(Explain),
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "section files in TOML, or a configuration of the platform")]
    pub files: Vec<path::PathBuf>,
    #[options(help = "the file is a whole configuration of the platform, in JSON")]
    pub configuration: bool,
    #[options(help = "compare with the sections in force at this daemon", meta = "ADDRESS")]
    pub daemon: Option<net::SocketAddr>,
    #[options(help = "compare with this file instead of a daemon", meta = "FILE")]
    pub against: Option<path::PathBuf>,
    #[options(help = "print JSON lines")]
    pub json: bool,
    #[options(no_short, help = "exit with 6 if there are warnings")]
    pub strict: bool,
}

/// Options of `key`.
#[derive(Debug, Options)]
pub struct Key {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "new file for the private key")]
    pub file: path::PathBuf,
}

/// Options of `publish`.
#[derive(Debug, Options)]
pub struct Publish {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "section file in TOML")]
    pub file: path::PathBuf,
    #[options(required, help = "administration address of any daemon", meta = "ADDRESS")]
    pub daemon: Option<net::SocketAddr>,
    #[options(required, help = "address of the platform's log", meta = "ADDRESS")]
    pub log: Option<net::SocketAddr>,
    #[options(
        help = "version of the section that the edit is based on (default: the active version)",
        meta = "N"
    )]
    pub base: Option<u64>,
    #[options(help = "file with the team's private key", meta = "FILE")]
    pub key: Option<path::PathBuf>,
    #[options(help = "seconds to wait for the confirmation", default = "30", meta = "N")]
    pub wait: u64,
}

/// Options of commands that query one daemon.
#[derive(Debug, Options)]
pub struct DaemonQuery {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(required, help = "administration address of any daemon", meta = "ADDRESS")]
    pub daemon: Option<net::SocketAddr>,
    #[options(help = "print JSON")]
    pub json: bool,
}

/// Options of `timeline`.
#[derive(Debug, Options)]
pub struct Timeline {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, help = "log files of daemons, read instead of querying the daemons")]
    pub files: Vec<path::PathBuf>,
    #[options(help = "administration address of any daemon", meta = "ADDRESS")]
    pub daemon: Option<net::SocketAddr>,
    #[options(help = "print JSON lines; ignored for log files")]
    pub json: bool,
    #[options(
        help = "only lines that contain this text, such as a service or an address",
        meta = "TEXT"
    )]
    pub only: Option<String>,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct Explain {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "id of the request")]
    pub id: String,
    #[options(free, help = "log files of daemons (default: standard input)")]
    pub files: Vec<path::PathBuf>,
}

/// Returns the help text, with examples and exit codes.
pub fn usage() -> String {
    format!(
        "Usage: lynxmast COMMAND [OPTIONS]\n\n{}\n\n{}\n\nExamples:\n  \
         lynxmast check strapline.toml kalgarra.toml\n  \
         lynxmast check strapline.toml --daemon 127.0.0.1:7104 --strict\n  \
         lynxmast key strapline.key\n  \
         lynxmast publish strapline.toml --daemon 127.0.0.1:7104 --log 127.0.0.1:7400\n  \
         lynxmast status --daemon 127.0.0.1:7104 --json\n  \
         lynxmast timeline --daemon 127.0.0.1:7104 --only storefront\n  \
         lynxmast timeline --only storefront *.log\n  \
         lynxmast explain b4a0d02b623ab920 *.log\n\n\
         Exit codes: 0 success, 2 invalid arguments or files, 3 no response, 4 edit rejected,\n\
         5 not confirmed in time, 6 warnings of 'check --strict'",
        Arguments::usage(),
        Arguments::command_list().unwrap_or_default()
    )
}
