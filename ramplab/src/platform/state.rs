//! State of the simulated platform: all published versions of both texts, the
//! mode that decides which of them clients see, and the counts of calls.

use quick_error::quick_error;
use ramp_coordination::platform_reply::PublishedText;
use ramp_state::key::Version;
use ramp_transport::platform::Topic;
use tokio::sync::watch;

/// How the simulated platform answers reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// With the newest version.
    Up,
    /// Not at all: the connection is closed without a response.
    Down,
    /// Like a replica that lags behind: with nothing newer than these versions.
    Stale {
        /// Newest version of the fleet document that is served.
        fleet: Version,
        /// Newest version of the instance list that is served.
        instances: Version,
    },
}

quick_error! {
    /// Why a mode could not be parsed.
    #[derive(Debug)]
    pub enum ModeError {
        /// Not one of the modes.
        Unknown(text: String) {
            display("found `{}`; allowed: up, down, stale VERSION", text)
        }
    }
}

/// Counts of calls since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Reads of the fleet document, long polls included.
    pub fleet: u64,
    /// Reads of the instance list, long polls included.
    pub instances: u64,
    /// Those reads that got no response because the platform was down.
    pub unanswered: u64,
}

/// All published versions of both texts, and how reads are answered.
#[derive(Debug)]
pub struct PlatformState {
    fleet: Vec<PublishedText>,
    instances: Vec<PublishedText>,
    mode: Mode,
    /// Counts of calls, kept up by the HTTP interface.
    pub calls: CallCounts,
    changes: watch::Sender<()>,
}

impl PlatformState {
    /// Publishes the first texts as version `first`.
    pub fn new(first: u64, fleet: String, instances: String) -> PlatformState {
        let published = |text| PublishedText {
            version: Version(first),
            text,
        };
        PlatformState {
            fleet: vec![published(fleet)],
            instances: vec![published(instances)],
            mode: Mode::Up,
            calls: CallCounts::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Publishes `text` as the next version of `topic`, which is returned.
    pub fn publish(&mut self, topic: Topic, text: String) -> Version {
        let version = Version(self.last(topic).version.0 + 1);
        self.texts_mut(topic).push(PublishedText { version, text });
        self.changes.send_replace(());
        version
    }

    /// Parses and sets the mode: `up`, `down` or `stale VERSION`. The version is
    /// that of the fleet document; the instance list stays at its newest version.
    pub fn set_mode(&mut self, text: &str) -> Result<(), ModeError> {
        self.mode = self.parse_mode(text.trim())?;
        self.changes.send_replace(());
        Ok(())
    }

    fn parse_mode(&self, text: &str) -> Result<Mode, ModeError> {
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

    /// Whether reads get no response.
    pub fn is_down(&self) -> bool {
        self.mode == Mode::Down
    }

    /// Version of `topic` that reads get in the current mode; none when all are
    /// newer than the version at which a stale replica stopped.
    pub fn current(&self, topic: Topic) -> Option<&PublishedText> {
        let newest_visible = match (self.mode, topic) {
            (Mode::Stale { fleet, .. }, Topic::Fleet) => fleet,
            (Mode::Stale { instances, .. }, Topic::Instances) => instances,
            _ => Version(u64::MAX),
        };
        self.texts(topic)
            .iter()
            .rev()
            .find(|published| published.version <= newest_visible)
    }

    /// Channel that is notified of each new version and each change of mode.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    fn last(&self, topic: Topic) -> &PublishedText {
        let last = self.texts(topic).last();
        last.expect("the first text is never removed")
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
