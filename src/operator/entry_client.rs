//! Asks entry VMs on their operators' addresses.

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

/// How long an entry VM may take to answer.
const TIMEOUT: Millis = Millis(2_000);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// The state of an entry VM, as its operators' address gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The generation of the configuration in force.
    pub generation: Generation,
    /// The id of the change that led to it.
    #[serde(default)]
    pub change_id: String,
    /// When it was accepted.
    #[serde(default)]
    pub accepted_at_ms: TimeMs,
    /// How long ago the platform was last known to have no newer one, in milliseconds.
    #[serde(default)]
    pub confirmed_ms_ago: Option<u64>,
    /// Requests in progress.
    #[serde(default)]
    pub in_progress: u64,
    /// Whether it is shutting down.
    #[serde(default)]
    pub draining: bool,
    /// The other entry VMs that it knows.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
}

/// What an entry VM knows of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is alive, as `alive`, `suspected` or `gone`.
    pub state: String,
    /// Where operators connect to, once it has said so.
    #[serde(default)]
    pub operators_address: Option<SocketAddr>,
    /// The generation of its configuration.
    pub generation: Generation,
}

/// Asks one entry VM.
pub(super) async fn ask<T>(address: SocketAddr, path: &str) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let failed = |text: String| Failure::Entry(format!("{address}: {text}"));
    let exchange = async {
        let client = Client::new().await;
        let request = client.get(format!("http://{address}{path}"));
        let response = request.timeout(TIMEOUT).send().await;
        let response = response.map_err(|error| failed(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(format!("status {}", response.status())));
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        body.map_err(|error| failed(error.to_string()))
    };
    let body = match timeout(TIMEOUT, exchange).await {
        Ok(body) => body?,
        Err(()) => return Err(failed("no answer".to_owned())),
    };
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}

/// An entry VM's address with its answer, or why there is none.
pub(super) type Asked<T> = (SocketAddr, Result<T, Failure>);

/// Asks several entry VMs at once.
pub(super) async fn ask_all<T>(addresses: &[SocketAddr], path: &str) -> Vec<Asked<T>>
where
    T: DeserializeOwned,
{
    let asked = addresses
        .iter()
        .map(|address| async move { (*address, ask(*address, path).await) });
    join_all(asked).await
}

/// Asks the given entry VMs and then, once, those that they know for their state.
pub(super) async fn statuses(given: &[SocketAddr], only: bool) -> Vec<Asked<EntryStatus>> {
    let mut asked = ask_all::<EntryStatus>(given, "/status").await;
    if only {
        return asked;
    }
    let mut known: Vec<SocketAddr> = asked
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok())
        .flat_map(|status| &status.members)
        .filter_map(|member| member.operators_address)
        .filter(|address| !given.contains(address))
        .collect();
    known.sort_unstable();
    known.dedup();
    asked.extend(ask_all(&known, "/status").await);
    asked
}

/// An entry VM's answer as it is printed.
#[derive(Debug, Serialize)]
pub(super) struct Answer<T> {
    /// The entry VM that was asked.
    pub address: SocketAddr,
    /// What it told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<T>,
    /// Why it told nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

impl<T> From<Asked<T>> for Answer<T> {
    fn from((address, asked): Asked<T>) -> Self {
        let (status, error) = match asked {
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

/// Prints answers, and says whether all were there.
pub(super) fn print_answers<T, W, F>(
    asked: Vec<Asked<T>>,
    format: OutputFormat,
    out: &mut W,
    describe: F,
) -> Result<ExitStatus, Failure>
where
    T: Serialize,
    W: io::Write,
    F: FnOnce(&[Answer<T>]) -> Vec<String>,
{
    let answers: Vec<Answer<T>> = asked.into_iter().map(Answer::from).collect();
    format.print(out, &answers, |answers| describe(answers))?;
    if answers.iter().any(|answer| answer.status.is_none()) {
        return Ok(ExitStatus::Unreachable);
    }
    Ok(ExitStatus::Done)
}
