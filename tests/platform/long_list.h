#ifndef CARAWAYVALVE_TESTS_PLATFORM_LONG_LIST_H_
#define CARAWAYVALVE_TESTS_PLATFORM_LONG_LIST_H_

#include <cstdint>
#include <string>

#include "carawayvalve/base/address.h"
#include "carawayvalve/net/http_server.h"

namespace carawayvalve::tests {

// A store whose list of one kind has this many pages, each with one
// entry of almost 1 MB that is none.
class LongList {
 public:
  LongList(net::EventLoop& loop, const std::string& kind, int64_t pages)
      : target("/api/objects/" + kind),
        pages(pages),
        server(loop, {"127.0.0.1", 0}, [this](const auto& exchange) {
          this->Answer(*exchange);
        }) {}

  base::Address address() const { return {"127.0.0.1", this->server.port()}; }
  // The pages that were asked for.
  int64_t listed() const { return this->page; }

 private:
  void Answer(net::Exchange& exchange) {
    const std::string& asked = exchange.request().target;
    if (!asked.starts_with(this->target)) {
      exchange.Respond({{404, {}}, "{}"});
      return;
    }
    if (asked.find("watch") != std::string::npos) {
      exchange.Respond({{200, {}}, R"({"events":[],"currentRev":1})"});
      return;
    }
    ++this->page;
    const std::string name = std::to_string(1000000 + this->page);
    exchange.Respond(
        {{200, {}},
         R"({"currentRev":1,"hasMore":)" +
             std::string(this->page < this->pages ? "true" : "false") +
             R"(,"items":[{"meta":{"name":")" + name +
             R"(","rev":1},"spec":{"note":")" +
             std::string(size_t{900} * 1024, 'x') + R"("}}]})"});
  }

  std::string target;
  int64_t pages;
  int64_t page = 0;
  net::HttpServer server;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_LONG_LIST_H_
