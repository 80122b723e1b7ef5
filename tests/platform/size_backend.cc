#include "size_backend.h"

namespace carawayvalve::tests {

namespace {

constexpr size_t kEventBytes = 1000;
constexpr base::Milliseconds kEventInterval(10);

std::string Event(int number) {
  return "id: " + std::to_string(number) +
         "\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
}

}  // namespace

SizeBackend::SizeBackend()
    : server(this->loop, {"127.0.0.1", 0}, [this](const auto& exchange) {
        this->Answer(exchange);
      }) {
  this->SendMore();
  this->thread = std::thread([this] { this->loop.Run(); });
}

SizeBackend::~SizeBackend() {
  this->loop.Post([this] { this->loop.Stop(); });
  this->thread.join();
}

void SizeBackend::Answer(const std::shared_ptr<net::Exchange>& exchange) {
  const net::Request& request = exchange->request();
  net::HeaderFields fields = {{"X-Response-Sig", "s"}};
  const std::string* id = net::FindField(request.fields, "X-Request-Id");
  if (id != nullptr) {
    fields.push_back({"X-Request-Id", *id});
  }
  const std::string what = request.target.substr(0, request.target.rfind('/'));
  const std::string number = request.target.substr(what.size() + 1);
  if (what != "/tell") {
    const size_t size = what == "/look" ? std::stoul(number) : 0;
    exchange->Respond({{200, fields}, std::string(size, 'x')});
    return;
  }
  fields.push_back({"Content-Type", "text/event-stream"});
  exchange->Begin({200, fields});
  if (number == "endless") {
    exchange->OnDisconnect([this] { ++this->left_count; });
    this->endless.push_back(exchange);
    return;
  }
  for (int event = 1; event <= std::stoi(number); ++event) {
    exchange->Send(Event(event));
  }
  exchange->Finish();
}

void SizeBackend::SendMore() {
  for (const auto& exchange : this->endless) {
    exchange->Send(Event(1));
  }
  this->timer.Start(kEventInterval, [this] { this->SendMore(); });
}

}  // namespace carawayvalve::tests
