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

// Number of endpoint crashes of one request; no longer sent.
struct Crash {
  1: required string fingerprint;
  2: required i32 count;
  3: optional string counted_by;
}

// A run of an endpoint that crashed, and the number of requests that it had
// just begun, by key.
struct EndpointCrash {
  1: required string endpoint;
  2: required i64 born_ms;
  3: required i32 age_ms;
  4: required map<string, i32> suspects;
}

// Requests with all of these keys are blocked.
struct Block {
  1: required list<string> keys;
  // Time since the last crash.
  2: required i32 age_ms;
}

struct CrashReport {
  1: required list<EndpointCrash> crashes;
  // Time since a request with the key last ran without a crash, by key.
  2: required map<string, i32> cleared_ms;
  3: required list<Block> blocks;
}

// Token rate between two data centres.
struct Crossing {
  1: required string left;
  2: required string right;
  3: required i32 tokens_per_s;
}

// What a run of an endpoint asks of all instances.
struct Restriction {
  1: required string endpoint;
  2: required i64 born_ms;
  3: required bool leaving;
  // Requests per second; none if it states no limit any more.
  4: optional double rate_limit;
  // Time since the response that stated the limit or none.
  5: required i32 age_ms;
}

// Speed of the streams through a run of an endpoint.
struct Speed {
  1: required string endpoint;
  2: required i64 born_ms;
  3: required i32 samples;
  // Time per step of the fastest sample, in percent of the expected time.
  4: required i32 slowness_percent;
  // Time since the last sample.
  5: required i32 age_ms;
}

// A digest that is part of a sum.
struct Included {
  1: required string sender;
  2: required i64 incarnation;
  3: required i64 sequence;
}

struct Digest {
  1: required string sender;
  2: required i64 incarnation;
  3: required i64 sequence;
  4: required list<Load> loads;
  5: required list<Fault> faults;
  // Empty; instances of earlier versions require it.
  6: required list<Crash> crashes;
  7: required i64 lease_version;
  8: required i32 events;
  9: required i32 slow_events;
  10: required list<Crossing> crossings;
  // What the digest covers: 0 the sender, 1 its data centre, 2 the fleet,
  // 3 nothing but the faults.
  11: optional i32 scope = 0;
  12: optional string data_centre = "";
  13: optional i32 instances = 1;
  14: optional list<Included> included;
  // Store version of the last change of each table that the sender knows.
  15: optional map<string, i64> table_versions;
  16: optional CrashReport crash_report;
  17: optional list<Restriction> restrictions;
  // Requests in 1000 s that the sender receives, by service.
  18: optional map<string, i32> demands;
  // Era of the store to which the lease version and the table versions belong.
  19: optional i64 lease_era = 0;
  20: optional map<string, i64> table_eras;
  // Operators' version of the configuration in force.
  21: optional i64 configuration_version = 0;
  // 22 to 26 are reserved.
  27: optional list<Speed> speeds;
}
