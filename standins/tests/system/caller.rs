//! A caller of a cluster's entry VMs.

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

/// The workload of the tests.
pub const WORKLOAD: Workload = Workload::Trust;
/// The class of its chats.
pub const CHAT: &str = "ring-description";
/// The class of its calls that may not be repeated.
pub const HOLD: &str = "stone-hold";
/// Tokens of a short answer.
const SHORT_ANSWER_TOKENS: u64 = 4;
/// How long a condition may take to come true.
const PATIENCE: Duration = Duration::from_secs(30);
/// The time between two looks at a condition.
pub const INTERVAL: Duration = Duration::from_millis(20);

/// Brings a cluster up.
pub async fn cluster(entry_vms: usize) -> Cluster {
    let plan = ClusterPlan {
        workload: WORKLOAD,
        entry_vms,
        lapsing: None,
    };
    Cluster::spawn(&plan).await.expect("the cluster comes up")
}

/// Waits until a condition holds.
pub async fn until<C, F>(what: &str, mut condition: C)
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(INTERVAL).await;
    }
}

fn key() -> String {
    api_key(WORKLOAD.customers()[0].name)
}

/// A prompt of two levels.
pub fn prompt(question: &str) -> [String; 2] {
    ["house rules ".repeat(200), question.to_owned()]
}

/// The answer that every engine gives.
pub fn expected(question: &str, tokens: u64) -> String {
    expected_answer(
        WORKLOAD.model().id(),
        WORKLOAD.customer_id(0),
        &prompt(question),
        tokens,
    )
}

/// Sends a chat.
pub async fn chat(
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
        .bearer_auth(key())
        .send_json(&body)
        .await
        .ok()
}

/// The text of a streamed answer and whether it ended whole.
#[derive(Debug, Default)]
pub struct Streamed {
    /// The text that came.
    pub text: String,
    /// Whether the end of a whole answer came.
    pub whole: bool,
    /// The code of an error event.
    pub error: Option<String>,
    pending: Vec<u8>,
}

impl Streamed {
    /// Reads the next part. Returns whether there was one.
    pub async fn read(&mut self, response: &mut ClientResponse) -> bool {
        let Some(Ok(part)) = response.next().await else {
            return false;
        };
        self.pending.extend_from_slice(&part);
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            self.line(&line);
        }
        true
    }

    fn line(&mut self, line: &[u8]) {
        let Some(data) = line.trim_ascii().strip_prefix(b"data: ") else {
            return;
        };
        if data == b"[DONE]" {
            self.whole = true;
            return;
        }
        let event: Value = serde_json::from_slice(data).expect("an event is JSON");
        if let Some(code) = event["error"]["code"].as_str() {
            self.error = Some(code.to_owned());
        }
        let text = event["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(text.unwrap_or_default());
    }

    /// Reads until some text has come.
    pub async fn read_some(&mut self, response: &mut ClientResponse) {
        while self.text.is_empty() {
            assert!(
                self.read(response).await,
                "the stream ended before its first text"
            );
        }
    }

    /// Reads to the end.
    pub async fn read_all(&mut self, response: &mut ClientResponse) {
        while self.read(response).await {}
    }
}

/// What came back for a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The verdict of a refusal.
    pub verdict: Option<String>,
    /// Whether it said when to come back.
    pub retry_after: bool,
}

/// Sends a call that may not be repeated.
pub async fn hold(cluster: &Cluster, entry: usize, once_key: &str) -> Option<HoldAnswer> {
    let url = format!(
        "http://{}/v1/services/{HOLD}",
        cluster.entry_addresses()[entry]
    );
    let response = cluster
        .client()
        .post(url)
        .bearer_auth(key())
        .header("idempotency-key", once_key)
        .send_json(&json!({ "stone": once_key }))
        .await
        .ok()?;
    let header = |name| response.header(name).and_then(|value| value.to_str().ok());
    Some(HoldAnswer {
        status: response.status().as_u16(),
        verdict: header("x-verdict").map(str::to_owned),
        retry_after: header("retry-after").is_some(),
    })
}

/// Sends a chat and reads its answer; it must be whole and right.
pub async fn whole_chat(cluster: &Cluster, entry: usize, question: &str) {
    let mut response = chat(cluster, entry, question, SHORT_ANSWER_TOKENS)
        .await
        .expect("an answer");
    let mut streamed = Streamed::default();
    streamed.read_all(&mut response).await;
    assert!(streamed.whole, "{streamed:?}");
    assert_eq!(streamed.text, expected(question, SHORT_ANSWER_TOKENS));
}

/// Whether a chat through an entry VM is served.
pub async fn serves(cluster: &Cluster, entry: usize) -> bool {
    let question = "does it serve";
    let Some(mut response) = chat(cluster, entry, question, SHORT_ANSWER_TOKENS).await else {
        return false;
    };
    let mut streamed = Streamed::default();
    streamed.read_all(&mut response).await;
    streamed.whole && streamed.text == expected(question, SHORT_ANSWER_TOKENS)
}

/// Whether an entry VM tells a balancer that it takes requests.
pub async fn is_ready(cluster: &Cluster, entry: usize) -> bool {
    let url = format!("http://{}/ready", cluster.operator_addresses()[entry]);
    let sent = cluster.client().get(url).send().await;
    sent.is_ok_and(|response| response.status().is_success())
}

/// The requests that an entry VM has in progress.
pub async fn in_progress(cluster: &Cluster, entry: usize) -> Option<u64> {
    let url = format!("http://{}/status", cluster.operator_addresses()[entry]);
    let response = cluster.client().get(url).send().await.ok()?;
    let status: Value = response.json().await.ok()?;
    status["in_progress"].as_u64()
}
