//! The router of one agent's traffic thread.

use std::sync::Arc;

use indexmap::IndexMap;
use ramp_protocol::header::HOP_LIMIT;
use ramp_protocol::message::Answer;
use ramp_protocol::message::Message;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;
use ramp_state::view::Group;
use ramp_state::view::Member;

use super::Arrival;
use super::DropReason;
use super::FlowCounts;
use super::Outgoing;
use super::Placement;
use super::Reset;
use super::ResetReason;
use super::Step;
use super::bucket::TokenBucket;
use super::directory::Directory;
use super::questions::Progress;
use super::questions::Questions;
use super::registration::Registration;
use super::registration::WALK_FLOWS;
use super::table::FlowId;
use super::table::FlowTable;
use super::table::Handshake;
use crate::picture::GroupPicture;

/// Answers that one member gets, a second.
const ANSWERS_PER_S: u64 = 64;

/// Answers that one member gets at once.
const ANSWERS_BURST: u64 = 256;

/// Decides for each packet of a caller where it goes.
///
/// One per traffic thread of an agent. See the [module](crate::flows) for the
/// rules, and how to drive it.
#[derive(Debug)]
pub struct FlowRouter {
    me: InstanceId,
    picture: Option<Arc<GroupPicture>>,
    /// Whether this agent's own data centre was taken out.
    is_out: bool,
    table: FlowTable,
    directory: Directory,
    questions: Questions,
    placement: Placement,
    registration: Registration,
    answers: IndexMap<InstanceId, TokenBucket>,
    outbox: Vec<Outgoing>,
    resets: Vec<Reset>,
    abandoned: Vec<FlowKey>,
    counts: FlowCounts,
}

impl FlowRouter {
    /// Router of the agent `me`; `seed` drives its random choices and should
    /// be secret, since it also keys its tables.
    pub fn new(me: InstanceId, seed: u64) -> FlowRouter {
        FlowRouter {
            me,
            picture: None,
            is_out: false,
            table: FlowTable::new(mix(seed)),
            directory: Directory::new(mix(seed ^ 1)),
            questions: Questions::new(mix(seed ^ 2)),
            placement: Placement::new(me, mix(seed ^ 3)),
            registration: Registration::new(),
            answers: IndexMap::new(),
            outbox: Vec::new(),
            resets: Vec::new(),
            abandoned: Vec::new(),
            counts: FlowCounts::default(),
        }
    }

    /// Takes a new picture of the group into force.
    pub fn install(&mut self, now: Millis, picture: Arc<GroupPicture>) {
        let old = self.picture.replace(picture.clone());
        self.is_out = picture.group.member(self.me).is_some_and(|m| !m.reachable);
        self.answers.retain(|id, _| hears(&picture, *id));
        self.registration.retain(|id| hears(&picture, id));
        self.placement.report(now, old.as_deref(), &picture);
        let homes_changed = old.is_none_or(|old| homes_differ(&old.group, &picture.group));
        if homes_changed {
            self.registration.restart(now, self.table.established());
        }
        for key in self.questions.keys() {
            if let Some(reset) = self.settle(&key) {
                self.resets.push(reset);
            }
        }
    }

    /// Decides what to do with a packet of a caller.
    pub fn packet(&mut self, now: Millis, arrival: Arrival, segment: &Segment) -> Step {
        let step = match self.decide(now, arrival, segment) {
            Step::Reset(_) if segment.rst => Step::Drop(DropReason::ResetOfGone),
            step => step,
        };
        match step {
            Step::Open => self.counts.opened += 1,
            Step::Forward { .. } => self.counts.forwarded += 1,
            Step::Drop(reason) => self.counts.drops.add(reason),
            Step::Deliver | Step::Reset(_) => {}
        }
        step
    }

    /// Notes the initial sequence number with which our SYN-ACK left.
    pub fn accepted(&mut self, _now: Millis, key: FlowKey, isn: u32) {
        let Some(flow) = self.table.find_mut(&key) else {
            return;
        };
        if flow.handshake == Handshake::Opened {
            flow.handshake = Handshake::Accepted(isn);
        }
    }

    /// Whether this agent owns the flow and its handshake is done.
    pub fn established(&self, key: FlowKey) -> bool {
        self.table
            .find(&key)
            .is_some_and(|flow| flow.handshake == Handshake::Done)
    }

    /// Forgets a flow whose TCP endpoint has ended.
    pub fn closed(&mut self, now: Millis, key: FlowKey) {
        let Some(flow) = self.table.remove(&key) else {
            return;
        };
        self.placement.ended();
        if let Some(home) = flow.pointer_at {
            self.registration.release(now, home, key);
        }
    }

    /// Takes a control message of another member of the group.
    pub fn message(&mut self, now: Millis, from: InstanceId, message: &Message) {
        // What an owner tells is kept even before this agent knows the view
        // by which it was told: the owner may just have heard of it earlier.
        match message {
            Message::Register { flows } => self.registered(from, flows),
            Message::Release { flows } => self.released(from, flows),
            Message::WhoOwns { key, ack } => self.answer(now, from, *key, *ack),
            Message::OwnerIs { key, answer } if self.hears(from) => match answer {
                Answer::Owns => self.owned_by(from, key),
                Answer::NotMine => self.denied_by(from, key),
            },
            _ => {}
        }
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Millis) {
        while let Some(flow) = self.table.fade(now) {
            self.abandon(flow.key);
        }
        self.questions.forget(now);
        if self.registration.begin(now) && !self.is_out {
            self.walk(now);
            self.counts.registered += self.registration.send(now, &mut self.outbox) as u64;
        }
    }

    /// Moment of the next [`FlowRouter::tick`]; none when nothing is due.
    pub fn next_timer(&self) -> Option<Millis> {
        [
            self.table.next_fade(),
            self.questions.next_forget(),
            self.registration.next_timer(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Messages to be sent.
    pub fn take_outbox(&mut self) -> impl Iterator<Item = Outgoing> {
        self.outbox.drain(..)
    }

    /// Resets that are due without a packet.
    pub fn take_resets(&mut self) -> impl Iterator<Item = Reset> {
        self.resets.drain(..)
    }

    /// Half-open flows whose TCP endpoints are to be thrown away without a
    /// word to the caller. Take them before the next packet.
    pub fn take_abandoned(&mut self) -> impl Iterator<Item = FlowKey> {
        self.abandoned.drain(..)
    }

    /// Counters and sizes.
    pub fn counts(&self) -> FlowCounts {
        FlowCounts {
            flows: self.table.len(),
            half_open: self.table.half_open(),
            pointers: self.directory.len(),
            questions: self.questions.len(),
            ..self.counts
        }
    }

    fn decide(&mut self, now: Millis, arrival: Arrival, segment: &Segment) -> Step {
        if self.is_out {
            return Step::Drop(DropReason::DataCentreOut);
        }
        if let Some(id) = self.table.id(&segment.key) {
            let flow = self.table.get(id).expect("the table is consistent");
            if flow.handshake == Handshake::Done || segment.opens || segment.rst {
                return Step::Deliver;
            }
            if flow.is_proved_by(segment.ack) && segment.has_ack {
                self.establish(now, segment.key);
                return Step::Deliver;
            }
        }
        let Some(picture) = self.picture.clone() else {
            return Step::Drop(DropReason::NoPicture);
        };
        if segment.key.service != picture.group.address {
            return Step::Drop(DropReason::ForeignService);
        }
        if segment.opens {
            self.first(now, &picture, arrival, segment)
        } else {
            self.later(now, &picture, arrival, segment)
        }
    }

    fn establish(&mut self, now: Millis, key: FlowKey) {
        let Some(id) = self.table.id(&key) else {
            return;
        };
        self.table.establish(id);
        self.counts.established += 1;
        self.questions.remove(&key);
        // A flow that reached its owner by a detour is not known to its home.
        self.registration.add(now, id);
    }

    /// A first packet of a flow that is not in the table.
    fn first(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        arrival: Arrival,
        segment: &Segment,
    ) -> Step {
        let key = segment.key;
        let may_forward = arrival.hops.saturating_add(1) < HOP_LIMIT;
        let pointer = self.directory.get(&key).map(|p| p.owner);
        if let Some(to) = pointer.filter(|to| Some(*to) != arrival.sender && may_forward)
            && picture.group.member(to).is_some_and(Member::is_home)
        {
            return Step::Forward { to, to_owner: true };
        }
        if arrival.to_owner || !may_forward {
            return self.take(now, picture, arrival, key, may_forward);
        }
        match picture.group.home(key.hash64()) {
            None => Step::Drop(DropReason::NoHome),
            Some(home) if home.id == self.me => self.place(now, picture, key),
            Some(home) => Step::Forward {
                to: home.id,
                to_owner: false,
            },
        }
    }

    /// Places a new flow whose home this agent is.
    fn place(&mut self, now: Millis, picture: &GroupPicture, key: FlowKey) -> Step {
        let own_flows = self.table.len();
        match self.placement.choose(now, picture, own_flows) {
            Some(to) if to != self.me => {
                self.counts.placed_elsewhere += 1;
                self.give(key, to)
            }
            _ => self.open(now, picture, key, None),
        }
    }

    /// Takes a new flow that another member gave to this agent, or passes it on.
    fn take(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        arrival: Arrival,
        key: FlowKey,
        may_forward: bool,
    ) -> Step {
        let own_flows = self.table.len();
        if !self.placement.may_open(now, picture, own_flows) && may_forward {
            let other = self
                .placement
                .choose_other(now, picture, own_flows, arrival.sender);
            if let Some(to) = other {
                self.counts.passed_on += 1;
                return self.give(key, to);
            }
        }
        let pointer_at = arrival.sender.filter(|_| arrival.to_owner);
        self.open(now, picture, key, pointer_at)
    }

    fn give(&mut self, key: FlowKey, to: InstanceId) -> Step {
        self.placement.grant(to);
        self.directory.insert(key, to);
        self.questions.remove(&key);
        Step::Forward { to, to_owner: true }
    }

    fn open(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        key: FlowKey,
        pointer_at: Option<InstanceId>,
    ) -> Step {
        let most = picture
            .group
            .member(self.me)
            .map_or(0, |m| m.policy.connections as usize);
        if self.table.len() - self.table.half_open() >= most {
            return self.reset(ResetReason::Full);
        }
        // A flood of first packets must not keep out those who mean it.
        if self.table.len() >= most
            && let Some(oldest) = self.table.fade_oldest()
        {
            self.abandon(oldest.key);
        }
        self.directory.remove(&key);
        self.questions.remove(&key);
        self.table.open(now, key, pointer_at);
        Step::Open
    }

    /// A later packet of a flow that is not established here.
    fn later(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        arrival: Arrival,
        segment: &Segment,
    ) -> Step {
        if let Some(step) = self.follow(picture, arrival, &segment.key) {
            return step;
        }
        if arrival.to_owner {
            return self.refuse(now, picture, arrival, segment.key);
        }
        match picture.group.home(segment.key.hash64()) {
            None => Step::Drop(DropReason::NoHome),
            Some(home) if home.id == self.me => self.ask(now, picture, segment),
            Some(_) if arrival.hops >= HOP_LIMIT => Step::Drop(DropReason::HopLimit),
            Some(home) => Step::Forward {
                to: home.id,
                to_owner: false,
            },
        }
    }

    /// Follows the pointer of a flow, if there is one that leads on.
    fn follow(&mut self, picture: &GroupPicture, arrival: Arrival, key: &FlowKey) -> Option<Step> {
        let pointer = self.directory.get(key)?;
        let owner = pointer.owner;
        // Whoever sent it on does not have the flow, else it had kept it.
        if Some(owner) == arrival.sender {
            self.directory.remove(key);
            return None;
        }
        if let Some(reason) = lost(picture, owner) {
            // By a newer configuration the owner may be there.
            if picture.latest > picture.version {
                return Some(Step::Drop(DropReason::Asked));
            }
            if !pointer.reset {
                pointer.reset = true;
                self.counts.resets.add(reason);
            }
            return Some(Step::Reset(reason));
        }
        if arrival.hops >= HOP_LIMIT {
            return Some(Step::Drop(DropReason::HopLimit));
        }
        Some(Step::Forward {
            to: owner,
            to_owner: true,
        })
    }

    /// Tells the sender that its pointer is out of date.
    fn refuse(
        &mut self,
        now: Millis,
        picture: &GroupPicture,
        arrival: Arrival,
        key: FlowKey,
    ) -> Step {
        if let Some(sender) = arrival.sender
            && hears(picture, sender)
        {
            self.tell(now, sender, key, Answer::NotMine);
        }
        Step::Drop(DropReason::NotOwner)
    }

    /// Asks the group who owns the flow of `segment`.
    fn ask(&mut self, now: Millis, picture: &GroupPicture, segment: &Segment) -> Step {
        let key = segment.key;
        if let Some(question) = self.questions.get(&key) {
            match question.progress {
                Progress::Open if !question.may_retry(now) => {
                    return Step::Drop(DropReason::Asked);
                }
                Progress::Open => return self.send_question(now, picture, key),
                // The outcome is only valid for the segment that was asked about:
                // a flow opened since then acknowledges something else.
                Progress::Unowned(reason) if question.segment.ack == segment.ack => {
                    return Step::Reset(reason);
                }
                Progress::Unowned(_) => {
                    self.questions.remove(&key);
                }
            }
        }
        let peers = owners(picture, self.me).count();
        if !self.questions.allow(now, &key, peers) || !self.questions.insert(now, *segment) {
            self.counts.questions_limited += 1;
            return Step::Drop(DropReason::QuestionLimited);
        }
        self.post_question(picture, key);
        match self.settle(&key) {
            Some(reset) => Step::Reset(reset.reason),
            None => Step::Drop(DropReason::Asked),
        }
    }

    /// Asks those again who have not answered.
    fn send_question(&mut self, now: Millis, picture: &GroupPicture, key: FlowKey) -> Step {
        let me = self.me;
        let Some(question) = self.questions.get(&key) else {
            return Step::Drop(DropReason::Asked);
        };
        let missing = owners(picture, me)
            .filter(|m| !question.denied.contains(&m.id))
            .count();
        if !self.questions.allow(now, &key, missing) {
            self.counts.questions_limited += 1;
            return Step::Drop(DropReason::QuestionLimited);
        }
        if let Some(question) = self.questions.get(&key) {
            question.asked_at = now;
        }
        self.post_question(picture, key);
        Step::Drop(DropReason::Asked)
    }

    fn post_question(&mut self, picture: &GroupPicture, key: FlowKey) {
        let Some(question) = self.questions.get(&key) else {
            return;
        };
        let ack = question.segment.ack;
        let missing = owners(picture, self.me).filter(|m| !question.denied.contains(&m.id));
        let before = self.outbox.len();
        self.outbox.extend(missing.map(|m| Outgoing {
            to: m.id,
            message: Message::WhoOwns { key, ack },
        }));
        self.counts.questions_sent += (self.outbox.len() - before) as u64;
    }

    /// Ends a question when every member that could own the flow has denied.
    fn settle(&mut self, key: &FlowKey) -> Option<Reset> {
        let picture = self.picture.clone()?;
        let me = self.me;
        let question = self.questions.get(key)?;
        let is_home = picture
            .group
            .home(key.hash64())
            .is_some_and(|home| home.id == me);
        let open = question.progress == Progress::Open;
        let denied = owners(&picture, me).all(|m| question.denied.contains(&m.id));
        // A newer configuration may bring members that were not asked.
        if !open || !denied || !is_home || picture.latest > picture.version {
            return None;
        }
        let reason = unowned(&picture);
        question.progress = Progress::Unowned(reason);
        let segment = question.segment;
        // A reset is never answered with one.
        if segment.rst {
            return None;
        }
        self.counts.resets.add(reason);
        Some(Reset { segment, reason })
    }

    /// Whether messages may pass between this agent and `other`.
    fn hears(&self, other: InstanceId) -> bool {
        let picture = self.picture.as_ref();
        other != self.me && !self.is_out && picture.is_some_and(|p| hears(p, other))
    }

    fn registered(&mut self, owner: InstanceId, flows: &[FlowKey]) {
        let group = self.picture.as_ref().map(|picture| &picture.group);
        if owner == self.me || group.is_some_and(|g| g.member(owner).is_none()) {
            return;
        }
        for key in flows {
            self.point_to(owner, key);
        }
    }

    fn released(&mut self, owner: InstanceId, flows: &[FlowKey]) {
        for key in flows {
            self.directory.remove_if(key, owner);
        }
    }

    fn answer(&mut self, now: Millis, from: InstanceId, key: FlowKey, ack: u32) {
        if !self.hears(from) {
            return;
        }
        if let Some(flow) = self.table.find_mut(&key)
            && flow.is_proved_by(ack)
        {
            flow.pointer_at = Some(from);
            self.counts.questions_answered += 1;
            self.tell(now, from, key, Answer::Owns);
            return;
        }
        // Silence keeps the asker from a reset while the views differ: there
        // may be an owner that it does not know of.
        let picture = self.picture.as_ref();
        let home = picture.and_then(|p| p.group.home(key.hash64()));
        if home.is_some_and(|home| home.id == from) {
            self.counts.questions_answered += 1;
            self.tell(now, from, key, Answer::NotMine);
        }
    }

    fn owned_by(&mut self, from: InstanceId, key: &FlowKey) {
        if self.questions.remove(key) {
            self.point_to(from, key);
        }
    }

    fn denied_by(&mut self, from: InstanceId, key: &FlowKey) {
        self.directory.remove_if(key, from);
        let Some(question) = self.questions.get(key) else {
            return;
        };
        if !question.denied.contains(&from) {
            question.denied.push(from);
        }
        if let Some(reset) = self.settle(key) {
            self.resets.push(reset);
        }
    }

    /// Notes that `owner` has proved to own the flow.
    fn point_to(&mut self, owner: InstanceId, key: &FlowKey) {
        if self.established(*key) {
            self.counts.conflicts += 1;
            return;
        }
        if self.table.remove(key).is_some() {
            self.abandon(*key);
        }
        self.questions.remove(key);
        self.directory.insert(*key, owner);
    }

    fn tell(&mut self, now: Millis, to: InstanceId, key: FlowKey, answer: Answer) {
        let bucket = self
            .answers
            .entry(to)
            .or_insert_with(|| TokenBucket::new(ANSWERS_PER_S, ANSWERS_BURST));
        if !bucket.take(now, 1) {
            self.counts.answers_limited += 1;
            return;
        }
        self.outbox.push(Outgoing {
            to,
            message: Message::OwnerIs { key, answer },
        });
    }

    fn abandon(&mut self, key: FlowKey) {
        self.counts.faded += 1;
        self.placement.ended();
        self.abandoned.push(key);
    }

    fn reset(&mut self, reason: ResetReason) -> Step {
        self.counts.resets.add(reason);
        Step::Reset(reason)
    }

    /// Looks at the next flows of the walk and batches the displaced ones.
    fn walk(&mut self, now: Millis) {
        for _ in 0..WALK_FLOWS {
            let Some(id) = self.registration.next_flow() else {
                break;
            };
            if let Some((home, key)) = self.displaced(id)
                && self.table.point(id, home)
            {
                self.registration.register(home, key);
                self.registration.repeat(now, id);
            }
        }
        for _ in 0..WALK_FLOWS {
            let Some(id) = self.registration.next_repeat(now) else {
                break;
            };
            if let Some((home, key)) = self.displaced(id) {
                self.registration.register(home, key);
            }
        }
    }

    /// Home and key of a flow that lives here, if its home is another member.
    fn displaced(&self, id: FlowId) -> Option<(InstanceId, FlowKey)> {
        let key = self.table.get(id)?.key;
        let home = self.picture.as_ref()?.group.home(key.hash64())?.id;
        (home != self.me).then_some((home, key))
    }
}

/// Whether `id` is a member that may be sent messages.
fn hears(picture: &GroupPicture, id: InstanceId) -> bool {
    picture.group.member(id).is_some_and(|m| m.reachable)
}

/// Members beside `me` that could own a flow.
fn owners(picture: &GroupPicture, me: InstanceId) -> impl Iterator<Item = &Member> {
    picture
        .group
        .members
        .iter()
        .filter(move |m| m.id != me && m.reachable && !picture.gone.contains(&m.id))
}

/// Why `owner` surely has no flows any more, if so.
fn lost(picture: &GroupPicture, owner: InstanceId) -> Option<ResetReason> {
    let Some(member) = picture.group.member(owner) else {
        return Some(ResetReason::OwnerLost);
    };
    if !member.reachable {
        return Some(ResetReason::GivenUp);
    }
    picture
        .gone
        .contains(&owner)
        .then_some(ResetReason::OwnerLost)
}

/// Why a flow that no member owns is gone, as far as can be told: it was
/// with a member that is missing now, if one is.
fn unowned(picture: &GroupPicture) -> ResetReason {
    let members = &picture.group.members;
    if members.iter().any(|m| !m.reachable) {
        ResetReason::GivenUp
    } else if members.iter().any(|m| picture.gone.contains(&m.id)) {
        ResetReason::OwnerLost
    } else {
        ResetReason::Unowned
    }
}

/// Whether some flow key has another home in `new` than in `old`.
fn homes_differ(old: &Group, new: &Group) -> bool {
    let homes = |group: &'_ Group| -> Vec<InstanceId> {
        group
            .members
            .iter()
            .filter(|m| m.is_home())
            .map(|m| m.id)
            .collect()
    };
    homes(old) != homes(new)
}
