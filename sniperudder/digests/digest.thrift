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

struct Digest {
  1: required string sender;
  2: required i64 incarnation;
  3: required i64 sequence;
  4: required list<Load> loads;
  5: required list<Fault> faults;
  6: required list<Crash> crashes;
  7: required i64 lease_version;
}
