//! A stand-in for the platform: table service, object store, list of VMs, store of kept KV cache
//! and weight store. All of it is in memory.

mod kept;
mod limit;
mod object;
mod row;
mod table;
mod vm;
mod weight;

use {
    self::{
        kept::KeptStore, limit::Limit, object::ObjectStore, table::RowTable, vm::VmHistory,
        weight::WeightStore,
    },
    crate::{
        fault::{self, Connections, Draws, PlatformFaults, refuse},
        server::{self, BindError, Running},
    },
    clap::Args,
    error_stack::Report,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{self, HttpRequest, HttpResponse, ServiceConfig, types::State},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
};

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Args)]
pub struct PlatformSettings {
    /// The writes that each store takes in a second; more are refused.
    #[arg(long, default_value_t = 400)]
    pub writes_per_second: u64,
    /// The reads that each store takes in a second; more are refused.
    #[arg(long, default_value_t = 2_000)]
    pub reads_per_second: u64,
    /// The pieces that the store of kept KV cache holds; the oldest go first.
    #[arg(long, default_value_t = 100_000)]
    pub kept_pieces: usize,
    /// The seed of the draws that faults with a share make.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

struct Platform {
    connections: Connections,
    draws: Draws,
    faults: RefCell<PlatformFaults>,
    rows: RefCell<RowTable>,
    row_limit: Limit,
    objects: RefCell<ObjectStore>,
    object_limit: Limit,
    vms: RefCell<VmHistory>,
    kept: RefCell<KeptStore>,
    weights: RefCell<WeightStore>,
}

type Shared = State<Rc<Platform>>;

/// Serves the platform at `address`.
///
/// # Errors
/// When the address can't be listened at.
pub fn bind(settings: PlatformSettings, address: SocketAddr) -> Result<Running, Report<BindError>> {
    server::bind(address, move |config| {
        let limit = || Limit::open(settings.reads_per_second, settings.writes_per_second);
        let platform = Rc::new(Platform {
            connections: Connections::default(),
            draws: Draws::open(settings.seed),
            faults: RefCell::default(),
            rows: RefCell::default(),
            row_limit: limit(),
            objects: RefCell::default(),
            object_limit: limit(),
            vms: RefCell::default(),
            kept: RefCell::new(KeptStore::open(settings.kept_pieces)),
            weights: RefCell::default(),
        });
        routes(config, platform);
    })
}

fn routes(config: &mut ServiceConfig, platform: Rc<Platform>) {
    config
        .state(platform)
        .route("/table/rows", web::get().to(row::list))
        .route("/table/rows/{key}*", web::get().to(row::get))
        .route("/table/rows/{key}*", web::put().to(row::put))
        .route("/objects/{key}*", web::get().to(object::get))
        .route("/objects/{key}*", web::put().to(object::put))
        .route("/vms", web::get().to(vm::get))
        .route("/standin/vms", web::put().to(vm::set))
        .route("/kept/lookup", web::post().to(kept::lookup))
        .route("/kept/put", web::post().to(kept::put))
        .route("/weights/load", web::post().to(weight::load))
        .route("/weights/load", web::get().to(weight::get))
        .route("/standin/log", web::get().to(log))
        .route("/standin/faults", web::post().to(set_faults));
}

/// The platform runs nothing: its log is always empty.
async fn log() -> HttpResponse {
    HttpResponse::Ok().json(&crate::log::Log::default())
}

async fn set_faults(request: HttpRequest, platform: Shared, change: Bytes) -> HttpResponse {
    let mut faults = match fault::update(&*platform.faults.borrow(), &change) {
        Ok(faults) => faults,
        Err(report) => return refuse(StatusCode::BAD_REQUEST, &format!("{report:#}")),
    };
    if std::mem::take(&mut faults.silent_connections) {
        platform.connections.silence(&request);
    }
    platform
        .connections
        .set(faults.frozen, faults.refuse_connections);
    let answer = HttpResponse::Ok().json(&faults);
    platform.faults.replace(faults);
    answer
}

/// A key from the rest of a path, percent-decoded. None when it isn't UTF-8 or badly encoded.
fn key_of(request: &HttpRequest, prefix: &str) -> Option<String> {
    let encoded = request.path().strip_prefix(prefix)?.as_bytes();
    let mut decoded = Vec::with_capacity(encoded.len());
    let mut at = 0;
    while at < encoded.len() {
        if encoded[at] != b'%' {
            decoded.push(encoded[at]);
            at += 1;
            continue;
        }
        let digits = std::str::from_utf8(encoded.get(at + 1..at + 3)?).ok()?;
        decoded.push(u8::from_str_radix(digits, 16).ok()?);
        at += 3;
    }
    String::from_utf8(decoded).ok()
}

/// Waits as long as a service's faults say, then refuses a call if the service is down or over its
/// rate.
async fn refused<F>(
    slow_ms: u64,
    is_down: bool,
    within_rate: F,
    over_rate: StatusCode,
) -> Option<HttpResponse>
where
    F: FnOnce() -> bool,
{
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    if is_down {
        return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    (!within_rate()).then(|| refuse(over_rate, "rate"))
}
