// Peer interface: messages between entry instances.

namespace py wire

struct Change {
  1: required i64 version;
  2: required string command_id;
  3: required string issuer;
  4: required string kind;
  5: required string body;
  6: string issued_at = "";
}

struct Suspicion {
  1: required string fingerprint;
  2: required list<string> crashes;
}

struct Member {
  1: required string name;
  2: required string address;
  3: required string data_centre;
  4: required i64 incarnation;
}

struct Beat {
  1: required string sender;
  2: required string address;
  3: required string data_centre;
  4: required i64 incarnation;
  5: required i64 config_version;
  6: bool stopping = false;
  7: i32 streams = 0;
  8: optional double platform_age_s;
  9: list<Change> changes = [];
  10: list<Suspicion> suspicions = [];
  11: list<Member> members = [];
  12: i64 head_version = 0;
  13: optional double head_age_s;
  14: bool rooted = false;
  15: i64 accepted_version = 0;
  16: i64 roster_version = 0;
  17: i64 digest_version = 0;
  18: binary digest = "";
  19: string snapshot = "";
}

struct Stage {
  1: required string endpoint;
  2: required i32 first_layer;
  3: required i32 end_layer;
}

struct AskSlot {
  1: required string request;
  2: required i32 attempt;
  3: required string organisation;
  4: required i32 rank;
  5: required string model;
  6: required double work;
  7: required string fingerprint;
  8: required double max_wait_s;
  9: bool again = false;
  10: i32 yields = 0;
  11: list<string> crashes = [];
  12: double settle_s = 0;
}

struct GrantSlot {
  1: required string request;
  2: required i32 attempt;
  3: required list<Stage> chain;
  4: required string version;
  5: list<string> boots = [];
}

struct DenySlot {
  1: required string request;
  2: required i32 attempt;
  3: required i32 code;
  4: optional double retry_after_s;
}

struct RevokeSlot {
  1: required string request;
  2: required i32 attempt;
}

struct Sample {
  1: required string endpoint;
  2: double step_s = 0;
  3: bool failed = false;
  4: bool crashed = false;
  5: string boot = "";
}

struct ReleaseSlot {
  1: required string request;
  2: required i32 attempt;
  3: double used = 0;
  4: list<Sample> samples = [];
}

struct Holding {
  1: required string request;
  2: required i32 attempt;
  3: required string organisation;
  4: required i32 rank;
  5: required string model;
  6: required list<Stage> chain;
}

struct HoldSlots {
  1: list<Holding> holdings = [];
  2: list<string> asked = [];
}

struct ForgotSlots {
  1: list<string> requests = [];
}

// A slot message; exactly one field is set.
struct Post {
  1: optional AskSlot ask;
  2: optional GrantSlot grant;
  3: optional DenySlot denial;
  4: optional RevokeSlot revocation;
  5: optional ReleaseSlot release;
  6: optional HoldSlots holdings;
  7: optional ForgotSlots forgotten;
}

exception Rejected {
  1: required string reason;
}

service Peer {
  Beat exchange(1: string peer_key, 2: Beat beat) throws (1: Rejected rejected);
  void tell(1: string peer_key, 2: string sender, 3: list<Post> posts)
    throws (1: Rejected rejected);
  string ask(1: string peer_key, 2: string query_json, 3: double timeout_s)
    throws (1: Rejected rejected);
}
