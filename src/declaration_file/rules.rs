//! The rules that declarations have to keep beyond their shape.

use {
    super::{
        Finding,
        locate::Step::{self, Element, Field},
    },
    crate::change::Entry,
    cactusspur_core::{
        Class, CreditGrant, Customer, Declarations, DurationMs, Model, ServedBy, ServiceId, TimeMs,
        Tokens,
    },
};

/// The longest name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The latest first-token target.
const MAX_TARGET_MS: DurationMs = DurationMs(3_600_000);
/// The longest answer that a class may allow.
const MAX_ANSWER_TOKENS: Tokens = Tokens(1_000_000);
/// The length of a BLAKE3 hash in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;
/// Times below this one are taken for seconds (in milliseconds it lies in the year 2001).
const MIN_TIME_MS: TimeMs = TimeMs(1_000_000_000_000);
/// Times above this one are taken for microseconds (in milliseconds it lies in the year 5138).
const MAX_TIME_MS: TimeMs = TimeMs(100_000_000_000_000);

/// Every broken rule.
pub fn findings(declarations: &Declarations, now: TimeMs) -> Vec<Finding> {
    let mut rules = Rules {
        now,
        findings: Vec::new(),
    };
    rules.models(&declarations.models);
    rules.customers(&declarations.customers);
    rules.classes(&declarations.classes, &declarations.models);
    rules.findings
}

struct Rules {
    now: TimeMs,
    findings: Vec<Finding>,
}

impl Rules {
    fn broken<M>(&mut self, path: &[Step], message: M)
    where
        M: Into<String>,
    {
        self.findings.push(Finding {
            path: path.to_vec(),
            message: message.into(),
        });
    }

    fn models(&mut self, models: &[Model]) {
        self.unique("models", models);
        for (at, model) in models.iter().enumerate() {
            let path = [Field("models"), Element(at)];
            self.model_name(&join(&path, "name"), &model.name);
            if let Some(adapter) = &model.adapter {
                self.model_name(&join(&path, "adapter"), adapter);
            }
            if model.weights_version.0 == 0 {
                self.broken(
                    &join(&path, "weights_version"),
                    "weights versions count from 1",
                );
            }
        }
    }

    fn customers(&mut self, customers: &[Customer]) {
        self.unique("customers", customers);
        let mut seen: Vec<&str> = Vec::new();
        for (at, customer) in customers.iter().enumerate() {
            let path = [Field("customers"), Element(at)];
            self.name(&join(&path, "name"), &customer.name);
            self.key_hashes(&join(&path, "api_key_hashes"), customer, &mut seen);
            self.credits(&join(&path, "credits"), &customer.credits);
        }
    }

    fn key_hashes<'a>(&mut self, path: &[Step], customer: &'a Customer, seen: &mut Vec<&'a str>) {
        if customer.api_key_hashes.is_empty() {
            self.broken(path, "a customer without a key can't call");
        }
        for (at, hash) in customer.api_key_hashes.iter().enumerate() {
            let path = extend(path, Element(at));
            if !is_key_hash(hash) {
                self.broken(
                    &path,
                    "not the BLAKE3 of a key in 64 lower-case hexadecimal digits \
                     (`cactusspur key-hash` makes one)",
                );
            }
            match seen.binary_search(&hash.as_str()) {
                Ok(_) => self.broken(&path, "the same key is declared twice"),
                Err(place) => seen.insert(place, hash),
            }
        }
    }

    fn credits(&mut self, path: &[Step], credits: &[CreditGrant]) {
        for (at, grant) in credits.iter().enumerate() {
            let path = extend(path, Element(at));
            self.name(&join(&path, "name"), &grant.name);
            if credits[..at]
                .iter()
                .any(|earlier| earlier.name == grant.name)
            {
                self.broken(
                    &join(&path, "name"),
                    format!("grant `{}` is declared twice", grant.name),
                );
            }
            if grant.amount_microcredits.0 == 0 {
                self.broken(&join(&path, "amount_microcredits"), "an empty grant");
            }
            self.lapse(&join(&path, "lapses_at_ms"), grant.lapses_at_ms);
        }
    }

    fn lapse(&mut self, path: &[Step], lapses_at: TimeMs) {
        if lapses_at < MIN_TIME_MS {
            return self.broken(path, "not in milliseconds since 1970 (seconds?)");
        }
        if lapses_at > MAX_TIME_MS {
            return self.broken(path, "not in milliseconds since 1970 (microseconds?)");
        }
        if lapses_at <= self.now {
            self.broken(path, "the grant has lapsed: remove it");
        }
    }

    fn classes(&mut self, classes: &[Class], models: &[Model]) {
        self.unique("classes", classes);
        self.service_ids(classes);
        for (at, class) in classes.iter().enumerate() {
            let path = [Field("classes"), Element(at)];
            self.name(&join(&path, "name"), &class.name);
            self.target(&join(&path, "first_token_target_ms"), class);
            let served_by = join(&path, "served_by");
            match &class.served_by {
                ServedBy::Model { .. } => self.model_class(&path, &served_by, class, models),
                ServedBy::Service { name, .. } => {
                    self.name(&join(&join(&served_by, "service"), "name"), name);
                }
            }
        }
    }

    fn target(&mut self, path: &[Step], class: &Class) {
        let target = class.first_token_target_ms;
        if target.0 == 0 {
            self.broken(path, "no answer arrives in 0 ms");
        }
        if target > MAX_TARGET_MS {
            self.broken(path, format!("later than {MAX_TARGET_MS} (an hour)"));
        }
    }

    fn model_class(&mut self, path: &[Step], served_by: &[Step], class: &Class, models: &[Model]) {
        let ServedBy::Model {
            name,
            adapter,
            max_answer_tokens,
        } = &class.served_by
        else {
            return;
        };
        let inner = join(served_by, "model");
        let declared = models
            .iter()
            .any(|model| model.name == *name && model.adapter == *adapter);
        if !declared {
            let adapter = adapter.as_ref().map(|adapter| format!(" with `{adapter}`"));
            self.broken(
                &join(&inner, "name"),
                format!(
                    "model `{name}`{} is not declared under `models`",
                    adapter.unwrap_or_default()
                ),
            );
        }
        if max_answer_tokens.0 == 0 || *max_answer_tokens > MAX_ANSWER_TOKENS {
            self.broken(
                &join(&inner, "max_answer_tokens"),
                format!("not from 1 to {}", MAX_ANSWER_TOKENS.0),
            );
        }
        if class.max_cost_microcredits.0 == 0 {
            self.broken(
                &join(path, "max_cost_microcredits"),
                "no model answers for 0 microcredits",
            );
        }
    }

    fn service_ids(&mut self, classes: &[Class]) {
        let mut seen: Vec<(ServiceId, &str)> = Vec::new();
        for (at, class) in classes.iter().enumerate() {
            let ServedBy::Service { name, .. } = &class.served_by else {
                continue;
            };
            let id = ServiceId::from_name(name);
            if seen
                .iter()
                .any(|(other, text)| *other == id && text != name)
            {
                let path = [Field("classes"), Element(at), Field("served_by")];
                self.broken(&path, "its service's id collides with another's: rename it");
            }
            seen.push((id, name));
        }
    }

    fn unique<T>(&mut self, list: &'static str, entries: &[T])
    where
        T: Entry,
    {
        let mut seen: Vec<(T::Id, String)> = Vec::new();
        for (at, entry) in entries.iter().enumerate() {
            let path = [Field(list), Element(at), Field("name")];
            let name = entry.entry_name();
            match seen.binary_search_by_key(&entry.entry_id(), |row| row.0) {
                Err(place) => seen.insert(place, (entry.entry_id(), name)),
                Ok(earlier) if seen[earlier].1 == name => {
                    self.broken(&path, format!("{} `{name}` is declared twice", T::KIND));
                }
                Ok(earlier) => {
                    let message = format!(
                        "the id of `{name}` collides with that of `{}`: rename one",
                        seen[earlier].1
                    );
                    self.broken(&path, message);
                }
            }
        }
    }

    fn name(&mut self, path: &[Step], name: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            self.broken(
                path,
                "a name has 1 to 64 lower-case letters, digits, `-`, `_` and `.`",
            );
        }
    }

    fn model_name(&mut self, path: &[Step], name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            self.broken(
                path,
                "a model's name has 1 to 64 letters, digits, `-`, `_`, `.`, `/` and `:`",
            );
        }
    }
}

fn is_key_hash(text: &str) -> bool {
    let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    text.len() == KEY_HASH_DIGITS && text.chars().all(digit)
}

fn extend(path: &[Step], step: Step) -> Vec<Step> {
    let mut path = path.to_vec();
    path.push(step);
    path
}

fn join(path: &[Step], field: &'static str) -> Vec<Step> {
    extend(path, Field(field))
}
