#include "repeating_backend.h"

#include <algorithm>
#include <optional>

#include "backend.h"
#include "caller.h"
#include "carawayvalve/base/address.h"

namespace carawayvalve::tests {

namespace {

constexpr int kEvents = 3;

// Returns the value of a field of a printed request; empty if it has none.
std::string FieldOf(const std::string& request, const std::string& name) {
  const std::string begin = "\r\n" + name + ": ";
  const size_t at = request.find(begin);
  if (at == std::string::npos || at > request.find("\r\n\r\n")) {
    return "";
  }
  const size_t value = at + begin.size();
  return request.substr(value, request.find("\r\n", value) - value);
}

std::string Print(const std::string& status,
                  const std::string& id,
                  const std::string& fields,
                  const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" +
         (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

RepeatingBackend::RepeatingBackend()
    : server([this](int connection, const std::string& request) {
        return this->Respond(connection, request);
      }) {}

uint16_t RepeatingBackend::port() const {
  return base::ParseAddress(this->server.Address()).port;
}

std::vector<RepeatingBackend::Arrival> RepeatingBackend::Arrivals() const {
  const std::lock_guard lock(this->mutex);
  return this->arrivals;
}

int RepeatingBackend::RunsOf(const std::string& id) const {
  const std::lock_guard lock(this->mutex);
  return static_cast<int>(std::count_if(
      this->arrivals.begin(), this->arrivals.end(),
      [&](const Arrival& arrival) {
        return arrival.id == id && !arrival.declined && !arrival.prefill_only;
      }));
}

void RepeatingBackend::SetName(const std::string& new_name) {
  const std::lock_guard lock(this->mutex);
  this->name = new_name;
}

void RepeatingBackend::DeclineNext(int count) {
  const std::lock_guard lock(this->mutex);
  this->to_decline = count;
}

void RepeatingBackend::CutNext() {
  const std::lock_guard lock(this->mutex);
  this->cuts_next = true;
}

systems::Reply RepeatingBackend::Respond(int connection,
                                         const std::string& request) {
  const std::lock_guard lock(this->mutex);
  Arrival arrival;
  arrival.id = FieldOf(request, "X-Request-Id");
  arrival.target = request.substr(0, request.find(" HTTP/"));
  arrival.connection = connection;
  arrival.prefill_only = FieldOf(request, "X-Stage") == "prefill";
  const std::string expected = FieldOf(request, "X-Expect-Instance");
  const bool is_misdirected =
      !expected.empty() && !this->name.empty() && expected != this->name;
  std::string answer;
  if (is_misdirected || this->to_decline > 0) {
    this->to_decline -= is_misdirected ? 0 : 1;
    arrival.declined = true;
    answer = Print(is_misdirected ? "421 Misdirected" : "503 Full", arrival.id,
                   "X-Not-Run: 1\r\n", "");
  } else {
    answer = this->Answer(request, arrival);
  }
  std::string& last = this->answers[{connection, arrival.id}];
  arrival.id_came_again = !last.empty();
  this->arrivals.push_back(arrival);
  const std::string earlier = std::exchange(last, answer);
  return {earlier + answer, true};
}

std::string RepeatingBackend::Answer(const std::string& request,
                                     const Arrival& arrival) {
  if (arrival.prefill_only) {
    return Print("200 OK", arrival.id, "Content-Type: application/json\r\n",
                 R"({"kvHandle":"h1","tokens":17000,"version":1})");
  }
  if (FieldOf(request, kTokenCountsField).empty()) {
    return Print("200 OK", arrival.id, "X-Response-Sig: s\r\n",
                 PlainAnswer(arrival.id, "repeating"));
  }
  const std::string after = FieldOf(request, "Last-Event-Id");
  std::string events;
  for (int number = after.empty() ? 1 : std::stoi(after) + 1; number <= kEvents;
       ++number) {
    events += StreamEvent(arrival.id, number);
  }
  if (std::exchange(this->cuts_next, false)) {
    events.resize(StreamEvent(arrival.id, 1).size() + 4);
  }
  return Print("200 OK", arrival.id,
               "X-Response-Sig: s\r\nContent-Type: text/event-stream\r\n",
               events);
}

}  // namespace carawayvalve::tests
