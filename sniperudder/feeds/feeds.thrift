// Changes of the store's tables, passed on between instances of a data centre.

namespace py wire

// State of the store up to which the sender of a request knows a table. Versions
// order the states of one era of the store.
struct Position {
  1: required string table;
  2: required i64 version;
  3: required i64 era;
}

struct FeedRequest {
  1: required list<Position> positions;
  2: required i32 wait_ms;
}

// A row; deleted if it has no value. The value may be compressed.
struct Row {
  1: required string key;
  2: required i64 version;
  3: optional binary value;
  4: optional bool compressed;
  5: required i64 era;
}

// Changes up to a state of the store, or the whole table as of that state.
struct Changes {
  1: required string table;
  2: required i64 version;
  3: required bool is_snapshot;
  4: required list<Row> rows;
  5: required i64 era;
}

// Depth 1 is an instance that reads the store itself, and 0 one without a
// connection to it. The age is the time since the store last answered.
struct FeedReply {
  1: required i32 depth;
  2: required list<Changes> changes;
  3: required i32 age_ms;
}
