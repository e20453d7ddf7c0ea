//! Runs one simulated process until it is killed. `RUST_LOG` sets the filter of its log on standard
//! error.

use {
    cactusspur_standins::{
        engine::{self, EngineSettings},
        plain::{self, PlainSettings},
        platform::{self, PlatformSettings},
    },
    clap::{Parser, Subcommand},
    std::{error::Error, io, net::SocketAddr},
    tracing_subscriber::EnvFilter,
};

/// Simulates the processes that cactusspur communicates with.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// Simulates a model engine.
    Engine(EngineSettings),
    /// Simulates a plain service.
    Plain(PlainSettings),
    /// Simulates the platform.
    Platform(PlatformSettings),
}

#[ntex::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::from_default_env())
        .with_writer(io::stderr)
        .init();
    let running = match arguments.role {
        Role::Engine(settings) => engine::bind(settings, arguments.listen),
        Role::Plain(settings) => plain::bind(settings, arguments.listen),
        Role::Platform(settings) => platform::bind(settings, arguments.listen),
    }?;
    println!("listening={}", running.address());
    running.await?;
    Ok(())
}
