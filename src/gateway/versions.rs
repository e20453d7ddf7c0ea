//! Keeps each stream at the software version that began it.

use {
    super::{Shared, call::Call, clock::now},
    cactusspur_core::gateway::{CallKind, SoftwareKey, StreamOrigin},
    derive_more::{Display, Error},
    std::rc::Rc,
};

/// The error of a stream that is taken up and whose version isn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the software version that began the stream is not known")]
pub struct UnknownVersion;

/// Binds a stream that a caller takes up to the version that began it.
///
/// # Errors
///
/// When no gateway that answers knows the version, and the service may have had several.
pub async fn bind_taken_up(shared: &Rc<Shared>, call: &Call) -> Result<(), UnknownVersion> {
    let is_stream = matches!(call.kind(), CallKind::Stream { .. });
    if !is_stream || call.head.last_event.is_none() {
        return Ok(());
    }
    let stream = call.stream_key();
    let own = stream.and_then(|stream| shared.state.borrow().stream_origins.get(stream));
    let only = || shared.state.borrow().only_version(&call.service, now());
    let (software, source) = match (own.or_else(only), stream) {
        (Some(software), _) => (Some(software), "this gateway"),
        (None, Some(stream)) => (shared.peers.ask_origin(shared, stream).await, "others"),
        (None, None) => (None, "nobody"),
    };
    tracing::info!(
        request = call.head.request_id,
        resumes = call.head.resumes,
        last_event = call.head.last_event,
        software = software.map(tracing::field::display),
        source,
        "stream taken up"
    );
    metrics::counter!(
        "cactusspur_streams_taken_up_total", "known" => if software.is_some() { "yes" } else { "no" }
    )
    .increment(1);
    call.bind_software(software.ok_or(UnknownVersion)?);
    Ok(())
}

/// Records the first event of a stream, which binds it to the version of its server, and tells the other
/// gateways.
pub fn record_first_event(shared: &Rc<Shared>, call: &Call, software: SoftwareKey) {
    if call.kind() != (CallKind::Stream { resumable: true }) {
        return;
    }
    let software = call.software().unwrap_or(software);
    call.bind_software(software);
    let Some(stream) = call.stream_key() else {
        return;
    };
    let now = now();
    let origin = StreamOrigin { stream, software };
    let mut state = shared.state.borrow_mut();
    state.stream_origins.record(origin, now);
    let has_several = state.only_version(&call.service, now).is_none();
    drop(state);
    shared.peers.queue_stream(shared, origin, has_several);
}
