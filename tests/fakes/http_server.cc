#include "http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>

#include <algorithm>

#include "carawayvalve/base/error.h"
#include "faults.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

constexpr unsigned kConnectionLimit = 4096;
constexpr size_t kConnectionMemoryBytes = 128 * 1024;
constexpr size_t kStreamBlockBytes = 16 * 1024;

// A request that is being received.
struct Exchange {
  Request request;
  bool begun = false;
};

// A streamed answer that is being sent.
struct Stream {
  ChunkSource chunks;
  const Faults* faults;
  std::string unsent;
};

std::string Unescape(std::string text) {
  text.resize(MHD_http_unescape(text.data()));
  return text;
}

std::vector<std::string> SplitPath(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  std::vector<std::string> segments;
  size_t at = 0;
  while (at < path.size()) {
    const size_t end = std::min(path.find('/', at), path.size());
    if (end > at) {
      segments.push_back(Unescape(path.substr(at, end - at)));
    }
    at = end + 1;
  }
  return segments;
}

MHD_Result AddHeader(void* headers,
                     MHD_ValueKind,
                     const char* name,
                     const char* value) {
  static_cast<decltype(Request::headers)*>(headers)->emplace_back(
      name, value == nullptr ? "" : value);
  return MHD_YES;
}

MHD_Result AddQuery(void* query,
                    MHD_ValueKind,
                    const char* name,
                    const char* value) {
  static_cast<decltype(Request::query)*>(query)->emplace(
      name, value == nullptr ? "" : value);
  return MHD_YES;
}

bool IsClosedByPeer(int socket) {
  pollfd state = {socket, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void ReadHead(MHD_Connection* connection,
              const char* method,
              Request& request) {
  request.method = method;
  request.path = SplitPath(request.target);
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                            &request.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                            &request.query);
  const int socket =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  request.is_peer_closed = [socket] { return IsClosedByPeer(socket); };
}

ssize_t ReadStream(void* state, uint64_t, char* buffer, size_t max_bytes) {
  auto* stream = static_cast<Stream*>(state);
  try {
    while (stream->unsent.empty()) {
      std::optional<std::string> chunk = stream->chunks();
      if (!chunk.has_value()) {
        return MHD_CONTENT_READER_END_OF_STREAM;
      }
      stream->unsent = std::move(*chunk);
    }
  } catch (const StreamAborted&) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (stream->faults->IsDown()) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const size_t count = std::min(max_bytes, stream->unsent.size());
  std::copy_n(stream->unsent.data(), count, buffer);
  stream->unsent.erase(0, count);
  return static_cast<ssize_t>(count);
}

void FreeStream(void* state) {
  delete static_cast<Stream*>(state);
}

// Runs a streamed answer to its end for its effects and discards its chunks.
void Drain(const ChunkSource& chunks) {
  try {
    while (chunks && chunks().has_value()) {
    }
  } catch (const StreamAborted&) {
    return;
  }
}

MHD_Result Send(MHD_Connection* connection, Reply reply, const Faults& faults) {
  MHD_Response* response = nullptr;
  if (reply.chunks) {
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadStream,
        new Stream{std::move(reply.chunks), &faults, {}}, &FreeStream);
  } else {
    response = MHD_create_response_from_buffer(
        reply.body.size(), reply.body.data(), MHD_RESPMEM_MUST_COPY);
  }
  for (const auto& [name, value] : reply.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
  return result;
}

Reply RunHandler(const Handler& handler, const Request& request) {
  try {
    return handler(request);
  } catch (const json::exception& error) {
    return JsonReply(400, {{"error", error.what()}});
  } catch (const std::exception& error) {
    return JsonReply(500, {{"error", error.what()}});
  }
}

}  // namespace

// Callbacks for libmicrohttpd; `self` is the server.
struct Callbacks {
  static void* Begin(void*, const char* target, MHD_Connection*) {
    auto* exchange = new Exchange();
    exchange->request.target = target;
    return exchange;
  }

  static void Complete(void*,
                       MHD_Connection*,
                       void** state,
                       MHD_RequestTerminationCode) {
    delete static_cast<Exchange*>(*state);
    *state = nullptr;
  }

  // Returns MHD_NO to close the connection without an answer.
  static MHD_Result OnRequest(void* self,
                              MHD_Connection* connection,
                              const char*,
                              const char* method,
                              const char*,
                              const char* bytes,
                              size_t* count,
                              void** state) {
    auto* server = static_cast<HttpServer*>(self);
    auto* exchange = static_cast<Exchange*>(*state);
    if (!exchange->begun) {
      exchange->begun = true;
      ReadHead(connection, method, exchange->request);
      return Admit(*server, exchange->request) ? MHD_YES : MHD_NO;
    }
    if (*count > 0) {
      exchange->request.body.append(bytes, *count);
      *count = 0;
      return MHD_YES;
    }
    return Answer(*server, connection, exchange->request);
  }

  static bool Admit(HttpServer& server, const Request& request) {
    if (Faults::IsControl(request)) {
      return true;
    }
    server.faults->Count(request);
    return !server.faults->IsDown();
  }

  static MHD_Result Answer(HttpServer& server,
                           MHD_Connection* connection,
                           const Request& request) {
    Faults& faults = *server.faults;
    if (Faults::IsControl(request)) {
      const Handler control = [&](const Request& it) {
        return faults.Control(it);
      };
      return Send(connection, RunHandler(control, request), faults);
    }
    const bool lost = faults.TakeLostAnswer(request);
    Reply reply = RunHandler(server.handler, request);
    faults.DelayAnswer();
    faults.AddRateLimit(reply);
    if (lost) {
      Drain(reply.chunks);
      return MHD_NO;
    }
    return faults.IsDown() ? MHD_NO
                           : Send(connection, std::move(reply), faults);
  }
};

bool Request::Is(const std::string& verb,
                 const std::string& first,
                 size_t size) const {
  return this->method == verb && this->path.size() == size &&
         this->path.front() == first;
}

json Request::Json() const {
  return json::parse(this->body);
}

int64_t Request::QueryNumber(const std::string& name,
                             int64_t default_value) const {
  const auto found = this->query.find(name);
  return found == this->query.end() ? default_value : std::stoll(found->second);
}

Reply JsonReply(int status, const json& body) {
  // Echoed bytes may be invalid UTF-8.
  return {.status = status,
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace),
          .headers = {{"Content-Type", "application/json"}},
          .chunks = {}};
}

Reply NotFound() {
  return JsonReply(404, {{"error", "no such path"}});
}

HttpServer::HttpServer(uint16_t port,
                       Handler handler,
                       const std::stop_token& stop)
    : faults(std::make_unique<Faults>(stop)), handler(std::move(handler)) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  this->daemon = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
          MHD_USE_POLL | MHD_USE_ITC,
      port, nullptr, nullptr, &Callbacks::OnRequest, this, MHD_OPTION_SOCK_ADDR,
      &address, MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_URI_LOG_CALLBACK, &Callbacks::Begin, nullptr,
      MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::Complete, nullptr,
      MHD_OPTION_END);
  if (this->daemon == nullptr) {
    throw base::Error("listen", "127.0.0.1:" + std::to_string(port),
                      "the HTTP server doesn't start");
  }
}

HttpServer::~HttpServer() {
  MHD_stop_daemon(this->daemon);
}

uint16_t HttpServer::port() const {
  return MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

}  // namespace carawayvalve::fakes
