//! Sets up the log and the metrics of a process.

use {
    crate::settings::LogFormat,
    metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle},
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
        },
        thread,
    },
    tracing_subscriber::{EnvFilter, fmt::MakeWriter},
};

/// The maximum number of log lines queued for writing, about a second of lines of a busy gateway.
/// Further lines are dropped and counted, so that logging never blocks a request.
const MAX_QUEUED_LINES: usize = 1_024;
/// The bucket bounds of histograms in milliseconds, finer around the first-token targets.
const MS_BUCKETS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 250.0, 400.0, 600.0, 1_000.0, 2_500.0, 6_000.0,
];

/// Writes log lines on a separate thread.
#[derive(Clone, Debug)]
struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    fn spawn() -> Self {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        thread::spawn(move || write_lines(&queued, &dropped_lines));
        Self { lines, dropped }
    }
}

fn write_lines(queued: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    while let Ok(line) = queued.recv() {
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            // A failure to write the log can't be reported anywhere.
            let _ = writeln!(out, "{{\"level\":\"WARN\",\"dropped_lines\":{count}}}");
        }
        let _ = out.write_all(&line);
        for line in queued.try_iter() {
            let _ = out.write_all(&line);
        }
        let _ = out.flush();
    }
}

/// A log line that is queued when it is dropped.
#[derive(Debug)]
struct LogLine<'a> {
    writer: &'a LogWriter,
    bytes: Vec<u8>,
}

impl Write for LogLine<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogLine<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if let Err(TrySendError::Full(_)) = self.writer.lines.try_send(line) {
            self.writer.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = LogLine<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        LogLine {
            writer: self,
            bytes: Vec::new(),
        }
    }
}

/// Starts logging to standard output, one JSON object per line, without blocking the caller: lines
/// are dropped when the queue is full. The environment variable `RUST_LOG` sets the level.
pub fn init_bounded_log() {
    let filter = EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| EnvFilter::new("warn,cactusspur=info,cactusspur_platform=info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(LogWriter::spawn())
        .json();
    if log.try_init().is_err() {
        tracing::debug!("logging was already set up");
    }
}

/// Starts logging to standard error. The environment variable `RUST_LOG` sets the level.
pub fn init_log(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| EnvFilter::new("warn,cactusspur=info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    let result = match format {
        LogFormat::Human => log.try_init(),
        LogFormat::Json => log.json().try_init(),
    };
    if result.is_err() {
        tracing::debug!("logging was already set up");
    }
}

/// Starts collecting metrics. The returned handle renders them as Prometheus text. Returns `None`
/// when a recorder is already installed.
#[must_use]
pub fn init_metrics() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_ms".to_owned()), &MS_BUCKETS)
        .ok()?
        .install_recorder()
        .ok()
}
