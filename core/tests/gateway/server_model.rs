//! The predicted work time of servers, and how it adapts to measurements.

use {
    super::fixture::{ENGINES, NOW, PLAIN, World, long_prompt, short_prompt, spec, worker},
    cactusspur_core::{
        DurationMs, TimeMs, Tokens, WorkerId,
        gateway::{
            Choice, Load, Pace, ServerSpeed, StreamSample, StreamTargets, rendezvous_score,
            server_model::{Utilization, nominal_prefill_ms},
        },
    },
    std::iter,
    test_case::test_case,
};

/// The usual work time of a plain service.
const WORK_MS: u64 = 30;
const SLOTS: u64 = 6;

/// The predictions must match the times to the first token of idle nominal engines within a sixth.
#[test_case(0, 0, 0; "nothing to read")]
#[test_case(628, 200, 21; "a short prompt")]
#[test_case(2_890, 6_300, 101; "behind cached parts")]
#[test_case(9_190, 0, 290; "a cold long prompt")]
#[test_case(15_300, 0, 529; "a very long one")]
fn long_prompts_take_more_than_their_share(new: u64, cached: u64, expected_ms: u64) {
    let nominal = nominal_prefill_ms(Tokens(new), Tokens(cached)).0;
    assert!(
        nominal.abs_diff(expected_ms) * 6 <= expected_ms,
        "{nominal}"
    );
}

/// The pace that is learnt of an engine from samples in percent of the nominal time.
fn learnt(percents: impl Iterator<Item = u64>) -> Pace {
    let nominal = DurationMs(200);
    let idle = Utilization {
        in_progress: 0,
        slots: 64,
        is_plain: false,
    };
    let mut speed = ServerSpeed::default();
    for percent in percents {
        let actual_ms = DurationMs(nominal.0 * percent / 100);
        if let Some(sample) = Pace::sample(nominal, actual_ms) {
            speed.learn(sample, idle, None, NOW);
        }
    }
    speed.pace().expect("samples")
}

#[test_case(130, 250, 260; "a slow engine")]
#[test_case(160, 310, 320; "a slower one")]
#[test_case(60, 120, 130; "a fast one")]
fn the_speed_of_an_engine_is_learnt(percent: u64, least: u64, most: u64) {
    let pace = learnt(iter::repeat_n(percent, 12));
    let scaled = pace.scale(DurationMs(200)).0;
    assert!((least..=most).contains(&scaled), "{scaled}");
}

#[test_case(20, 30; "too short a prompt")]
#[test_case(100, 20; "a prompt that was cached")]
#[test_case(100, 800; "others were in the way")]
fn what_tells_nothing_is_no_sample(nominal_prefill_ms: u64, actual_ms: u64) {
    assert_eq!(
        Pace::sample(DurationMs(nominal_prefill_ms), DurationMs(actual_ms)),
        None
    );
}

/// Prompts that were in each other's way, or were cached, at every third sample and scattered: they must
/// not move the estimate by more than three percent.
#[test_case(50, 2; "cached in part")]
#[test_case(26, 2; "cached almost entirely")]
#[test_case(150, 0; "one other was in the way")]
#[test_case(150, 20; "some others were in the way")]
#[test_case(490, 0; "several were in the way")]
fn misleading_samples_do_not_move_the_estimate(percent: u64, scatter: u64) {
    let percents = (0..90).map(|number| match number % 3 {
        0 => percent + number % 10 * scatter,
        _ => 100,
    });
    let scaled = learnt(percents).scale(DurationMs(100)).0;
    assert!(scaled.abs_diff(100) <= 3, "{scaled}");
}

/// In a burst four of five prompts wait behind others, each for another time: the estimate must stay within
/// the difference at which engines count as equally fast.
#[test]
fn a_burst_of_waiting_prompts_is_not_slowness() {
    let percents = (0..300).map(|number| match number % 5 {
        0 => 100,
        _ => 150 + number * 97 % 300,
    });
    let scaled = learnt(percents).scale(DurationMs(100)).0;
    assert!(scaled.abs_diff(100) <= 15, "{scaled}");
}

/// Engines of another kind, faster or slower than the nominal one, must be learnt from first
/// tokens of which a quarter is misleading: cached unnoticed, or behind another prompt.
#[test_case(55; "fast engines")]
#[test_case(69; "engines of a third deployment")]
#[test_case(100; "nominal engines")]
#[test_case(130; "slow engines")]
fn the_pace_of_any_engines_is_learnt(percent: u64) {
    let percents = (0..120).map(|number| match number % 8 {
        3 => percent / 2,
        6 => percent + percent,
        _ => percent + number % 5,
    });
    let learnt = learnt(percents).scale(DurationMs(100)).0;
    assert!(learnt.abs_diff(percent) * 8 <= percent, "{learnt}");
}

/// Servers of a plain service, of which each takes a percentage of the usual time.
struct Servers {
    world: World,
    percents: Vec<u64>,
    reports: bool,
    /// When each request ends, with its server and when it was sent.
    running: Vec<(TimeMs, usize, TimeMs)>,
    now: TimeMs,
}

impl Servers {
    fn new(percents: &[u64], reports: bool) -> Self {
        let mut servers = Self {
            world: World::default(),
            percents: percents.to_vec(),
            reports,
            running: Vec::new(),
            now: NOW,
        };
        for number in 0..percents.len() {
            servers.add(number);
        }
        servers
    }

    fn add(&mut self, number: usize) {
        let mut spec = spec(number, PLAIN, SLOTS);
        spec.weights.clear();
        self.world.backends.upsert(spec);
    }

    /// Sends a request every `interval_ms`, and returns how many each server got.
    fn run(&mut self, for_ms: u64, interval_ms: u64, slow: Option<usize>) -> Vec<usize> {
        let mut counts = vec![0; self.percents.len()];
        for tick in 0..for_ms {
            self.now = self.now.after(DurationMs(1));
            self.answer(slow);
            if tick % interval_ms > 0 {
                continue;
            }
            let random = rendezvous_score(self.now.0, worker(0));
            let choice = self.world.choose_plain(random, self.now).expect("a server");
            let number = self.number(choice.worker);
            counts[number] += 1;
            self.world.record_sent(&choice, self.now);
            let moment = if slow == Some(number) { 250 } else { 100 };
            let took_ms = DurationMs(WORK_MS * self.percents[number] / 100 * moment / 100);
            self.running
                .push((self.now.after(took_ms), number, self.now));
        }
        counts
    }

    fn answer(&mut self, slow: Option<usize>) {
        let now = self.now;
        let ended = self.running.extract_if(.., |row| row.0 <= now);
        for (_, number, sent_at_ms) in ended.collect::<Vec<_>>() {
            let running = self.running.iter().filter(|row| row.1 == number).count();
            let moment = if slow == Some(number) { 250 } else { 100 };
            let load = Load {
                running: running as u64,
                work_percent: self.reports.then_some(moment),
                ..Load::default()
            };
            let backend = self.world.backends.get_mut(worker(number));
            let backend = backend.expect("a server");
            backend.record_load(load, now);
            backend.record_ended();
            let measured = Pace::work_sample(now.since(sent_at_ms));
            let sample = backend.speed.without_moment(measured, now);
            let backends = &mut self.world.backends;
            backends.learn_pace(worker(number), sample, now);
        }
    }

    /// The speed of the first server.
    fn speed(&mut self) -> &mut ServerSpeed {
        let backend = self.world.backends.get_mut(worker(0));
        &mut backend.expect("a server").speed
    }

    fn number(&self, id: WorkerId) -> usize {
        let mut numbers = 0..self.percents.len();
        numbers
            .find(|number| worker(*number) == id)
            .expect("a server")
    }
}

/// A server shares its machine with others and is 2.5 times slower for half a second: it must be avoided
/// within that time, and get its share again within a second after, whether it reports its speed or not.
#[test_case(true; "by its report")]
#[test_case(false; "by its answers")]
fn a_slow_moment_is_noticed_and_forgotten(reports: bool) {
    let mut servers = Servers::new(&[100; 3], reports);
    let usual = servers.run(2_000, 10, None);
    assert!(usual[0] > 50, "{usual:?} of 200 requests");
    servers.run(200, 10, Some(0));
    let slow = servers.run(300, 10, Some(0));
    assert!(slow[0] <= 2, "{slow:?} of 30 requests while it is slow");
    servers.run(1_000, 10, None);
    let later = servers.run(1_000, 10, None);
    assert!(later[0] > 20, "{later:?} of 100 requests a second later");
}

/// Servers of one service that take from 0.6 to 1.6 of the usual time: each must get work by how much it
/// takes, at low load and near the most that all take together.
#[test_case(12; "at low load")]
#[test_case(3; "near the most")]
fn a_fast_server_takes_more(interval_ms: u64) {
    let mut servers = Servers::new(&[60, 100, 160], true);
    servers.run(3_000, interval_ms, None);
    let counts = servers.run(3_000, interval_ms, None);
    let total: usize = counts.iter().sum();
    // The shares by their speeds are 51, 30 and 19 percent.
    for (count, share) in counts.iter().zip([51, 30, 19]) {
        let percent = count * 100 / total;
        assert!(percent.abs_diff(share) <= 10, "{counts:?}");
    }
}

/// A server that has just started has the median speed of its service, not that of the nominal one.
#[test]
fn a_new_server_is_as_fast_as_its_service() {
    let mut servers = Servers::new(&[100; 3], true);
    servers.run(1_000, 10, None);
    servers.percents.push(100);
    servers.add(3);
    let model = servers.world.backends.model(PLAIN);
    let backend = servers.world.backends.get(worker(3)).expect("a server");
    let forecast = model.plain_forecast(backend, DurationMs(150), servers.now);
    assert!(forecast.answer_ms.0.abs_diff(WORK_MS) <= 2, "{forecast:?}");
    assert_eq!(model.relative_percent(backend, servers.now), 100);
}

/// The servers that 88 gateways with the same view choose at the same moment, by a choice with a random
/// number. Returns whether the first one, which is fast, gets more than its free slots.
fn is_stormed<F>(choose: F) -> bool
where
    F: Fn(u64) -> Choice,
{
    let choices = (0..88).map(|gateway| choose(rendezvous_score(gateway, worker(1))));
    let stormed = choices.filter(|choice| choice.worker == worker(0)).count();
    stormed > 88 / 2
}

/// 88 gateways learn at the same moment that one of eight servers is fast: they must not all send their
/// next request there. The check must notice if everybody chooses the fastest.
#[test]
fn a_fast_server_is_not_stormed() {
    let mut servers = Servers::new(&[60, 100, 100, 100, 100, 100, 100, 100], true);
    servers.run(3_000, 5, None);
    servers.run(100, 100, None);
    let (world, now) = (&servers.world, servers.now);
    let choose = |random| world.choose_plain(random, now).expect("a server");
    assert!(!is_stormed(choose));
    let fastest = |random| {
        let choices = (0..200).map(|draw| choose(random ^ draw));
        choices
            .min_by_key(|choice| choice.first_token_ms)
            .expect("a choice")
    };
    assert!(is_stormed(fastest), "the planted fault is not noticed");
}

/// The only server that would answer before the deadline must get the request, though it is busier.
#[test]
fn a_request_goes_where_it_makes_its_deadline() {
    let mut servers = Servers::new(&[100, 250], true);
    servers.run(2_000, 10, None);
    servers.world.remaining_ms = Some(DurationMs(50));
    let backend = servers.world.backends.get_mut(worker(0)).expect("a server");
    for _ in 0..5 {
        backend.record_sent(DurationMs(0), servers.now);
    }
    for random in 0..50 {
        let choice = servers
            .world
            .choose_plain(random, servers.now)
            .expect("a server");
        assert_eq!(choice.worker, worker(0));
        assert!(choice.first_token_ms <= DurationMs(50));
    }
}

/// Long queues at the engines that work, and none at one that fails all its requests at once: a request that
/// would be late must not go there.
#[test]
fn a_failing_engine_keeps_no_deadline() {
    let mut world = World::with_engines(3);
    world.remaining_ms = Some(DurationMs(900));
    for number in 0..3 {
        let backend = world.backends.get_mut(worker(number)).expect("an engine");
        if number > 0 {
            backend.record_queued(DurationMs(1_000), NOW);
        }
        for _ in 0..8 {
            backend.record_result(number > 0, NOW);
        }
    }
    for number in 0..20 {
        let choice = world.choose(&long_prompt(number, number), NOW);
        assert_ne!(choice.expect("an engine").worker, worker(0));
    }
}

/// A server that is silent must not look fast: a request that is overdue counts before it ends, unless the
/// server has answered others since.
#[test]
fn an_overdue_request_shows_a_silent_server() {
    let mut servers = Servers::new(&[100; 3], false);
    servers.run(1_000, 10, None);
    let sent_at_ms = servers.now;
    let expected_ms = DurationMs(WORK_MS);
    servers.speed().record_sent(expected_ms, sent_at_ms);
    let now = sent_at_ms.after(DurationMs(200));
    let chosen = |servers: &Servers| {
        let draws = (0..300).filter_map(|draw| servers.world.choose_plain(draw, now));
        draws.filter(|choice| choice.worker == worker(0)).count()
    };
    assert_eq!(chosen(&servers), 0);
    servers.speed().record_report(None, now);
    assert!(chosen(&servers) > 70, "it has answered another one");
    servers.speed().record_ended(expected_ms, sent_at_ms);
    let later = now.after(DurationMs(5_000));
    assert_eq!(servers.speed().overdue_ms(later), DurationMs(0));
}

/// A server that slows down from half of its slots on must get fewer requests than it has slots, and what
/// it takes well must follow from the target.
#[test]
fn a_server_that_slows_down_early_is_not_filled() {
    let mut servers = Servers::new(&[100; 2], true);
    servers.run(1_000, 10, None);
    for _ in 0..200 {
        for (running, took_ms) in [(1, WORK_MS), (SLOTS - 1, 8 * WORK_MS)] {
            let backend = servers.world.backends.get_mut(worker(0));
            let load = Load {
                running,
                ..Load::default()
            };
            backend.expect("a server").record_load(load, servers.now);
            let sample = Pace::work_sample(DurationMs(took_ms));
            let backends = &mut servers.world.backends;
            backends.learn_pace(worker(0), sample, servers.now);
        }
    }
    let model = servers.world.backends.model(PLAIN);
    let takes = |number| {
        let backend = servers
            .world
            .backends
            .get(worker(number))
            .expect("a server");
        model
            .plain_forecast(backend, DurationMs(150), servers.now)
            .comfortable
    };
    assert_eq!((takes(0), takes(1)), (4, SLOTS));
    for random in 0..50 {
        let choice = servers
            .world
            .choose_plain(random, servers.now)
            .expect("a server");
        assert_eq!(choice.worker, worker(1));
    }
}

/// Engines on a busy machine: the report must lengthen the predicted prefill at once, and count no longer
/// after a second without news.
#[test]
fn an_engine_is_as_slow_as_it_reports() {
    let mut world = World::with_engines(1);
    let usual = world.choose(&long_prompt(1, 1), NOW).expect("an engine");
    let backend = world.backends.get_mut(worker(0)).expect("an engine");
    let load = Load {
        work_percent: Some(250),
        ..Load::default()
    };
    backend.record_load(load, NOW);
    let slow = world.choose(&long_prompt(1, 1), NOW).expect("an engine");
    assert_eq!(slow.prefill_ms.0, usual.prefill_ms.0 * 5 / 2);
    let later = NOW.after(DurationMs(1_000));
    let later = world.choose(&long_prompt(1, 1), later).expect("an engine");
    assert!(later.prefill_ms.0 <= usual.prefill_ms.0 * 103 / 100);
}

/// One of 64 engines shares its machine with others and is 2.5 times slower: neither long nor short prompts
/// may be sent there, and they must be again when it is as fast as the others.
#[test_case(250, 0; "a slow moment")]
#[test_case(100, 1; "the usual time")]
fn a_slow_engine_gets_nothing_new(work_percent: u64, least: usize) {
    let mut world = World::with_engines(64);
    let fits = |choice: &Choice| choice.worker == worker(0);
    let backend = world.backends.get_mut(worker(0)).expect("an engine");
    backend.speed.record_report(Some(work_percent), NOW);
    let long = (0..400).filter_map(|number| world.choose(&long_prompt(number, number), NOW));
    let count = long.filter(fits).count();
    assert!(
        count >= least && (least > 0 || count == 0),
        "{count} long prompts"
    );
    world.decode_heavy_requests = 64 * 64;
    let mut count = 0;
    for number in 0..400 {
        world.random = rendezvous_score(number, worker(1));
        let choice = world.choose(&short_prompt(number, number), NOW);
        count += usize::from(choice.as_ref().is_some_and(fits));
    }
    assert!(
        count >= least && (least > 0 || count == 0),
        "{count} short prompts"
    );
}

/// Gateways that know nothing of each other learn at the same moment that one of 240 engines is fast: their
/// requests must not all go to it.
#[test]
fn a_fast_engine_is_not_stormed() {
    let mut world = World::with_engines(240);
    world.decode_heavy_requests = 300;
    for number in 0..240 {
        let percent = if number == 0 { 60 } else { 100 };
        let sample = Pace::sample(DurationMs(100), DurationMs(percent)).expect("a sample");
        for _ in 0..20 {
            world.backends.learn_pace(worker(number), sample, NOW);
        }
    }
    let mut stormed = [0; 2];
    for number in 0..200 {
        world.random = rendezvous_score(number, worker(1));
        let prompts = [long_prompt(number, number), short_prompt(number, number)];
        for (count, prompt) in stormed.iter_mut().zip(prompts) {
            let choice = world.choose(&prompt, NOW).expect("an engine");
            *count += usize::from(choice.worker == worker(0));
        }
    }
    assert!(
        stormed.iter().all(|count| *count <= 60),
        "{stormed:?} of 200"
    );
}

/// Each token takes longer the more requests run: an engine must take as many as leave the pauses between
/// events within their target, which a slow engine reaches with fewer.
#[test_case(100, 100, 31; "the usual time")]
#[test_case(150, 100, 7; "a slow engine")]
#[test_case(100, 400, 64; "a wide target")]
fn an_engine_takes_what_keeps_its_events_in_time(percent: u64, gap_ms: u64, expected: u64) {
    let mut world = World::with_engines(2);
    for running in [1, 8, 16, 32] {
        world.report_load(1, running, NOW);
        let sample = StreamSample {
            events_ms: DurationMs(running * 20),
            event_count: 11,
            total_ms: DurationMs(running * 20),
        };
        world.backends.learn_stream(worker(1), sample, NOW);
    }
    let backend = world.backends.get_mut(worker(0)).expect("an engine");
    backend.speed.record_report(Some(percent), NOW);
    let model = world.backends.model(ENGINES);
    let backend = world.backends.get(worker(0)).expect("an engine");
    let targets = StreamTargets {
        first_token_ms: DurationMs(800),
        event_gap_ms: DurationMs(gap_ms),
    };
    let takes = model.comfortable_streams(backend, DurationMs(0), targets, NOW);
    assert_eq!(takes, expected);
}
