// What entry instances tell each other several times a second.

namespace py wire

struct Load {
  1: required string endpoint;
  2: required i32 requests;
  3: required i64 token_layers;
}

struct Fault {
  1: required string endpoint;
  2: required i64 born_ms;
  3: required i32 left_ms;
}

struct Crash {
  1: required string fingerprint;
  2: required i32 count;
}

struct Crossing {
  1: required string left;
  2: required string right;
  3: required i32 tokens_per_s;
}

struct Digest {
  1: required string sender;
  2: required i64 incarnation;
  3: required i64 sequence;
  4: required list<Load> loads;
  5: required list<Fault> faults;
  6: required list<Crash> crashes;
  7: required i64 lease_version;
  8: required i32 events;
  9: required i32 slow_events;
  10: required list<Crossing> crossings;
}
