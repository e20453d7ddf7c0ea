//! Chat completion requests and their answer streams.

use {
    super::{
        Engine, Shared,
        answer::expected_answer,
        attempt::{Attempt, QueueKey, Stage},
        wire::ChatRequest,
    },
    crate::fault::{Connection, error_response},
    bytes::Bytes,
    cactusspur_core::{PIECE_TOKENS, PieceHash, PrefixChain, tokens_of_bytes},
    futures::Stream,
    ntex::{
        channel::mpsc::{self, Receiver},
        http::StatusCode,
        io::{IoRef, OnDisconnect},
        util,
        web::{HttpRequest, HttpResponse},
    },
    std::{
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
};

const SECOND_US: u64 = 1_000_000;

pub(super) async fn chat(request: HttpRequest, engine: Shared, body: util::Bytes) -> HttpResponse {
    let connection = engine.connections.register(&request);
    let disconnected = request.io().map(IoRef::on_disconnect);
    let handler = async {
        let chat: ChatRequest = match serde_json::from_slice(&body) {
            Ok(chat) => chat,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Some(refusal) = refusal(&engine, &chat) {
            return refusal;
        }
        match start(&engine, chat) {
            Ok((queue_key, events)) => HttpResponse::Ok()
                .content_type("text/event-stream")
                .streaming(AnswerStream {
                    engine: engine.get_ref().clone(),
                    connection,
                    disconnected,
                    queue_key,
                    events,
                }),
            Err(refusal) => refusal,
        }
    };
    engine.connections.respond(&request, handler).await
}

/// Returns the refusal if the engine can't accept a request.
fn refusal(engine: &Engine, chat: &ChatRequest) -> Option<HttpResponse> {
    let batch = engine.batch.borrow();
    if let Some(refusal) = batch.faults.refusal() {
        return Some(refusal);
    }
    let cause = if !engine.models.borrow().contains(&chat.requested_model()) {
        "no_model"
    } else if batch.is_full() {
        "full"
    } else {
        return None;
    };
    Some(error_response(StatusCode::SERVICE_UNAVAILABLE, cause))
}

type Events = Receiver<Result<Bytes, io::Error>>;

/// Queues a request. Text that an earlier attempt delivered must be a prefix of the answer.
fn start(engine: &Rc<Engine>, chat: ChatRequest) -> Result<(QueueKey, Events), HttpResponse> {
    let contents = chat.contents();
    let tokens = engine.settings.answer_tokens;
    let tokens = chat.max_tokens.unwrap_or(tokens).min(tokens);
    let answer = expected_answer(
        chat.requested_model().id(),
        chat.customer,
        &contents,
        tokens,
    );
    let Some(delivered) = answer.get(..chat.resume_offset_bytes) else {
        return Err(error_response(
            StatusCode::BAD_REQUEST,
            "resume_offset_bytes",
        ));
    };
    if chat
        .delivered
        .as_ref()
        .is_some_and(|claimed| claimed != delivered)
    {
        return Err(error_response(StatusCode::BAD_REQUEST, "delivered"));
    }
    let prompt_bytes = contents.iter().map(String::len).sum();
    let (sender, events) = mpsc::channel();
    let attempt = Attempt {
        id: chat.attempt_id,
        customer: chat.customer,
        stage: Stage::Waiting,
        ready_at: Instant::now(),
        prompt: PrefixChain::from_levels(chat.scope(), &contents).pieces,
        prompt_tokens: tokens_of_bytes(prompt_bytes).0,
        delivered_tokens: tokens_of_bytes(delivered.len()).0,
        remaining_tokens: 0,
        sent_bytes: delivered.len(),
        answer,
        export_pieces: chat.export_pieces,
        log_index: None,
        events: sender,
    };
    let queue_key = enqueue(engine, chat.priority, &chat.import_pieces, attempt);
    engine.work.notify_one();
    Ok((queue_key, events))
}

/// Adds an attempt to the batch. Starts an import first if the request allows one and the engine
/// supports it.
fn enqueue(
    engine: &Rc<Engine>,
    priority: u32,
    import: &[PieceHash],
    mut attempt: Attempt,
) -> QueueKey {
    let mut batch = engine.batch.borrow_mut();
    let cached = batch.cache.cached_len(&attempt.prompt);
    let wanted: Vec<PieceHash> = attempt.prompt[cached..]
        .iter()
        .take_while(|piece| import.contains(piece))
        .copied()
        .collect();
    if wanted.is_empty() || engine.settings.import_rate == 0 {
        return batch.add(priority, attempt);
    }
    attempt.stage = Stage::Importing;
    let queue_key = batch.add(priority, attempt);
    ntex::rt::spawn(import_pieces(engine.clone(), queue_key, cached, wanted));
    queue_key
}

async fn import_pieces(
    engine: Rc<Engine>,
    queue_key: QueueKey,
    cached: usize,
    wanted: Vec<PieceHash>,
) {
    let stored = engine.platform.lookup_pieces(&wanted).await;
    let tokens = stored as u64 * PIECE_TOKENS;
    let time_us = tokens * SECOND_US / engine.settings.import_rate;
    let import_time = Duration::from_micros(time_us);
    let delay = engine.batch.borrow().faults.apply_slowdown(import_time);
    tokio::time::sleep(delay).await;
    engine.connections.wait_until_unfrozen().await;
    engine
        .batch
        .borrow_mut()
        .finish_import(queue_key, cached + stored);
    engine.work.notify_one();
}

/// The event stream of an attempt. Dropping it cancels the attempt.
struct AnswerStream {
    engine: Rc<Engine>,
    connection: Option<Rc<Connection>>,
    disconnected: Option<OnDisconnect>,
    queue_key: QueueKey,
    events: Events,
}

impl Stream for AnswerStream {
    type Item = Result<util::Bytes, io::Error>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        // The HTTP service notices a closed connection only when it has something to send.
        if let Some(disconnected) = &self.disconnected
            && disconnected.poll_ready(context).is_ready()
        {
            self.engine.batch.borrow_mut().cancel(self.queue_key);
            return Poll::Ready(None);
        }
        if let Some(connection) = &self.connection {
            ready!(self.engine.connections.poll_responsive(connection, context));
        }
        self.events
            .poll_recv(context)
            .map_ok(|event| util::Bytes::from(event.to_vec()))
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.engine.batch.borrow_mut().cancel(self.queue_key);
        self.engine.work.notify_one();
    }
}
