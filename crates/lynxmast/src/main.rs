//! `lynxmast`: command line tool for operators to publish policy and to inspect the fleet.

mod admin;
mod arguments;
mod check;
mod error;
mod explain;
mod key;
mod log_line;
mod policy;
mod request_trace;
mod status;
mod timeline;

use std::process;

use gumdrop::Options;

fn main() -> process::ExitCode {
    let arguments = arguments::Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("lynxmast {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("{}", arguments::usage());
        return process::ExitCode::from(error::EXIT_USAGE);
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("lynxmast: cannot start the runtime: {error}");
            return process::ExitCode::from(error::EXIT_UNREACHABLE);
        }
    };
    match runtime.block_on(run(command)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxmast: {error}");
            process::ExitCode::from(error.code)
        }
    }
}

async fn run(command: arguments::Command) -> Result<(), error::CliError> {
    use arguments::Command;
    match command {
        Command::Check(options) => check::check(&options).await,
        Command::Key(options) => key::create(&options.file),
        Command::Publish(options) => policy::publish(&options).await,
        Command::Show(options) => policy::show(&options).await,
        Command::Status(options) => status::show(&options).await,
        Command::Timeline(options) => timeline::show(&options).await,
        Command::Explain(options) => explain::explain(&options),
    }
}
