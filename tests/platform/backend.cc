#include "backend.h"

#include <algorithm>

namespace carawayvalve::tests {

namespace {

std::string HeadOf(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\nX-Request-Id: r1\r\n" + fields + "\r\n";
}

}  // namespace

std::string AnswerHead(const std::string& fields) {
  return HeadOf("200 OK", "X-Response-Sig: s\r\n" + fields);
}

std::string UnsignedHead(const std::string& fields) {
  return HeadOf("200 OK", fields);
}

std::string FailureHead(const std::string& fields) {
  return HeadOf("500 Failed", "X-Response-Sig: s\r\n" + fields);
}

std::string RefusalHead(const std::string& fields) {
  return HeadOf("503 Full", "X-Not-Run: 1\r\n" + fields);
}

std::string PlainAnswer(const std::string& request,
                        const std::string& backend) {
  return "answer to " + request + " by " + backend;
}

std::string StreamEvent(const std::string& request,
                        int number,
                        const std::string& version) {
  const std::string id = std::to_string(number);
  const std::string mark = version.empty() ? "" : "@" + version;
  return "id: " + id + "\ndata: " + request + "/" + id + mark + "\n\n";
}

Backend::Backend(net::EventLoop& loop,
                 const Settings& settings,
                 std::vector<BackendRun>& runs)
    : loop(loop),
      settings(settings),
      runs(runs),
      server(std::make_unique<net::HttpServer>(
          loop,
          base::Address{"127.0.0.1", 0},
          [this](const auto& exchange) { this->OnRequest(exchange); })),
      listening_port(this->server->port()) {}

Backend::~Backend() {
  // Destroying an exchange closes its connection, which the server must
  // outlive.
  this->pending.clear();
}

std::string Backend::Field(const net::Exchange& exchange,
                           const char* name) const {
  const std::string* value = net::FindField(exchange.request().fields, name);
  return value == nullptr ? "" : *value;
}

net::HeaderFields Backend::UnsignedFields(const net::Exchange& exchange) const {
  net::HeaderFields fields = {
      {"X-Request-Id", this->Field(exchange, "X-Request-Id")}};
  if (this->leaves) {
    fields.push_back({"Server-Leaving", "1"});
  }
  if (!this->stated_load.empty()) {
    fields.push_back({"X-Load", this->stated_load});
  }
  if (!this->rate_limit.empty()) {
    fields.push_back({kRateLimitField, this->rate_limit});
  }
  return fields;
}

net::HeaderFields Backend::Fields(const net::Exchange& exchange) const {
  net::HeaderFields fields = this->UnsignedFields(exchange);
  fields.push_back(
      {"X-Response-Sig",
       this->settings.id + "." + this->Field(exchange, "X-Request-Id")});
  return fields;
}

// Answers the control calls of the platform's engines. Orders are accepted and
// ignored. Returns false when the call is not a control call.
bool Backend::OnControl(const std::shared_ptr<net::Exchange>& exchange) {
  const std::string& target = exchange->request().target;
  net::Response response{{200, this->UnsignedFields(*exchange)}, ""};
  if (target == "/api/report") {
    response.body = R"({"seq":0,"busy":false})";
  } else if (target == "/api/order") {
    response.head.status = 202;
  } else if (!target.starts_with("/api/kv-handle/")) {
    return false;
  }
  this->control_calls.push_back(base::Now());
  exchange->Respond(response);
  return true;
}

void Backend::OnRequest(const std::shared_ptr<net::Exchange>& exchange) {
  if (this->OnControl(exchange)) {
    return;
  }
  const std::string request = this->Field(*exchange, "X-Request-Id");
  const bool prefill_only = this->Field(*exchange, "X-Stage") == "prefill";
  const bool is_for_other_backend =
      this->Field(*exchange, "X-Expect-Instance") != this->settings.id;
  const bool declined = is_for_other_backend || this->declines ||
                        this->pending.size() >= this->settings.slots;
  this->arrivals.push_back({request, base::Now(), prefill_only, declined});
  if (declined) {
    net::HeaderFields fields = this->UnsignedFields(*exchange);
    fields.push_back({"X-Not-Run", "1"});
    if (!this->retry_after.empty()) {
      fields.push_back({"Retry-After", this->retry_after});
    }
    exchange->Respond({{is_for_other_backend ? 421 : 503, fields}, ""});
    return;
  }
  if (prefill_only) {
    ++this->prefill_count;
    exchange->Respond({{200, this->UnsignedFields(*exchange)},
                       R"({"kvHandle":"h1","tokens":10,"version":1})"});
    return;
  }
  const std::string resumed = this->Field(*exchange, "Last-Event-Id");
  this->runs.push_back({request, this->settings.id, exchange->request().target,
                        this->Field(*exchange, "X-Tenant"),
                        this->Field(*exchange, "X-Credential"), base::Now(),
                        resumed});
  const int64_t number = ++this->last_number;
  PendingRequest& pending_request = this->pending[number];
  pending_request.exchange = exchange;
  pending_request.timer = std::make_unique<net::Timer>(this->loop);
  pending_request.first_event = resumed.empty() ? 1 : std::stoi(resumed) + 1;
  pending_request.next_event = pending_request.first_event;
  exchange->OnDisconnect([this, number] {
    this->loop.Post([this, number] { this->pending.erase(number); });
  });
  if (this->never_answers) {
    return;
  }
  if (this->lost_answers > 0) {
    --this->lost_answers;
    exchange->Abort();
    return;
  }
  pending_request.timer->Start(this->DurationOf(*exchange),
                               [this, number] { this->Answer(number); });
}

base::Milliseconds Backend::DurationOf(const net::Exchange& exchange) const {
  const base::Milliseconds duration =
      this->settings.duration + this->extra_duration;
  const std::string deadline = this->Field(exchange, "X-Deadline-Ms");
  return deadline.empty()
             ? duration
             : std::min(duration, base::Milliseconds(std::stoll(deadline)));
}

void Backend::Answer(int64_t number) {
  const auto found = this->pending.find(number);
  if (found == this->pending.end()) {
    return;
  }
  const auto exchange = found->second.exchange;
  const net::Request& request = exchange->request();
  if (this->DurationOf(*exchange) <
      this->settings.duration + this->extra_duration) {
    this->pending.erase(found);
    exchange->Respond({{504, this->Fields(*exchange)}, ""});
    return;
  }
  if (!this->crashing_body.empty() && request.body == this->crashing_body) {
    this->Crash();
    return;
  }
  if (!this->crashing_part.empty() &&
      this->Field(*exchange, "X-Prompt-Prefix")
              .find(this->crashing_part + ":") != std::string::npos) {
    this->Crash();
    return;
  }
  if (!this->fails &&
      net::FindField(request.fields, "X-Token-Count") != nullptr) {
    net::HeaderFields fields = this->Fields(*exchange);
    fields.push_back({"Content-Type", "text/event-stream"});
    exchange->Begin({200, fields}, this->stream_framing);
    this->NextEvent(number);
    return;
  }
  this->pending.erase(found);
  const int status = this->fails || request.body == "fail" ? 500 : 200;
  exchange->Respond(
      {{status, this->Fields(*exchange)},
       PlainAnswer(this->Field(*exchange, "X-Request-Id"), this->settings.id)});
}

void Backend::Crash() {
  for (auto& [number, request] : this->pending) {
    request.exchange->OnDisconnect(nullptr);
  }
  this->pending.clear();
  // Posted, as the server is calling this object.
  this->loop.Post([this] { this->server.reset(); });
  this->on_crash();
}

void Backend::NextEvent(int64_t number) {
  const auto found = this->pending.find(number);
  if (found == this->pending.end()) {
    return;
  }
  PendingRequest& pending_request = found->second;
  const auto exchange = pending_request.exchange;
  if (pending_request.next_event > this->settings.events) {
    this->pending.erase(found);
    exchange->Finish();
    return;
  }
  const std::string event =
      StreamEvent(this->Field(*exchange, "X-Request-Id"),
                  pending_request.next_event, this->settings.version);
  if (this->cut_streams > 0 &&
      pending_request.next_event == pending_request.first_event + 1) {
    --this->cut_streams;
    this->pending.erase(found);
    exchange->Send(event.substr(0, event.size() / 2));
    exchange->Finish();
    return;
  }
  exchange->Send(event);
  ++pending_request.next_event;
  // Sending may have detected that the caller has closed the connection.
  const auto remaining = this->pending.find(number);
  if (remaining != this->pending.end()) {
    remaining->second.timer->Start(this->settings.event_interval,
                                   [this, number] { this->NextEvent(number); });
  }
}

}  // namespace carawayvalve::tests
