//! A model of one group's switches: members, coordinators, engines and an unreliable network.
//!
//! Messages are kept for ever once sent, so any of them can be delivered late, twice or never.
//! Members can be replaced while their old selves live on unaware. [`explore`] visits every state up
//! to a depth; [`random_run`] takes long random runs. Both check that no two current members begin the
//! same step on different maps.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use grebedeck_core::{Incarnation, Moment, RandomSource, Step};
use grebedeck_experts::switch::{
    Body, Coordinator, CoordinatorAction, CoordinatorOptions, MapVersion, Member, MemberAction,
    MemberNo, MemberOptions, Message,
};

/// A way in which the protocol is broken on purpose, to show that the checks notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolFault {
    /// Not at all.
    None,
    /// The coordinator commits although one member has not armed.
    CommitWithoutAll,
    /// A replaced member does not ask the others before it takes part.
    NoJoin,
    /// Engines do not hold before an armed step.
    NoHold,
}

/// Bounds of a walk.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of members.
    pub members: usize,
    /// Steps that the group may make.
    pub steps: Step,
    /// Members that may be replaced.
    pub replacements: u32,
    /// Proposals that may be made.
    pub proposals: u32,
    /// Whether to start with a proposal that is about to be armed.
    pub start_arming: bool,
    /// What is broken.
    pub fault: ProtocolFault,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            members: 3,
            steps: 2,
            replacements: 1,
            proposals: 2,
            start_arming: true,
            fault: ProtocolFault::None,
        }
    }
}

/// Two current members began a step on different maps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The step.
    pub step: Step,
    /// The two maps.
    pub maps: (MapVersion, MapVersion),
}

/// What a walk or a random run has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Distinct states, or random actions.
    pub states: usize,
    /// Times that a member began to use a new map.
    pub commits: usize,
    /// Whether no state lies beyond those that were visited.
    pub complete: bool,
}

/// One rank's engine, with a single place for a map that is to come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Engine {
    map: Option<MapVersion>,
    next_map: Option<(MapVersion, Step)>,
    hold_at: Option<Step>,
    begun: Option<(Step, MapVersion)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    no: MemberNo,
    member: Member,
    incarnation: Incarnation,
    engine: Engine,
    coordinator: Option<Coordinator>,
}

/// A message, counted among all that were ever sent.
type MessageNo = u16;

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    current: Vec<Process>,
    /// Replaced processes that do not know it.
    stale: Vec<Process>,
    sent: Vec<MessageNo>,
    step: Step,
    replaced: u32,
    proposed: u32,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Deliver(MessageNo),
    DeliverToStale(usize, MessageNo),
    Begin(usize),
    Tick(usize),
    GiveUp(usize),
    Propose(usize),
    Replace(usize),
    Resume(usize),
}

/// The messages that were ever sent in any state of a walk.
#[derive(Default)]
struct Messages {
    all: Vec<Rc<Message>>,
    numbers: HashMap<Rc<Message>, MessageNo>,
}

impl Messages {
    fn number(&mut self, message: Message) -> MessageNo {
        if let Some(number) = self.numbers.get(&message) {
            return *number;
        }

        let message = Rc::new(message);
        let number = self.all.len() as MessageNo;
        self.all.push(message.clone());
        self.numbers.insert(message, number);

        number
    }

    fn get(&self, number: MessageNo) -> Rc<Message> {
        self.all[usize::from(number)].clone()
    }
}

/// The model with its bounds.
struct Model {
    bounds: Bounds,
    messages: Messages,
    commits: usize,
}

fn member_options() -> MemberOptions {
    // Any wait may already be over, so a member may ask at any time.
    MemberOptions { query_delay: Duration::ZERO, retry_interval: Duration::ZERO }
}

fn coordinator_options() -> CoordinatorOptions {
    CoordinatorOptions { lead_steps: 1, ..CoordinatorOptions::default() }
}

/// How many of the messages that were sent last are likely to be delivered next.
const NEW_MESSAGES: usize = 8;
/// A time by which every limit of a coordinator has passed.
const LATE: Moment = Duration::from_secs(3600);

impl Model {
    fn new(bounds: Bounds) -> Self {
        Model { bounds, messages: Messages::default(), commits: 0 }
    }

    fn start(&mut self) -> State {
        let size = self.bounds.members;
        let first = MapVersion::default();
        let process = |no| Process {
            no,
            member: Member::new(no, vec![1; size], first, member_options()),
            incarnation: 1,
            engine: Engine { map: Some(first), next_map: None, hold_at: None, begun: None },
            coordinator: None,
        };

        let mut state = State {
            current: (0..size as MemberNo).map(process).collect(),
            stale: Vec::new(),
            sent: Vec::new(),
            step: 0,
            replaced: 0,
            proposed: 0,
        };

        if self.bounds.start_arming {
            self.prepare_first(&mut state);
        }

        state
    }

    /// Takes a first proposal to the point where it is about to be armed.
    fn prepare_first(&mut self, state: &mut State) {
        self.propose(state, 0);

        for _ in 0..2 {
            for number in std::mem::take(&mut state.sent) {
                let message = self.messages.get(number);
                self.deliver(state, Place::Current(usize::from(message.to)), &message);
            }
        }
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();

        for number in &state.sent {
            actions.push(Action::Deliver(*number));
            actions.extend((0..state.stale.len()).map(|s| Action::DeliverToStale(s, *number)));
        }

        for (at, process) in state.current.iter().enumerate() {
            actions.push(Action::Begin(at));
            actions.push(Action::Tick(at));

            if process.coordinator.as_ref().is_some_and(|c| !c.is_idle()) {
                actions.push(Action::GiveUp(at));
            } else if state.proposed < self.bounds.proposals && at < 2 {
                actions.push(Action::Propose(at));
            }

            if state.replaced < self.bounds.replacements {
                actions.push(Action::Replace(at));
            }

            if process.engine.map.is_none() && process.member.is_idle() {
                actions.push(Action::Resume(at));
            }
        }

        actions
    }

    /// Gives the state after an action.
    fn act(&mut self, state: &State, action: Action) -> Result<State, Violation> {
        let mut next = state.clone();

        match action {
            Action::Deliver(number) => {
                let message = self.messages.get(number);
                let at = usize::from(message.to);
                self.deliver(&mut next, Place::Current(at), &message);
            }
            Action::DeliverToStale(at, number) => {
                // A stale process still listens on the address that its successor has too.
                let message = self.messages.get(number);

                if message.to == next.stale[at].no {
                    self.deliver(&mut next, Place::Stale(at), &message);
                }
            }
            Action::Begin(at) => self.begin(&mut next, at)?,
            Action::Tick(at) => {
                let orders = next.current[at].member.tick(Moment::ZERO);
                self.carry_out(&mut next, Place::Current(at), orders);
            }
            Action::GiveUp(at) => {
                let orders = coordinator_of(&mut next, at).tick(LATE);
                self.carry_out_coordination(&mut next, orders);
            }
            Action::Propose(at) => self.propose(&mut next, at),
            Action::Replace(at) => self.replace(&mut next, at),
            Action::Resume(at) => resume(&mut next, at),
        }

        next.sent.sort_unstable();
        next.sent.dedup();
        Ok(next)
    }

    fn deliver(&mut self, state: &mut State, place: Place, message: &Message) {
        let step = state.step;
        let process = process_of(state, place);
        let begun = process.engine.begun.is_some_and(|(s, _)| s == step);
        let next_step = step + Step::from(begun);

        if let Some(coordinator) = &mut process.coordinator {
            let orders = coordinator.receive(message, Moment::ZERO);
            let early = self.bounds.fault == ProtocolFault::CommitWithoutAll;
            self.carry_out_coordination(state, orders);

            if early && matches!(message.body, Body::Report { .. }) {
                self.commit_early(state, message);
            }
        }

        let orders = process_of(state, place).member.receive(message, next_step);
        self.carry_out(state, place, orders);
    }

    /// The broken coordinator takes any report for everybody's.
    fn commit_early(&mut self, state: &mut State, report: &Message) {
        let Body::Report { version, .. } = report.body else {
            return;
        };
        let roster = state.current.iter().map(|p| p.incarnation).collect::<Vec<_>>();

        for to in 0..state.current.len() as MemberNo {
            let body = Body::Commit { version, roster: roster.clone() };
            let message = Message { from: report.to, incarnation: 1, to, body };
            state.sent.push(self.messages.number(message));
        }
    }

    fn begin(&mut self, state: &mut State, at: usize) -> Result<(), Violation> {
        let step = state.step;
        let no_hold = self.bounds.fault == ProtocolFault::NoHold;
        let engine = &mut state.current[at].engine;
        let held = !no_hold && engine.hold_at.is_some_and(|h| step >= h);
        let done = engine.begun.is_some_and(|(s, _)| s == step) || step >= self.bounds.steps;

        if held || done {
            return Ok(());
        }

        if let Some((map, _)) = engine.next_map.take_if(|(_, from)| step >= *from) {
            engine.map = Some(map);
            self.commits += 1;
        }

        let Some(map) = engine.map else {
            return Ok(());
        };

        engine.begun = Some((step, map));
        let begun: Vec<_> = state.current.iter().map(|p| p.engine.begun).collect();
        let in_step = |b: &Option<(Step, MapVersion)>| b.filter(|(s, _)| *s == step);
        let others = begun.iter().filter_map(in_step).map(|(_, m)| m);

        if let Some(other) = others.clone().find(|m| *m != map) {
            return Err(Violation { step, maps: (map, other) });
        }

        if others.count() == state.current.len() {
            state.step += 1;
        }

        Ok(())
    }

    fn propose(&mut self, state: &mut State, at: usize) {
        let process = &mut state.current[at];
        let status = process.member.status();

        if !process.member.is_idle() {
            return;
        }

        let stale = process.coordinator.as_ref().is_none_or(|c| c.epoch() < status.seen_epoch);

        if stale {
            let (epoch, options) = (status.seen_epoch + 1, coordinator_options());
            let no = at as MemberNo;
            let coordinator = Coordinator::new(no, process.incarnation, epoch, options);
            process.coordinator = Some(coordinator);
        }

        let coordinator = coordinator_of(state, at);
        let orders = coordinator.propose(status.current, status.roster, Moment::ZERO);
        state.proposed += 1;
        self.carry_out_coordination(state, orders);
    }

    fn replace(&mut self, state: &mut State, at: usize) {
        let size = state.current.len();
        let incarnation = state.current[at].incarnation + 1;
        let no = at as MemberNo;
        let options = member_options();
        let no_join = self.bounds.fault == ProtocolFault::NoJoin;
        let first = MapVersion::default();
        let member = if no_join {
            let mut roster = vec![1; size];
            roster[at] = incarnation;
            Member::new(no, roster, first, options)
        } else {
            Member::replacing(no, size, incarnation, Moment::ZERO, options)
        };
        let engine = Engine { map: None, next_map: None, hold_at: None, begun: None };
        let fresh = Process { no, member, incarnation, engine, coordinator: None };

        state.stale.push(std::mem::replace(&mut state.current[at], fresh));
        state.replaced += 1;
    }

    fn carry_out(&mut self, state: &mut State, place: Place, orders: Vec<MemberAction>) {
        for order in orders {
            match order {
                MemberAction::Send(message) => state.sent.push(self.messages.number(message)),
                MemberAction::Load { version } => {
                    let step = next_step_of(state, place);
                    let orders = process_of(state, place).member.loaded(version, step);
                    self.carry_out(state, place, orders);
                }
                MemberAction::HoldAt { version, at_step } => {
                    let done = next_step_of(state, place) <= at_step;
                    let process = process_of(state, place);

                    if done {
                        process.engine.hold_at = Some(at_step);
                    }

                    let orders = process.member.held(version, done, Moment::ZERO);
                    self.carry_out(state, place, orders);
                }
                MemberAction::Use { version, at_step } => {
                    let engine = &mut process_of(state, place).engine;
                    engine.next_map = Some((version, at_step));
                    engine.hold_at = None;
                }
                MemberAction::KeepCurrent { .. } => process_of(state, place).engine.hold_at = None,
            }
        }
    }

    fn carry_out_coordination(&mut self, state: &mut State, orders: Vec<CoordinatorAction>) {
        for order in orders {
            if let CoordinatorAction::Send(message) = order {
                state.sent.push(self.messages.number(message));
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Current(usize),
    Stale(usize),
}

fn process_of(state: &mut State, place: Place) -> &mut Process {
    match place {
        Place::Current(at) => &mut state.current[at],
        Place::Stale(at) => &mut state.stale[at],
    }
}

fn next_step_of(state: &mut State, place: Place) -> Step {
    let step = state.step;
    let begun = process_of(state, place).engine.begun.is_some_and(|(s, _)| s == step);

    step + Step::from(begun)
}

fn coordinator_of(state: &mut State, at: usize) -> &mut Coordinator {
    state.current[at].coordinator.as_mut().expect("only a coordinator is asked")
}

/// Brings a replaced member's engine to the group's map, as the agent does.
fn resume(state: &mut State, at: usize) {
    let step = state.step;
    let process = &mut state.current[at];
    let (from, previous) = process.member.before_current();
    let current = process.member.current();

    if step < from {
        process.engine.map = Some(previous);
        process.engine.next_map = Some((current, from));
    } else {
        process.engine.map = Some(current);
    }
}

/// Visits every state that at most `depth` actions lead to.
pub fn explore(bounds: Bounds, depth: usize) -> Result<RunSummary, Violation> {
    let mut model = Model::new(bounds);
    let start = model.start();
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut frontier = vec![start];

    for _ in 0..depth {
        let mut next_frontier = Vec::new();

        for state in frontier {
            for action in model.actions(&state) {
                let next = model.act(&state, action)?;

                if seen.insert(fingerprint(&next)) {
                    next_frontier.push(next);
                }
            }
        }

        frontier = next_frontier;
    }

    let complete = frontier.is_empty();
    Ok(RunSummary { states: seen.len(), commits: model.commits, complete })
}

/// A digest that stands for a state, so that millions of them fit in memory.
fn fingerprint(state: &State) -> u128 {
    use std::hash::{Hash, Hasher};

    let mut low = std::hash::DefaultHasher::new();
    let mut high = std::hash::DefaultHasher::new();
    high.write_u8(1);
    state.hash(&mut low);
    state.hash(&mut high);

    u128::from(low.finish()) | (u128::from(high.finish()) << 64)
}

/// Takes one random run of `actions` actions.
pub fn random_run(
    bounds: Bounds,
    actions: usize,
    random: &mut impl RandomSource,
) -> Result<RunSummary, Violation> {
    let mut model = Model::new(bounds);
    let mut state = model.start();

    for _ in 0..actions {
        let possible = model.actions(&state);
        let action = draw(&possible, &state, random);
        state = model.act(&state, action)?;
    }

    Ok(RunSummary { states: actions, commits: model.commits, complete: false })
}

/// Draws an action. Faults are rare and new messages likely, or else nothing would ever commit.
fn draw(possible: &[Action], state: &State, random: &mut impl RandomSource) -> Action {
    let newest = state.sent.len().saturating_sub(NEW_MESSAGES);
    let is_new = |number: &MessageNo| state.sent[newest..].contains(number);

    loop {
        let action = possible[random.below(possible.len())];
        let chance = match action {
            Action::Deliver(number) if is_new(&number) => 1.0,
            Action::Deliver(_) => 0.05,
            Action::DeliverToStale(..) => 0.05,
            Action::Begin(_) => 0.3,
            Action::Propose(_) | Action::Resume(_) => 0.5,
            Action::Tick(_) => 0.05,
            Action::GiveUp(_) | Action::Replace(_) => 0.01,
        };

        if random.unit() < chance {
            return action;
        }
    }
}
