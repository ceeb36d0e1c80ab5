@0x9c2f6be1d07a4435;
# Calls of operators to one process of the system, by Cap'n Proto RPC over TCP.

enum Role {
  balancer @0;
  agent @1;
}

enum Warmth {
  cold @0;
  warming @1;
  warm @2;
}

enum Readiness {
  serving @0;
  held @1;
  draining @2;
}

struct Load {
  flows @0 :UInt32;
  inProgress @1 :UInt32;
  waiting @2 :UInt32;
  slots @3 :UInt32;
  warmth @4 :Warmth;
  leaving @5 :Bool;
}

struct Member {
  name @0 :Text;
  dataCentre @1 :Text;
  alive @2 :Bool;
  reachable @3 :Bool;
  leaving @4 :Bool;
  slots @5 :UInt32;
  connections @6 :UInt32;
  hasLoad @7 :Bool;
  load @8 :Load;
}

struct Service {
  name @0 :Text;
  ip @1 :UInt32;
  port @2 :UInt16;
  members @3 :List(Member);
}

struct Drain {
  server @0 :Text;
  flows @1 :UInt32;
  inProgress @2 :UInt32;
  leftMs @3 :UInt64;
}

struct Status {
  name @0 :Text;
  role @1 :Role;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  uptimeMs @4 :UInt64;
  config @5 :UInt64;
  readiness @6 :Readiness;
  services @7 :List(Service);
  flows @8 :UInt64;
  drains @9 :List(Drain);
  platformCalls @10 :UInt64;
  platformAnswered @11 :Bool;
  platformSilentMs @12 :UInt64;
  refusedVersion @13 :UInt64;
  refusedWhy @14 :Text;
}

# What can happen to a request or flow; in the order of ramp_state::ledger::kind.
enum Kind {
  served @0;
  notRunOverloaded @1;
  notRunCold @2;
  notRunLeaving @3;
  notRunNoServer @4;
  notRunDeadlinePassed @5;
  notRunRetryBudgetSpent @6;
  notRunBadRequest @7;
  notRunKeyRunning @8;
  notRunServerRefused @9;
  notRunDataCentreOut @10;
  mayHaveRunServerLost @11;
  mayHaveRunDeadlinePassed @12;
  mayHaveRunCallerLeft @13;
  mayHaveRunDrainLimitPassed @14;
  mayHaveRunDataCentreOut @15;
  mayHaveRunKeyUnknown @16;
  mayHaveRunPeerLost @17;
  flowOpened @18;
  flowClosed @19;
  flowCallerLeft @20;
  flowGivenUp @21;
  flowDrainLimitPassed @22;
  flowOwnerLost @23;
  notRunCallerLeft @24;
  mayHaveRunKeyRunning @25;
}

struct Tally {
  kind @0 :Kind;
  count @1 :UInt64;
}

struct Counts {
  tallies @0 :List(Tally);
  # Served requests by answer time, in the buckets of ramp_state::ledger::times.
  times @1 :List(UInt64);
}

struct Row {
  service @0 :UInt64;
  hasServer @1 :Bool;
  server @2 :UInt64;
  counts @3 :Counts;
}

struct Classes {
  served @0 :UInt64;
  notRun @1 :UInt64;
  mayHaveRun @2 :UInt64;
  flows @3 :UInt64;
  givenUp @4 :UInt64;
  broken @5 :UInt64;
  ended @6 :UInt64;
  left @7 :UInt64;
}

struct Caller {
  ip @0 :UInt32;
  classes @1 :Classes;
  unseen @2 :UInt64;
  floor @3 :UInt64;
}

struct Callers {
  top @0 :List(Caller);
  rest @1 :Classes;
  floor @2 :UInt64;
}

struct Window {
  backMs @0 :UInt64;
  callers @1 :Bool;
}

struct Summary {
  askedMs @0 :UInt64;
  stepMs @1 :UInt64;
  hasCovered @2 :Bool;
  coveredMs @3 :UInt64;
  ledgers @4 :UInt64;
  startedWithin @5 :UInt64;
  withoutDetail @6 :UInt64;
  rows @7 :List(Row);
  other @8 :Counts;
  callers @9 :Callers;
  # Newest first, one for each step.
  slices @10 :List(Classes);
  lost @11 :UInt64;
}

interface Operator {
  status @0 () -> (status :Status);
  ledger @1 (window :Window) -> (summary :Summary);
  document @2 () -> (known :Bool, config :UInt64, text :Text);
}
