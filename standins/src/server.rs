//! What all stand-ins share of serving HTTP.

use {
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    ntex::{
        http::{HttpServiceConfig, KeepAlive},
        server::Server,
        service::cfg::SharedCfg,
        time::Seconds,
        web::{App, HttpServer, ServiceConfig, types::PayloadConfig},
    },
    std::{
        future::Future,
        net::{SocketAddr, TcpListener},
        pin::Pin,
        task::{Context, Poll},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// How long a stop waits for open connections, in seconds.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// A stand-in can't listen at its address.
#[derive(Debug, Display, Error)]
#[display("can't listen at {address}")]
pub struct BindError {
    address: SocketAddr,
}

/// A stand-in that serves. As a future it ends when the server does.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    server: Server,
}

impl Running {
    /// The address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it without waiting for open connections.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

impl Future for Running {
    type Output = std::io::Result<()>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.server).poll(context)
    }
}

/// Serves the routes of `configure` at `address` on a thread of its own.
pub(crate) fn bind<C>(address: SocketAddr, configure: C) -> Result<Running, Report<BindError>>
where
    C: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let failed = || BindError { address };
    let listener = TcpListener::bind(address).change_context_lazy(failed)?;
    let bound = listener.local_addr().change_context_lazy(failed)?;
    let factory = async move || {
        App::new()
            .state(PayloadConfig::new(MAX_BODY_BYTES))
            .configure(&configure)
    };
    // With a limit on the time of a request's headers, ntex closes the connection after any answer
    // that takes longer than that limit.
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Os)
        .set_client_timeout(Seconds::ZERO);
    let server = HttpServer::new(factory)
        .workers(1)
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .config(SharedCfg::new("standin").add(http))
        .listen(listener)
        .change_context_lazy(failed)?
        .run();
    Ok(Running {
        address: bound,
        server,
    })
}

/// Milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|since| u64::try_from(since.as_millis()).ok())
        .unwrap_or_default()
}
