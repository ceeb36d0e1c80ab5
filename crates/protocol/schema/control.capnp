@0xb7d3a1f04c5e9821;
# Control messages between processes of the system, one to a UDP datagram.

struct FlowKey {
  callerIp @0 :UInt32;
  callerPort @1 :UInt16;
  servicePort @2 :UInt16;
  serviceIp @3 :UInt32;
}

enum Warmth {
  cold @0;
  warming @1;
  warm @2;
}

struct Load {
  flows @0 :UInt32;
  inProgress @1 :UInt32;
  waiting @2 :UInt32;
  slots @3 :UInt32;
  warmth @4 :Warmth;
  leaving @5 :Bool;
}

struct Section {
  name @0 :Text;
  text @1 :Text;
}

enum Answer {
  owns @0;
  notMine @1;
}

struct ClaimKey {
  high @0 :UInt64;
  low @1 :UInt64;
}

enum Standing {
  granted @0;
  running @1;
  served @2;
  mayHaveRun @3;
  unknown @4;
}

struct Control {
  sender @0 :UInt64;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  union {
    heartbeat :group {
      config @3 :UInt64;
      load @4 :Load;
    }
    digest :group {
      service @5 :UInt64;
      config @6 :UInt64;
      dead @7 :List(UInt64);
    }
    whoOwns :group {
      key @8 :FlowKey;
      ack @9 :UInt32;
    }
    ownerIs :group {
      key @10 :FlowKey;
      answer @11 :Answer;
    }
    register :group {
      flows @12 :List(FlowKey);
    }
    release :group {
      flows @13 :List(FlowKey);
    }
    askVersion @14 :Void;
    announce :group {
      config @15 :UInt64;
    }
    askDelta :group {
      have @16 :UInt64;
    }
    delta :group {
      from @17 :UInt64;
      to @18 :UInt64;
      hash @19 :UInt64;
      changed @20 :List(Section);
      removed @21 :List(Text);
    }
    claim :group {
      key @22 :ClaimKey;
      attempt @23 :UInt64;
    }
    claimIs :group {
      key @24 :ClaimKey;
      attempt @25 :UInt64;
      standing @26 :Standing;
    }
    settle :group {
      key @27 :ClaimKey;
      attempt @28 :UInt64;
      standing @29 :Standing;
    }
  }
}
