#ifndef CARAWAYVALVE_TESTS_FAKES_HTTP_SERVER_H_
#define CARAWAYVALVE_TESTS_FAKES_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stop_token>
#include <string>
#include <utility>
#include <vector>

struct MHD_Daemon;

namespace carawayvalve::fakes {

struct Request {
  std::string method;
  // Path and query, not decoded.
  std::string target;
  // The decoded segments of the path.
  std::vector<std::string> path;
  std::map<std::string, std::string> query;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Returns whether the caller has closed its connection.
  std::function<bool()> is_peer_closed;

  // Returns whether the method is `verb` and the path has `size` segments, the
  // first of which is `first`.
  bool Is(const std::string& verb, const std::string& first, size_t size) const;
  // Throws nlohmann::json::exception when the body isn't JSON.
  nlohmann::json Json() const;
  int64_t QueryNumber(const std::string& name, int64_t default_value) const;
};

// Thrown by a ChunkSource to close the connection in the middle of the answer.
struct StreamAborted {};

// Returns the next chunk of an answer, or nothing at its end. May block.
using ChunkSource = std::function<std::optional<std::string>()>;

struct Reply {
  int status = 200;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // Replaces `body` when set.
  ChunkSource chunks;
};

using Handler = std::function<Reply(const Request&)>;

Reply JsonReply(int status, const nlohmann::json& body);
Reply NotFound();

class Faults;

// Serves HTTP on 127.0.0.1 with a thread for each connection and applies the
// faults injected by POST /fault before and after calling `handler`.
class HttpServer {
 public:
  // Port 0 lets the system choose a port. `stop` ends waits when the process is
  // stopping. Throws base::Error when the port is in use.
  HttpServer(uint16_t port, Handler handler, const std::stop_token& stop);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const;

 private:
  std::unique_ptr<Faults> faults;
  Handler handler;
  MHD_Daemon* daemon = nullptr;

  friend struct Callbacks;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_HTTP_SERVER_H_
