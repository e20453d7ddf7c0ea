//! Client functions for the entry VMs of a cluster.

use {
    cactusspur_standins::{
        engine::expected_answer,
        load::{
            cluster::{Cluster, ClusterPlan},
            workload::{Workload, api_key},
        },
    },
    futures::StreamExt,
    ntex::client::ClientResponse,
    serde_json::{Value, json},
    std::{
        future::Future,
        time::{Duration, Instant},
    },
};

/// Workload of the tests.
pub const WORKLOAD: Workload = Workload::Trust;
/// Class of the chats in the workload.
pub const CHAT: &str = "ring-description";
/// Class of the non-idempotent calls in the workload.
pub const HOLD: &str = "stone-hold";
/// Length of a short answer, in tokens.
const SHORT_ANSWER_TOKENS: u64 = 4;
/// Timeout of the conditions that tests wait for.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a cluster.
pub async fn start_cluster(entry_vms: usize) -> Cluster {
    let plan = ClusterPlan {
        workload: WORKLOAD,
        entry_vms,
        lapsing: None,
    };
    Cluster::spawn(&plan).await.expect("the cluster starts")
}

/// Waits until a condition holds; panics after [`CONDITION_TIMEOUT`].
pub async fn wait_until<C, F>(condition_name: &str, mut condition: C)
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out: {condition_name}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn caller_api_key() -> String {
    api_key(WORKLOAD.customers()[0].name)
}

/// Returns a prompt of two levels.
pub fn prompt(question: &str) -> [String; 2] {
    ["house rules ".repeat(200), question.to_owned()]
}

/// Returns the answer that every engine generates to a question.
pub fn expected_answer_to(question: &str, tokens: u64) -> String {
    expected_answer(
        WORKLOAD.model().id(),
        WORKLOAD.customer_id(0),
        &prompt(question),
        tokens,
    )
}

/// Sends a chat request. Returns `None` if the connection broke before the response.
pub async fn send_chat(
    cluster: &Cluster,
    entry: usize,
    question: &str,
    tokens: u64,
) -> Option<ClientResponse> {
    let [rules, question] = prompt(question);
    let body = json!({
        "model": CHAT,
        "messages": [{"role": "system", "content": rules}, {"role": "user", "content": question}],
        "max_tokens": tokens,
        "stream": true,
    });
    let url = format!(
        "http://{}/v1/chat/completions",
        cluster.entry_addresses()[entry]
    );
    cluster
        .client()
        .post(url)
        .bearer_auth(caller_api_key())
        .send_json(&body)
        .await
        .ok()
}

/// A streamed answer as received so far.
#[derive(Debug, Default)]
pub struct StreamedAnswer {
    /// The received text.
    pub text: String,
    /// Whether the end marker of a complete answer was received.
    pub is_complete: bool,
    /// Code of an error event, if one was received.
    pub error: Option<String>,
    unparsed: Vec<u8>,
}

impl StreamedAnswer {
    /// Reads the next chunk. Returns false at the end of the stream.
    pub async fn read_chunk(&mut self, response: &mut ClientResponse) -> bool {
        let Some(Ok(chunk)) = response.next().await else {
            return false;
        };
        self.unparsed.extend_from_slice(&chunk);
        while let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.unparsed.drain(..=end).collect();
            self.parse_line(&line);
        }
        true
    }

    fn parse_line(&mut self, line: &[u8]) {
        let Some(data) = line.trim_ascii().strip_prefix(b"data: ") else {
            return;
        };
        if data == b"[DONE]" {
            self.is_complete = true;
            return;
        }
        let event: Value = serde_json::from_slice(data).expect("an event is JSON");
        if let Some(code) = event["error"]["code"].as_str() {
            self.error = Some(code.to_owned());
        }
        let text = event["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(text.unwrap_or_default());
    }

    /// Reads until some text has been received.
    pub async fn read_first_text(&mut self, response: &mut ClientResponse) {
        while self.text.is_empty() {
            assert!(
                self.read_chunk(response).await,
                "the stream ended before its first text"
            );
        }
    }

    /// Reads to the end of the stream.
    pub async fn read_all(&mut self, response: &mut ClientResponse) {
        while self.read_chunk(response).await {}
    }
}

/// Response to a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldAnswer {
    /// HTTP status.
    pub status: u16,
    /// Verdict header of a refusal.
    pub verdict: Option<String>,
    /// Whether the response had a `Retry-After` header.
    pub retry_after: bool,
}

/// Sends a non-idempotent call. Returns `None` if the connection broke before the response.
pub async fn send_hold(
    cluster: &Cluster,
    entry: usize,
    idempotency_key: &str,
) -> Option<HoldAnswer> {
    let url = format!(
        "http://{}/v1/services/{HOLD}",
        cluster.entry_addresses()[entry]
    );
    let response = cluster
        .client()
        .post(url)
        .bearer_auth(caller_api_key())
        .header("idempotency-key", idempotency_key)
        .send_json(&json!({ "stone": idempotency_key }))
        .await
        .ok()?;
    let header = |name| response.header(name).and_then(|value| value.to_str().ok());
    Some(HoldAnswer {
        status: response.status().as_u16(),
        verdict: header("x-verdict").map(str::to_owned),
        retry_after: header("retry-after").is_some(),
    })
}

/// Sends a chat request and checks that the answer is complete and correct.
pub async fn check_chat(cluster: &Cluster, entry: usize, question: &str) {
    let mut response = send_chat(cluster, entry, question, SHORT_ANSWER_TOKENS)
        .await
        .expect("an answer");
    let mut streamed = StreamedAnswer::default();
    streamed.read_all(&mut response).await;
    assert!(streamed.is_complete, "{streamed:?}");
    assert_eq!(
        streamed.text,
        expected_answer_to(question, SHORT_ANSWER_TOKENS)
    );
}

/// Whether an entry VM serves a chat request completely and correctly.
pub async fn is_serving(cluster: &Cluster, entry: usize) -> bool {
    let question = "does it serve";
    let Some(mut response) = send_chat(cluster, entry, question, SHORT_ANSWER_TOKENS).await else {
        return false;
    };
    let mut streamed = StreamedAnswer::default();
    streamed.read_all(&mut response).await;
    streamed.is_complete && streamed.text == expected_answer_to(question, SHORT_ANSWER_TOKENS)
}

/// Whether an entry VM reports to load balancers that it accepts requests.
pub async fn is_ready(cluster: &Cluster, entry: usize) -> bool {
    let url = format!("http://{}/ready", cluster.operator_addresses()[entry]);
    let sent = cluster.client().get(url).send().await;
    sent.is_ok_and(|response| response.status().is_success())
}

/// Returns the number of requests that an entry VM has in progress, if it responds.
pub async fn in_progress(cluster: &Cluster, entry: usize) -> Option<u64> {
    let url = format!("http://{}/status", cluster.operator_addresses()[entry]);
    let response = cluster.client().get(url).send().await.ok()?;
    let status: Value = response.json().await.ok()?;
    status["in_progress"].as_u64()
}
