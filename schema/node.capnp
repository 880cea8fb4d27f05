@0xc3f1a86d52b7e904;

# Messages between entry nodes.
#
# Deadlines travel as remaining milliseconds. `sentAtMs` is the sender's lower estimate of the
# receiver's clock at the time of sending, taken from earlier replies on the same connection. The
# receiver deducts the time that the message was under way, so a delayed message cannot extend the
# life of an entry.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("limpetfall::wire");

interface Node {
  hello @0 () -> (node :Text, clockMs :UInt64);
  # First call on a connection: who answers, and the receiver's clock.

  exchange @1 (request :ExchangeRequest) -> (response :ExchangeResponse);
  # Probe, and push-pull of the entries that the other side lacks.

  push @2 (sentAtMs :UInt64, entries :List(Entry)) -> (clockMs :UInt64, accepted :UInt32);
  # Delivers urgent entries; `accepted` counts those that the receiver now holds.

  probe @3 (target :NodeInfo) -> (alive :Bool);
  # Indirect probe.

  fetchSections @4 (digests :List(Text)) -> (sections :List(Section));
  # Configuration sections that the receiver holds.
}

struct ExchangeRequest {
  from @0 :NodeInfo;
  sentAtMs @1 :UInt64;
  buckets @2 :List(UInt32);    # Hash of each bucket of entries; empty in the second call.
  wanted @3 :List(UInt64);     # Key hashes of entries that the sender lacks.
  entries @4 :List(Entry);     # Entries that the receiver lacks.
  renewals @5 :List(Digest);   # Entries that the receiver holds with an earlier expiry.
}

struct ExchangeResponse {
  self @0 :NodeInfo;
  clockMs @1 :UInt64;
  differing @2 :List(UInt16);  # Buckets with a different hash.
  digests @3 :List(Digest);    # All entries of these buckets.
  entries @4 :List(Entry);     # Those that were wanted.
}

struct Digest {
  key @0 :UInt64;              # Hash of the key.
  version @1 :UInt64;
  remainingMs @2 :UInt32;
}

struct Entry {
  key @0 :Text;
  version @1 :UInt64;
  remainingMs @2 :UInt32;
  union {
    node @3 :NodeInfo;
    group @4 :GroupSummary;
    config @5 :ConfigAnnouncement;
    suspect @6 :SuspectMark;
    demand @7 :TeamDemand;
    freshness @8 :ConfigFreshness;
  }
}

enum MemberState { alive @0; suspect @1; leaving @2; dead @3; }

struct NodeInfo {
  node @0 :Text;
  zone @1 :Text;
  callerAddress @2 :Text;
  nodeAddress @3 :Text;
  incarnation @4 :UInt64;
  state @5 :MemberState;
}

enum GroupState { loading @0; serving @1; draining @2; lost @3; }

struct GroupMember {
  vm @0 :Text;
  address @1 :Text;
  instance @2 :Text;
}

struct GroupSummary {
  group @0 :Text;
  generation @1 :UInt64;
  domain @2 :Text;
  zone @3 :Text;
  model @4 :Text;
  version @5 :Text;
  state @6 :GroupState;
  members @7 :List(GroupMember);
  running @8 :Int32;
  queued @9 :Int32;
}

struct ConfigAnnouncement {
  version @0 :UInt64;
  manifest @1 :Text;
}

struct SuspectMark {
  fingerprint @0 :UInt64;
  losses @1 :Int32;
  cleared @2 :Bool;
}

struct TeamDemand {
  node @0 :Text;
  team @1 :Text;
  requestsPerSecond @2 :Float64;
}

struct ConfigFreshness {
  node @0 :Text;
  version @1 :UInt64;
}

struct Section {
  digest @0 :Text;
  content @1 :Data;
}
