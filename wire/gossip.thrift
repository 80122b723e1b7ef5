// What gateways tell one another in datagrams. Durations are in milliseconds;
// instants are readings of the sender's own clock and mean something to the
// sender alone.
namespace cpp carawayvalve.wire.gen

// Work that the sender has under way at a backend server.
struct GossipLoad {
  1: required string backend_server,
  2: required i32 requests,
  3: required i32 unread_tokens,
  4: required i32 kv_tokens,
}

// The sender sent a prompt with these beginnings to an engine, or that has
// read it.
struct GossipPrefix {
  1: required string backend_server,
  // Hash and tokens of each beginning, the shortest first.
  2: required list<i64> hashes,
  3: required list<i32> tokens,
  4: required bool was_read,
}

// What one process counted in one window of usage.
struct GossipWindow {
  1: required i64 window,
  2: required string source,
  3: required map<string, i64> counts,
}

// A content that was running when a backend server died.
struct GossipDeath {
  1: required string content_digest,
  2: required string death_id,
  3: required i32 age_ms,
}

// An engine that the sender has ordered to change its role.
struct GossipAbsence {
  1: required string backend_server,
  // How much longer it is expected to decline requests.
  2: required i32 left_ms,
}

struct Gossip {
  1: required string host,
  2: required string boot,
  // A reading of the sender's clock, to be sent back in `echo`.
  3: required i64 stamp,
  // The newest stamp that the sender has from the receiver; 0 for none.
  4: required i64 echo,
  // The sender's time of day.
  5: required i64 unix_ms,
  // The configuration that the sender has; 0 for none.
  6: required i64 plan_version,
  // How long ago the store confirmed it; -1 for never.
  7: required i32 proof_age_ms,
  8: required list<GossipLoad> loads,
  9: required list<GossipPrefix> prefixes,
  10: required list<GossipWindow> windows,
  11: required list<GossipDeath> deaths,
  // The sender is about to end.
  12: required bool leaving,
  // The store's revision up to which the sender knows the backend servers.
  13: required i64 registry_revision,
  14: optional list<GossipAbsence> absences,
}
