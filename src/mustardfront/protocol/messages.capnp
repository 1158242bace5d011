@0xd9c3a6b1f27e4c55;

struct Pair { name @0 :Text; value @1 :Text; }

struct Hello {
  version @0 :UInt16;
  minVersion @1 :UInt16;
  instance @2 :Text;
  role @3 :Text;
  host @4 :Text;
  place @5 :Text;
  nonce @6 :Data;
  configVersion @7 :UInt64;
  upstream @8 :Text;
}
struct Proof { mac @0 :Data; }

struct Request {
  stream @0 :UInt64;
  requestId @1 :Text;
  attempt @2 :UInt16;
  team @3 :Text;
  service @4 :Text;
  method @5 :Text;
  path @6 :Text;
  headers @7 :List(Pair);
  body @8 :Data;
  deadlineMs @9 :UInt32;
  priority @10 :UInt8;
  idempotencyKey @11 :Text;
  idempotent @12 :Bool;
  fingerprint @13 :Data;
  streamed @14 :Bool;
  resumeFrom @15 :UInt32;
  resumeText @16 :Text;
  suspect @17 :Bool;
  credit @18 :UInt32;
  configVersion @19 :UInt64;
  part @20 :Data;
}
struct Refused { stream @0 :UInt64; code @1 :UInt16; notRun @2 :Bool; retryAfterMs @3 :UInt32; text @4 :Text; }
struct Started { stream @0 :UInt64; }
struct Head { stream @0 :UInt64; status @1 :UInt16; headers @2 :List(Pair); }
struct Chunk { stream @0 :UInt64; index @1 :UInt32; data @2 :Data; }
struct Chunks { streams @0 :List(UInt64); indexes @1 :List(UInt32); data @2 :List(Data); }
struct End {
  stream @0 :UInt64;
  code @1 :UInt16;
  outcome @2 :Text;
  chunks @3 :UInt32;
  text @4 :Text;
  state @5 :Text;
  inFlight @6 :UInt32;
  queued @7 :UInt32;
  limit @8 :UInt32;
  latencyMs @9 :Float32;
}
struct Cancel { stream @0 :UInt64; }
struct Cancelled { stream @0 :UInt64; started @1 :Bool; }
struct Credit { stream @0 :UInt64; chunks @1 :UInt32; }
struct LoadReport { upstream @0 :Text; inFlight @1 :UInt32; queued @2 :UInt32; limit @3 :UInt32; state @4 :Text; latencyMs @5 :Float32; }
struct Leaving { upstream @0 :Text; }
struct CrashReport { upstream @0 :Text; instance @1 :Text; fingerprints @2 :List(Data); suspects @3 :List(Data); suspectParts @4 :List(Data); soundParts @5 :List(Data); unsuspected @6 :List(Data); }
struct ConfigOffer { version @0 :UInt64; }
struct ConfigPull { version @0 :UInt64; }
struct ConfigPush { version @0 :UInt64; data @1 :Data; }
struct Ping { nonce @0 :UInt64; configVersion @1 :UInt64; }
struct Pong { nonce @0 :UInt64; configVersion @1 :UInt64; }
struct Order { id @0 :UInt64; group @1 :Text; kind @2 :Text; fence @3 :UInt64; data @4 :Data; packed @5 :Bool; }
struct OrderReply { id @0 :UInt64; code @1 :UInt16; data @2 :Data; packed @3 :Bool; }
struct Fault { code @0 :UInt16; text @1 :Text; }

struct Envelope {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    request @2 :Request;
    refused @3 :Refused;
    started @4 :Started;
    head @5 :Head;
    chunk @6 :Chunk;
    end @7 :End;
    cancel @8 :Cancel;
    cancelled @9 :Cancelled;
    credit @10 :Credit;
    loadReport @11 :LoadReport;
    leaving @12 :Leaving;
    crashReport @13 :CrashReport;
    configOffer @14 :ConfigOffer;
    configPull @15 :ConfigPull;
    configPush @16 :ConfigPush;
    ping @17 :Ping;
    pong @18 :Pong;
    fault @19 :Fault;
    order @20 :Order;
    orderReply @21 :OrderReply;
    chunks @22 :Chunks;
  }
}
