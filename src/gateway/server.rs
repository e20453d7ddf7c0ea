//! Takes callers' connections and questions for readiness in.

use {
    super::{GatewayError, Shared, answer, forward, link},
    error_stack::{Report, ResultExt},
    http::{HeaderValue, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::Cell, convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// How long a connection may be without a request before a configuration says otherwise.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// The largest head of a request before a configuration says otherwise, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// The least size that the server library takes as its limit on heads, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;
/// How long to wait after the system refused to accept a connection.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(50);

/// The running server for callers.
pub struct CallerServer {
    open: Rc<Cell<usize>>,
    stop: watch::Sender<bool>,
}

impl CallerServer {
    /// Binds the callers' address.
    ///
    /// # Errors
    ///
    /// When it can't be bound.
    pub async fn bind(shared: &Rc<Shared>) -> Result<Self, Report<GatewayError>> {
        let listener = listen(shared.settings.callers_address).await?;
        let (stop, stopped) = watch::channel(false);
        let open = Rc::new(Cell::new(0));
        ntex::rt::spawn(accept(
            Rc::clone(shared),
            listener,
            Rc::clone(&open),
            stopped,
        ));
        Ok(Self { open, stop })
    }

    /// Takes no further connections, and closes those that are open as soon as they have
    /// answered.
    pub fn stop_accepting(&self) {
        self.stop.send_replace(true);
    }

    /// The connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<GatewayError>> {
    TcpListener::bind(address)
        .await
        .change_context(GatewayError)
        .attach(address)
}

async fn accept(
    shared: Rc<Shared>,
    listener: TcpListener,
    open: Rc<Cell<usize>>,
    stopped: watch::Receiver<bool>,
) {
    let mut stop = stopped.clone();
    loop {
        let accepted = tokio::select! {
            _ = stop.changed() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                open.set(open.get() + 1);
                let open = Rc::clone(&open);
                let serving = serve(Rc::clone(&shared), stream, stopped.clone());
                ntex::rt::spawn(async move {
                    serving.await;
                    open.set(open.get() - 1);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "a caller's connection was not accepted");
                sleep(ACCEPT_BACK_OFF).await;
            }
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream, mut stopped: watch::Receiver<bool>) {
    link::harden(&stream);
    let limits = shared.state.borrow().routing.as_ref().map(|r| r.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |l| Duration::from_millis(l.idle_ms.0));
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |l| l.max_head_bytes);
    let service = service_fn(|request: Request<Incoming>| {
        let shared = Rc::clone(&shared);
        async move {
            let mut response = forward::serve(Rc::clone(&shared), request).await;
            if shared.is_stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopped.wait_for(|stopped| *stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a caller's connection ended");
    }
}

/// Answers questions for readiness.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn spawn_readiness(shared: &Rc<Shared>) -> Result<(), Report<GatewayError>> {
    let listener = listen(shared.settings.readiness_address).await?;
    let shared = Rc::clone(shared);
    ntex::rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    ntex::rt::spawn(answer_readiness(Rc::clone(&shared), stream));
                }
                Err(error) => {
                    tracing::warn!(%error, "a question for readiness was not accepted");
                    sleep(ACCEPT_BACK_OFF).await;
                }
            }
        }
    });
    Ok(())
}

async fn answer_readiness(shared: Rc<Shared>, stream: TcpStream) {
    let service = service_fn(|_: Request<Incoming>| {
        let status = if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let response: Response<answer::AnswerBody> = answer::plain(status);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "a question for readiness ended");
    }
}
