//! Checks the promises made to callers under all faults. Panics when one is broken.

use {
    bytes::Bytes,
    cactusspur_core::{
        Arrival, AttemptId, ClassId, Command, CustomerId, IdempotencyKey, Incarnation, PieceHash,
        Refusal, RequestId, VecMap, Verdict, WorkerId,
    },
};

/// A request as seen by its caller, with its attempts.
#[derive(Debug)]
pub struct RequestLog {
    pub arrival: Arrival,
    pub node: usize,
    pub epoch: u64,
    pub expected: Bytes,
    pub delivered: usize,
    pub attempts: Vec<AttemptId>,
    pub runs: Vec<AttemptId>,
    pub final_answer: Option<FinalAnswer>,
    pub caller_left: bool,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Streamed,
    Answer(Bytes),
    Refused(Refusal),
}

/// Everything observed during a case.
#[derive(Debug, Default)]
pub struct Oracle {
    pub requests: VecMap<RequestId, RequestLog>,
    /// The attempts that ran under each idempotency key.
    pub keys: VecMap<IdempotencyKey, Vec<AttemptId>>,
    /// The pieces that an incarnation of a worker may have cached.
    pub cacheable: VecMap<(WorkerId, Incarnation, PieceHash), ()>,
    pub refused_not_run: u64,
    pub refused_may_have_run: u64,
    pub answered: u64,
}

/// The expected answer to a request.
pub fn answer_to(arrival: &Arrival) -> Bytes {
    let prompt = arrival.levels.last().cloned().unwrap_or_default();
    let question = String::from_utf8_lossy(&prompt).into_owned();
    let lines = 2 + arrival.request.0 % 5;
    let line = format!("{question:.40};");
    line.repeat(usize::try_from(lines).unwrap_or(1)).into()
}

impl RequestLog {
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

    /// Whether its caller received a refusal as not run.
    pub fn ended_not_run(&self) -> bool {
        matches!(
            &self.final_answer,
            Some(FinalAnswer::Refused(refusal)) if refusal.verdict == Verdict::NotRun
        )
    }
}

impl Oracle {
    /// Records that a worker starts to run an attempt.
    pub fn record_run(&mut self, request: RequestId, attempt: AttemptId, dispatch: ClassId) {
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("a request of this world");
        assert!(!tracked.ended_not_run(), "{request} ran after not-run");
        tracked.runs.push(attempt);
        let Some(key) = tracked.key(dispatch) else {
            return;
        };
        let runs = self.keys.get_or_insert_with(key.clone(), Vec::new);
        runs.push(attempt);
        assert!(runs.len() == 1, "key {key} ran twice: {runs:?}");
    }

    /// Records and checks a command that answers a caller.
    pub fn record_command(&mut self, command: &Command, dispatch: ClassId) {
        let (Command::Deliver { request, .. }
        | Command::Complete { request, .. }
        | Command::Answer { request, .. }
        | Command::Refuse { request, .. }) = command
        else {
            return;
        };
        let tracked = self
            .requests
            .get_mut(request)
            .expect("a request of this world");
        assert!(
            tracked.final_answer.is_none(),
            "{request}: {command:?} after the end"
        );
        match command {
            Command::Deliver { text, .. } => {
                let end = tracked.delivered + text.len();
                let expected = tracked.expected.get(tracked.delivered..end);
                assert_eq!(expected, Some(&text[..]), "{request}: wrong bytes");
                tracked.delivered = end;
            }
            Command::Complete { .. } => {
                assert_eq!(
                    tracked.delivered,
                    tracked.expected.len(),
                    "{request}: incomplete answer"
                );
                tracked.final_answer = Some(FinalAnswer::Streamed);
                self.answered += 1;
            }
            Command::Answer { body, .. } => {
                let ran = match tracked.key(dispatch) {
                    Some(key) => self.keys.get(&key).cloned().unwrap_or_default(),
                    None => tracked.runs.clone(),
                };
                let is_own = ran.iter().any(|attempt| *body == attempt.to_string());
                assert!(is_own, "{request}: answer of another request");
                tracked.final_answer = Some(FinalAnswer::Answer(body.clone()));
                self.answered += 1;
            }
            Command::Refuse { refusal, .. } => {
                assert!(refusal.retry_after_ms.0 > 0, "{request}: no retry-after");
                tracked.final_answer = Some(FinalAnswer::Refused(*refusal));
                if refusal.verdict == Verdict::NotRun {
                    assert!(tracked.runs.is_empty(), "{request}: not-run, but it ran");
                    self.refused_not_run += 1;
                } else {
                    self.refused_may_have_run += 1;
                }
            }
            _ => {}
        }
    }

    /// Whether an incarnation of a worker may have cached a piece.
    pub fn may_have_cached(
        &self,
        worker: WorkerId,
        incarnation: Incarnation,
        piece: PieceHash,
    ) -> bool {
        self.cacheable.contains(&(worker, incarnation, piece))
    }
}
