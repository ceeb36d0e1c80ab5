//! What the stand-in has published, and how it behaves.

use quick_error::quick_error;
use ramp_coordination::platform_reply::PublishedText;
use ramp_state::key::Version;
use ramp_transport::platform::Topic;
use tokio::sync::watch;

/// How the stand-in answers reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// With the newest text.
    Up,
    /// Not at all: connections are closed.
    Down,
    /// As a replica that has heard of nothing after these versions.
    Stale {
        /// Fleet document.
        fleet: Version,
        /// List of instances.
        instances: Version,
    },
}

quick_error! {
    /// Why a mode was not understood.
    #[derive(Debug)]
    pub enum ModeError {
        /// Not one of the modes.
        Unknown(text: String) {
            display("found `{}`; allowed: up, down, stale VERSION", text)
        }
    }
}

/// Calls so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// Reads and watches of the fleet document.
    pub fleet: u64,
    /// Reads and watches of the list of instances.
    pub instances: u64,
    /// Those among them that got no answer.
    pub unanswered: u64,
}

/// All versions of both texts.
#[derive(Debug)]
pub struct Publication {
    fleet: Vec<PublishedText>,
    instances: Vec<PublishedText>,
    mode: Mode,
    /// Calls so far.
    pub calls: Calls,
    changes: watch::Sender<()>,
}

impl Publication {
    /// Publishes the first texts as version `first`.
    pub fn new(first: u64, fleet: String, instances: String) -> Publication {
        let published = |text| PublishedText {
            version: Version(first),
            text,
        };
        Publication {
            fleet: vec![published(fleet)],
            instances: vec![published(instances)],
            mode: Mode::Up,
            calls: Calls::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Publishes `text` under the next version, which is returned.
    pub fn publish(&mut self, topic: Topic, text: String) -> Version {
        let version = Version(self.last(topic).version.0 + 1);
        self.texts_mut(topic).push(PublishedText { version, text });
        self.changes.send_replace(());
        version
    }

    /// Sets the mode from its written form.
    pub fn set_mode(&mut self, text: &str) -> Result<(), ModeError> {
        self.mode = self.read_mode(text.trim())?;
        self.changes.send_replace(());
        Ok(())
    }

    fn read_mode(&self, text: &str) -> Result<Mode, ModeError> {
        if let Some(version) = text.strip_prefix("stale ")
            && let Ok(version) = version.trim().parse()
        {
            return Ok(Mode::Stale {
                fleet: Version(version),
                instances: self.last(Topic::Instances).version,
            });
        }
        match text {
            "up" => Ok(Mode::Up),
            "down" => Ok(Mode::Down),
            _ => Err(ModeError::Unknown(text.to_string())),
        }
    }

    /// Whether reads get no answer.
    pub fn is_down(&self) -> bool {
        self.mode == Mode::Down
    }

    /// Text of `topic` as readers see it; none when a stale replica has none.
    pub fn current(&self, topic: Topic) -> Option<&PublishedText> {
        let most = match (self.mode, topic) {
            (Mode::Stale { fleet, .. }, Topic::Fleet) => fleet,
            (Mode::Stale { instances, .. }, Topic::Instances) => instances,
            _ => Version(u64::MAX),
        };
        self.texts(topic)
            .iter()
            .rev()
            .find(|one| one.version <= most)
    }

    /// Tells of each new text and mode.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    fn last(&self, topic: Topic) -> &PublishedText {
        let last = self.texts(topic).last();
        last.expect("the first text stays")
    }

    fn texts(&self, topic: Topic) -> &Vec<PublishedText> {
        match topic {
            Topic::Fleet => &self.fleet,
            Topic::Instances => &self.instances,
        }
    }

    fn texts_mut(&mut self, topic: Topic) -> &mut Vec<PublishedText> {
        match topic {
            Topic::Fleet => &mut self.fleet,
            Topic::Instances => &mut self.instances,
        }
    }
}
