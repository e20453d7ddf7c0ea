//! A client of the platform's table service, object store and list of VMs.

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

/// The time limit of a call to the platform.
const CALL_TIMEOUT: Millis = Millis(500);
/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// The reason why a call to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// The platform refused the call; it certainly had no effect.
    #[display("the platform refused the call")]
    Refused,
    /// The platform did not answer; a write may have taken effect or may still do so.
    #[display("the platform did not answer")]
    NoAnswer,
    /// The platform's response could not be parsed.
    #[display("the platform's answer can't be read")]
    Malformed,
}

impl std::error::Error for PlatformError {}

/// A row of the table service with its value as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueRow {
    /// The version of the row.
    pub version: RowVersion,
    /// The value of the row.
    pub value: Value,
}

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row now has this version.
    Written(RowVersion),
    /// The write had no effect since the row had another version; `None` if there is no row.
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

/// A client of the platform, for use on one thread.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    base_url: String,
}

impl Platform {
    /// A client of the platform at `address`. Nothing is sent yet.
    pub async fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new().await,
            base_url: format!("http://{address}"),
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
            .request(method, format!("{}{path}", self.base_url))
            .timeout(CALL_TIMEOUT)
            .content_type("application/json");
        let exchange = async {
            let response = match body {
                Some(body) => request.send_body(body).await,
                None => request.send().await,
            };
            let response = response.map_err(|error| no_answer(&error))?;
            let body = response
                .body()
                .limit(MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| no_answer(&error))?;
            Ok((response.status(), body.to_vec()))
        };
        match timeout(CALL_TIMEOUT, exchange).await {
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

    /// Reads a row; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform refuses the call, doesn't answer, or returns a malformed response.
    pub async fn read_row(&self, key: &str) -> Result<Option<ValueRow>, Report<PlatformError>> {
        self.get(&format!("/table/rows/{}", percent_encode(key)))
            .await
    }

    /// Writes a row if its version is still the expected one.
    ///
    /// # Errors
    ///
    /// With [`PlatformError::Refused`], the write certainly had no effect; with any other error it
    /// may have taken effect or may still do so.
    pub async fn write_row(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: &Value,
    ) -> Result<WriteOutcome, Report<PlatformError>> {
        let body = serde_json::to_vec(&WriteBody { expected, value })
            .change_context(PlatformError::Refused)?;
        let path = format!("/table/rows/{}", percent_encode(key));
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

    /// Reads an object; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform refuses the call or doesn't answer.
    pub async fn read_object(&self, key: &str) -> Result<Option<Vec<u8>>, Report<PlatformError>> {
        let path = format!("/objects/{}", percent_encode(key));
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
    /// Fails when the platform refuses the call or doesn't answer.
    pub async fn write_object(
        &self,
        key: &str,
        content: Vec<u8>,
    ) -> Result<(), Report<PlatformError>> {
        let path = format!("/objects/{}", percent_encode(key));
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
    /// Fails when the platform refuses the call, doesn't answer, or returns a malformed response.
    pub async fn vms(&self) -> Result<VmList, Report<PlatformError>> {
        let list = self.get("/vms").await?;
        list.ok_or_else(|| Report::new(PlatformError::Malformed))
    }

    /// Executes a call to the table service that the core requested.
    pub async fn call_table_service(&self, call: &RecordCall) -> RecordAnswer {
        match call {
            RecordCall::Read { key } => match self.read_row(&key.to_string()).await {
                Ok(row) => RecordAnswer::Read(row.and_then(parse_row)),
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
                        RecordAnswer::Conflict(row.and_then(parse_row))
                    }
                    Err(_) => RecordAnswer::Unknown,
                }
            }
        }
    }
}

fn parse_row(row: ValueRow) -> Option<Row> {
    let record: Record = serde_json::from_value(row.value).ok()?;
    Some(Row {
        version: row.version,
        record,
    })
}

/// Converts an error of the HTTP library, which can't be sent between threads, to a report.
fn no_answer<E>(error: &E) -> Report<PlatformError>
where
    E: ToString,
{
    Report::new(PlatformError::NoAnswer).attach(error.to_string())
}

/// Percent-encodes a key as one path segment.
fn percent_encode(key: &str) -> String {
    key.bytes()
        .map(|byte| match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
