// State that each entry instance sends to its peers several times per second.

namespace py wire

// Requests that the sender has in flight at one endpoint.
struct Load {
  1: required string endpoint;
  2: required i32 requests;
  3: required i64 token_layers;
}

// An endpoint that was found dead and should be avoided for left_ms.
struct Fault {
  1: required string endpoint;
  2: required i64 born_ms;
  3: required i32 left_ms;
}

// Number of endpoint crashes attributed to one request fingerprint.
struct Crash {
  1: required string fingerprint;
  2: required i32 count;
}

// Token rate between two data centres.
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
