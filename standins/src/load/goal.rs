//! How cactusspur stands against the best baseline of each figure.

use {
    crate::load::{
        engine_shape::{EngineShape, Work},
        measure::{ALL_CHATS, COLUMNS, Figures, Spread},
        policy::Policy,
        report::Report,
    },
    derive_more::Display,
};

/// A figure of cactusspur beside what it is measured against.
#[derive(Clone, Debug, PartialEq, Display)]
#[display("{figure}: {own:.3} against {reference:.3} ({of}): {standing:.3}, goal {goal}")]
pub struct Standing {
    /// The figure.
    pub figure: &'static str,
    /// Cactusspur's median.
    pub own: f64,
    /// The median or limit that it is measured against.
    pub reference: f64,
    /// What that is.
    pub of: String,
    /// The two as the goal has them: a quotient or a difference.
    pub standing: f64,
    /// The goal.
    pub goal: &'static str,
}

impl Report {
    /// How cactusspur stands; empty when it was not run, or nothing beside it.
    #[must_use]
    pub fn standings(&self) -> Vec<Standing> {
        if !self.policies().contains(&Policy::Cactusspur) {
            return Vec::new();
        }
        let first_token = self.against_best("first token p99 ms", "at most 0.6 (Trust)");
        let recomputed = self.against_best("recomputed per request", "at most 0.5 (Kitahama)");
        [first_token, recomputed]
            .into_iter()
            .flatten()
            .chain([self.hit_rate(), self.met_target()])
            .collect()
    }

    fn own(&self, figure: &str) -> f64 {
        self.median(Policy::Cactusspur, figure)
    }

    fn median(&self, policy: Policy, figure: &str) -> f64 {
        let column = COLUMNS.iter().find(|column| column.name == figure);
        column.map_or(0.0, |column| self.spread(policy, ALL_CHATS, column).median)
    }

    /// The quotient of a figure of which less is better, and the least of the baselines.
    fn against_best(&self, figure: &'static str, goal: &'static str) -> Option<Standing> {
        let baselines = self.policies().into_iter();
        let (reference, best) = baselines
            .filter(|policy| !policy.uses_entries())
            .map(|policy| (self.median(policy, figure), policy))
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        let own = self.own(figure);
        Some(Standing {
            figure,
            own,
            reference,
            of: best.to_string(),
            standing: own / reference.max(f64::MIN_POSITIVE),
            goal,
        })
    }

    /// The points by which the hit rate is under that of an unbounded cache on the same prompts.
    fn hit_rate(&self) -> Standing {
        const POINTS: f64 = 100.0;
        let own = self.own("prefix hit rate");
        let reference = self.own("unbounded hit rate");
        Standing {
            figure: "prefix hit rate",
            own,
            reference,
            of: "unbounded cache, points under it".to_owned(),
            standing: (reference - own) * POINTS,
            goal: "at most 3 points (Kitahama)",
        }
    }

    /// The work that met its target, of what was asked for or could be done.
    fn met_target(&self) -> Standing {
        let shape = EngineShape::of(self.workload);
        let load_of = |work: fn(&Figures) -> Work| {
            let figures = self.figures_of(Policy::Cactusspur, ALL_CHATS);
            let loads = figures.map(|row| shape.load_of(work(row), self.seconds));
            Spread::of(loads.collect()).median
        };
        let own = load_of(|figures| figures.met_work);
        let reference = load_of(|figures| figures.asked_work).min(1.0);
        Standing {
            figure: "work that met its target, of capacity",
            own,
            reference,
            of: "the lesser of asked and capacity".to_owned(),
            standing: own / reference.max(f64::MIN_POSITIVE),
            goal: "at least 0.9 (overload)",
        }
    }
}
