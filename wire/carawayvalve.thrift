// The protocol between the processes of carawayvalve. Durations are in
// milliseconds. Instants aren't sent, except as readings of the agent's own
// clock.
namespace cpp carawayvalve.wire.gen

enum AttemptPhase {
  QUEUED = 1,
  RUNNING = 2,
  // The answer has ended; `outcome` holds the result.
  FINISHED = 3,
  // The attempt has not run and never will run at this agent.
  NOT_RUN = 4,
  // This run of the agent has no record of the attempt.
  UNKNOWN = 5,
}

enum AttemptOutcome {
  NONE = 0,
  // The backend server gave a complete answer.
  ANSWERED = 1,
  // The backend server may or may not have run the attempt.
  UNKNOWN_OUTCOME = 2,
  // The backend server broke off its answer before the end.
  BROKEN_OFF = 3,
  CANCELLED = 4,
}

struct Header {
  1: required string name,
  2: required string value,
}

// A call to a plain service. The caller's API key is removed.
struct PlainCall {
  1: required string method,
  2: required string target,
  3: required list<Header> headers,
  4: required binary body,
}

// A generation by a model engine.
struct ModelCall {
  1: required string model,
  2: required string prompt,
  3: required i32 max_tokens,
  // Output of earlier attempts that the caller has already received.
  4: required string text_so_far,
  5: required i32 tokens_so_far,
  6: required i32 priority,
}

struct Submission {
  1: required string attempt,
  2: required string request,
  // The run of the agent that is addressed; any other run refuses.
  3: required string agent_boot,
  4: required string client_account,
  5: required string service_name,
  6: required bool idempotent,
  // Time left until the caller's deadline when this is sent.
  7: required i64 remaining_ms,
  // Digest of client account and body. Identifies poison requests, which crash
  // engines.
  8: required string content_digest,
  9: required i64 cost_tokens,
  10: optional PlainCall plain,
  11: optional ModelCall model,
  // How many backend servers are known to have crashed while they ran this
  // content.
  12: required i32 known_deaths,
  // The agent's own clock, as last read by the entry process. An agent refuses
  // a submission that was in flight for longer than its retention time.
  13: required i64 agent_clock_us,
  // The run of the entry process, whose reads return this attempt's output.
  14: required string entry_boot,
}

struct SubmitAnswer {
  1: required bool accepted,
  // Why it wasn't accepted. The attempt then has not run and never will run at
  // this agent.
  2: required string reason,
  3: required i64 retry_after_ms,
}

struct ReadRequest {
  1: required string attempt,
  // The first byte that the reader lacks; the agent may drop earlier ones.
  2: required i64 offset,
  // The maximum to return; 0 while the caller is slow to read.
  3: required i64 most_bytes,
}

// Output of an attempt: bytes of core/answer_stream.h.
struct Chunk {
  1: required string attempt,
  2: required i64 offset,
  3: required binary bytes,
  4: required AttemptPhase phase,
  5: required AttemptOutcome outcome,
  6: required string reason,
  // Whether no byte of the answer follows this chunk.
  7: required bool last,
  // Identifies the crash of the backend server that broke the attempt off;
  // otherwise empty.
  8: required string death_id,
}

struct ModelLoad {
  1: required i64 queued_prefill_tokens,
  2: required i64 running_requests,
  3: required i64 prefill_tokens_per_second,
  4: required i64 decode_tokens_per_second,
  5: required string role,
  6: required list<string> models,
  // What two versions write doesn't fit together in one answer. Empty if the
  // engine reports none.
  7: optional string software_version,
}

// A request content that was running when a backend server crashed.
struct DeathMark {
  1: required string content_digest,
  2: required i32 deaths,
  3: required i64 age_ms,
  // Identifies the crash, so that one reported twice counts once.
  4: required string death_id,
  // The parts of the content that contents which differ otherwise may share.
  // Each may be the cause.
  5: optional list<string> parts,
}

// A suspected part of contents that has been answered completely.
struct ServedPart {
  1: required string part,
  2: required i64 age_ms,
}

struct AgentStatus {
  1: required string agent_boot,
  2: required string backend_server,
  3: required string service_name,
  4: required bool leaving,
  5: required bool ready,
  6: required i64 queued,
  7: required i64 running,
  8: required i64 slots,
  9: required i64 generation,
  10: required ModelLoad load,
  // Incremented with each change of this status. Passed back to wait for the
  // next change.
  11: required i64 revision,
  // The agent's monotonic clock, which orders return in `stamp_us`.
  12: required i64 clock_us,
  13: required i64 highest_epoch,
  14: required i64 highest_sequence,
  15: required list<DeathMark> deaths,
  // An order waits for the running requests to end; no new ones start
  // meanwhile.
  16: required bool draining,
  // The backend server takes this many requests a second; absent for any
  // number.
  17: optional double requests_per_second,
}

// The part of the configuration that an agent needs.
struct AgentConfiguration {
  1: required i64 generation,
  2: required map<string, i32> account_weights,
  3: required i32 max_queued_per_account,
}

// An order from the holder of a duty. It expires when the agent's own clock
// reaches `stamp_us` plus `term_ms`, less the drift margin.
struct Order {
  1: required string duty,
  2: required i64 epoch,
  3: required i64 sequence,
  4: required string agent_boot,
  5: required i64 stamp_us,
  6: required i64 term_ms,
  7: required string role,
  8: required string model,
  9: required string version,
}

enum OrderOutcome {
  // The order certainly had no effect.
  REFUSED = 1,
  DONE = 2,
  ENGINE_REFUSED = 3,
  // The engine may have carried the order out completely, partly or not at all.
  UNKNOWN_EFFECT = 4,
  // The order had no effect, as requests run at the engine. The agent starts
  // no new ones for some seconds, so that the order can be sent again.
  DRAINING = 5,
}

struct OrderAnswer {
  1: required OrderOutcome outcome,
  // Why the order was refused; otherwise empty.
  2: required string reason,
}

struct UsageCounter {
  // Empty in a counter of zeros that only announces the agent's window.
  1: required string client_account,
  2: required i64 window,
  3: required i64 requests,
  4: required i64 prompt_tokens,
  5: required i64 output_tokens,
}

struct UsageCounters {
  1: required string agent_boot,
  2: required string backend_server,
  3: required list<UsageCounter> counters,
}

// Entries added to and dropped from an engine's prefix cache.
struct CacheEvents {
  // The event to read next.
  1: required i64 next_event,
  // Events before those in this answer were lost.
  2: required bool gap,
  3: required list<string> added,
  4: required list<string> dropped,
}

service Agent {
  SubmitAnswer submit(1: Submission submission),
  // Waits until an attempt of this entry process has new output. An attempt
  // that isn't in the list is read from its start.
  list<Chunk> read(1: string entry_boot, 2: list<ReadRequest> requests,
                   3: i64 wait_ms),
  // Prevents the attempt from starting later and returns its phase. Returns
  // UNKNOWN if this isn't the run `agent_boot`, or if the record may have
  // expired since `agent_clock_us`, the agent's clock in the submission.
  Chunk abandon(1: string attempt, 2: string agent_boot,
                3: i64 agent_clock_us),
  void cancel(1: string attempt),
  // Waits until the revision is above `known_revision`.
  AgentStatus status(1: i64 known_revision, 2: i64 wait_ms),
  CacheEvents cache_events(1: i64 from_event),
  void configure(1: AgentConfiguration configuration),
  OrderAnswer order(1: Order order),
  // Returns the counters of the windows from `since_window` on. An
  // `open_window` above the agent's window first starts that window: counters
  // of earlier windows no longer change.
  UsageCounters usage(1: i64 since_window, 2: i64 open_window),
}

struct ConfigurationCopy {
  1: required i64 generation,
  // Empty when the reader already has the newest generation.
  2: required string text,
  // When set, `text` is a JSON patch against `base_generation`.
  3: required i64 base_generation,
  4: required bool is_patch,
  // Time since this process, or the one that it copies from, last received an
  // answer from the store.
  5: required i64 store_age_ms,
}

struct PeerStatus {
  1: required string host,
  2: required string data_centre,
  3: required string boot,
  4: required i64 generation,
  5: required bool leaving,
  6: required i64 store_age_ms,
  7: required list<DeathMark> deaths,
  8: required list<string> duties_held,
  9: optional list<ServedPart> served_parts,
}

// Credit of a client account's rate limit, in thousandths.
struct CreditPortion {
  // Time since it was earned.
  1: required i64 age_ms,
  2: required i64 amount,
}

// Credit that the giver has taken off before it sends this.
struct CreditGrant {
  1: required string account,
  // Increases from one grant of the giver's run to the next.
  2: required i64 id,
  // The question that it answers; 0 for none.
  3: required i64 question,
  // Empty for a refusal.
  4: required list<CreditPortion> credit,
  // What the giver has left.
  5: required i64 balance,
}

struct CreditQuestion {
  1: required string account,
  2: required i64 id,
  3: required i64 amount,
  // A part of the amount helps too.
  4: required bool takes_part,
}

struct CreditMessage {
  1: required string host,
  2: required string boot,
  3: required list<CreditQuestion> questions,
  4: required list<CreditGrant> grants,
  // The run of the receiver that the grants are for; any other ignores them.
  // Empty before the first answer.
  5: required string receiver_boot,
  // A reading of the receiver's clock, not later than when this was sent. The
  // ages of the grants count from it.
  6: required i64 receiver_clock_us,
}

struct CreditAnswer {
  1: required string boot,
  2: required i64 clock_us,
  // The answers to the questions. Their ages count from before the call.
  3: required list<CreditGrant> grants,
}

service EntryPeer {
  // Waits until the generation is above `known_generation`.
  ConfigurationCopy configuration(1: i64 known_generation, 2: i64 wait_ms),
  PeerStatus status(),
  // Returns the counters that this process has collected, per agent boot, of
  // the windows from `since_window` on. The caller knows that `open_window` has
  // started.
  list<UsageCounters> usage(1: i64 since_window, 2: i64 open_window),
  // Tells this process of crashes at once. When it answers, it heeds them.
  void report_deaths(1: list<DeathMark> deaths),
  // Moves credit of rate limits. When it answers, it counts the caller among
  // the processes that divide them.
  CreditAnswer exchange_credit(1: CreditMessage message),
}
