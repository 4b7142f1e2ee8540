//! Taking in news of targets and routes.

use super::{Forwarder, Output, State};
use crate::{Health, MergeOutcome, Note, Update};
use medlarspur_lib::{ids::Version, time::Millis};

impl Forwarder {
    /// Takes in news of targets and routes.
    pub fn learn(&mut self, news: Update, now: Millis, out: &mut impl Output) {
        let version = self.version();
        let changed = self.catalog.merge(news, now);
        self.follow_changes(changed, version, now, out);
    }

    fn version(&self) -> Option<Version> {
        self.catalog.config().map(|config| config.version)
    }

    /// Acts on what news has changed; `version` was that of the config before.
    fn follow_changes(
        &mut self,
        changed: MergeOutcome,
        version: Option<Version>,
        now: Millis,
        out: &mut impl Output,
    ) {
        if let Some(restored) = changed.restore {
            self.counts.restores += 1;
            out.note(Note::Era(restored));
        }
        for domain in changed.domains {
            let note = self.domain_note(domain);
            out.note(note);
        }
        if !changed.targets.is_empty() {
            self.forget_dealt();
        }
        for incarnation in changed.former_targets {
            // Nothing was heard of it here, so it gets new flows only once it has answered.
            let health = Health::new(Millis(0));
            let state = State { unasked: true, health, ..State::new(now) };
            self.states.entry(incarnation).or_insert(state);
        }
        for incarnation in changed.targets {
            self.states.entry(incarnation).or_insert_with(|| State::new(now));
            self.learn_entry(incarnation, now, out);
        }
        if let Some((revision, config)) = self.catalog.config_at()
            && Some(config.version) != version
        {
            let routes = config.routes.len();
            out.note(Note::Config { version: config.version, revision, routes });
        }
        self.count_domains();
        self.forget_rooms();
        let catalog = &self.catalog;
        self.states.retain(|incarnation, _| catalog.entry(*incarnation).is_some());
    }

    /// The source is in an earlier era than was believed.
    pub fn fall_back(&mut self) {
        self.catalog.reset_revisions();
    }

    /// Takes in what the source said after it came back from a copy, once that is due.
    pub(super) fn confirm(&mut self, now: Millis, out: &mut impl Output) {
        if self.catalog.deadline().is_some_and(|due| due <= now) {
            let changed = self.catalog.confirm(now);
            self.follow_changes(changed, self.version(), now, out);
        }
    }
}
