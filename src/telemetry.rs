//! Logs and metrics of a process.

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

/// Lines that wait to be written; further ones are dropped and counted, so that logging never
/// blocks a request. About a second of lines of a busy gateway.
const MAX_WAITING_LINES: usize = 1_024;
/// The upper bounds of histograms in milliseconds: closer around the targets of first tokens.
const MS_BUCKETS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 250.0, 400.0, 600.0, 1_000.0, 2_500.0, 6_000.0,
];

/// Writes lines on a thread of its own.
#[derive(Clone, Debug)]
struct LineWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    fn spawn() -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::spawn(move || write_lines(&waiting, &counted));
        Self { lines, dropped }
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    while let Ok(line) = waiting.recv() {
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            // There is nobody to tell when the log itself can't be written.
            let _ = writeln!(out, "{{\"level\":\"WARN\",\"dropped_lines\":{count}}}");
        }
        let _ = out.write_all(&line);
        for line in waiting.try_iter() {
            let _ = out.write_all(&line);
        }
        let _ = out.flush();
    }
}

/// One line of the log.
#[derive(Debug)]
struct Line<'a> {
    writer: &'a LineWriter,
    bytes: Vec<u8>,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if let Err(TrySendError::Full(_)) = self.writer.lines.try_send(line) {
            self.writer.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line {
            writer: self,
            bytes: Vec::new(),
        }
    }
}

/// Starts logging to standard output, one JSON object a line, without ever blocking. The
/// environment variable `RUST_LOG` sets the level.
pub fn init_bounded_log() {
    let filter = EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| EnvFilter::new("warn,cactusspur=info,cactusspur_platform=info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(LineWriter::spawn())
        .json();
    if log.try_init().is_err() {
        tracing::debug!("logging was open already");
    }
}

/// Starts logging to standard error. The environment variable `RUST_LOG` sets the level.
pub fn init_log(format: LogFormat) {
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
pub fn init_metrics() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_ms".to_owned()), &MS_BUCKETS)
        .ok()?
        .install_recorder()
        .ok()
}
