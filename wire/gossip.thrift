// The gossip datagrams between gateways. Durations are in milliseconds.
// Instants are readings of the sender's own clock and are meaningful only to
// the sender.
namespace cpp carawayvalve.wire.gen

// The sender's load in flight at a backend server.
struct GossipLoad {
  1: required string backend_server,
  2: required i32 requests,
  3: required i32 unread_tokens,
  4: required i32 kv_tokens,
}

// The sender has sent a prompt with these prefixes to an engine, or the engine
// has prefilled it.
struct GossipPrefix {
  1: required string backend_server,
  // Hash and number of tokens of each prefix, the shortest first.
  2: required list<i64> hashes,
  3: required list<i32> tokens,
  4: required bool was_read,
}

// The usage that one process counted in one window.
struct GossipWindow {
  1: required i64 window,
  2: required string source,
  3: required map<string, i64> counts,
}

// A request content that was running when a backend server crashed.
struct GossipDeath {
  1: required string content_digest,
  2: required string death_id,
  3: required i32 age_ms,
  // The parts of the content that contents which differ otherwise may share.
  // Each may be the cause.
  4: optional list<string> parts,
}

// A suspected part of contents that has been answered completely.
struct GossipServedPart {
  1: required string part,
  2: required i32 age_ms,
}

// An engine that the sender has ordered to change its role.
struct GossipAbsence {
  1: required string backend_server,
  // Expected time until it accepts requests again.
  2: required i32 left_ms,
}

// A run of a backend server that has said that it leaves.
struct GossipDeparture {
  1: required string backend_server,
  // The start of that run in Unix milliseconds.
  2: required i64 started_ms,
}

// What a run of a backend server has said in an answer to the sender.
struct GossipRateLimit {
  1: required string backend_server,
  // The start of that run in Unix milliseconds.
  2: required i64 started_ms,
  // Requests a second that it takes from all gateways; absent for no limit.
  3: optional double per_second,
  // Time since that answer.
  4: required i32 age_ms,
}

// A part of contents that the sender blames for crashes of backend servers.
struct GossipPoisonPart {
  1: required string part,
  // Number of crashes that it explains.
  2: required i32 crashes,
  // Time since the last one.
  3: required i32 age_ms,
}

// A stream that a backend server of this software version has begun.
struct GossipStreamOrigin {
  // The request that brought its first event.
  1: required string first,
  2: required string software_version,
  3: required i32 age_ms,
  // Digest of what the caller repeats to take the stream up.
  4: optional string content,
  // The receiver stores it for the time after the loss of all gateways.
  5: optional bool is_to_be_stored,
}

// The store's confirmation of the sender's list of backend servers.
struct GossipRegistryProof {
  // Time since then.
  1: required i32 age_ms,
  // Who has received all changes up to this revision of the store has all that
  // the sender has.
  2: required i64 revision,
  // The store's era of this revision and of the message's `registry_revision`.
  3: optional i64 era = 0,
}

// The sender asks the receiver for credit of a client account.
struct GossipCreditQuestion {
  1: required string account,
  2: required i64 id,
  // In thousandths of a request or token.
  3: required i64 amount,
  // A part of it helps too.
  4: required bool takes_part,
}

// Credit that was earned at one time.
struct GossipCreditPortion {
  1: required i64 age_ms,
  // In thousandths of a request or token.
  2: required i64 amount,
}

// Credit of a client account that the sender has taken off for the receiver.
struct GossipCreditGrant {
  1: required string account,
  // Increases from one grant of the sender's run to the next.
  2: required i64 id,
  // The question that it answers; absent for none.
  3: optional i64 question,
  4: required list<GossipCreditPortion> credit,
  // What the sender has left.
  5: optional i64 balance,
}

// What keeps the rate limits of client accounts.
struct GossipAccountRates {
  // The run of the receiver for which this is meant; absent for any.
  1: optional string receiver_boot,
  2: optional list<GossipCreditQuestion> questions,
  3: optional list<GossipCreditGrant> grants,
  // The sender asks whether the receiver counts its run, or says that it counts
  // the receiver's.
  4: optional bool asks_to_be_counted,
  5: optional bool counts_receiver,
}

// The time that a backend server took for a request of the sender.
struct GossipSpeedObservation {
  1: required string backend_server,
  // The start of that run in Unix milliseconds.
  2: required i64 started_ms,
  // What was observed of the service: 1 a prefill, 2 a first event, 3 an answer
  // of a plain service, 4 the time of a slot.
  3: required i32 kind,
  // The tokens of a prefill, or the requests that ran.
  4: required i64 load,
  5: required i64 time_us,
}

// The speeds of a service's backend servers, as the sender estimates them.
struct GossipServiceSpeeds {
  1: required string service_name,
  2: required double prefill_tokens_per_ms,
  3: required i64 prefill_base_us,
  4: required i64 first_event_us,
  5: required i64 step_per_request_us,
  6: required i64 plain_request_us,
  7: required i64 slot_time_us,
  // The number of observations that show them.
  8: required i64 observations,
}

struct Gossip {
  1: required string host,
  2: required string boot,
  // A reading of the sender's clock, which the receiver returns in `echo`.
  3: required i64 stamp,
  // The newest stamp received from the receiver; 0 for none.
  4: required i64 echo,
  // The sender's time of day.
  5: required i64 unix_ms,
  // The version of the sender's configuration; 0 for none.
  6: required i64 plan_version,
  // Time since the store last confirmed that version; -1 for never.
  7: required i32 proof_age_ms,
  8: required list<GossipLoad> loads,
  9: required list<GossipPrefix> prefixes,
  10: required list<GossipWindow> windows,
  11: required list<GossipDeath> deaths,
  // The sender is shutting down.
  12: required bool leaving,
  // The store's revision up to which the sender's list of backend servers is
  // current.
  13: required i64 registry_revision,
  14: optional list<GossipAbsence> absences,
  15: optional list<GossipDeparture> departures,
  16: optional list<GossipServedPart> served_parts,
  // The sender reports the usage of all gateways.
  17: optional bool reports_usage,
  18: optional list<GossipRateLimit> rate_limits,
  // Addressed to the receiver, which keeps them, or asked for by it.
  19: optional list<GossipStreamOrigin> stream_origins,
  // The streams whose origin the receiver is asked for, by their first request.
  20: optional list<string> wanted_origins,
  21: optional list<GossipPoisonPart> poison_parts,
  // Only in messages that tell nothing of the sender's load.
  22: optional GossipAccountRates account_rates,
  // The same as `wanted_origins` by the contents of streams whose callers don't
  // name the first request.
  25: optional list<string> wanted_contents,
  26: optional GossipRegistryProof registry_proof,
  27: optional list<GossipSpeedObservation> speed_observations,
  // Only for a gateway that has just started.
  28: optional list<GossipServiceSpeeds> service_speeds,
  // The highest era of the store that the sender knows of.
  29: optional i64 store_era,
  // The run of the receiver that made `echo`; without it `echo` proves nothing.
  30: optional string echo_boot,
  // The store's revision, of `store_era`, up to which `plan_version` is the
  // configuration; absent if the sender doesn't know it.
  31: optional i64 plan_revision,
  // Of a message with `wanted_contents`: its number, unique in the sender's run.
  32: optional i64 question,
  // The receiver's question whose answer this is, with all versions that the
  // sender has noted.
  33: optional i64 answered_question,
}
