//! Model of a group that switches maps: members, coordinators, engines and an unreliable network.
//!
//! Sent messages are kept forever, so any of them can be delivered late, repeatedly or never. A
//! replaced member may continue to run without knowing of its replacement. [`explore`] visits every
//! state up to a depth; [`random_run`] takes one long random run. Both check that no two current
//! members begin the same step on different maps.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use grebedeck_core::{Incarnation, Moment, RandomSource, Step};
use grebedeck_experts::switch::{
    Body, Coordinator, CoordinatorAction, CoordinatorOptions, MapVersion, Member, MemberAction,
    MemberNo, MemberOptions, Message,
};

/// Fault injected into the protocol, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolFault {
    /// No fault.
    None,
    /// The coordinator commits before all members have armed.
    CommitWithoutAll,
    /// A replacement does not join through the other members before it takes part.
    NoJoin,
    /// Engines do not hold before the first step of an armed version.
    NoHold,
}

/// Bounds of an exploration or a random run.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of members.
    pub members: usize,
    /// Maximum number of steps of the group.
    pub steps: Step,
    /// Maximum number of replacements.
    pub replacements: u32,
    /// Maximum number of proposals.
    pub proposals: u32,
    /// Whether to start with a proposal that all members have prepared.
    pub start_arming: bool,
    /// Injected fault.
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

/// Violation of the invariant: two current members began a step on different maps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Step that both began.
    pub step: Step,
    /// Versions of their maps.
    pub maps: (MapVersion, MapVersion),
}

/// Summary of an exploration or a random run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Number of distinct states explored, or of random actions taken.
    pub states: usize,
    /// Number of times that a member began to use a new map.
    pub commits: usize,
    /// Whether all reachable states were visited.
    pub complete: bool,
}

/// Engine of one rank. It keeps at most one next map.
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

/// Index of a message among all that were ever sent.
type MessageNo = u16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    current: Vec<Process>,
    /// Replaced processes that still run.
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
    TimeOut(usize),
    Propose(usize),
    Replace(usize),
    Resume(usize),
}

/// All messages that were ever sent in any state, numbered without duplicates.
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

/// Transition function of the model, with its bounds.
struct Model {
    bounds: Bounds,
    messages: Messages,
    commits: usize,
}

fn member_options() -> MemberOptions {
    // With zero delays a member may query the others at any tick.
    MemberOptions { query_delay: Duration::ZERO, retry_interval: Duration::ZERO }
}

fn coordinator_options() -> CoordinatorOptions {
    CoordinatorOptions { lead_steps: 1, ..CoordinatorOptions::default() }
}

/// Number of newest messages that random runs deliver with a high probability.
const NEW_MESSAGES: usize = 8;
/// Time at which all time-outs of a coordinator have expired.
const AFTER_ALL_TIMEOUTS: Moment = Duration::from_secs(3600);

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
            self.deliver_first_proposal(&mut state);
        }

        state
    }

    /// Delivers the messages of a first proposal until all members have prepared it.
    fn deliver_first_proposal(&mut self, state: &mut State) {
        self.propose(state, 0);

        for _ in 0..2 {
            for number in std::mem::take(&mut state.sent) {
                let message = self.messages.get(number);
                self.deliver(state, ProcessIndex::Current(usize::from(message.to)), &message);
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
                actions.push(Action::TimeOut(at));
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

    /// Gets the state after an action.
    fn apply(&mut self, state: &State, action: Action) -> Result<State, Violation> {
        let mut next = state.clone();

        match action {
            Action::Deliver(number) => {
                let message = self.messages.get(number);
                let at = usize::from(message.to);
                self.deliver(&mut next, ProcessIndex::Current(at), &message);
            }
            Action::DeliverToStale(at, number) => {
                // A stale process still receives messages for the member number that it shares with
                // its replacement.
                let message = self.messages.get(number);

                if message.to == next.stale[at].no {
                    self.deliver(&mut next, ProcessIndex::Stale(at), &message);
                }
            }
            Action::Begin(at) => self.begin(&mut next, at)?,
            Action::Tick(at) => {
                let actions = next.current[at].member.tick(Moment::ZERO);
                self.execute(&mut next, ProcessIndex::Current(at), actions);
            }
            Action::TimeOut(at) => {
                let actions = coordinator_of(&mut next, at).tick(AFTER_ALL_TIMEOUTS);
                self.execute_coordinator(&mut next, actions);
            }
            Action::Propose(at) => self.propose(&mut next, at),
            Action::Replace(at) => self.replace(&mut next, at),
            Action::Resume(at) => resume(&mut next, at),
        }

        next.sent.sort_unstable();
        next.sent.dedup();
        Ok(next)
    }

    fn deliver(&mut self, state: &mut State, index: ProcessIndex, message: &Message) {
        let step = state.step;
        let process = process_of(state, index);
        let begun = process.engine.begun.is_some_and(|(s, _)| s == step);
        let next_step = step + Step::from(begun);

        if let Some(coordinator) = &mut process.coordinator {
            let actions = coordinator.receive(message, Moment::ZERO);
            let commits_early = self.bounds.fault == ProtocolFault::CommitWithoutAll;
            self.execute_coordinator(state, actions);

            if commits_early && matches!(message.body, Body::Report { .. }) {
                self.commit_early(state, message);
            }
        }

        let actions = process_of(state, index).member.receive(message, next_step);
        self.execute(state, index, actions);
    }

    /// Commits after the first report, as if all members had sent one.
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
        let ignores_hold = self.bounds.fault == ProtocolFault::NoHold;
        let engine = &mut state.current[at].engine;
        let held = !ignores_hold && engine.hold_at.is_some_and(|h| step >= h);
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
        let actions = coordinator.propose(status.current, status.roster, Moment::ZERO);
        state.proposed += 1;
        self.execute_coordinator(state, actions);
    }

    fn replace(&mut self, state: &mut State, at: usize) {
        let size = state.current.len();
        let incarnation = state.current[at].incarnation + 1;
        let no = at as MemberNo;
        let options = member_options();
        let skips_join = self.bounds.fault == ProtocolFault::NoJoin;
        let first = MapVersion::default();
        let member = if skips_join {
            let mut roster = vec![1; size];
            roster[at] = incarnation;
            Member::new(no, roster, first, options)
        } else {
            Member::replacing(no, size, incarnation, Moment::ZERO, options)
        };
        let engine = Engine { map: None, next_map: None, hold_at: None, begun: None };
        let replacement = Process { no, member, incarnation, engine, coordinator: None };

        state.stale.push(std::mem::replace(&mut state.current[at], replacement));
        state.replaced += 1;
    }

    fn execute(&mut self, state: &mut State, index: ProcessIndex, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send(message) => state.sent.push(self.messages.number(message)),
                MemberAction::Load { version } => {
                    let step = next_step_of(state, index);
                    let actions = process_of(state, index).member.loaded(version, step);
                    self.execute(state, index, actions);
                }
                MemberAction::HoldAt { version, at_step } => {
                    let done = next_step_of(state, index) <= at_step;
                    let process = process_of(state, index);

                    if done {
                        process.engine.hold_at = Some(at_step);
                    }

                    let actions = process.member.held(version, done, Moment::ZERO);
                    self.execute(state, index, actions);
                }
                MemberAction::Use { version, at_step } => {
                    let engine = &mut process_of(state, index).engine;
                    engine.next_map = Some((version, at_step));
                    engine.hold_at = None;
                }
                MemberAction::KeepCurrent { .. } => process_of(state, index).engine.hold_at = None,
            }
        }
    }

    fn execute_coordinator(&mut self, state: &mut State, actions: Vec<CoordinatorAction>) {
        for action in actions {
            if let CoordinatorAction::Send(message) = action {
                state.sent.push(self.messages.number(message));
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum ProcessIndex {
    Current(usize),
    Stale(usize),
}

fn process_of(state: &mut State, index: ProcessIndex) -> &mut Process {
    match index {
        ProcessIndex::Current(at) => &mut state.current[at],
        ProcessIndex::Stale(at) => &mut state.stale[at],
    }
}

fn next_step_of(state: &mut State, index: ProcessIndex) -> Step {
    let step = state.step;
    let begun = process_of(state, index).engine.begun.is_some_and(|(s, _)| s == step);

    step + Step::from(begun)
}

fn coordinator_of(state: &mut State, at: usize) -> &mut Coordinator {
    state.current[at].coordinator.as_mut().expect("the process has a coordinator")
}

/// Sets the engine of a replacement to the group's map, as the agent does.
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

/// Visits every state that is reachable with at most `depth` actions.
pub fn explore(bounds: Bounds, depth: usize) -> Result<RunSummary, Violation> {
    let mut model = Model::new(bounds);
    let start = model.start();
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut frontier = vec![start];

    for _ in 0..depth {
        let mut next_frontier = Vec::new();

        for state in frontier {
            for action in model.actions(&state) {
                let next = model.apply(&state, action)?;

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

/// Hash of a state; millions of these fit into memory, the states would not.
fn fingerprint(state: &State) -> u128 {
    use std::hash::{Hash, Hasher};

    let mut low = std::hash::DefaultHasher::new();
    let mut high = std::hash::DefaultHasher::new();
    high.write_u8(1);
    state.hash(&mut low);
    state.hash(&mut high);

    u128::from(low.finish()) | (u128::from(high.finish()) << 64)
}

/// Takes `actions` random actions.
pub fn random_run(
    bounds: Bounds,
    actions: usize,
    random: &mut impl RandomSource,
) -> Result<RunSummary, Violation> {
    let mut model = Model::new(bounds);
    let mut state = model.start();

    for _ in 0..actions {
        let possible = model.actions(&state);
        let action = draw_action(&possible, &state, random);
        state = model.apply(&state, action)?;
    }

    Ok(RunSummary { states: actions, commits: model.commits, complete: false })
}

/// Draws an action. Faults are rare and deliveries of new messages likely; otherwise hardly any
/// version would be committed.
fn draw_action(possible: &[Action], state: &State, random: &mut impl RandomSource) -> Action {
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
            Action::TimeOut(_) | Action::Replace(_) => 0.01,
        };

        if random.unit() < chance {
            return action;
        }
    }
}
