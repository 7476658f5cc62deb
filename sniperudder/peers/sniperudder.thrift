// Messages between entry instances.

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

exception Rejected {
  1: required string reason;
}

service Peer {
  Beat exchange(1: string peer_key, 2: Beat beat) throws (1: Rejected rejected);
  string ask(1: string peer_key, 2: string query_json, 3: double timeout_s)
    throws (1: Rejected rejected);
}
