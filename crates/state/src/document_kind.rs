//! Detects what kind of configuration text a file holds, from its headings.

use crate::fleet::Fleet;
use crate::fleet_parse::FLEET_SECTIONS;
use crate::ini;
use crate::instances::INSTANCE_SECTIONS;
use crate::instances::InstanceList;
use crate::instances::Role;
use crate::key::Version;
use crate::schema::SectionInfo;
use crate::settings::AGENT_SECTIONS;
use crate::settings::BALANCER_SECTIONS;
use crate::settings::Settings;
use crate::validation::ValidationErrors;

/// Kind of a configuration text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// The fleet document.
    Fleet,
    /// The list of instances.
    Instances,
    /// Settings of one process: a balancer or an agent.
    Settings(Role),
}

/// Kinds with their sections. Of two kinds that match the same number of headings
/// the earlier one wins.
const KINDS: [(DocumentKind, &[SectionInfo]); 4] = [
    (DocumentKind::Fleet, FLEET_SECTIONS),
    (DocumentKind::Instances, INSTANCE_SECTIONS),
    (DocumentKind::Settings(Role::Balancer), BALANCER_SECTIONS),
    (DocumentKind::Settings(Role::Agent), AGENT_SECTIONS),
];

impl DocumentKind {
    /// Kind whose sections match the most headings of `text`.
    pub fn of(text: &str) -> DocumentKind {
        let (sections, _) = ini::read(text);
        let mut best = (0, DocumentKind::Fleet);
        for (kind, table) in KINDS {
            let is_known = |section: &&ini::Section| table.iter().any(|info| info.matches(section));
            let count = sections.iter().filter(is_known).count();
            if count > best.0 {
                best = (count, kind);
            }
        }
        best.1
    }

    /// Validates a text of this kind.
    ///
    /// # Errors
    ///
    /// All validation errors, in order of lines.
    pub fn check(self, text: &str) -> Result<(), ValidationErrors> {
        match self {
            DocumentKind::Fleet => Fleet::parse(Version(0), text).map(drop),
            DocumentKind::Instances => InstanceList::parse(Version(0), text).map(drop),
            DocumentKind::Settings(role) => Settings::parse(text, role).map(drop),
        }
    }
}
