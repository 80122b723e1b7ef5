#ifndef CARAWAYVALVE_CORE_CLAIM_OBJECT_H_
#define CARAWAYVALVE_CORE_CLAIM_OBJECT_H_

#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/answer_stream.h"

namespace carawayvalve::core {

enum class ClaimState {
  kClaimed,   // the writer may run the request
  kFinished,  // the request ran, or may have run
  kNotRun,    // the request hasn't run; a call that takes over may run it
};

// A complete answer, stored so that the same request can be answered again.
struct StoredAnswer {
  // Empty for a model's answer.
  std::optional<AnswerHead> head;
  std::string body;
  AnswerEnd end;

  bool operator==(const StoredAnswer&) const = default;
};

// Returns the records that deliver the answer.
std::vector<AnswerRecord> RecordsOf(const StoredAnswer& answer);

// The stored claim on one Idempotency-Key of one client account.
struct ClaimObject {
  // The entry process run that wrote the object.
  base::BootId writer;
  // Random per call, so that a call recognises its own write.
  std::string nonce;
  // Digest of method, target and body, which detects that the key was used for
  // a different request.
  std::string body_digest;
  ClaimState state = ClaimState::kClaimed;
  // Whether the answer was complete; valid only in state kFinished.
  bool whole = false;
  // Also empty for a complete answer that is too long to store.
  std::optional<StoredAnswer> answer;
  // Why there is no complete answer.
  std::string reason;

  bool operator==(const ClaimObject&) const = default;
};

// Returns the name of the object for a caller's Idempotency-Key.
std::string ClaimName(const base::ClientAccountId& account,
                      const std::string& idempotency_key);

// Returns the claim as it is stored: JSON in UTF-8.
std::string EncodeClaim(const ClaimObject& claim);

// Parses a stored claim. Throws base::Error if the text isn't a valid claim.
ClaimObject DecodeClaim(const std::string& text);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CLAIM_OBJECT_H_
