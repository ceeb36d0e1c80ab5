//! Answers operator calls from the state of the control thread.

use std::cell::RefCell;
use std::rc::Rc;

use ramp_protocol::operator::Document;
use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::RefusedDocument;
use ramp_protocol::operator::Status;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;

use crate::control::core::Core;
use crate::control::role::Role;
use crate::operator::OperatorSource;

impl<R: Role> OperatorSource for Rc<RefCell<Core<R>>> {
    fn status(&self) -> Status {
        self.borrow().status()
    }

    fn ledger(&self, window: Window) -> Summary {
        let core = self.borrow();
        core.ledger.summary(core.now, window)
    }

    fn document(&self) -> Option<Document> {
        let published = self.borrow().configuration.published()?;
        Some(Document {
            version: published.version,
            text: published.text,
        })
    }
}

impl<R: Role> Core<R> {
    fn status(&self) -> Status {
        Status {
            name: self.settings.name.clone(),
            role: self.role.kind(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            uptime: self.now.since(self.started_at),
            config: self.configuration.version(),
            readiness: self.readiness(),
            services: self.role.services(),
            flows: u64::from(self.role.flows()),
            drains: self.role.drains(self.now),
            platform_calls: self.configuration.counts().platform_calls
                + self.instances.polls_started,
            platform_silent: self.last_platform_reply.map(|at| self.now.since(at)),
            refused: self.refused_and_newer(),
        }
    }

    /// The document that was refused last, if it is newer than the one in force.
    fn refused_and_newer(&self) -> Option<RefusedDocument> {
        let refused = self.refused.clone();
        refused.filter(|r| r.version > self.configuration.version())
    }

    fn readiness(&self) -> Readiness {
        if self.draining {
            return Readiness::Draining;
        }
        if !self.configuration.is_serving() || self.configuration.is_held() {
            return Readiness::Held;
        }
        Readiness::Serving
    }
}
