//! Updates of targets and routes.

use super::{Forwarder, Output, TargetState};
use crate::{Health, MergeOutcome, Note, Update};
use medlarspur_lib::{ids::Version, time::Millis};

impl Forwarder {
    /// Merges an update of targets and routes and acts on the changes.
    pub fn apply_update(&mut self, update: Update, now: Millis, out: &mut impl Output) {
        let version = self.version();
        let outcome = self.catalog.merge(update, now);
        self.apply_changes(outcome, version, now, out);
    }

    fn version(&self) -> Option<Version> {
        self.catalog.config().map(|config| config.version)
    }

    /// Acts on changes of the catalog; `version` is the version of the previous config.
    fn apply_changes(
        &mut self,
        outcome: MergeOutcome,
        version: Option<Version>,
        now: Millis,
        out: &mut impl Output,
    ) {
        if let Some(restored) = outcome.restore {
            self.counts.restores += 1;
            out.note(Note::StoreRestored(restored));
        }
        for domain in outcome.domains {
            let note = self.evacuation_note(domain);
            out.note(note);
        }
        if !outcome.targets.is_empty() {
            self.clear_subsets();
        }
        for incarnation in outcome.former_targets {
            // This instance has not seen an answer of the target yet, so the target gets new
            // flows only once it has answered.
            let health = Health::new(Millis(0));
            let state = TargetState { unprobed: true, health, ..TargetState::new(now) };
            self.states.entry(incarnation).or_insert(state);
        }
        for incarnation in outcome.targets {
            self.states.entry(incarnation).or_insert_with(|| TargetState::new(now));
            self.apply_entry(incarnation, now, out);
        }
        if let Some((revision, config)) = self.catalog.config_at()
            && Some(config.version) != version
        {
            let routes = config.routes.len();
            out.note(Note::Config { version: config.version, revision, routes });
        }
        self.update_levels();
        self.count_domains();
        self.drop_unused_services();
        let catalog = &self.catalog;
        self.states.retain(|incarnation, _| catalog.entry(*incarnation).is_some());
        self.update_outliers();
    }

    /// Accepts an earlier era of the store than was known.
    pub fn fall_back(&mut self) {
        self.catalog.reset_revisions();
    }

    /// Applies the unconfirmed state of a store that came back from a copy, once it is due.
    pub(super) fn confirm_restore(&mut self, now: Millis, out: &mut impl Output) {
        if self.catalog.deadline().is_some_and(|due| due <= now) {
            let outcome = self.catalog.confirm(now);
            self.apply_changes(outcome, self.version(), now, out);
        }
    }
}
