#include "spoiler.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <list>
#include <mutex>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace carawayvalve::tests {

namespace {

constexpr int kPollMs = 20;
constexpr size_t kPieceBytes = size_t{64} * 1024;
constexpr size_t kRelayedBytes = size_t{16} * 1024;
constexpr std::string_view kIdField = "X-Request-Id: ";
// Entries of a page of a list, and what one of them holds that is no entry.
constexpr int64_t kPageEntries = 1000;
constexpr int64_t kOddPageEntries = 8;
constexpr size_t kOddEntryBytes = size_t{100} * 1024;
// The time between two attempts to connect.
constexpr base::Milliseconds kReconnectTime(10);
// A list needs many times its size when it is parsed. The first is longer than
// a gateway may read.
constexpr size_t kLongListBytes = size_t{48} * 1024 * 1024;
constexpr size_t kWideListBytes = size_t{7} * 1024 * 1024;
constexpr size_t kDeepValueBytes = size_t{4750} * 1024;
// Each field needs many times its size when it is parsed.
constexpr size_t kWideHeadBytes = size_t{60} * 1024;

std::string Repeat(const std::string& unit, size_t bytes = kPieceBytes) {
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  return text;
}

// A value of which each bracket needs two allocations.
std::string DeepValue() {
  constexpr int kDepth = 100;
  std::string text;
  for (int i = 0; i < kDepth; ++i) {
    text += R"({"0123456789abcdef":)";
  }
  return text + "{}" + std::string(kDepth, '}');
}

std::string AsChunk(const std::string& data) {
  std::array<char, 16> size{};
  snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return size.data() + data + "\r\n";
}

std::string WorkerHead(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status +
         "\r\nX-Request-Id: {id}\r\nX-Response-Sig: s\r\n" + fields;
}

// A page of a list with further ones after it, of entries with new names.
std::string PageOf(int64_t number, int64_t entries, const std::string& spec) {
  std::string page = R"({"currentRev":1,"events":[],"hasMore":true,"items":[)";
  for (int64_t i = 0; i < entries; ++i) {
    // Of equal lengths, as lists are in the order of names.
    const std::string name =
        "n-" + std::to_string(1'000'000'000'000 + number * entries + i);
    page += i == 0 ? "" : ",";
    page += R"({"meta":{"name":")";
    page += name;
    page += R"(","rev":1},"spec":)";
    page += spec;
    page += "}";
  }
  return page + "]}";
}

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// A socket that is closed when it goes out of scope.
class Socket {
 public:
  explicit Socket(int descriptor) : descriptor(descriptor) {}
  Socket(Socket&& other) noexcept
      : descriptor(std::exchange(other.descriptor, -1)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (this->descriptor >= 0) {
      close(this->descriptor);
    }
  }
  int get() const { return this->descriptor; }

 private:
  int descriptor;
};

// Connections whose target doesn't listen fail at their first use.
Socket ConnectTo(uint16_t port) {
  Socket connected(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = LoopbackAddress(port);
  static_cast<void>(connect(connected.get(),
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)));
  return connected;
}

bool BeginsRequest(std::string_view data) {
  return data.starts_with("GET ") || data.starts_with("POST ") ||
         data.starts_with("PUT ") || data.starts_with("DELETE ");
}

std::string IdOf(std::string_view request) {
  const size_t at = request.find(kIdField);
  if (at == std::string_view::npos) {
    return "";
  }
  const size_t begin = at + kIdField.size();
  return std::string(
      request.substr(begin, request.find("\r\n", begin) - begin));
}

std::string WithId(const std::string& text, const std::string& id) {
  constexpr std::string_view kMark = "{id}";
  const size_t at = text.find(kMark);
  return at == std::string::npos
             ? text
             : text.substr(0, at) + id + text.substr(at + kMark.size());
}

}  // namespace

const std::vector<EndlessBytes>& EndlessWorkerAnswers() {
  static const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
  static const std::string kEvents =
      WorkerHead("200 OK", "Content-Type: text/event-stream\r\n" + kChunked);
  static const std::vector<EndlessBytes> kAnswers = {
      {"comments", kEvents, AsChunk(Repeat(": x\n\n")), 0, ""},
      {"slow-comments", kEvents, AsChunk(": x\n\n"), 0, "",
       base::Milliseconds(20)},
      {"comment-lines", kEvents, AsChunk(Repeat(": x\n")), 0, ""},
      {"newlines", kEvents, AsChunk(Repeat("\n")), 0, ""},
      {"slow-newlines", kEvents, AsChunk("\n\n"), 0, "",
       base::Milliseconds(20)},
      {"event", kEvents + AsChunk("id: 1\ndata: "), AsChunk(Repeat("x")), 0,
       ""},
      {"body", WorkerHead("200 OK", "Connection: close\r\n\r\n"), Repeat("x"),
       0, ""},
      {"failure", WorkerHead("500 Failed", kChunked), AsChunk(Repeat("x")), 0,
       ""},
      {"header", WorkerHead("200 OK", "X-Long: "), Repeat("x"), 0, ""},
      {"wide-head",
       WorkerHead("200 OK", "Content-Type: text/event-stream\r\n" +
                                Repeat("a:\r\n", kWideHeadBytes) + kChunked),
       AsChunk(": x\n\n"), 0, "", base::Milliseconds(20)},
      {"extension", kEvents + "1;", Repeat("x"), 0, ""},
      {"noise", "", Repeat("\x01\x9f?"), 0, ""},
  };
  return kAnswers;
}

const std::vector<EndlessBytes>& EndlessStoreAnswers() {
  static const std::string kChunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const std::string kList = R"({"currentRev":1,"events":[],"items":[0)";
  static const std::vector<EndlessBytes> kAnswers = {
      {"text", kChunked + AsChunk(R"({"items":")"), AsChunk(Repeat("x")), 0,
       ""},
      {"list", kChunked + AsChunk(kList), AsChunk(Repeat(",0")), 0, ""},
      {"long-list", kChunked + AsChunk(kList), AsChunk(Repeat(",0")),
       kLongListBytes, AsChunk("]}") + "0\r\n\r\n"},
      {"long-value",
       kChunked + AsChunk(R"({"meta":{"name":"main","rev":1},"spec":[0)"),
       AsChunk(Repeat(",0")), kLongListBytes, AsChunk("]}") + "0\r\n\r\n"},
      {"wide-list", kChunked + AsChunk(kList), AsChunk(Repeat(",{}")),
       kWideListBytes, AsChunk("]}") + "0\r\n\r\n"},
      {"wide-value",
       kChunked + AsChunk(R"({"meta":{"name":"main","rev":1},"spec":[0)"),
       AsChunk(Repeat(R"(,{"":0})")), kWideListBytes,
       AsChunk("]}") + "0\r\n\r\n"},
      {"deep-value",
       kChunked + AsChunk(R"({"meta":{"name":"main","rev":1},"spec":[0)"),
       AsChunk(Repeat("," + DeepValue())), kDeepValueBytes,
       AsChunk("]}") + "0\r\n\r\n"},
      {"wide-listed-value",
       kChunked +
           AsChunk(R"({"items":[{"meta":{"name":"main","rev":1},"spec":[0)"),
       AsChunk(Repeat(R"(,{"":0})")), kWideListBytes,
       AsChunk("]}]}") + "0\r\n\r\n"},
      {"failure", "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n",
       AsChunk(Repeat("x")), 0, ""},
      {"header", "HTTP/1.1 200 OK\r\nX-Long: ", Repeat("x"), 0, ""},
      {"noise", "", Repeat("\x01\x9f?"), 0, ""},
      {"pages", "", "", 0, "", base::Milliseconds(0),
       [](int64_t number) {
         return PageOf(number, kPageEntries,
                       R"({"service":"other","addr":"127.0.0.1:1","zone":"a",)"
                       R"("version":"v1","slots":4,"state":"up","born":1})");
       }},
      {"odd-pages", "", "", 0, "", base::Milliseconds(0),
       [](int64_t number) {
         return PageOf(number, kOddPageEntries,
                       "[0" + Repeat(",0", kOddEntryBytes) + "]");
       }},
  };
  return kAnswers;
}

const std::vector<EndlessBytes>& EndlessUsageAnswers() {
  static const std::string kBegin = "HTTP/1.1 200 OK\r\n";
  static const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
  static const std::vector<EndlessBytes> kAnswers = {
      {"text", kBegin + kChunked, AsChunk(Repeat("x")), 0, ""},
      {"list", kBegin + kChunked + AsChunk("[0"), AsChunk(Repeat(",0")), 0, ""},
      {"header", kBegin + "X-Long: ", Repeat("x"), 0, ""},
      {"extension", kBegin + kChunked + "1;", Repeat("x"), 0, ""},
      {"noise", "", Repeat("\x01\x9f?"), 0, ""},
  };
  return kAnswers;
}

const std::vector<EndlessBytes>& EndlessRequests() {
  static const std::string kBegin =
      "POST /pay/1 HTTP/1.1\r\nHost: soak.example\r\n";
  static const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
  static const std::vector<EndlessBytes> kRequests = {
      {"target", "GET /", Repeat("x"), 0, ""},
      {"header", kBegin + "X-Long: ", Repeat("x"), 0, ""},
      {"fields", kBegin, Repeat("X-Field: x\r\n"), 0, ""},
      {"body", kBegin + kChunked, AsChunk(Repeat("x")), 0, ""},
      {"keyed-body",
       kBegin + "Authorization: Bearer key-zoo-0\r\n"
                "Content-Length: 9000000000000000000\r\n\r\n",
       Repeat("x"), 0, ""},
      {"extension", kBegin + kChunked + "1;", Repeat("x"), 0, ""},
      {"requests", "", Repeat("GET /look/1 HTTP/1.1\r\nHost: x\r\n\r\n"), 0,
       ""},
      {"noise", "", Repeat("\x01\x9f?"), 0, ""},
  };
  return kRequests;
}

class Spoiler::State {
 public:
  explicit State(uint16_t target)
      : target(target),
        listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t size = sizeof(address);
    const bool listens =
        bind(this->listener.get(), reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) == 0 &&
        listen(this->listener.get(), SOMAXCONN) == 0 &&
        getsockname(this->listener.get(), reinterpret_cast<sockaddr*>(&address),
                    &size) == 0;
    if (!listens) {
      throw std::runtime_error("a spoiler can't listen");
    }
    this->listening_port = ntohs(address.sin_port);
    this->accepting = std::thread([this] { this->Accept(); });
  }

  ~State() {
    this->stopping = true;
    this->accepting.join();
    for (std::thread& thread : this->connections) {
      thread.join();
    }
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Accept() {
    while (!this->stopping) {
      pollfd waiting{this->listener.get(), POLLIN, 0};
      if (poll(&waiting, 1, kPollMs) <= 0) {
        continue;
      }
      const int accepted =
          accept4(this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) {
        this->connections.emplace_back(
            [this, near = Socket(accepted)] { this->Serve(near); });
      }
    }
  }

  void Serve(const Socket& near) {
    const timeval send_timeout{0, kPollMs * 1000};
    setsockopt(near.get(), SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
               sizeof(send_timeout));
    const Socket far = ConnectTo(this->target);
    std::array<pollfd, 2> sockets{
        {{near.get(), POLLIN, 0}, {far.get(), POLLIN, 0}}};
    while (!this->stopping) {
      if (poll(sockets.data(), sockets.size(), kPollMs) <= 0) {
        continue;
      }
      for (size_t i = 0; i < sockets.size(); ++i) {
        if (sockets[i].revents != 0 &&
            !this->Relay(sockets[i].fd, sockets[1 - i].fd, i == 0)) {
          return;
        }
      }
    }
  }

  // Returns whether the connection goes on.
  bool Relay(int source, int sink, bool from_near) {
    std::array<char, kRelayedBytes> buffer{};
    const ssize_t size = recv(source, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return false;
    }
    const std::string_view data(buffer.data(), static_cast<size_t>(size));
    if (from_near && BeginsRequest(data)) {
      if (const auto bytes = this->Spoilt()) {
        ++this->requests;
        if (bytes->page != nullptr) {
          return this->SendPage(source, *bytes);
        }
        this->Spoil(source, *bytes, IdOf(data));
        return false;
      }
    }
    return this->SendAll(sink, data);
  }

  // Returns whether all was sent.
  bool SendPage(int near, const EndlessBytes& bytes) {
    const std::string body = bytes.page(this->pages++);
    this->bytes += static_cast<int64_t>(body.size());
    return this->SendAll(near, "HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body);
  }

  void Spoil(int near, const EndlessBytes& bytes, const std::string& id) {
    const int64_t spell = this->spell;
    size_t repeated = 0;
    bool open = this->SendAll(near, WithId(bytes.begin, id));
    while (open && this->spell == spell &&
           (bytes.max_bytes == 0 || repeated < bytes.max_bytes)) {
      open = this->SendAll(near, bytes.repeated);
      repeated += bytes.repeated.size();
      this->bytes += static_cast<int64_t>(bytes.repeated.size());
      std::this_thread::sleep_for(bytes.interval);
    }
    if (open && this->spell == spell) {
      this->SendAll(near, bytes.end);
    } else if (open) {
      // The close would complete a body that has no length.
      const linger reset{1, 0};
      setsockopt(near, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
  }

  // Returns whether all was sent.
  bool SendAll(int socket, std::string_view data) {
    while (!data.empty() && !this->stopping) {
      const ssize_t sent = send(socket, data.data(), data.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        return false;
      }
      data.remove_prefix(sent < 0 ? 0 : static_cast<size_t>(sent));
    }
    return data.empty();
  }

  std::shared_ptr<const EndlessBytes> Spoilt() {
    const std::lock_guard guard(this->mutex);
    return this->spoilt;
  }

  void SetSpoilt(std::shared_ptr<const EndlessBytes> changed) {
    const std::lock_guard guard(this->mutex);
    ++this->spell;
    this->spoilt = std::move(changed);
  }

  uint16_t target;
  Socket listener;
  uint16_t listening_port = 0;
  std::atomic<int64_t> requests = 0;
  std::atomic<int64_t> bytes = 0;

 private:
  std::mutex mutex;
  std::shared_ptr<const EndlessBytes> spoilt;
  // Counts the changes of what is spoilt.
  std::atomic<int64_t> spell = 0;
  std::atomic<int64_t> pages = 0;
  std::atomic<bool> stopping = false;
  std::thread accepting;
  std::list<std::thread> connections;
};

Spoiler::Spoiler(uint16_t target_port)
    : state(std::make_shared<State>(target_port)) {}

Spoiler::~Spoiler() = default;

uint16_t Spoiler::port() const {
  return this->state->listening_port;
}

void Spoiler::Begin(const EndlessBytes& bytes) {
  this->state->SetSpoilt(std::make_shared<const EndlessBytes>(bytes));
}

void Spoiler::End() {
  this->state->SetSpoilt(nullptr);
}

int64_t Spoiler::spoilt_requests() const {
  return this->state->requests;
}

int64_t Spoiler::spoilt_bytes() const {
  return this->state->bytes;
}

EndlessCaller::EndlessCaller(uint16_t target_port, const EndlessBytes& bytes)
    : target(target_port), bytes(bytes) {
  this->sending = std::thread([this] { this->Send(); });
}

EndlessCaller::~EndlessCaller() {
  this->stopping = true;
  this->sending.join();
}

void EndlessCaller::Send() const {
  const timeval send_timeout{0, kPollMs * 1000};
  while (!this->stopping) {
    const Socket connected = ConnectTo(this->target);
    setsockopt(connected.get(), SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
               sizeof(send_timeout));
    std::string unsent = this->bytes.begin;
    while (!this->stopping) {
      if (unsent.empty()) {
        unsent = this->bytes.repeated;
        std::this_thread::sleep_for(this->bytes.interval);
      }
      const ssize_t sent =
          send(connected.get(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        break;
      }
      unsent.erase(0, sent < 0 ? 0 : static_cast<size_t>(sent));
    }
    std::this_thread::sleep_for(kReconnectTime);
  }
}

}  // namespace carawayvalve::tests
