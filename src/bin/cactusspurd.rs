//! The daemon of an entry VM.

use {
    cactusspur::{Daemon, DaemonError, Settings, init_log},
    clap::Parser,
    error_stack::{Report, ResultExt},
    futures::future::select,
    std::{io, path::PathBuf, pin::pin, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

/// Serves callers on an entry VM until it receives a stop signal.
///
/// Prints one line with the addresses that it is bound to. The first interrupt or termination signal starts a graceful shutdown.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings file, in YAML.
    #[arg(long)]
    settings: PathBuf,
}

async fn run(arguments: Arguments) -> Result<(), Report<DaemonError>> {
    let settings = Settings::from_file(&arguments.settings).change_context(DaemonError)?;
    init_log(settings.log_format);
    let daemon = Daemon::bind(settings).await?;
    println!("{}", daemon.addresses());
    stop_signal().await.change_context(DaemonError)?;
    daemon.shut_down().await;
    Ok(())
}

/// Waits for an interrupt or termination signal.
async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    select(pin!(terminate.recv()), pin!(interrupt.recv())).await;
    Ok(())
}

#[ntex::main]
async fn main() -> ExitCode {
    match run(Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
