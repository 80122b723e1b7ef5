// Stand-ins for the cases of the third review: the platform's store, workers of
// a plain service, clients, and the gateways as child processes. All addresses
// are 127.0.0.1 with ports that the system chooses.
#ifndef REVIEW_STANDIN_3_WORLD_HPP_
#define REVIEW_STANDIN_3_WORLD_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

using nlohmann::json;

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The record of a run: one line an event, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file(path), start(NowMs()) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ",
                  static_cast<double>(NowMs() - this->start) / 1000);
    this->file << time << text << '\n' << std::flush;
  }
  int64_t started_at() const { return this->start; }

 private:
  std::mutex mutex;
  std::ofstream file;
  int64_t start;
};

struct Message {
  // "GET /x HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool complete = false;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : this->fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  bool Has(const std::string& name) const {
    return std::any_of(this->fields.begin(), this->fields.end(),
                       [&](const auto& field) {
                         return strcasecmp(field.first.c_str(),
                                           name.c_str()) == 0;
                       });
  }
  std::string Method() const { return this->start.substr(0, this->start.find(' ')); }
  std::string Target() const {
    const size_t from = this->start.find(' ') + 1;
    return this->start.substr(from, this->start.find(' ', from) - from);
  }
  int Status() const {
    return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0;
  }
};

// A blocking connection that reads HTTP/1.1 messages.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor(descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;

  int fd() const { return this->descriptor; }

  // Returns false at the end of the connection or of the time.
  bool Fill(int64_t until_ms) {
    pollfd state{this->descriptor, POLLIN, 0};
    const int64_t left = until_ms - NowMs();
    if (left <= 0 || poll(&state, 1, static_cast<int>(left)) <= 0) return false;
    char buffer[16384];
    const ssize_t size = recv(this->descriptor, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      this->ended = true;
      this->was_reset = size < 0;
      return false;
    }
    this->input.append(buffer, static_cast<size_t>(size));
    return true;
  }

  bool ended = false;
  bool was_reset = false;
  std::string input;

  std::optional<Message> Read(int64_t until_ms) {
    Message message;
    size_t end = 0;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(until_ms)) return std::nullopt;
    }
    std::string head = this->input.substr(0, end + 2);
    this->input.erase(0, end + 4);
    size_t at = head.find("\r\n");
    message.start = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const size_t line_end = head.find("\r\n", at);
      const std::string line = head.substr(at, line_end - at);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        message.fields.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = line_end + 2;
    }
    if (message.Field("Transfer-Encoding") == "chunked") {
      while (true) {
        size_t line = 0;
        while ((line = this->input.find("\r\n")) == std::string::npos) {
          if (!this->Fill(until_ms)) return message;
        }
        const size_t size = std::strtoul(this->input.c_str(), nullptr, 16);
        while (this->input.size() < line + 2 + size + 2) {
          if (!this->Fill(until_ms)) return message;
        }
        message.body += this->input.substr(line + 2, size);
        this->input.erase(0, line + 2 + size + 2);
        if (size == 0) break;
      }
    } else {
      const size_t length = std::strtoul(message.Field("Content-Length").c_str(),
                                         nullptr, 10);
      while (this->input.size() < length) {
        if (!this->Fill(until_ms)) {
          message.body = this->input;
          return message;
        }
      }
      message.body = this->input.substr(0, length);
      this->input.erase(0, length);
    }
    message.complete = true;
    return message;
  }

  bool Write(const std::string& text) {
    size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t size = send(this->descriptor, text.data() + sent,
                                text.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) return false;
      sent += static_cast<size_t>(size);
    }
    return true;
  }

  // Returns whether the peer has closed the connection.
  bool PeerLeft() {
    char byte = 0;
    const ssize_t size =
        recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Close() {
    if (this->descriptor >= 0) close(this->descriptor);
    this->descriptor = -1;
  }
  // Closes with a reset, as a process that crashes with unread input does.
  void Reset() {
    const linger now{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(this->descriptor, SHUT_RDWR);
    this->Close();
  }

 private:
  int descriptor;
};

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

inline std::shared_ptr<Connection> Connect(uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return nullptr;
  }
  return std::make_shared<Connection>(descriptor);
}

// Returns a port that is free for TCP and UDP, below those that the system
// gives to connections.
inline uint16_t FreePort() {
  static std::mt19937 generator{std::random_device()()};
  static std::set<uint16_t> taken;
  std::uniform_int_distribution<int> any(12000, 30000);
  while (true) {
    const auto port = static_cast<uint16_t>(any(generator));
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    const auto* wanted = reinterpret_cast<sockaddr*>(&address);
    const bool both = bind(tcp, wanted, sizeof(address)) == 0 &&
                      bind(udp, wanted, sizeof(address)) == 0;
    close(tcp);
    close(udp);
    if (both && taken.insert(port).second) return port;
  }
}

// Accepts connections and serves each in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Connection>)>;

  explicit Listener(Serve serve, uint16_t wanted = 0)
      : serve(std::move(serve)) {
    this->Open(wanted);
  }
  ~Listener() { this->Crash(); }

  uint16_t port() const { return this->listening_port; }

  void Open(uint16_t wanted) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(wanted);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(descriptor, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    this->listening_port = ntohs(address.sin_port);
    this->open = std::make_shared<std::atomic<bool>>(true);
    this->thread = std::thread([this, descriptor, open = this->open] {
      while (*open) {
        pollfd state{descriptor, POLLIN, 0};
        if (poll(&state, 1, 20) <= 0) continue;
        const int accepted =
            accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        auto connection = std::make_shared<Connection>(accepted);
        if (!*open) {
          connection->Reset();
          break;
        }
        {
          const std::lock_guard lock(this->mutex);
          std::erase_if(this->connections,
                        [](const auto& one) { return one.expired(); });
          this->connections.push_back(connection);
        }
        std::thread([serve = this->serve, connection] { serve(connection); })
            .detach();
      }
      close(descriptor);
    });
  }

  // Refuses further connections, then resets the open ones.
  void Crash() {
    if (!this->thread.joinable()) return;
    *this->open = false;
    this->thread.join();
    const std::lock_guard lock(this->mutex);
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        const linger now{1, 0};
        setsockopt(connection->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        shutdown(connection->fd(), SHUT_RDWR);
      }
    }
    this->connections.clear();
  }

 private:
  Serve serve;
  uint16_t listening_port = 0;
  std::shared_ptr<std::atomic<bool>> open;
  std::thread thread;
  std::mutex mutex;
  std::vector<std::weak_ptr<Connection>> connections;
};

inline std::string PrintAnswer(
    int status,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& fields = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline std::string Unescape(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t next = target.find('&', at + 1);
    const std::string item = target.substr(
        at + 1, next == std::string::npos ? next : next - at - 1);
    if (item.rfind(name + "=", 0) == 0) {
      return Unescape(item.substr(name.size() + 1));
    }
    at = next;
  }
  return "";
}

// The platform's store: objects by kind and name, with watches.
class Store {
 public:
  explicit Store(Record& record)
      : record(record),
        listener([this](const auto& connection) { this->Serve(connection); }) {}

  uint16_t port() const { return this->listener.port(); }

  // Returns when the store has accepted the change.
  int64_t Put(const std::string& kind, const std::string& name,
              const json& spec) {
    const std::lock_guard lock(this->mutex);
    this->Write(kind, name, spec);
    return NowMs();
  }
  int64_t Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find({kind, name});
    if (found != this->objects.end()) {
      json object = found->second;
      this->objects.erase(found);
      object["meta"]["rev"] = ++this->revision;
      this->events.push_back({this->revision, kind, object, true});
      this->changed.notify_all();
    }
    return NowMs();
  }
  // Cuts off all watches of the kind that wait at this moment. Returns how
  // many.
  int CutWatches(const std::string& kind) {
    const std::lock_guard lock(this->mutex);
    ++this->cuts[kind];
    this->changed.notify_all();
    return this->waiting[kind];
  }
 private:
  struct Event {
    int64_t revision;
    std::string kind;
    json object;
    bool removed;
  };

  using Objects = std::map<std::pair<std::string, std::string>, json>;

  json& Write(const std::string& kind, const std::string& name,
              const json& spec) {
    json& object = this->objects[{kind, name}];
    if (!object.is_null() && object["spec"] == spec) return object;
    ++this->revision;
    if (object.is_null()) {
      object = {{"meta",
                 {{"name", name},
                  {"createRevision", this->revision},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"status", json::object()}};
    }
    object["meta"]["rev"] = this->revision;
    object["spec"] = spec;
    this->events.push_back({this->revision, kind, object, false});
    this->changed.notify_all();
    return object;
  }

  json Since(const std::string& kind, int64_t since) const {
    json list = json::array();
    for (const Event& event : this->events) {
      if (event.kind == kind && event.revision > since) {
        list.push_back({{"object", event.object}, {"tombstone", event.removed}});
      }
    }
    return list;
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    while (const auto request = connection->Read(NowMs() + 60000)) {
      if (!request->complete) return;
      const std::string target = request->Target();
      const std::string prefix = "/api/objects/";
      if (target.rfind(prefix, 0) != 0) {
        connection->Write(PrintAnswer(404, "{}"));
        continue;
      }
      std::string path = target.substr(prefix.size());
      path = path.substr(0, path.find('?'));
      const size_t slash = path.find('/');
      const std::string kind = path.substr(0, slash);
      const std::string name =
          slash == std::string::npos ? "" : Unescape(path.substr(slash + 1));
      int status = 200;
      json body;
      std::unique_lock lock(this->mutex);
      const std::string watch = QueryValue(target, "watch");
      if (request->Method() == "GET" && !watch.empty() &&
          std::stoll(watch) > this->revision) {
        status = 410;
        body = json::object();
      } else if (request->Method() == "GET" && !watch.empty()) {
        const int64_t since = std::stoll(watch);
        const int64_t until =
            NowMs() + std::stoll("0" + QueryValue(target, "waitMs"));
        const int cut = this->cuts[kind];
        const auto is_cut = [&] { return cut != this->cuts[kind]; };
        json events = this->Since(kind, since);
        ++this->waiting[kind];
        while (events.empty() && NowMs() < until && !is_cut()) {
          this->changed.wait_for(lock, std::chrono::milliseconds(20));
          events = this->Since(kind, since);
          if (connection->PeerLeft()) break;
        }
        --this->waiting[kind];
        if (is_cut()) {
          lock.unlock();
          connection->Close();
          return;
        }
        body = {{"events", events}, {"currentRev", this->revision}};
      } else if (request->Method() == "GET" && name.empty()) {
        json items = json::array();
        const std::string after = QueryValue(target, "after");
        for (const auto& [key, object] : this->objects) {
          if (key.first == kind && key.second > after) items.push_back(object);
        }
        body = {{"items", items},
                {"hasMore", false},
                {"currentRev", this->revision}};
      } else if (request->Method() == "GET") {
        const auto found = this->objects.find({kind, name});
        status = found == this->objects.end() ? 404 : 200;
        body = status == 200 ? found->second : json::object();
      } else {
        const json sent = json::parse(request->body, nullptr, false);
        const bool creates = request->Method() == "POST";
        const std::string key =
            creates ? sent["meta"]["name"].get<std::string>() : name;
        const auto found = this->objects.find({kind, key});
        const bool exists = found != this->objects.end();
        const bool conditional = !creates && sent["meta"].contains("rev");
        if (creates ? exists
                    : exists && conditional &&
                          sent["meta"]["rev"] != found->second["meta"]["rev"]) {
          status = 409;
          body = found->second;
        } else if (!creates && !exists) {
          status = 404;
          body = json::object();
        } else {
          status = creates ? 201 : 200;
          body = this->Write(kind, key, sent["spec"]);
        }
      }
      lock.unlock();
      if (!connection->Write(PrintAnswer(
              status, body.dump(),
              {{"Content-Type", "application/json"},
               {"Store-Era", "1"}}))) {
        return;
      }
    }
  }

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  Objects objects;
  std::vector<Event> events;
  std::map<std::string, int> cuts;
  std::map<std::string, int> waiting;
  int64_t revision = 1;
  Listener listener;
};

// The platform's API of the duties: accepts every usage report.
class Cloud {
 public:
  explicit Cloud(Record& record)
      : record(record),
        listener([this](const auto& connection) {
          while (const auto request = connection->Read(NowMs() + 60000)) {
            this->record.Line("usage report from " +
                              request->Field("X-Duty-Holder") + " fence " +
                              request->Field("X-Fence-Token"));
            if (!connection->Write(PrintAnswer(200, "{}"))) return;
          }
        }) {}
  uint16_t port() const { return this->listener.port(); }

 private:
  Record& record;
  Listener listener;
};

struct Arrival {
  int64_t at = 0;
  std::string id;
  std::string worker;
  std::string target;
  std::string body;
  bool finished = false;
};

// A worker of the plain service: runs up to `slots` requests at a time.
class Worker {
 public:
  struct Settings {
    std::string service = "desk";
    int64_t work_ms = 60;
    int slots = 6;
    // A request with this body crashes the worker that begins to run it.
    std::string crashing_body;
    // How long a crashed worker is down, and how long its entry stays.
    int64_t down_ms = 2000;
    int64_t entry_ms = 3600;
  };

  Worker(Store& store, Record& record, std::string name, Settings settings)
      : store(store),
        record(record),
        name(std::move(name)),
        settings(std::move(settings)),
        listener([this](const auto& connection) { this->Serve(connection); }) {
    this->Register();
  }
  ~Worker() { this->stopped = true; }

  std::string id() {
    const std::lock_guard lock(this->mutex);
    return this->instance;
  }

  // Tells the store that it is there; each start is a new incarnation.
  void Register() {
    const std::lock_guard lock(this->mutex);
    this->instance = this->name + "-" + std::to_string(++this->starts);
    this->entry = {{"service", this->settings.service},
                     {"addr", "127.0.0.1:" +
                                  std::to_string(this->listener.port())},
                     {"zone", "z1"},
                     {"version", "1"},
                     {"slots", this->settings.slots},
                     {"state", "up"},
                     {"coldLeftMs", 0},
                     {"seq", 1},
                     {"born", UnixMs()}};
    this->store.Put("servers", this->instance, this->entry);
  }
  void Crash() {
    const std::string gone = this->id();
    this->record.Line("worker " + gone + " crashes");
    this->listener.Crash();
    std::thread([this, gone] {
      SleepMs(this->settings.down_ms);
      if (this->stopped) return;
      this->listener.Open(this->listener.port());
      this->Register();
      this->record.Line("worker " + this->id() + " is back");
      SleepMs(this->settings.entry_ms - this->settings.down_ms);
      if (!this->stopped) this->store.Remove("servers", gone);
    }).detach();
  }
  // Turns requests away as full, and asks the gateways to wait for so long.
  void SetFull(bool full, int64_t retry_after_s) {
    const std::lock_guard lock(this->mutex);
    this->is_full = full;
    this->retry_after_s = retry_after_s;
  }
  // The store removes its entry after three heartbeats of silence, and has it
  // back once the worker reaches it: the same run under the same id.
  void Lapse() { this->store.Remove("servers", this->id()); }
  void Return() {
    const std::lock_guard lock(this->mutex);
    this->store.Put("servers", this->instance, this->entry);
  }
  // When each request was turned away.
  std::vector<Arrival> refused() {
    const std::lock_guard lock(this->mutex);
    return this->turned_away;
  }
  // Ends for good.
  void Exit() { this->listener.Crash(); }

  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(this->mutex);
    return this->received;
  }

 private:
  void Serve(const std::shared_ptr<Connection>& connection) {
    while (auto request = connection->Read(NowMs() + 30000)) {
      if (!request->complete) return;
      const std::string id = request->Field("X-Request-Id");
      const std::string expected = request->Field("X-Expect-Instance");
      const std::vector<std::pair<std::string, std::string>> echo = {
          {"X-Request-Id", id}};
      if (!expected.empty() && expected != this->id()) {
        auto fields = echo;
        fields.emplace_back("X-Not-Run", "1");
        if (!connection->Write(PrintAnswer(421, "", fields))) return;
        continue;
      }
      size_t index = 0;
      {
        std::unique_lock lock(this->mutex);
        if (this->is_full) {
          this->turned_away.push_back({NowMs(), id, this->instance,
                                       request->Target(), request->body,
                                       false});
          auto fields = echo;
          fields.emplace_back("X-Not-Run", "1");
          fields.emplace_back("Retry-After",
                              std::to_string(this->retry_after_s));
          lock.unlock();
          this->record.Line("worker " + this->id() + " turns " + id + " away");
          if (!connection->Write(PrintAnswer(503, "", fields))) return;
          continue;
        }
        index = this->received.size();
        this->received.push_back({NowMs(), id, this->instance,
                                  request->Target(), request->body, false});
      }
      if (!this->settings.crashing_body.empty() &&
          request->body == this->settings.crashing_body) {
        this->record.Line("run " + id + " at " + this->id() + " from gateway");
        // Another thread, as the crash closes this connection too.
        std::thread([this] { this->Crash(); }).detach();
        SleepMs(200);
        return;
      }
      this->record.Line("worker " + this->id() + " runs " + id);
      SleepMs(this->settings.work_ms);
      auto fields = echo;
      fields.emplace_back("X-Response-Sig", this->id() + "." + id);
      const bool sent =
          connection->Write(PrintAnswer(200, "answer to " + id, fields));
      {
        const std::lock_guard lock(this->mutex);
        this->received[index].finished = sent;
      }
      if (!sent) return;
    }
  }

  Store& store;
  Record& record;
  std::string name;
  Settings settings;
  std::mutex mutex;
  std::string instance;
  json entry;
  int starts = 0;
  bool is_full = false;
  int64_t retry_after_s = 0;
  std::vector<Arrival> received;
  std::vector<Arrival> turned_away;
  std::atomic<bool> stopped = false;
  Listener listener;
};

// A gateway: the project's program with the command of the deploy file.
class Gateway {
 public:
  Gateway(const std::string& program, const std::string& folder, int number,
          uint16_t store, uint16_t cloud, int64_t retry_slack)
      : program(program),
        folder(folder),
        name("edge-" + std::to_string(number)),
        front(FreePort()),
        ready(FreePort()),
        metrics(FreePort()),
        peers(FreePort()) {
    const auto at = [](uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    // As deploy/gateway.json.in is filled in on a small deployment.
    const json settings = {
        {"host", this->name},
        {"data_centre", "z1"},
        {"listen",
         {{"callers", at(this->front)},
          {"readiness", at(this->ready)},
          {"metrics", at(this->metrics)},
          {"peers", at(this->peers)}}},
        {"store", {{"address", at(store)}}},
        {"duties",
         {{"address", at(cloud)},
          {"usage_window_s", 5},
          {"usage_late_s", 10},
          {"lease_ms", 3000}}},
        {"bounds",
         {{"key_withdrawal_ms", 5000},
          {"stop_s", 8},
          {"retry_ratio", 0.2},
          {"retry_slack", retry_slack},
          {"retry_window_s", 10}}},
        {"memory_mb", 260},
        {"rule_parts",
         {"base", "drain", "config", "cost", "retry", "recover", "split",
          "stream", "engine", "tenants", "leader", "platform"}},
        {"log", {{"level", "info"}, {"max_buffered_kb", 256}}}};
    std::ofstream(this->Path("json")) << settings.dump(2);
  }
  ~Gateway() { this->Kill(); }

  void Start() {
    this->started = NowMs();
    this->pid = fork();
    if (this->pid == 0) {
      // No gateway outlives its case.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(this->Path("log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("CARAWAYVALVE_CONFIG", this->Path("json").c_str(), 1);
      execl(this->program.c_str(), this->program.c_str(), "gateway", nullptr);
      _exit(127);
    }
  }
  void Signal(int number) {
    if (this->pid > 0) kill(this->pid, number);
  }
  void Kill() {
    if (this->pid <= 0) return;
    kill(this->pid, SIGKILL);
    int status = 0;
    waitpid(this->pid, &status, 0);
    this->pid = 0;
  }
  bool IsReady() const {
    const auto connection = Connect(this->ready);
    if (connection == nullptr ||
        !connection->Write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    const auto answer = connection->Read(NowMs() + 1000);
    return answer.has_value() && answer->Status() == 200;
  }
  bool WaitReady(int64_t ms) const {
    for (const int64_t until = NowMs() + ms; NowMs() < until; SleepMs(50)) {
      if (this->IsReady()) return true;
    }
    return false;
  }
  std::string Path(const std::string& end) const {
    return this->folder + "/" + this->name + "." + end;
  }

  std::string program;
  std::string folder;
  std::string name;
  uint16_t front;
  uint16_t ready;
  uint16_t metrics;
  uint16_t peers;
  pid_t pid = 0;
  int64_t started = 0;
};

struct Reply {
  // 0 when the connection was refused or ended without a whole answer.
  int status = 0;
  std::string body;
  bool connected = false;
};

// One client attempt on a new connection.
inline Reply Call(uint16_t port, const std::string& target,
                  const std::string& id, const std::string& body,
                  int64_t deadline_ms, const std::string& key = "key-north") {
  Reply reply;
  const auto connection = Connect(port);
  if (connection == nullptr) return reply;
  reply.connected = true;
  const std::string text =
      "POST " + target + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " +
      id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\nX-Credential: " + key + "\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!connection->Write(text)) return reply;
  const auto answer = connection->Read(NowMs() + deadline_ms + 500);
  if (answer.has_value() && answer->complete) {
    reply.status = answer->Status();
    reply.body = answer->body;
  }
  return reply;
}

// The configuration: a plain service with an idempotent and a mutating route.
inline json Configuration(int64_t version = 3,
                          const std::vector<std::string>& keys = {"key-north"}) {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        int attempts) {
    return json{{"name", name},       {"host", "desk.example"},
                {"prefix", prefix},   {"kind", kind},
                {"service", "desk"},  {"maxAttempts", attempts},
                {"timeoutMs", 2000},  {"sloMs", 300},
                {"priority", 2},      {"public", false},
                {"sticky", false},    {"resumable", false}};
  };
  return {{"version", version},
          {"routes",
           {route("read", "/read/", "idempotent", 2),
            route("book", "/book/", "mutating", 1)}},
          {"services",
           {{{"name", "desk"}, {"healthPath", "/health"}, {"maxConns", 100}}}},
          {"tenants", {{{"name", "north"}, {"apiKeys", keys}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 5000},
            {"idleTimeoutMs", 30000}}}};
}

inline bool Troubled() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace world

#endif  // REVIEW_STANDIN_3_WORLD_HPP_
