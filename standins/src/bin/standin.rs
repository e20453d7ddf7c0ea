//! Runs one stand-in until it is killed. `RUST_LOG` sets what it logs to standard error.

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

/// Stand-ins for the processes that cactusspur talks to.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The address to listen at; port 0 takes a free one.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    role: Role,
}

#[derive(Subcommand)]
enum Role {
    /// A model engine.
    Engine(EngineSettings),
    /// A plain service.
    Plain(PlainSettings),
    /// The platform.
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
