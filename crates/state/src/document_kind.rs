//! Which kind of text a file holds, told by its headings.

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

/// Kind of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// The fleet document.
    Fleet,
    /// The list of instances.
    Instances,
    /// Settings of a process with this role.
    Settings(Role),
}

/// Kinds with their sections; of two that fit alike the earlier one is taken.
const KINDS: [(DocumentKind, &[SectionInfo]); 4] = [
    (DocumentKind::Fleet, FLEET_SECTIONS),
    (DocumentKind::Instances, INSTANCE_SECTIONS),
    (DocumentKind::Settings(Role::Balancer), BALANCER_SECTIONS),
    (DocumentKind::Settings(Role::Agent), AGENT_SECTIONS),
];

impl DocumentKind {
    /// Kind whose sections fit most headings of `text`.
    pub fn of(text: &str) -> DocumentKind {
        let (sections, _) = ini::read(text);
        let mut best = (0, DocumentKind::Fleet);
        for (kind, table) in KINDS {
            let fits = |section: &&ini::Section| table.iter().any(|info| info.matches(section));
            let count = sections.iter().filter(fits).count();
            if count > best.0 {
                best = (count, kind);
            }
        }
        best.1
    }

    /// Looks for faults in a text of this kind.
    ///
    /// # Errors
    ///
    /// Every fault, in order of lines.
    pub fn check(self, text: &str) -> Result<(), ValidationErrors> {
        match self {
            DocumentKind::Fleet => Fleet::parse(Version(0), text).map(drop),
            DocumentKind::Instances => InstanceList::parse(Version(0), text).map(drop),
            DocumentKind::Settings(role) => Settings::parse(text, role).map(drop),
        }
    }
}
