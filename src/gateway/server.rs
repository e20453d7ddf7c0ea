//! Takes callers' connections and questions for readiness in.

use {
    super::{GatewayError, Shared, forward, link, response, status::GatewayStatus},
    crate::telemetry::open_metrics,
    error_stack::{Report, ResultExt},
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    metrics_exporter_prometheus::PrometheusHandle,
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
    ntex::rt::spawn(answer_all(listener, move |_| {
        if shared.is_ready() {
            response::empty(StatusCode::OK)
        } else {
            response::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }));
    Ok(())
}

/// Serves metrics as Prometheus text, and what the gateway believes under `/status`, if the
/// settings name an address for them.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn spawn_metrics(shared: &Rc<Shared>) -> Result<(), Report<GatewayError>> {
    let Some(address) = shared.settings.metrics_address else {
        return Ok(());
    };
    let listener = listen(address).await?;
    let recorder = open_metrics();
    let shared = Rc::clone(shared);
    ntex::rt::spawn(answer_all(listener, move |path| {
        let body = match path {
            "/status" => status_text(&shared),
            _ => recorder
                .as_ref()
                .map_or(String::new(), PrometheusHandle::render),
        };
        response::with_body(StatusCode::OK, HeaderMap::new(), body.into())
    }));
    Ok(())
}

fn status_text(shared: &Shared) -> String {
    match serde_json::to_string(&GatewayStatus::of(shared)) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(%error, "the status can't be written");
            String::new()
        }
    }
}

/// Answers each request on a listener by its path.
async fn answer_all<F>(listener: TcpListener, answer: F)
where
    F: Fn(&str) -> Response<response::ResponseBody> + Clone + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "a question was not accepted");
                sleep(ACCEPT_BACK_OFF).await;
                continue;
            }
        };
        let answer = answer.clone();
        ntex::rt::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = answer(request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a question ended");
            }
        });
    }
}
