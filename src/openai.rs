//! The callers' API in OpenAI's format: requests, answers, chunks and errors.
//!
//! It follows the chat completions chapter of the OpenAI API reference.

use {
    bytes::Bytes,
    cactusspur_core::{Cause, Refusal, Tokens, Usage, Verdict},
    derive_more::Display,
    serde::Deserialize,
    serde_json::{Value, json},
};

/// The fields of a chat completion request that are used. Other fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The name of the requested class.
    pub model: String,
    /// The messages, as received.
    pub messages: Value,
    /// The maximum length of the answer, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// The newer name of `max_tokens`, which takes precedence.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    /// The options of a streamed answer.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// The number of answers; only 1 is supported.
    #[serde(default)]
    pub n: Option<u64>,
}

/// The options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk reports the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// An invalid field of a request.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{field}: {problem}")]
pub struct FieldProblem {
    /// The path of the field, such as `messages[0].content`, or `body` for the body as a whole.
    pub field: String,
    /// Why the field is invalid.
    pub problem: String,
}

impl FieldProblem {
    fn new<F, P>(field: F, problem: P) -> Self
    where
        F: Into<String>,
        P: Into<String>,
    {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

impl ChatRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, FieldProblem> {
        Self::parse_with_levels(body).map(|parsed| parsed.0)
    }

    /// Parses and validates a request body, and returns the texts of its messages as well.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn parse_with_levels(body: &[u8]) -> Result<(Self, Vec<Bytes>), FieldProblem> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| FieldProblem::new("body", error.to_string()))?;
        for field in ["model", "messages"] {
            if value.get(field).is_none() {
                return Err(FieldProblem::new(field, "is missing"));
            }
        }
        if !value["model"].is_string() {
            return Err(FieldProblem::new("model", "must be a string"));
        }
        let request: Self = serde_json::from_value(value)
            .map_err(|error| FieldProblem::new("body", error.to_string()))?;
        if request.n.is_some_and(|n| n != 1) {
            return Err(FieldProblem::new("n", "must be 1"));
        }
        if request.max_tokens == Some(0) {
            return Err(FieldProblem::new("max_tokens", "must be 1 or more"));
        }
        let levels = request.levels()?;
        Ok((request, levels))
    }

    /// The texts of the messages, in order. Each is one level of the prompt.
    ///
    /// # Errors
    ///
    /// Returns the first message whose content isn't text, or `messages` if there is none.
    pub fn levels(&self) -> Result<Vec<Bytes>, FieldProblem> {
        let messages = self
            .messages
            .as_array()
            .filter(|messages| !messages.is_empty())
            .ok_or_else(|| FieldProblem::new("messages", "must be a list with an entry"))?;
        messages
            .iter()
            .enumerate()
            .map(|(index, message)| {
                content_text(&message["content"]).ok_or_else(|| {
                    FieldProblem::new(format!("messages[{index}].content"), "must be text")
                })
            })
            .collect()
    }

    /// The maximum length of the answer in tokens: as requested, but at most `upper_limit`.
    #[must_use]
    pub fn answer_limit(&self, upper_limit: Tokens) -> Tokens {
        let requested = self
            .max_completion_tokens
            .or(self.max_tokens)
            .map_or(upper_limit, Tokens);
        requested.min(upper_limit)
    }
}

fn content_text(content: &Value) -> Option<Bytes> {
    if let Some(text) = content.as_str() {
        return Some(Bytes::copy_from_slice(text.as_bytes()));
    }
    let parts: Option<Vec<&str>> = content
        .as_array()?
        .iter()
        .map(|part| part["text"].as_str())
        .collect();
    Some(Bytes::from(parts?.concat()))
}

/// The fields that the chunks or the complete answer of one request have in common.
#[derive(Clone, Debug)]
pub struct CompletionHead {
    /// The id of the answer, which contains the name of the request.
    pub id: String,
    /// The name of the class.
    pub class: String,
    /// When the answer was created, in seconds since the Unix epoch.
    pub created_s: u64,
}

impl CompletionHead {
    fn chunk(&self, choices: &Value) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created_s,
            "model": self.class,
            "choices": choices,
        })
    }

    /// The first chunk, which contains the role.
    #[must_use]
    pub fn role_chunk(&self) -> Value {
        let delta = json!({ "role": "assistant", "content": "" });
        self.chunk(&json!([{ "index": 0, "delta": delta, "finish_reason": null }]))
    }

    /// A chunk of text.
    #[must_use]
    pub fn text_chunk(&self, text: &str) -> Value {
        let delta = json!({ "content": text });
        self.chunk(&json!([{ "index": 0, "delta": delta, "finish_reason": null }]))
    }

    /// The chunk that marks the end of a complete answer.
    #[must_use]
    pub fn end_chunk(&self) -> Value {
        self.chunk(&json!([{ "index": 0, "delta": {}, "finish_reason": "stop" }]))
    }

    /// The chunk that reports the usage.
    #[must_use]
    pub fn usage_chunk(&self, usage: &Usage) -> Value {
        let mut chunk = self.chunk(&json!([]));
        chunk["usage"] = usage_value(usage);
        chunk
    }

    /// A complete answer that is not streamed.
    #[must_use]
    pub fn completion(&self, text: &str, usage: &Usage) -> Value {
        let message = json!({ "role": "assistant", "content": text });
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created_s,
            "model": self.class,
            "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
            "usage": usage_value(usage),
        })
    }
}

fn usage_value(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.answer_tokens,
        "total_tokens": usage.prompt_tokens + usage.answer_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
        "cost_microcredits": usage.cost_microcredits,
        "first_token_ms": usage.first_token_ms,
        "attempts": usage.attempts,
    })
}

/// The error body for a refusal.
#[must_use]
pub fn refusal_body(refusal: &Refusal) -> Value {
    error_body(
        &refusal.to_string(),
        error_type(refusal.cause),
        &error_code(refusal.cause),
        None,
    )
}

/// The error body for an invalid field.
#[must_use]
pub fn field_error(problem: &FieldProblem) -> Value {
    error_body(
        &problem.to_string(),
        "invalid_request_error",
        "bad_request",
        Some(&problem.field),
    )
}

/// An error body in OpenAI's format.
#[must_use]
pub fn error_body(message: &str, kind: &str, code: &str, param: Option<&str>) -> Value {
    json!({ "error": { "message": message, "type": kind, "code": code, "param": param } })
}

fn error_code(cause: Cause) -> String {
    serde_json::to_value(cause)
        .ok()
        .and_then(|code| code.as_str().map(str::to_owned))
        .unwrap_or_default()
}

fn error_type(cause: Cause) -> &'static str {
    match cause {
        Cause::Unknown
        | Cause::BadRequest
        | Cause::KeyMismatch
        | Cause::OverCost
        | Cause::CrashesEngines => "invalid_request_error",
        Cause::OverShare | Cause::OverCap => "rate_limit_error",
        Cause::NoCredits => "insufficient_quota",
        _ => "server_error",
    }
}

/// The HTTP status code for a refusal.
#[must_use]
pub fn http_status(cause: Cause) -> u16 {
    match cause {
        Cause::Unknown => 404,
        Cause::BadRequest => 400,
        Cause::OverShare | Cause::NoCredits | Cause::OverCap => 429,
        Cause::KeyInUse => 409,
        Cause::KeyMismatch | Cause::OverCost | Cause::CrashesEngines => 422,
        Cause::BackendFailed => 502,
        Cause::NoWorker
        | Cause::Overload
        | Cause::TableUnavailable
        | Cause::ShuttingDown
        | Cause::NoConfiguration
        | Cause::TooManyRequests => 503,
    }
}

/// The value of the `X-Verdict` header.
#[must_use]
pub const fn verdict_header(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::NotRun => "not-run",
        Verdict::MayHaveRun => "may-have-run",
    }
}
