//! The HTTP servers for callers, for readiness checks, and for metrics and status.

use {
    super::{
        GatewayError, Shared, explain, forward, link, quarantine, response, status::GatewayStatus,
    },
    crate::telemetry::init_metrics,
    cactusspur_core::gateway::Culprit,
    error_stack::{Report, ResultExt},
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version, header},
    http_body_util::{BodyExt, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    metrics_exporter_prometheus::PrometheusHandle,
    socket2::SockRef,
    std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{Instant, sleep, timeout},
    },
};

/// How long a caller's connection may be idle while no configuration is loaded, and a connection to
/// the other servers always.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest request head while no configuration is loaded, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// The smallest limit on request heads that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;
/// The delay before accepting again after an error of `accept`, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// How long a connection that has carried no request yet is kept open during shutdown. Callers give up
/// a request that isn't read within a second.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of an operator's order, in bytes.
const MAX_ORDER_BYTES: usize = 65_536;

/// The path under which an operator asks where a request would go.
pub const EXPLAIN_PATH: &str = "/explain";
/// The path under which an operator ends a quarantine, before the text form of the culprit.
pub const LIFT_PATH: &str = "/quarantine/lift/";

/// The running HTTP server for callers.
pub struct CallerServer {
    connections: Rc<Cell<usize>>,
    stop: watch::Sender<bool>,
}

impl CallerServer {
    /// Binds the callers' address and starts accepting connections.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn bind(shared: &Rc<Shared>) -> Result<Self, Report<GatewayError>> {
        let listener = listen(shared.settings.callers_address).await?;
        let (stop, stopped) = watch::channel(false);
        let connections = Rc::new(Cell::new(0));
        ntex::rt::spawn(accept(
            Rc::clone(shared),
            listener,
            Rc::clone(&connections),
            stopped,
        ));
        Ok(Self { connections, stop })
    }

    /// Accepts the connections that wait in the listen queue and no more, and closes each open one after
    /// its request in progress. One that was just opened may carry its first request first.
    pub fn stop_accepting(&self) {
        self.stop.send_replace(true);
    }

    /// The number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.get()
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
    connections: Rc<Cell<usize>>,
    stopped: watch::Receiver<bool>,
) {
    let mut stop = stopped.clone();
    loop {
        // Callers may have sent requests on the connections in the queue.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.set(connections.get() + 1);
                let connections = Rc::clone(&connections);
                let serving = serve(Rc::clone(&shared), stream, stopped.clone());
                ntex::rt::spawn(async move {
                    serving.await;
                    connections.set(connections.get() - 1);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a caller's connection");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the requests of one caller's connection, under the limits that are configured when it is
/// accepted.
async fn serve(shared: Rc<Shared>, stream: TcpStream, stopped: watch::Receiver<bool>) {
    let limits = shared.state.borrow().routing.as_ref().map(|r| r.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| Duration::from_millis(l.idle_ms.0));
    // A caller may read nothing for as long as it may be idle.
    link::set_socket_options(&stream, idle_timeout);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |l| l.max_head_bytes);
    let (has_request, first_request) = watch::channel(false);
    let has_chunks = Cell::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        has_request.send_replace(true);
        has_chunks.set(request.version() > Version::HTTP_10);
        let shared = Rc::clone(&shared);
        async move {
            let mut response = forward::serve(Rc::clone(&shared), request).await;
            if shared.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        biased;
        result = &mut connection => result,
        () = wait_to_close(stopped, first_request) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let Err(error) = result else {
        return;
    };
    tracing::debug!(%error, "a caller's connection failed");
    // Without chunks, an orderly close is the end of the body.
    if error.is_user() && !has_chunks.get() {
        let stream = connection.into_parts().io.into_inner();
        if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(%error, "failed to set a socket option");
        }
    }
}

/// Waits until a connection must be closed after its request in progress. One that was just opened may
/// carry its first request first.
async fn wait_to_close(mut stopped: watch::Receiver<bool>, mut has_request: watch::Receiver<bool>) {
    let opened_at = Instant::now();
    if stopped.wait_for(|stopped| *stopped).await.is_err() {
        tracing::debug!("the server has ended; closing its connection");
        return;
    }
    let left = FIRST_REQUEST_TIMEOUT.saturating_sub(opened_at.elapsed());
    let first = timeout(left, has_request.wait_for(|has_request| *has_request));
    if first.await.is_err() {
        tracing::debug!("closing a connection without a request");
    }
}

/// Starts the server for readiness checks. It answers 200 while the gateway is ready, and 503
/// otherwise.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn spawn_readiness(shared: &Rc<Shared>) -> Result<(), Report<GatewayError>> {
    let listener = listen(shared.settings.readiness_address).await?;
    let shared = Rc::clone(shared);
    ntex::rt::spawn(serve_by_path(listener, move |_, _, _| {
        if shared.is_ready() {
            response::empty(StatusCode::OK)
        } else {
            response::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }));
    Ok(())
}

/// Starts the server for metrics, if the settings name an address for it. It serves
/// [`GatewayStatus`] as JSON under `/status`, and Prometheus metrics under any other path. A `POST` of the
/// text form of a [`Culprit`] to [`LIFT_PATH`] ends its quarantine in all gateways, and one of an
/// [`explain::ExplainQuery`] as JSON to [`EXPLAIN_PATH`] returns an [`explain::Explanation`].
///
/// # Errors
///
/// When the address can't be bound.
pub async fn spawn_metrics(shared: &Rc<Shared>) -> Result<(), Report<GatewayError>> {
    let Some(address) = shared.settings.metrics_address else {
        return Ok(());
    };
    let listener = listen(address).await?;
    let recorder = init_metrics();
    let shared = Rc::clone(shared);
    ntex::rt::spawn(serve_by_path(listener, move |method, path, body| {
        if path == EXPLAIN_PATH {
            return explain_request(&shared, method, body);
        }
        if let Some(culprit) = path.strip_prefix(LIFT_PATH) {
            return lift(&shared, method, culprit);
        }
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

/// Ends the quarantine of the culprit in a path, where `:` stands for the space of its text form.
fn lift(shared: &Rc<Shared>, method: &Method, culprit: &str) -> Response<response::ResponseBody> {
    if method != Method::POST {
        return response::empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    match culprit.replace(':', " ").parse::<Culprit>() {
        Ok(culprit) => {
            quarantine::lift(shared, &culprit);
            response::empty(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            tracing::info!(culprit, %error, "rejected an order to end a quarantine");
            response::empty(StatusCode::BAD_REQUEST)
        }
    }
}

/// Answers with where the request that a body describes would go.
fn explain_request(
    shared: &Shared,
    method: &Method,
    body: &[u8],
) -> Response<response::ResponseBody> {
    if method != Method::POST {
        return response::empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    let query = match serde_json::from_slice(body) {
        Ok(query) => query,
        Err(error) => {
            tracing::info!(%error, "rejected an order to explain a request");
            return response::empty(StatusCode::BAD_REQUEST);
        }
    };
    match serde_json::to_string(&explain::explain(shared, &query)) {
        Ok(text) => response::with_body(StatusCode::OK, HeaderMap::new(), text.into()),
        Err(error) => {
            tracing::error!(%error, "failed to encode an explanation");
            response::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status_text(shared: &Shared) -> String {
    match serde_json::to_string(&GatewayStatus::collect(shared)) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(%error, "failed to encode the status");
            String::new()
        }
    }
}

/// Answers each request on a listener with the response that `respond` returns for its path and
/// body.
async fn serve_by_path<F>(listener: TcpListener, respond: F)
where
    F: Fn(&Method, &str, &[u8]) -> Response<response::ResponseBody> + Clone + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection for readiness or metrics");
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let respond = respond.clone();
        ntex::rt::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let respond = respond.clone();
                async move {
                    let (parts, body) = request.into_parts();
                    let response = match Limited::new(body, MAX_ORDER_BYTES).collect().await {
                        Ok(body) => respond(&parts.method, parts.uri.path(), &body.to_bytes()),
                        Err(error) => {
                            tracing::info!(%error, "failed to read an operator's request");
                            response::empty(StatusCode::BAD_REQUEST)
                        }
                    };
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection for readiness or metrics failed");
            }
        });
    }
}
