//! `lynxmast`: what operators use to check and publish policy and to see what the fleet does.

mod admin;
mod arguments;
mod explain;
mod fail;
mod key;
mod log_line;
mod policy;
mod status;
mod story;
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
        return process::ExitCode::from(fail::USAGE);
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("lynxmast: cannot start: {error}");
            return process::ExitCode::from(fail::UNREACHABLE);
        }
    };
    match runtime.block_on(run(command)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(fail) => {
            eprintln!("lynxmast: {fail}");
            process::ExitCode::from(fail.code)
        }
    }
}

async fn run(command: arguments::Command) -> Result<(), fail::Fail> {
    use arguments::Command;
    match command {
        Command::Check(options) => policy::check(&options.files),
        Command::Key(options) => key::create(&options.file),
        Command::Publish(options) => policy::publish(&options).await,
        Command::Show(options) => policy::show(&options).await,
        Command::Status(options) => status::show(&options).await,
        Command::Timeline(options) => timeline::show(&options).await,
        Command::Explain(options) => explain::explain(&options),
    }
}
