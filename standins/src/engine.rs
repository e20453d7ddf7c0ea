//! A stand-in for a model engine: continuous batching, a bounded prefix cache with events, load
//! reports, orders, and streams that can be resumed and cancelled.

mod answer;
mod attempt;
mod batch;
mod cache;
mod chat;
mod load;
mod order;
mod platform;
mod wire;

pub use answer::expected_answer;

use {
    self::{
        batch::{Batch, BatchSettings},
        load::LoadHistory,
        platform::PlatformClient,
        wire::{CacheBody, CancelBody, EventsBody, EventsQuery},
    },
    crate::{
        fault::{self, Connections, refuse},
        server::{self, BindError, Running},
    },
    cactusspur_core::{FencingNumber, Model, WeightsVersion},
    clap::{ArgAction, Args},
    error_stack::Report,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{
            self, HttpRequest, HttpResponse, ServiceConfig,
            types::{Query, State},
        },
    },
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep_until},
};

/// How an engine behaves.
#[derive(Clone, Debug, Args)]
pub struct EngineSettings {
    /// The models that are loaded at the start, as `name[/adapter]@version`, with commas between.
    #[arg(long, value_delimiter = ',', value_parser = parse_model)]
    pub models: Vec<Model>,
    /// The attempts that are computed at the same time at the most.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// The attempts that may wait for a slot; more are refused with 503.
    #[arg(long, default_value_t = 256)]
    pub queue: usize,
    /// The prompt tokens that are computed in a second.
    #[arg(long, default_value_t = 20_000)]
    pub prefill_rate: u64,
    /// The time between the tokens of an answer, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub decode_interval_ms: u64,
    /// The longest answer, in tokens.
    #[arg(long, default_value_t = 32)]
    pub answer_tokens: u64,
    /// The pieces that the cache holds.
    #[arg(long, default_value_t = 4_096)]
    pub cache_pieces: usize,
    /// The prompt tokens that are imported from the kept store in a second; zero for none.
    #[arg(long, default_value_t = 0)]
    pub import_rate: u64,
    /// What a thousand computed tokens cost, in microcredits.
    #[arg(long, default_value_t = 100)]
    pub price_microcredits: u64,
    /// Whether an order with an old fencing number is refused.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    pub honours_fencing: bool,
    /// How long it takes to load a model's weights at full rate, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    pub weight_load_ms: u64,
    /// How late load reports are, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// The platform, for the kept store and the weight store.
    #[arg(long)]
    pub platform: Option<SocketAddr>,
    /// The seed of the draws that faults with a share make.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Reads `name[/adapter]@version`.
fn parse_model(text: &str) -> Result<Model, String> {
    let (model, version) = text.rsplit_once('@').ok_or("a model needs an @version")?;
    let (name, adapter) = model
        .split_once('/')
        .map_or((model, None), |(name, adapter)| (name, Some(adapter)));
    let version = version.parse().map_err(|_| "a version is a number")?;
    Ok(Model {
        name: name.to_owned(),
        adapter: adapter.map(str::to_owned),
        weights_version: WeightsVersion(version),
    })
}

struct Engine {
    settings: EngineSettings,
    connections: Connections,
    batch: RefCell<Batch>,
    history: RefCell<LoadHistory>,
    models: RefCell<Vec<Model>>,
    fencing: Cell<FencingNumber>,
    platform: PlatformClient,
    work: Notify,
}

type Shared = State<Rc<Engine>>;

/// Serves an engine at `address`.
///
/// # Errors
/// When the address can't be listened at.
pub fn bind(settings: EngineSettings, address: SocketAddr) -> Result<Running, Report<BindError>> {
    server::bind(address, move |config| {
        let engine = Rc::new(Engine::open(settings.clone()));
        ntex::rt::spawn(drive(engine.clone()));
        routes(config, engine);
    })
}

fn routes(config: &mut ServiceConfig, engine: Rc<Engine>) {
    config
        .state(engine)
        .route("/v1/chat/completions", web::post().to(chat::chat))
        .route("/v1/cancel", web::post().to(cancel))
        .route("/v1/health", web::get().to(health))
        .route("/v1/load", web::get().to(load::load))
        .route("/v1/cache-events", web::get().to(cache_events))
        .route("/v1/cache", web::get().to(whole_cache))
        .route("/v1/orders", web::post().to(order::order))
        .route("/standin/log", web::get().to(log))
        .route("/standin/stats", web::get().to(stats))
        .route("/standin/faults", web::post().to(set_faults));
}

impl Engine {
    fn open(settings: EngineSettings) -> Self {
        let mut batch = Batch::open(BatchSettings {
            slots: settings.slots.max(1),
            queue: settings.queue,
            prefill_rate: settings.prefill_rate,
            decode_interval_ms: settings.decode_interval_ms,
            cache_pieces: settings.cache_pieces,
            seed: settings.seed,
        });
        batch.faults.load_lag_ms = settings.load_lag_ms;
        Self {
            connections: Connections::default(),
            batch: RefCell::new(batch),
            history: RefCell::default(),
            models: RefCell::new(settings.models.clone()),
            fencing: Cell::default(),
            platform: PlatformClient::open(settings.platform),
            work: Notify::new(),
            settings,
        }
    }

    /// Loses all but what a process starts with.
    fn crash(&self) {
        self.batch.borrow_mut().crash();
        self.models.replace(self.settings.models.clone());
        self.fencing.take();
    }
}

/// Does the engine's work when it is due.
async fn drive(engine: Rc<Engine>) {
    loop {
        engine.connections.thawed().await;
        let due = engine.batch.borrow_mut().advance(Instant::now());
        engine.history.borrow_mut().note(&engine.batch.borrow());
        export(&engine);
        let Some(due) = due else {
            engine.work.notified().await;
            continue;
        };
        tokio::select! {
            () = engine.work.notified() => {}
            () = sleep_until(due.into()) => {}
        }
    }
}

/// Puts the pieces that are to be exported into the kept store.
fn export(engine: &Rc<Engine>) {
    let pieces = engine.batch.borrow_mut().take_exports();
    if pieces.is_empty() {
        return;
    }
    let engine = engine.clone();
    ntex::rt::spawn(async move { engine.platform.put_kept(&pieces).await });
}

async fn cancel(request: HttpRequest, engine: Shared, body: Bytes) -> HttpResponse {
    let answer = async {
        let Ok(CancelBody { attempt_id }) = serde_json::from_slice(&body) else {
            return refuse(StatusCode::BAD_REQUEST, "body");
        };
        engine.batch.borrow_mut().cancel_id(attempt_id);
        engine.work.notify_one();
        HttpResponse::Ok().finish()
    };
    engine.connections.answer(&request, answer).await
}

async fn health(request: HttpRequest, engine: Shared) -> HttpResponse {
    let answer = async {
        let incarnation = engine.batch.borrow().incarnation;
        HttpResponse::Ok().json(&json!({"incarnation": incarnation}))
    };
    engine.connections.answer(&request, answer).await
}

async fn cache_events(
    request: HttpRequest,
    engine: Shared,
    query: Query<EventsQuery>,
) -> HttpResponse {
    let answer = async {
        let batch = engine.batch.borrow();
        let lag = Duration::from_millis(batch.faults.cache_lag_ms);
        let now = Instant::now();
        let until = now.checked_sub(lag).unwrap_or(now);
        let (first_sequence, changes) = batch.events.read(query.after, until);
        HttpResponse::Ok().json(&EventsBody {
            incarnation: batch.incarnation,
            first_sequence,
            changes,
        })
    };
    engine.connections.answer(&request, answer).await
}

async fn whole_cache(request: HttpRequest, engine: Shared) -> HttpResponse {
    let answer = async {
        let batch = engine.batch.borrow();
        HttpResponse::Ok().json(&CacheBody {
            incarnation: batch.incarnation,
            next_sequence: batch.events.next(),
            pieces: batch.cache.pieces(),
        })
    };
    engine.connections.answer(&request, answer).await
}

async fn log(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.batch.borrow().log)
}

async fn stats(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.batch.borrow().stats)
}

async fn set_faults(request: HttpRequest, engine: Shared, change: Bytes) -> HttpResponse {
    let mut faults = match fault::update(&engine.batch.borrow().faults, &change) {
        Ok(faults) => faults,
        Err(report) => return refuse(StatusCode::BAD_REQUEST, &format!("{report:#}")),
    };
    if std::mem::take(&mut faults.silent_connections) {
        engine.connections.silence(&request);
    }
    if std::mem::take(&mut faults.crash_to_empty) {
        engine.connections.break_all(&request);
        engine.crash();
    }
    engine
        .connections
        .set(faults.frozen, faults.refuse_connections);
    let answer = HttpResponse::Ok().json(&faults);
    engine.batch.borrow_mut().faults = faults;
    engine.work.notify_one();
    answer
}
