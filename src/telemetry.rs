//! Logs and metrics of a process.

use {
    crate::settings::LogFormat,
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::io,
    tracing_subscriber::EnvFilter,
};

/// Starts logging to standard error. The environment variable `RUST_LOG` sets the level.
pub fn open_log(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| EnvFilter::new("warn,cactusspur=info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    let opened = match format {
        LogFormat::Human => log.try_init(),
        LogFormat::Json => log.json().try_init(),
    };
    if opened.is_err() {
        tracing::debug!("logging was open already");
    }
}

/// Starts collecting metrics. The handle renders them as Prometheus text; there is none when a
/// recorder is installed already.
#[must_use]
pub fn open_metrics() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}
