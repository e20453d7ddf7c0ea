//! HTTP requests to workers: attempts, cancellations, orders, probes, load reports and cache
//! events.

use {
    crate::{
        driver::Driver,
        openai::ChatRequest,
        worker_wire::{CacheBody, EngineEvent, EngineRequest, HealthBody, LoadBody, SnapshotBody},
    },
    bytes::Bytes,
    cactusspur_core::{
        AttemptId, CacheReport, CacheSequence, CacheSnapshot, ClassId, CurrentLoad, Event, Failure,
        FencingNumber, Incarnation, LoadReport, ModelId, Order, OrderOutcome, Send, ServedBy,
        Verdict, WorkerId,
    },
    futures::StreamExt,
    ntex::{
        SharedCfg,
        client::{Client, ClientResponse, Connector, error::ClientError},
        http::StatusCode,
        time::{Millis, timeout},
    },
    serde::de::DeserializeOwned,
    std::sync::Arc,
};

/// The timeout of probes, reports, cancellations and orders.
const REPORT_TIMEOUT: Millis = Millis(500);
/// The maximum length of a line in an answer's stream, in bytes.
const MAX_LINE_BYTES: usize = 1_024 * 1_024;
/// The maximum size of a plain service's answer and of a worker's report, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;

/// The read position in the cache events of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachePosition {
    /// The incarnation of the worker that the events belong to.
    pub incarnation: Incarnation,
    /// The sequence number of the next event to read.
    pub next: CacheSequence,
}

/// The HTTP client for requests to workers. It is bound to one thread.
#[derive(Clone)]
pub struct WorkerLink {
    client: Client,
    driver: Arc<Driver>,
}

impl WorkerLink {
    /// Creates the client. No connection is opened yet.
    pub async fn new(driver: Arc<Driver>) -> Self {
        Self {
            client: new_client().await,
            driver,
        }
    }

    /// Runs an attempt until it ends and reports its events and its result to the driver.
    pub async fn run_attempt(&self, send: Send) {
        let attempt = send.attempt;
        let result = match send.scope {
            Some(_) => self.run_completion(&send).await,
            None => self.run_service_call(&send).await,
        };
        if let Err((verdict, failure)) = result {
            tracing::debug!(%attempt, %verdict, ?failure, "attempt failed");
            self.driver.handle(Event::AttemptFailed {
                attempt,
                verdict,
                failure,
            });
        }
    }

    async fn run_completion(&self, send: &Send) -> Result<(), (Verdict, Failure)> {
        let not_sent = (Verdict::NotRun, Failure::Connect);
        let address = self.driver.worker_address(send.worker).ok_or(not_sent)?;
        let caller_request = self.driver.caller_request(send.request).ok_or(not_sent)?;
        let chat: ChatRequest =
            serde_json::from_slice(&caller_request.body).map_err(|_| not_sent)?;
        let class = ClassId::from_name(&chat.model);
        let served_by = self
            .driver
            .inspect(|core| core.class(class).map(|class| class.served_by.clone()));
        let Some(ServedBy::Model {
            name,
            adapter,
            max_answer_tokens,
        }) = served_by
        else {
            return Err(not_sent);
        };
        let delivered = self.driver.delivered_text(send.request);
        let request = EngineRequest {
            model: &name,
            adapter: adapter.as_deref(),
            messages: &chat.messages,
            max_tokens: chat.answer_limit(max_answer_tokens).0,
            stream: true,
            attempt_id: send.attempt,
            customer: caller_request.customer,
            weights_version: send.scope.map(|scope| scope.weights).unwrap_or_default(),
            priority: send.priority,
            resume_offset_bytes: send.resume_offset_bytes,
            delivered: &delivered,
            import_pieces: &send.import,
            export_pieces: &send.export,
        };
        let url = format!("http://{address}/v1/chat/completions");
        let response = self
            .client
            .post(url)
            .send_json(&request)
            .await
            .map_err(|error| classify_client_error(&error))?;
        if response.status() != StatusCode::OK {
            return Err(classify_error_status(&response));
        }
        self.read_events(send, response).await
    }

    async fn read_events(
        &self,
        send: &Send,
        mut response: ClientResponse,
    ) -> Result<(), (Verdict, Failure)> {
        let mut buffer: Vec<u8> = Vec::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|_| (Verdict::MayHaveRun, Failure::Broken))?;
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                if self.handle_line(send, &line)? {
                    drain_body(response).await;
                    return Ok(());
                }
            }
            if buffer.len() > MAX_LINE_BYTES {
                return Err((Verdict::MayHaveRun, Failure::Protocol));
            }
        }
        Err((Verdict::MayHaveRun, Failure::Broken))
    }

    /// Reports the event in one line of an attempt's stream to the driver. Returns whether it was
    /// the last event.
    fn handle_line(&self, send: &Send, line: &[u8]) -> Result<bool, (Verdict, Failure)> {
        let Some(data) = line.trim_ascii_end().strip_prefix(b"data: ") else {
            return Ok(false);
        };
        let event: EngineEvent =
            serde_json::from_slice(data).map_err(|_| (Verdict::MayHaveRun, Failure::Protocol))?;
        let is_last =
            matches!(event, EngineEvent::Finished { attempt_id, .. } if attempt_id == send.attempt);
        let load = event.load();
        self.driver.handle(event.into());
        if let Some((incarnation, load)) = load {
            self.driver.handle(Event::CurrentLoad(CurrentLoad {
                worker: send.worker,
                incarnation,
                observed_at_ms: load.observed_at_ms,
                queued_tokens: load.queued_tokens,
                running: load.running,
            }));
        }
        Ok(is_last)
    }

    async fn run_service_call(&self, send: &Send) -> Result<(), (Verdict, Failure)> {
        let not_sent = (Verdict::NotRun, Failure::Connect);
        let address = self.driver.worker_address(send.worker).ok_or(not_sent)?;
        let caller_request = self.driver.caller_request(send.request).ok_or(not_sent)?;
        let response = new_client()
            .await
            .post(format!("http://{address}/call"))
            .header("x-attempt-id", send.attempt.to_string())
            .header("x-customer", caller_request.customer.to_string())
            .if_some(caller_request.idempotency_key.clone(), |key, request| {
                request.header("idempotency-key", key)
            })
            .send_body(caller_request.body.to_vec())
            .await
            .map_err(|error| classify_client_error(&error))?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err((Verdict::NotRun, Failure::Refused));
        }
        let status = response.status().as_u16();
        let answer = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|_| (Verdict::MayHaveRun, Failure::Broken))?;
        let body = Bytes::copy_from_slice(&answer);
        self.driver.handle(Event::CallAnswered {
            attempt: send.attempt,
            status,
            body,
        });
        Ok(())
    }

    /// Tells a worker to abort an attempt.
    pub async fn cancel(&self, worker: WorkerId, attempt: AttemptId) {
        let Some(address) = self.driver.worker_address(worker) else {
            return;
        };
        let body = serde_json::json!({ "attempt_id": attempt });
        let request = new_client()
            .await
            .post(format!("http://{address}/v1/cancel"));
        if timeout(REPORT_TIMEOUT, request.send_json(&body))
            .await
            .is_err()
        {
            tracing::debug!(%attempt, "the worker did not answer the cancellation in time");
        }
    }

    /// Sends an order to a worker and reports its outcome to the driver.
    pub async fn execute_order(&self, worker: WorkerId, fencing: FencingNumber, order: &Order) {
        let outcome = self
            .send_order(worker, fencing, order)
            .await
            .unwrap_or(OrderOutcome::Unknown);
        self.driver.handle(Event::OrderAnswered {
            worker,
            fencing,
            outcome,
        });
    }

    async fn send_order(
        &self,
        worker: WorkerId,
        fencing: FencingNumber,
        order: &Order,
    ) -> Option<OrderOutcome> {
        let address = self.driver.worker_address(worker)?;
        let body = serde_json::json!({ "fencing": fencing, "order": order });
        let request = new_client()
            .await
            .post(format!("http://{address}/v1/orders"));
        let response = timeout(REPORT_TIMEOUT, request.send_json(&body))
            .await
            .ok()?
            .ok()?;
        match response.status() {
            StatusCode::OK => Some(OrderOutcome::Applied),
            StatusCode::CONFLICT => Some(OrderOutcome::Outdated),
            _ => None,
        }
    }

    /// Probes a worker over a new connection and reports its incarnation, or that it did not
    /// answer.
    pub async fn probe(&self, worker: WorkerId) {
        let incarnation = self.fetch_incarnation(worker).await;
        self.driver.handle(Event::Probed {
            worker,
            incarnation,
        });
    }

    /// Requests a snapshot of a worker's cache.
    pub async fn fetch_cache_snapshot(&self, worker: WorkerId) {
        let Some(address) = self.driver.worker_address(worker) else {
            return;
        };
        let url = format!("http://{address}/v1/cache");
        let Some(body) = fetch_json::<SnapshotBody>(&self.client, &url).await else {
            return;
        };
        self.driver.handle(Event::CacheSnapshot(CacheSnapshot {
            worker,
            incarnation: body.incarnation,
            next_sequence: body.next_sequence,
            pieces: body.pieces,
        }));
    }

    async fn fetch_incarnation(&self, worker: WorkerId) -> Option<Incarnation> {
        let address = self.driver.worker_address(worker)?;
        let url = format!("http://{address}/v1/health");
        let health: HealthBody = fetch_json(&new_client().await, &url).await?;
        Some(health.incarnation)
    }

    /// Requests a worker's load report.
    pub async fn poll_load(&self, worker: WorkerId) {
        let Some(address) = self.driver.worker_address(worker) else {
            return;
        };
        let Some(load) =
            fetch_json::<LoadBody>(&self.client, &format!("http://{address}/v1/load")).await
        else {
            return;
        };
        if load.leaving {
            let incarnation = load.incarnation;
            self.driver.handle(Event::WorkerLeaving {
                worker,
                incarnation,
            });
        }
        let models = load.models.iter().map(|model| {
            let adapter = model.adapter.as_deref().unwrap_or_default();
            (
                ModelId::from_name(&format!("{}/{adapter}", model.name)),
                model.weights_version,
            )
        });
        self.driver.handle(Event::Load(LoadReport {
            worker,
            incarnation: load.incarnation,
            observed_at_ms: load.observed_at_ms,
            queued_tokens: load.queued_tokens,
            running: load.running,
            slots: load.slots,
            prefill_rate: load.prefill_rate,
            import_rate: load.import_rate,
            price_microcredits: load.price_microcredits,
            models: models.collect(),
            cache_pieces: load.cache_pieces,
        }));
    }

    /// Requests the changes of a worker's cache since `position`. Returns the position to continue
    /// from: unchanged when the request failed, 0 of the new incarnation after a restart.
    pub async fn poll_cache_events(
        &self,
        worker: WorkerId,
        position: CachePosition,
    ) -> CachePosition {
        let Some(address) = self.driver.worker_address(worker) else {
            return position;
        };
        let url = format!("http://{address}/v1/cache-events?after={}", position.next);
        let Some(body) = fetch_json::<CacheBody>(&self.client, &url).await else {
            return position;
        };
        if body.incarnation != position.incarnation {
            return CachePosition {
                incarnation: body.incarnation,
                next: CacheSequence(0),
            };
        }
        let next = CacheSequence(body.first_sequence.0 + body.changes.len() as u64);
        self.driver.handle(Event::Cache(CacheReport {
            worker,
            incarnation: body.incarnation,
            first_sequence: body.first_sequence,
            changes: body.changes,
        }));
        CachePosition { next, ..position }
    }
}

/// Reads a response body to its end after the last event, so that its connection can be reused.
async fn drain_body(mut response: ClientResponse) {
    let drain = async { while response.next().await.is_some_and(|part| part.is_ok()) {} };
    if timeout(REPORT_TIMEOUT, drain).await.is_err() {
        tracing::debug!("the worker did not close the response body after the last event");
    }
}

/// A client with an empty connection pool, so that its first request opens a new connection.
async fn new_client() -> Client {
    match Client::builder()
        .connector::<()>(Connector::new().limit(0))
        .disable_timeout()
        .build(SharedCfg::new("worker-link"))
        .await
    {
        Ok(client) => client,
        Err(_) => Client::new().await,
    }
}

async fn fetch_json<T>(client: &Client, url: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let exchange = async {
        let response = client.get(url).timeout(REPORT_TIMEOUT).send().await.ok()?;
        let body = response.body().limit(MAX_BODY_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    timeout(REPORT_TIMEOUT, exchange).await.ok().flatten()
}

fn classify_client_error(error: &ClientError) -> (Verdict, Failure) {
    match error {
        ClientError::Url(_) | ClientError::Connect(_) => (Verdict::NotRun, Failure::Connect),
        _ => (Verdict::MayHaveRun, Failure::Broken),
    }
}

fn classify_error_status(response: &ClientResponse) -> (Verdict, Failure) {
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return (Verdict::NotRun, Failure::Refused);
    }
    (Verdict::MayHaveRun, Failure::Protocol)
}
