#ifndef CARAWAYVALVE_TESTS_PLATFORM_REPEATING_BACKEND_H_
#define CARAWAYVALVE_TESTS_PLATFORM_REPEATING_BACKEND_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../../systems/tests/answer_server.h"

namespace carawayvalve::tests {

// A backend server that writes its earlier answer to an id once more, bytes
// unchanged, before that to the next request with that id on the connection.
// Requests without an id count as having the same one.
class RepeatingBackend {
 public:
  // A request as it arrived.
  struct Arrival {
    // Empty if it bore none.
    std::string id;
    // The start line up to the protocol, as "GET /x".
    std::string target;
    int connection = 0;
    bool prefill_only = false;
    bool declined = false;
    // The connection had carried a request with the same id.
    bool id_came_again = false;
  };

  RepeatingBackend();

  uint16_t port() const;
  std::vector<Arrival> Arrivals() const;
  // Returns how many requests with this id ran.
  int RunsOf(const std::string& id) const;

  // Declines requests that expect a backend server of another name; without a
  // name, none.
  void SetName(const std::string& name);
  // Declines as many further requests as not run.
  void DeclineNext(int count);
  // Ends the next stream inside its second event.
  void CutNext();

 private:
  systems::Reply Respond(int connection, const std::string& request);
  // Returns the answer to a request that isn't declined.
  std::string Answer(const std::string& request, const Arrival& arrival);

  mutable std::mutex mutex;
  std::string name;
  int to_decline = 0;
  bool cuts_next = false;
  std::vector<Arrival> arrivals;
  // The last answer of each connection to each id.
  std::map<std::pair<int, std::string>, std::string> answers;
  // Last, as its thread uses the other members.
  systems::AnswerServer server;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_REPEATING_BACKEND_H_
