//! The settings of one entry VM's process, in checked YAML.

use {
    cactusspur_core::{CoreSettings, DomainId, EntryId},
    derive_more::Display,
    error_stack::{Report, ResultExt},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path},
};

/// Settings that can't be read or don't pass their checks.
#[derive(Debug, Display)]
#[display("the settings can't be used")]
pub struct SettingsError;

impl std::error::Error for SettingsError {}

/// The least length of the key that entry VMs share, in bytes.
pub const MIN_SHARED_KEY_BYTES: usize = 32;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// The settings of one entry VM's process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, as in the platform's list of VMs.
    pub name: String,
    /// The failure domain that it is in.
    pub failure_domain: String,
    /// Where callers connect to.
    pub callers_address: SocketAddr,
    /// Where operators connect to: health, readiness, metrics, status, time line.
    pub operators_address: SocketAddr,
    /// Where other entry VMs connect to.
    pub peers_address: SocketAddr,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// Peers' addresses of other entry VMs to start from.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// The key by which entry VMs know each other.
    pub shared_key: String,
    /// Requests in progress at the most.
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// Connections at the most, of callers and of operators each: the server library keeps one
    /// limit for the process.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// The largest body of a caller's request, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// How long a process that was asked to stop still takes new requests, while its readiness
    /// tells the balancer to go elsewhere, in milliseconds.
    #[serde(default = "default_shutdown_notice_ms")]
    pub shutdown_notice_ms: u64,
    /// How long a graceful shutdown may take, in milliseconds.
    #[serde(default = "default_shutdown_limit_ms")]
    pub shutdown_limit_ms: u64,
    /// How log lines are written.
    #[serde(default)]
    pub log_format: LogFormat,
}

const fn default_max_requests() -> usize {
    4_096
}

const fn default_max_connections() -> usize {
    8_192
}

const fn default_max_body_bytes() -> usize {
    4 * 1_024 * 1_024
}

const fn default_shutdown_notice_ms() -> u64 {
    2_000
}

const fn default_shutdown_limit_ms() -> u64 {
    60_000
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// When the file can't be read, isn't what is expected, or a value is out of its bounds; the
    /// report names the field.
    pub fn open(path: &Path) -> Result<Self, Report<SettingsError>> {
        let text = fs::read_to_string(path)
            .change_context(SettingsError)
            .attach_with(|| format!("{}", path.display()))?;
        Self::parse(&text).attach_with(|| format!("{}", path.display()))
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// When the text isn't what is expected, or a value is out of its bounds.
    pub fn parse(text: &str) -> Result<Self, Report<SettingsError>> {
        let settings: Self = serde_norway::from_str(text).change_context(SettingsError)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Report<SettingsError>> {
        let problem = [
            (self.name.is_empty(), "name: must not be empty"),
            (
                self.failure_domain.is_empty(),
                "failure_domain: must not be empty",
            ),
            (
                self.shared_key.len() < MIN_SHARED_KEY_BYTES,
                "shared_key: must have 32 bytes or more",
            ),
            (self.max_requests == 0, "max_requests: must not be 0"),
            (self.max_connections == 0, "max_connections: must not be 0"),
            (self.max_body_bytes == 0, "max_body_bytes: must not be 0"),
        ];
        match problem.iter().find(|problem| problem.0) {
            Some((_, message)) => Err(Report::new(SettingsError).attach(*message)),
            None => Ok(()),
        }
    }

    /// The settings of the decision core, for a process of the given life.
    #[must_use]
    pub fn core(&self, incarnation: u64) -> CoreSettings {
        CoreSettings {
            entry: EntryId::from_name(&self.name),
            domain: DomainId::from_name(&self.failure_domain),
            incarnation,
            max_requests: self.max_requests,
        }
    }
}
