#ifndef CARAWAYVALVE_BASE_ERROR_H_
#define CARAWAYVALVE_BASE_ERROR_H_

#include <stdexcept>
#include <string>

namespace carawayvalve::base {

// A failure, with the step that failed and the peer involved.
class Error : public std::runtime_error {
 public:
  Error(const std::string& step,
        const std::string& peer,
        const std::string& reason);

  const std::string& step() const { return this->step_name; }
  const std::string& peer() const { return this->peer_name; }
  const std::string& reason() const { return this->reason_text; }

 private:
  std::string step_name;
  std::string peer_name;
  std::string reason_text;
};

// The peer didn't answer, so the step may or may not have taken effect.
class UnknownOutcomeError : public Error {
 public:
  using Error::Error;
};

// The peer sent what isn't an answer, so the step may or may not have taken
// effect. No sign that the peer has crashed.
class UnreadableAnswerError : public UnknownOutcomeError {
 public:
  using UnknownOutcomeError::UnknownOutcomeError;
};

// The peer was never reached, so the step had no effect.
class NotReachedError : public Error {
 public:
  using Error::Error;
};

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_ERROR_H_
