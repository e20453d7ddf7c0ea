//! The client of the platform: the table service, the object store, the list of VMs.

use {
    cactusspur_core::{Record, RecordAnswer, RecordCall, Row, RowVersion, VmList},
    derive_more::Display,
    error_stack::{Report, ResultExt},
    ntex::{
        client::Client,
        http::{Method, StatusCode},
        time::{Millis, timeout},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::net::SocketAddr,
};

/// How long the platform may take to answer.
const TIMEOUT: Millis = Millis(500);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

/// What went wrong with a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// It surely had no effect.
    #[display("the platform refused the call")]
    Refused,
    /// There was no answer: a write may have taken effect, or may yet.
    #[display("the platform did not answer")]
    NoAnswer,
    /// The answer made no sense.
    #[display("the platform's answer can't be read")]
    Malformed,
}

impl std::error::Error for PlatformError {}

/// A row of the table service with its value as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueRow {
    /// Its version.
    pub version: RowVersion,
    /// Its value.
    pub value: Value,
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect; the row has this version.
    Written(RowVersion),
    /// It had no effect; this row stands.
    Conflict(Option<ValueRow>),
}

#[derive(Serialize)]
struct WriteBody<'a> {
    expected: Option<RowVersion>,
    value: &'a Value,
}

#[derive(Deserialize)]
struct WrittenBody {
    version: RowVersion,
}

#[derive(Deserialize)]
struct ConflictBody {
    row: Option<ValueRow>,
}

/// A client of the platform. It belongs to one thread.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    base: String,
}

impl Platform {
    /// Opens a client of the platform at `address`. Nothing is sent yet.
    pub async fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new().await,
            base: format!("http://{address}"),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(StatusCode, Vec<u8>), Report<PlatformError>> {
        let request = self
            .client
            .request(method, format!("{}{path}", self.base))
            .timeout(TIMEOUT)
            .content_type("application/json");
        let exchange = async {
            let response = match body {
                Some(body) => request.send_body(body).await,
                None => request.send().await,
            };
            let response = response.map_err(|error| no_answer(&error))?;
            let body = response
                .body()
                .limit(MAX_ANSWER_BYTES)
                .await
                .map_err(|error| no_answer(&error))?;
            Ok((response.status(), body.to_vec()))
        };
        match timeout(TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(()) => Err(Report::new(PlatformError::NoAnswer)),
        }
    }

    async fn get<T>(&self, path: &str) -> Result<Option<T>, Report<PlatformError>>
    where
        T: DeserializeOwned,
    {
        let (status, body) = self.call(Method::GET, path, None).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body)
                .map(Some)
                .change_context(PlatformError::Malformed),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Report::new(PlatformError::Refused).attach(status)),
        }
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// When the platform refuses, doesn't answer, or answers what makes no sense.
    pub async fn read_row(&self, key: &str) -> Result<Option<ValueRow>, Report<PlatformError>> {
        self.get(&format!("/table/rows/{}", percent_encoded(key)))
            .await
    }

    /// Writes a row if its version is still the expected one.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Refused`] when it surely had no effect, else it may have, or may yet.
    pub async fn write_row(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: &Value,
    ) -> Result<WriteOutcome, Report<PlatformError>> {
        let body = serde_json::to_vec(&WriteBody { expected, value })
            .change_context(PlatformError::Refused)?;
        let path = format!("/table/rows/{}", percent_encoded(key));
        let (status, body) = self.call(Method::PUT, &path, Some(body)).await?;
        match status {
            StatusCode::OK => {
                let written: WrittenBody =
                    serde_json::from_slice(&body).change_context(PlatformError::Malformed)?;
                Ok(WriteOutcome::Written(written.version))
            }
            StatusCode::CONFLICT => {
                let conflict: ConflictBody =
                    serde_json::from_slice(&body).change_context(PlatformError::Malformed)?;
                Ok(WriteOutcome::Conflict(conflict.row))
            }
            _ => Err(Report::new(PlatformError::Refused).attach(status)),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// When the platform refuses or doesn't answer.
    pub async fn read_object(&self, key: &str) -> Result<Option<Vec<u8>>, Report<PlatformError>> {
        let path = format!("/objects/{}", percent_encoded(key));
        let (status, body) = self.call(Method::GET, &path, None).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Report::new(PlatformError::Refused).attach(status)),
        }
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// When the platform refuses or doesn't answer.
    pub async fn write_object(
        &self,
        key: &str,
        content: Vec<u8>,
    ) -> Result<(), Report<PlatformError>> {
        let path = format!("/objects/{}", percent_encoded(key));
        let (status, _) = self.call(Method::PUT, &path, Some(content)).await?;
        if status == StatusCode::OK {
            return Ok(());
        }
        Err(Report::new(PlatformError::Refused).attach(status))
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// When the platform refuses, doesn't answer, or answers what makes no sense.
    pub async fn vms(&self) -> Result<VmList, Report<PlatformError>> {
        let list = self.get("/vms").await?;
        list.ok_or_else(|| Report::new(PlatformError::Malformed))
    }

    /// Carries out a call of the decision core.
    pub async fn call_table_service(&self, call: &RecordCall) -> RecordAnswer {
        match call {
            RecordCall::Read { key } => match self.read_row(&key.to_string()).await {
                Ok(row) => RecordAnswer::Read(row.and_then(typed_row)),
                Err(_) => RecordAnswer::Unknown,
            },
            RecordCall::Write {
                key,
                expected,
                record,
            } => {
                let Ok(value) = serde_json::to_value(record) else {
                    return RecordAnswer::Unknown;
                };
                match self.write_row(&key.to_string(), *expected, &value).await {
                    Ok(WriteOutcome::Written(version)) => RecordAnswer::Written(version),
                    Ok(WriteOutcome::Conflict(row)) => {
                        RecordAnswer::Conflict(row.and_then(typed_row))
                    }
                    Err(_) => RecordAnswer::Unknown,
                }
            }
        }
    }
}

fn typed_row(row: ValueRow) -> Option<Row> {
    let record: Record = serde_json::from_value(row.value).ok()?;
    Some(Row {
        version: row.version,
        record,
    })
}

/// The report of an exchange that broke; the library's errors can't cross threads.
fn no_answer<E>(error: &E) -> Report<PlatformError>
where
    E: ToString,
{
    Report::new(PlatformError::NoAnswer).attach(error.to_string())
}

/// Encodes a key as one segment of a path.
fn percent_encoded(key: &str) -> String {
    key.bytes()
        .map(|byte| match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
