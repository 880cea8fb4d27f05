@0xd3b0a6c51f7e4c29;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("limpetfall::wire");

# One datagram that a gateway node sends to every other node several times a second.
struct PeerStatus {
  node @0 :Text;
  zone @1 :Text;
  callerAddress @2 :Text;    # Where callers connect, "IP:port".
  peerAddress @3 :Text;      # Where nodes exchange state, "IP:port", UDP and TCP.
  ready @4 :Bool;            # Takes requests of callers.
  sentAtNs @5 :UInt64;       # The sender's clock, echoed by the receiver.
  echoAtNs @6 :UInt64;       # The receiver's clock, as last heard from it; 0 before.
  proofAgeMs @7 :Int64;      # Age of the sender's proof of currency; -1 without one.
  mirrorRevision @8 :Int64;  # Store revision up to which the sender's copy is complete.
  loads @9 :List(Load);
  suspended @10 :List(UInt64);  # Upstreams that the sender takes for lost.

  demands @11 :List(Demand);
  capacity @12 :Float32;     # Processor share of the sender's node, in cores.
  crashes @13 :CrashEvidence;
  crashDigest @14 :UInt64;   # Hash of all that the sender knows about crashes; 0 for nothing.
  rateLimits @15 :List(RateLimit);
  mirrorEra @16 :Int64;      # Era of mirrorRevision.
  configVersion @17 :UInt64; # Newest configuration that the sender knows; 0 for none.
  planEra @18 :Int64;        # Newest group plan that the sender knows.
  planSequence @19 :Int64;

  struct Demand {
    model @0 :Text;
    places @1 :Float32;      # Places that the sender's callers would occupy at once.
  }

  struct Load {
    upstream @0 :UInt64;     # Hash of the upstream's id.
    inFlight @1 :UInt16;
  }

  struct RateLimit {
    upstreamBoot @0 :UInt64; # Hash of the upstream's id and start.
    perSecond @1 :Float64;   # Infinite once the upstream states no limit any more.
    statedAgeMs @2 :UInt32;  # Time since the response that stated it; the maximum without one.
    recentSends @3 :Float32; # Requests that the sender has sent to it; older ones count less.
  }
}

# What the sender knows about requests that crash upstreams. Ages and times are those at the sending.
struct CrashEvidence {
  reports @0 :List(Report);
  survivals @1 :List(Survival);
  quarantines @2 :List(Quarantine);

  # An upstream ended while it ran a request.
  struct Report {
    upstreamBoot @0 :UInt64; # Hash of the upstream's id and start.
    causes @1 :List(UInt64); # Hashes of the request and of the parts of its prompt.
    sentAgeUs @2 :UInt32;    # Time since the request was sent.
    lostAgeUs @3 :UInt32;    # Time since its connection broke.
    request @4 :UInt64;      # Hash of the request, which stays when it is no longer a cause.
  }

  # A request with this cause has proved harmless at the sender.
  struct Survival {
    cause @0 :UInt64;
    ageUs @1 :UInt32;
  }

  # Requests with all of these causes are refused.
  struct Quarantine {
    causes @0 :List(UInt64);
    revision @1 :UInt32;     # The highest revision is valid.
    lifted @2 :Bool;
    leftMs @3 :UInt32;
  }
}

# Changes of the platform's store, sent to a node that cannot read them there.
struct MirrorChanges {
  revision @0 :Int64;
  snapshot @1 :Bool;
  proofAgeMs @2 :Int64;      # -1 without a proof.
  items @3 :List(Item);
  heldMs @4 :Int64;          # Time between the request and this answer at the node that sends it.
  era @5 :Int64;             # Of all revisions in this message.

  struct Item {
    key @0 :Text;
    value @1 :Data;
    removed @2 :Bool;
    revision @3 :Int64;
    createdRevision @4 :Int64;
  }
}
