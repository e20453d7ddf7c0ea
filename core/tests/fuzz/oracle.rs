//! What must hold of the requests, whatever happens. Panics when it doesn't.

use {
    bytes::Bytes,
    cactusspur_core::{
        Arrival, AttemptId, ClassId, Command, CustomerId, IdempotencyKey, Incarnation, PieceHash,
        Refusal, RequestId, VecMap, Verdict, WorkerId,
    },
};

/// A request as its caller sees it.
#[derive(Debug)]
pub struct Ask {
    pub arrival: Arrival,
    pub node: usize,
    pub life: u64,
    pub expected: Bytes,
    pub delivered: usize,
    pub attempts: Vec<AttemptId>,
    pub runs: Vec<AttemptId>,
    pub last: Option<Last>,
    pub left: bool,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Last {
    Whole,
    Answer(Bytes),
    Refused(Refusal),
}

/// Everything that has been seen.
#[derive(Debug, Default)]
pub struct Oracle {
    pub asks: VecMap<RequestId, Ask>,
    /// The runs of each key.
    pub keys: VecMap<IdempotencyKey, Vec<AttemptId>>,
    /// The pieces that a life of a worker may hold.
    pub cacheable: VecMap<(WorkerId, Incarnation, PieceHash), ()>,
    pub refused_not_run: u64,
    pub refused_may_have_run: u64,
    pub answered: u64,
}

/// The one true answer to a prompt.
pub fn answer_to(arrival: &Arrival) -> Bytes {
    let prompt = arrival.levels.last().cloned().unwrap_or_default();
    let question = String::from_utf8_lossy(&prompt).into_owned();
    let lines = 2 + arrival.request.0 % 5;
    let line = format!("{question:.40};");
    line.repeat(usize::try_from(lines).unwrap_or(1)).into()
}

impl Ask {
    /// The key under which it may run at most once.
    pub fn key(&self, dispatch: ClassId) -> Option<IdempotencyKey> {
        let customer: CustomerId = self.arrival.customer;
        let key = self.arrival.idempotency_key.clone()?;
        (self.arrival.class == dispatch).then_some(IdempotencyKey {
            customer,
            class: dispatch,
            key,
        })
    }

    /// Whether it was told that it has not run.
    pub fn told_not_run(&self) -> bool {
        matches!(&self.last, Some(Last::Refused(refusal)) if refusal.verdict == Verdict::NotRun)
    }
}

impl Oracle {
    /// A worker starts to run an attempt.
    pub fn ran(&mut self, request: RequestId, attempt: AttemptId, dispatch: ClassId) {
        let ask = self
            .asks
            .get_mut(&request)
            .expect("a request that was asked");
        assert!(!ask.told_not_run(), "{request} ran after not-run");
        ask.runs.push(attempt);
        let Some(key) = ask.key(dispatch) else {
            return;
        };
        let runs = self.keys.get_or_insert_with(key.clone(), Vec::new);
        runs.push(attempt);
        assert!(runs.len() == 1, "key {key} ran twice: {runs:?}");
    }

    /// A core has answered a caller.
    pub fn told(&mut self, command: &Command, dispatch: ClassId) {
        let (Command::Deliver { request, .. }
        | Command::Complete { request, .. }
        | Command::Answer { request, .. }
        | Command::Refuse { request, .. }) = command
        else {
            return;
        };
        let ask = self
            .asks
            .get_mut(request)
            .expect("a request that was asked");
        assert!(ask.last.is_none(), "{request}: {command:?} after the end");
        match command {
            Command::Deliver { text, .. } => {
                let end = ask.delivered + text.len();
                let expected = ask.expected.get(ask.delivered..end);
                assert_eq!(expected, Some(&text[..]), "{request}: wrong bytes");
                ask.delivered = end;
            }
            Command::Complete { .. } => {
                assert_eq!(ask.delivered, ask.expected.len(), "{request}: not whole");
                ask.last = Some(Last::Whole);
                self.answered += 1;
            }
            Command::Answer { body, .. } => {
                let ran = match ask.key(dispatch) {
                    Some(key) => self.keys.get(&key).cloned().unwrap_or_default(),
                    None => ask.runs.clone(),
                };
                let own = ran.iter().any(|attempt| *body == attempt.to_string());
                assert!(own, "{request}: answer of another request");
                ask.last = Some(Last::Answer(body.clone()));
                self.answered += 1;
            }
            Command::Refuse { refusal, .. } => {
                assert!(refusal.retry_after_ms.0 > 0, "{request}: no retry-after");
                ask.last = Some(Last::Refused(*refusal));
                if refusal.verdict == Verdict::NotRun {
                    assert!(ask.runs.is_empty(), "{request}: not-run, but it ran");
                    self.refused_not_run += 1;
                } else {
                    self.refused_may_have_run += 1;
                }
            }
            _ => {}
        }
    }

    /// Whether a worker's life may hold a piece.
    pub fn may_hold(&self, worker: WorkerId, life: Incarnation, piece: PieceHash) -> bool {
        self.cacheable.contains(&(worker, life, piece))
    }
}
