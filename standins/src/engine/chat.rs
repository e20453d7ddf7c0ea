//! Requests for streamed answers.

use {
    super::{
        Engine, Shared,
        answer::expected_answer,
        attempt::{Attempt, Stage, Turn},
        wire::ChatRequest,
    },
    crate::fault::{Connection, refuse},
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
    let connection = engine.connections.of(&request);
    let disconnected = request.io().map(IoRef::on_disconnect);
    let answer = async {
        let chat: ChatRequest = match serde_json::from_slice(&body) {
            Ok(chat) => chat,
            Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Some(refusal) = refusal(&engine, &chat) {
            return refusal;
        }
        match start(&engine, chat) {
            Ok((turn, events)) => HttpResponse::Ok()
                .content_type("text/event-stream")
                .streaming(AnswerStream {
                    engine: engine.get_ref().clone(),
                    connection,
                    disconnected,
                    turn,
                    events,
                }),
            Err(refusal) => refusal,
        }
    };
    engine.connections.answer(&request, answer).await
}

/// Why a request isn't taken on, if so.
fn refusal(engine: &Engine, chat: &ChatRequest) -> Option<HttpResponse> {
    let batch = engine.batch.borrow();
    if let Some(refusal) = batch.faults.refusal() {
        return Some(refusal);
    }
    let cause = if !engine.models.borrow().contains(&chat.asked()) {
        "no_model"
    } else if batch.is_full() {
        "full"
    } else {
        return None;
    };
    Some(refuse(StatusCode::SERVICE_UNAVAILABLE, cause))
}

type Events = Receiver<Result<Bytes, io::Error>>;

/// Queues a request. What was delivered must be a part of the answer.
fn start(engine: &Rc<Engine>, chat: ChatRequest) -> Result<(Turn, Events), HttpResponse> {
    let contents = chat.contents();
    let tokens = engine.settings.answer_tokens;
    let tokens = chat.max_tokens.unwrap_or(tokens).min(tokens);
    let answer = expected_answer(chat.asked().id(), chat.customer, &contents, tokens);
    let Some(delivered) = answer.get(..chat.resume_offset_bytes) else {
        return Err(refuse(StatusCode::BAD_REQUEST, "resume_offset_bytes"));
    };
    if chat
        .delivered
        .as_ref()
        .is_some_and(|claimed| claimed != delivered)
    {
        return Err(refuse(StatusCode::BAD_REQUEST, "delivered"));
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
        left_tokens: 0,
        sent_bytes: delivered.len(),
        answer,
        export: chat.export_pieces,
        log: None,
        events: sender,
    };
    let turn = enqueue(engine, chat.priority, &chat.import_pieces, attempt);
    engine.work.notify_one();
    Ok((turn, events))
}

/// Adds an attempt to the batch, after an import if one is asked for and possible.
fn enqueue(engine: &Rc<Engine>, priority: u32, import: &[PieceHash], mut attempt: Attempt) -> Turn {
    let mut batch = engine.batch.borrow_mut();
    let cached = batch.cache.cached(&attempt.prompt);
    let wanted: Vec<PieceHash> = attempt.prompt[cached..]
        .iter()
        .take_while(|piece| import.contains(piece))
        .copied()
        .collect();
    if wanted.is_empty() || engine.settings.import_rate == 0 {
        return batch.add(priority, attempt);
    }
    attempt.stage = Stage::Importing;
    let turn = batch.add(priority, attempt);
    ntex::rt::spawn(import_pieces(engine.clone(), turn, cached, wanted));
    turn
}

async fn import_pieces(engine: Rc<Engine>, turn: Turn, cached: usize, wanted: Vec<PieceHash>) {
    let kept = engine.platform.lookup_kept(&wanted).await;
    let tokens = kept as u64 * PIECE_TOKENS;
    let time_us = tokens * SECOND_US / engine.settings.import_rate;
    let takes = Duration::from_micros(time_us);
    let slowed = engine.batch.borrow().faults.stretch(takes);
    tokio::time::sleep(slowed).await;
    engine.connections.thawed().await;
    engine.batch.borrow_mut().imported(turn, cached + kept);
    engine.work.notify_one();
}

/// The events of an attempt, which is dropped when nobody reads them any more.
struct AnswerStream {
    engine: Rc<Engine>,
    connection: Option<Rc<Connection>>,
    disconnected: Option<OnDisconnect>,
    turn: Turn,
    events: Events,
}

impl Stream for AnswerStream {
    type Item = Result<util::Bytes, io::Error>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        // The HTTP service looks at the connection only when it has something to send.
        if let Some(disconnected) = &self.disconnected
            && disconnected.poll_ready(context).is_ready()
        {
            self.engine.batch.borrow_mut().cancel(self.turn);
            return Poll::Ready(None);
        }
        if let Some(connection) = &self.connection {
            ready!(self.engine.connections.poll_answering(connection, context));
        }
        self.events
            .poll_recv(context)
            .map_ok(|event| util::Bytes::from(event.to_vec()))
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.engine.batch.borrow_mut().cancel(self.turn);
        self.engine.work.notify_one();
    }
}
