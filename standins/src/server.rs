//! HTTP server shared by all simulated processes.

use {
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    ntex::{
        http::{HttpServiceConfig, KeepAlive},
        rt::{DefaultRuntime, System},
        service::cfg::SharedCfg,
        time::Seconds,
        web::{App, HttpServer, ServiceConfig, types::PayloadConfig},
    },
    std::{
        future::Future,
        net::{SocketAddr, TcpListener},
        pin::Pin,
        task::{Context, Poll},
        thread::{self, JoinHandle},
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::oneshot,
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// How long shutdown waits for open connections.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// The server can't listen on its address.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}")]
pub struct BindError {
    address: SocketAddr,
}

/// Handle of a running server. The future resolves when the server ends. Dropping the handle stops
/// the server and waits until its threads have ended.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    ended: oneshot::Receiver<std::io::Result<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Future for ServerHandle {
    type Output = std::io::Result<()>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.ended)
            .poll(context)
            .map(|ended| ended.unwrap_or(Ok(())))
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// Serves the routes of `configure` on `address` in a separate thread.
pub(crate) fn bind<C>(address: SocketAddr, configure: C) -> Result<ServerHandle, Report<BindError>>
where
    C: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let bind_error = || BindError { address };
    let listener = TcpListener::bind(address).change_context_lazy(bind_error)?;
    let local_address = listener.local_addr().change_context_lazy(bind_error)?;
    let (stop, stopped) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    let serve = move || {
        let result = System::new("standin", DefaultRuntime)
            .block_on(async move { serve(listener, configure, stopped).await });
        end.send(result).ok();
    };
    let thread = thread::Builder::new()
        .name("standin".to_owned())
        .spawn(serve)
        .change_context_lazy(bind_error)?;
    Ok(ServerHandle {
        address: local_address,
        stop: Some(stop),
        ended,
        thread: Some(thread),
    })
}

/// Serves until the sender of `stopped` is dropped, then stops without waiting for open
/// connections.
async fn serve<C>(
    listener: TcpListener,
    configure: C,
    stopped: oneshot::Receiver<()>,
) -> std::io::Result<()>
where
    C: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let factory = async move || {
        App::new()
            .state(PayloadConfig::new(MAX_BODY_BYTES))
            .configure(&configure)
    };
    // If a timeout for request headers is set, ntex also closes the connection after any response
    // that takes longer than this timeout.
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Os)
        .set_client_timeout(Seconds::ZERO);
    let server = HttpServer::new(factory)
        .workers(1)
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .config(SharedCfg::new("standin").add(http))
        .listen(listener)?
        .run();
    let stop = async {
        stopped.await.ok();
        server.stop(false).await;
    };
    tokio::select! {
        result = server.clone() => result,
        () = stop => Ok(()),
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|since| u64::try_from(since.as_millis()).ok())
        .unwrap_or_default()
}
