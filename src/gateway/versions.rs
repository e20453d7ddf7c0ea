//! Keeps each stream at the software version that began it.

use {
    super::{Shared, call::Call, clock::now, list_check},
    cactusspur_core::gateway::{CallKind, Route, SoftwareKey, StreamOrigin},
    derive_more::{Display, Error},
    std::{net::SocketAddr, rc::Rc},
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
    let (software, source) = find_version(shared, call).await;
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

/// The version that began the stream that a caller takes up, if it can be known, and who knows it.
async fn find_version(shared: &Rc<Shared>, call: &Call) -> (Option<SoftwareKey>, &'static str) {
    let stream = call.stream_key();
    let own = stream.and_then(|stream| shared.state.borrow().stream_origins.get(stream));
    if own.is_some() {
        return (own, "this gateway");
    }
    let only = only_version(shared, &call.route).await;
    if only.is_some() {
        return (only, "the list of servers");
    }
    match stream {
        Some(stream) => (shared.peers.ask_origin(shared, stream).await, "others"),
        None => (None, "nobody"),
    }
}

/// The only version that the services of a route have had for as long as streams are taken up, by a list of servers
/// that is as new as the stream: it began before the question. The list is this gateway's if the store answers
/// it, and else that of a gateway which the store answers.
async fn only_version(shared: &Rc<Shared>, route: &Route) -> Option<SoftwareKey> {
    let listed = || shared.state.borrow().only_version_of_route(route, now());
    listed()?;
    if list_check::confirm(shared).await {
        return listed();
    }
    let services = shared.state.borrow().stream_services(route, now());
    for service in services {
        let confirmed = shared.peers.ask_only_version(shared, &service).await;
        if confirmed.is_none() || confirmed != listed() {
            return None;
        }
    }
    listed()
}

/// Tells another gateway whether a service has had a single version, unless the list of servers can't be
/// checked.
pub async fn answer_only_version(
    shared: Rc<Shared>,
    service: String,
    query: u64,
    reply_to: SocketAddr,
) {
    if list_check::confirm(&shared).await {
        let software = shared.state.borrow().only_version(&service, now());
        shared.peers.send_only_version(query, software, reply_to);
    }
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
