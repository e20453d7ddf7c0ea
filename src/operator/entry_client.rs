//! Requests to the operators' addresses of entry VMs.

use {
    super::{ExitStatus, Failure, OutputFormat},
    cactusspur_core::{Generation, TimeMs},
    futures::future::join_all,
    ntex::{
        client::Client,
        time::{Millis, timeout},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr},
};

/// The timeout of a request to an entry VM.
const REQUEST_TIMEOUT: Millis = Millis(2_000);
/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// The state of an entry VM, as its operators' API reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The generation of the configuration in force.
    pub generation: Generation,
    /// The id of the change that resulted in this configuration.
    #[serde(default)]
    pub change_id: String,
    /// When that change was accepted.
    #[serde(default)]
    pub accepted_at_ms: TimeMs,
    /// The time in milliseconds since the configuration was last confirmed as the newest; absent if
    /// it never was.
    #[serde(default)]
    pub confirmed_ms_ago: Option<u64>,
    /// The number of requests in progress.
    #[serde(default)]
    pub in_progress: u64,
    /// Whether the entry VM is shutting down.
    #[serde(default)]
    pub draining: bool,
    /// The other entry VMs that it knows.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
}

/// The state of an entry VM as known to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its liveness: `alive`, `suspected` or `gone`.
    pub state: String,
    /// Its operators' address, once it has announced it.
    #[serde(default)]
    pub operators_address: Option<SocketAddr>,
    /// The generation of its configuration.
    pub generation: Generation,
}

/// Fetches and parses the JSON at `path` from an entry VM.
pub(super) async fn fetch<T>(address: SocketAddr, path: &str) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let failure = |text: String| Failure::Entry(format!("{address}: {text}"));
    let exchange = async {
        let client = Client::new().await;
        let request = client.get(format!("http://{address}{path}"));
        let response = request.timeout(REQUEST_TIMEOUT).send().await;
        let response = response.map_err(|error| failure(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failure(format!("status {}", response.status())));
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        body.map_err(|error| failure(error.to_string()))
    };
    let body = match timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(body) => body?,
        Err(()) => return Err(failure("no answer".to_owned())),
    };
    serde_json::from_slice(&body).map_err(|error| failure(error.to_string()))
}

/// Posts `query` as JSON to an entry VM, and parses the JSON that it returns.
pub(super) async fn ask<Q, T>(address: SocketAddr, path: &str, query: &Q) -> Result<T, Failure>
where
    Q: Serialize,
    T: DeserializeOwned,
{
    let failure = |text: String| Failure::Entry(format!("{address}: {text}"));
    let exchange = async {
        let client = Client::new().await;
        let request = client.post(format!("http://{address}{path}"));
        let response = request.timeout(REQUEST_TIMEOUT).send_json(query).await;
        let response = response.map_err(|error| failure(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failure(format!("status {}", response.status())));
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        body.map_err(|error| failure(error.to_string()))
    };
    let body = match timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(body) => body?,
        Err(()) => return Err(failure("no answer".to_owned())),
    };
    serde_json::from_slice(&body).map_err(|error| failure(error.to_string()))
}

/// Sends an entry VM an order without a body.
pub(super) async fn post(address: SocketAddr, path: &str) -> Result<(), Failure> {
    let failure = |text: String| Failure::Entry(format!("{address}: {text}"));
    let exchange = async {
        let client = Client::new().await;
        let request = client.post(format!("http://{address}{path}"));
        request.timeout(REQUEST_TIMEOUT).send().await
    };
    let answer = timeout(REQUEST_TIMEOUT, exchange).await;
    let response = answer.map_err(|()| failure("no answer".to_owned()))?;
    let response = response.map_err(|error| failure(error.to_string()))?;
    if response.status().is_success() {
        Ok(())
    } else {
        Err(failure(format!("status {}", response.status())))
    }
}

/// The address of an entry VM, with its answer or why there is none.
pub(super) type EntryResult<T> = (SocketAddr, Result<T, Failure>);

/// Fetches `path` from several entry VMs concurrently.
pub(super) async fn fetch_all<T>(addresses: &[SocketAddr], path: &str) -> Vec<EntryResult<T>>
where
    T: DeserializeOwned,
{
    let results = addresses
        .iter()
        .map(|address| async move { (*address, fetch(*address, path).await) });
    join_all(results).await
}

/// Fetches the states of the given entry VMs and then, unless `only` is set, of the entry VMs that
/// those know. The members that these report in turn are not followed.
pub(super) async fn fetch_statuses(
    given: &[SocketAddr],
    only: bool,
) -> Vec<EntryResult<EntryStatus>> {
    let mut results = fetch_all::<EntryStatus>(given, "/status").await;
    if only {
        return results;
    }
    let mut discovered: Vec<SocketAddr> = results
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok())
        .flat_map(|status| &status.members)
        .filter_map(|member| member.operators_address)
        .filter(|address| !given.contains(address))
        .collect();
    discovered.sort_unstable();
    discovered.dedup();
    results.extend(fetch_all(&discovered, "/status").await);
    results
}

/// An answer of an entry VM in its printed form.
#[derive(Debug, Serialize)]
pub(super) struct EntryAnswer<T> {
    /// The address of the entry VM.
    pub address: SocketAddr,
    /// The answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<T>,
    /// Why there is no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

impl<T> From<EntryResult<T>> for EntryAnswer<T> {
    fn from((address, result): EntryResult<T>) -> Self {
        let (status, error) = match result {
            Ok(status) => (Some(status), None),
            Err(failure) => (None, Some(failure.to_string())),
        };
        Self {
            address,
            status,
            error,
        }
    }
}

/// Prints the answers. Returns [`ExitStatus::Unreachable`] if one is missing.
pub(super) fn print_answers<T, W, F>(
    results: Vec<EntryResult<T>>,
    format: OutputFormat,
    out: &mut W,
    describe: F,
) -> Result<ExitStatus, Failure>
where
    T: Serialize,
    W: io::Write,
    F: FnOnce(&[EntryAnswer<T>]) -> Vec<String>,
{
    let answers: Vec<EntryAnswer<T>> = results.into_iter().map(EntryAnswer::from).collect();
    format.print(out, &answers, |answers| describe(answers))?;
    if answers.iter().any(|answer| answer.status.is_none()) {
        return Ok(ExitStatus::Unreachable);
    }
    Ok(ExitStatus::Done)
}
