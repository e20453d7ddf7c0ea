//! The links to workers: attempts, probes, load reports and cache events.

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

/// How long a worker may take to answer a probe or to give a report.
const REPORT_TIMEOUT: Millis = Millis(500);
/// The longest line of an answer's stream, in bytes.
const MAX_LINE_BYTES: usize = 1_024 * 1_024;
/// The largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// How far the cache events of a worker's life have been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachePosition {
    /// The life.
    pub incarnation: Incarnation,
    /// The next event to read.
    pub next: CacheSequence,
}

/// The links to workers. It belongs to one thread.
#[derive(Clone)]
pub struct WorkerLink {
    client: Client,
    driver: Arc<Driver>,
}

impl WorkerLink {
    /// Opens the links. Nothing is sent yet.
    pub async fn open(driver: Arc<Driver>) -> Self {
        Self {
            client: new_client().await,
            driver,
        }
    }

    /// Runs an attempt to its end and tells the driver how it went.
    pub async fn run(&self, send: Send) {
        let attempt = send.attempt;
        let ended = match send.scope {
            Some(_) => self.run_model(&send).await,
            None => self.run_call(&send).await,
        };
        if let Err((verdict, failure)) = ended {
            tracing::debug!(%attempt, %verdict, ?failure, "attempt failed");
            self.driver.handle(Event::AttemptFailed {
                attempt,
                verdict,
                failure,
            });
        }
    }

    async fn run_model(&self, send: &Send) -> Result<(), (Verdict, Failure)> {
        let not_sent = (Verdict::NotRun, Failure::Connect);
        let address = self.driver.address(send.worker).ok_or(not_sent)?;
        let body = self.driver.body(send.request).ok_or(not_sent)?;
        let chat: ChatRequest = serde_json::from_slice(&body.body).map_err(|_| not_sent)?;
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
        let delivered = self.driver.delivered(send.request);
        let request = EngineRequest {
            model: &name,
            adapter: adapter.as_deref(),
            messages: &chat.messages,
            max_tokens: chat.answer_limit(max_answer_tokens).0,
            stream: true,
            attempt_id: send.attempt,
            customer: body.customer,
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
            .map_err(|error| send_failure(&error))?;
        if response.status() != StatusCode::OK {
            return Err(status_failure(&response));
        }
        self.read_events(send, response).await
    }

    async fn read_events(
        &self,
        send: &Send,
        mut response: ClientResponse,
    ) -> Result<(), (Verdict, Failure)> {
        let mut pending: Vec<u8> = Vec::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|_| (Verdict::MayHaveRun, Failure::Broken))?;
            pending.extend_from_slice(&chunk);
            while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = pending.drain(..=end).collect();
                if self.read_line(send, &line)? {
                    read_to_end(response).await;
                    return Ok(());
                }
            }
            if pending.len() > MAX_LINE_BYTES {
                return Err((Verdict::MayHaveRun, Failure::Protocol));
            }
        }
        Err((Verdict::MayHaveRun, Failure::Broken))
    }

    /// Takes in one line of the stream of an attempt. Returns whether it was the last.
    fn read_line(&self, send: &Send, line: &[u8]) -> Result<bool, (Verdict, Failure)> {
        let Some(data) = line.trim_ascii_end().strip_prefix(b"data: ") else {
            return Ok(false);
        };
        let event: EngineEvent =
            serde_json::from_slice(data).map_err(|_| (Verdict::MayHaveRun, Failure::Protocol))?;
        let last =
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
        Ok(last)
    }

    async fn run_call(&self, send: &Send) -> Result<(), (Verdict, Failure)> {
        let not_sent = (Verdict::NotRun, Failure::Connect);
        let address = self.driver.address(send.worker).ok_or(not_sent)?;
        let body = self.driver.body(send.request).ok_or(not_sent)?;
        let response = new_client()
            .await
            .post(format!("http://{address}/call"))
            .header("x-attempt-id", send.attempt.to_string())
            .header("x-customer", body.customer.to_string())
            .if_some(body.once_key.clone(), |key, request| {
                request.header("idempotency-key", key)
            })
            .send_body(body.body.to_vec())
            .await
            .map_err(|error| send_failure(&error))?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err((Verdict::NotRun, Failure::Refused));
        }
        let status = response.status().as_u16();
        let answer = response
            .body()
            .limit(MAX_ANSWER_BYTES)
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

    /// Tells a worker to drop an attempt.
    pub async fn cancel(&self, worker: WorkerId, attempt: AttemptId) {
        let Some(address) = self.driver.address(worker) else {
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
            tracing::debug!(%attempt, "the worker did not answer the cancel");
        }
    }

    /// Gives a worker an order and reports what became of it.
    pub async fn order(&self, worker: WorkerId, fencing: FencingNumber, order: &Order) {
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
        let address = self.driver.address(worker)?;
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

    /// Asks a worker over a new connection whether it is alive.
    pub async fn probe(&self, worker: WorkerId) {
        let incarnation = self.health(worker).await;
        self.driver.handle(Event::Probed {
            worker,
            incarnation,
        });
    }

    /// Asks a worker for its whole cache.
    pub async fn read_cache(&self, worker: WorkerId) {
        let Some(address) = self.driver.address(worker) else {
            return;
        };
        let url = format!("http://{address}/v1/cache");
        let Some(body) = get::<SnapshotBody>(&self.client, &url).await else {
            return;
        };
        self.driver.handle(Event::CacheSnapshot(CacheSnapshot {
            worker,
            incarnation: body.incarnation,
            next_sequence: body.next_sequence,
            pieces: body.pieces,
        }));
    }

    async fn health(&self, worker: WorkerId) -> Option<Incarnation> {
        let address = self.driver.address(worker)?;
        let url = format!("http://{address}/v1/health");
        let health: HealthBody = get(&new_client().await, &url).await?;
        Some(health.incarnation)
    }

    /// Asks a worker for its load.
    pub async fn poll_load(&self, worker: WorkerId) {
        let Some(address) = self.driver.address(worker) else {
            return;
        };
        let Some(load) = get::<LoadBody>(&self.client, &format!("http://{address}/v1/load")).await
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

    /// Asks a worker for the changes of its cache from a position on. Returns where to go on from.
    pub async fn poll_cache(&self, worker: WorkerId, from: CachePosition) -> CachePosition {
        let Some(address) = self.driver.address(worker) else {
            return from;
        };
        let url = format!("http://{address}/v1/cache-events?after={}", from.next);
        let Some(body) = get::<CacheBody>(&self.client, &url).await else {
            return from;
        };
        if body.incarnation != from.incarnation {
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
        CachePosition { next, ..from }
    }
}

/// Reads what is left of an answer that is whole, so that its connection can be used again.
async fn read_to_end(mut response: ClientResponse) {
    let reading = async { while response.next().await.is_some_and(|part| part.is_ok()) {} };
    if timeout(REPORT_TIMEOUT, reading).await.is_err() {
        tracing::debug!("an answer's connection stays open after its end");
    }
}

/// A client without connections, so that its first call opens one.
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

async fn get<T>(client: &Client, url: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let exchange = async {
        let response = client.get(url).timeout(REPORT_TIMEOUT).send().await.ok()?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    timeout(REPORT_TIMEOUT, exchange).await.ok().flatten()
}

fn send_failure(error: &ClientError) -> (Verdict, Failure) {
    match error {
        ClientError::Url(_) | ClientError::Connect(_) => (Verdict::NotRun, Failure::Connect),
        _ => (Verdict::MayHaveRun, Failure::Broken),
    }
}

fn status_failure(response: &ClientResponse) -> (Verdict, Failure) {
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return (Verdict::NotRun, Failure::Refused);
    }
    (Verdict::MayHaveRun, Failure::Protocol)
}
