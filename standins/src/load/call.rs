//! Sending one request and timing its answer.

use {
    crate::load::{
        number::{MICROS_PER_MS, micros_of},
        outcome::{End, Outcome},
        schedule::Planned,
        sse::DataLines,
        unbounded::PromptTokens,
        workload::{Workload, api_key},
    },
    cactusspur_core::AttemptId,
    derive_more::{Display, Error},
    error_stack::Report,
    ntex::{
        client::{Client, ClientRequest, ClientResponse, Connector},
        http::StatusCode,
        time::Millis,
    },
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// How long a request may take in all.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// No client for HTTP could be made.
#[derive(Debug, Display, Error)]
#[display("no HTTP client")]
pub struct ClientError;

/// A client whose connections are not limited in number.
///
/// # Errors
/// When the client's connector can't be made.
pub async fn open_client() -> Result<Client, Report<ClientError>> {
    let timeout = u32::try_from(REQUEST_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    Client::builder()
        .connector::<()>(Connector::new().limit(0))
        .response_timeout(Millis(timeout))
        .disable_redirects()
        .build(ntex::SharedCfg::new("load"))
        .await
        .map_err(|error| Report::new(ClientError).attach(error.to_string()))
}

/// When a request was meant to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Intended(pub Instant);

impl Intended {
    /// The time that has passed, in microseconds.
    #[must_use]
    pub fn elapsed_us(self) -> u64 {
        micros_of(self.0.elapsed())
    }
}

/// How a try at one address ended.
pub enum Try {
    /// There is an outcome.
    Ended(Outcome),
    /// It was not run there, and another address may serve it.
    Elsewhere(End),
}

/// Collects the times of an answer's parts.
struct Timing {
    intended: Intended,
    last_us: Option<u64>,
    outcome: Outcome,
}

impl Timing {
    fn open(intended: Intended) -> Self {
        let end = End::Failed {
            what: "incomplete".to_owned(),
        };
        Self {
            intended,
            last_us: None,
            outcome: Outcome::without_answer(end),
        }
    }

    fn part(&mut self) {
        let now_us = self.intended.elapsed_us();
        if let Some(last_us) = self.last_us {
            self.outcome.gaps_us.push(now_us.saturating_sub(last_us));
        } else {
            self.outcome.first_token_us = Some(now_us);
        }
        self.last_us = Some(now_us);
    }

    fn fail(mut self, what: String) -> Outcome {
        self.outcome.end = End::Failed { what };
        self.outcome
    }

    fn complete(mut self) -> Outcome {
        self.outcome.end = End::Complete;
        self.outcome
    }
}

fn messages(request: &Planned) -> Value {
    let last = request.levels.len() - 1;
    let role = |at| if at == last { "user" } else { "system" };
    request
        .levels
        .iter()
        .enumerate()
        .map(|(at, level)| json!({"role": role(at), "content": &**level}))
        .collect()
}

/// Sends a chat or a call to an entry VM, as a caller does.
pub async fn to_entry(
    client: &Client,
    address: &str,
    workload: Workload,
    request: &Planned,
    intended: Intended,
) -> Try {
    let class = workload.classes()[request.class];
    let key = api_key(workload.customers()[request.customer].name);
    if class.service.is_some() {
        let call = client
            .post(format!("http://{address}/v1/services/{}", class.name))
            .bearer_auth(key);
        return plain(call, request, intended).await;
    }
    let body = json!({
        "model": class.name,
        "messages": messages(request),
        "max_tokens": request.max_answer_tokens,
        "stream": true,
        "stream_options": {"include_usage": true},
    });
    let sent = client
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(key)
        .send_json(&body)
        .await;
    match accepted(sent).await {
        Ok(response) => Try::Ended(chat(&response, intended).await),
        Err(end) => end,
    }
}

async fn chat(response: &ClientResponse, intended: Intended) -> Outcome {
    let mut timing = Timing::open(intended);
    let mut lines = DataLines::open(response);
    while let Some(line) = lines.next().await {
        if line == b"[DONE]" {
            lines.drain().await;
            return timing.complete();
        }
        let Ok(event) = serde_json::from_slice::<Value>(&line) else {
            return timing.fail("malformed".to_owned());
        };
        if let Some(code) = error_code(&event) {
            return timing.fail(code);
        }
        let content = event["choices"][0]["delta"]["content"].as_str();
        if content.is_some_and(|text| !text.is_empty()) {
            timing.part();
        }
        let usage = &event["usage"];
        if let Some(prompt) = usage["prompt_tokens"].as_u64() {
            let cached = &usage["prompt_tokens_details"]["cached_tokens"];
            timing.outcome.prompt = Some(PromptTokens {
                prompt,
                cached: cached.as_u64().unwrap_or_default(),
            });
            timing.outcome.answer_tokens = usage["completion_tokens"].as_u64().unwrap_or_default();
        }
    }
    timing.outcome
}

/// What an engine has to know besides the request.
#[derive(Clone, Copy, Debug)]
pub struct Direct {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its urgency.
    pub priority: u32,
}

/// Sends a chat to an engine or a call to a plain service, without cactusspur.
pub async fn to_worker(
    client: &Client,
    address: &str,
    workload: Workload,
    request: &Planned,
    direct: Direct,
    intended: Intended,
) -> Try {
    let customer = workload.customer_id(request.customer);
    if workload.classes()[request.class].service.is_some() {
        let call = client
            .post(format!("http://{address}/call"))
            .header("X-Attempt-Id", direct.attempt.to_string())
            .header("X-Customer", customer.to_string());
        return plain(call, request, intended).await;
    }
    let model = workload.model();
    let body = json!({
        "model": model.name,
        "messages": messages(request),
        "max_tokens": request.max_answer_tokens,
        "stream": true,
        "attempt_id": direct.attempt,
        "customer": customer,
        "adapter": model.adapter,
        "weights_version": model.weights_version,
        "priority": direct.priority,
        "resume_offset_bytes": 0,
        "delivered": "",
        "import_pieces": [],
        "export_pieces": [],
    });
    let sent = client
        .post(format!("http://{address}/v1/chat/completions"))
        .send_json(&body)
        .await;
    match accepted(sent).await {
        Ok(response) => Try::Ended(engine_chat(&response, intended).await),
        Err(end) => end,
    }
}

async fn engine_chat(response: &ClientResponse, intended: Intended) -> Outcome {
    let mut timing = Timing::open(intended);
    let mut lines = DataLines::open(response);
    while let Some(line) = lines.next().await {
        let Ok(event) = serde_json::from_slice::<Value>(&line) else {
            return timing.fail("malformed".to_owned());
        };
        match event["type"].as_str() {
            Some("accepted") => {
                timing.outcome.prompt = Some(PromptTokens {
                    prompt: event["prompt_tokens"].as_u64().unwrap_or_default(),
                    cached: event["cached_tokens"].as_u64().unwrap_or_default(),
                });
            }
            Some("piece") => timing.part(),
            Some("finished") => {
                timing.outcome.answer_tokens = event["answer_tokens"].as_u64().unwrap_or_default();
                lines.drain().await;
                return timing.complete();
            }
            _ => return timing.fail("malformed".to_owned()),
        }
    }
    timing.outcome
}

async fn plain(call: ClientRequest, request: &Planned, intended: Intended) -> Try {
    let body = request.levels[0].to_string();
    let call = match &request.key {
        Some(key) => call.header("Idempotency-Key", key.as_str()),
        None => call,
    };
    let response = match accepted(call.send_body(body).await).await {
        Ok(response) => response,
        Err(end) => return end,
    };
    let mut timing = Timing::open(intended);
    if response.body().await.is_err() {
        return Try::Ended(timing.fail("broken".to_owned()));
    }
    timing.part();
    Try::Ended(timing.complete())
}

async fn accepted<E>(sent: Result<ClientResponse, E>) -> Result<ClientResponse, Try>
where
    E: std::fmt::Display,
{
    let Ok(response) = sent else {
        return Err(Try::Elsewhere(End::Failed {
            what: "connection".to_owned(),
        }));
    };
    if response.status().is_success() {
        return Ok(response);
    }
    Err(refused(&response).await)
}

async fn refused(response: &ClientResponse) -> Try {
    let status = response.status();
    let body = response.body().await.unwrap_or_default();
    let cause = serde_json::from_slice::<Value>(&body)
        .ok()
        .and_then(|body| error_code(&body))
        .unwrap_or_else(|| status.as_str().to_owned());
    let leaving = ["shutting_down", "no_configuration", "full", "leaving"];
    let elsewhere = leaving.contains(&cause.as_str());
    let end = End::Refused { cause };
    if elsewhere && status == StatusCode::SERVICE_UNAVAILABLE {
        return Try::Elsewhere(end);
    }
    Try::Ended(Outcome::without_answer(end))
}

fn error_code(body: &Value) -> Option<String> {
    let code = body.get("error")?.get("code")?.as_str()?;
    Some(code.to_owned())
}

/// A wait between two tries of one request.
pub const BETWEEN_TRIES: Duration = Duration::from_micros(5 * MICROS_PER_MS);
