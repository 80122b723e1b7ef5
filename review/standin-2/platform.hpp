// Stand-ins of the users' platform for the cases of review/REPORT-2.md: the
// store, the platform's API, workers and clients, with plain sockets and
// threads. They follow PROTOCOL.md and behave like sound ones; each case adds
// its own disruption.
#pragma once

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
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

// Writes record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f  ", Seconds());
    this->file << at << text << '\n' << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

// Returns whether two names are equal, ignoring case.
inline bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

struct Message {
  // The request line's or the status line's words.
  std::string first;
  std::string second;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    for (const auto& [known, value] : this->fields) {
      if (SameName(known, name)) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& name) const {
    return std::any_of(
        this->fields.begin(), this->fields.end(),
        [&](const auto& field) { return SameName(field.first, name); });
  }
};

// A connected socket with a buffer.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor(descriptor) {}
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close() {
    const int open = this->descriptor.exchange(-1);
    if (open >= 0) {
      close(open);
    }
  }
  // Wakes a thread that reads or writes.
  void Shutdown() {
    if (this->descriptor >= 0) {
      shutdown(this->descriptor, SHUT_RDWR);
    }
  }
  // Closes with a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    this->Close();
  }
  int fd() const { return this->descriptor; }

  bool Send(const std::string& text) {
    size_t at = 0;
    while (at < text.size()) {
      const ssize_t sent = send(this->descriptor, text.data() + at,
                                text.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      at += static_cast<size_t>(sent);
    }
    return true;
  }
  // Reads more bytes; false at the end or at an error.
  bool Fill(size_t most = 65536) {
    std::string part(most, '\0');
    const ssize_t got = recv(this->descriptor, part.data(), part.size(), 0);
    if (got <= 0) {
      this->failure = got == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    this->input.append(part, 0, static_cast<size_t>(got));
    return true;
  }
  // Reads the head of a message. False when the connection ends before.
  bool ReadHead(Message& message) {
    size_t end = 0;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill()) {
        return false;
      }
    }
    std::istringstream head(this->input.substr(0, end + 2));
    this->input.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream words(line);
    words >> message.first >> message.second;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.fields.push_back({line.substr(0, colon), line.substr(value)});
    }
    return true;
  }
  // Reads a body with a length or in chunks.
  bool ReadBody(Message& message) {
    if (message.Field("Transfer-Encoding") == "chunked") {
      while (true) {
        size_t end = 0;
        while ((end = this->input.find("\r\n")) == std::string::npos) {
          if (!this->Fill()) {
            return false;
          }
        }
        const size_t size = std::strtoul(this->input.c_str(), nullptr, 16);
        this->input.erase(0, end + 2);
        while (this->input.size() < size + 2) {
          if (!this->Fill()) {
            return false;
          }
        }
        message.body.append(this->input, 0, size);
        this->input.erase(0, size + 2);
        if (size == 0) {
          return true;
        }
      }
    }
    const size_t size = std::strtoul(
        message.Field("Content-Length").c_str(), nullptr, 10);
    while (this->input.size() < size) {
      if (!this->Fill()) {
        message.body = this->input;
        return false;
      }
    }
    message.body = this->input.substr(0, size);
    this->input.erase(0, size);
    return true;
  }
  // Reads a request with its body.
  bool ReadRequest(Message& message) {
    return this->ReadHead(message) && this->ReadBody(message);
  }

  std::string input;
  std::string failure;

 private:
  std::atomic<int> descriptor;
};

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a port that is free for TCP and UDP.
inline uint16_t FreePort() {
  while (true) {
    const int tcp = socket(AF_INET, SOCK_STREAM, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    const bool bound =
        bind(tcp, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
        bind(udp, reinterpret_cast<sockaddr*>(&address), size) == 0;
    close(tcp);
    close(udp);
    if (bound) {
      return ntohs(address.sin_port);
    }
  }
}

// Returns null if nothing accepts the connection. A receive buffer of 0 is the
// system's usual one.
inline std::shared_ptr<Connection> Connect(uint16_t port,
                                           int receive_buffer = 0) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return nullptr;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_shared<Connection>(descriptor);
}

// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Handler = std::function<void(const std::shared_ptr<Connection>&)>;

  explicit Server(Handler handler, uint16_t wanted = 0)
      : handler(std::move(handler)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(wanted);
    socklen_t size = sizeof(address);
    if (bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(this->listener, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->listening_port = ntohs(address.sin_port);
    std::thread([this] { this->Accept(); }).detach();
  }

  uint16_t port() const { return this->listening_port; }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->listening_port);
  }

 private:
  void Accept() {
    while (true) {
      const int accepted = accept4(this->listener, nullptr, nullptr,
                                   SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const auto connection = std::make_shared<Connection>(accepted);
      std::thread([this, connection] { this->handler(connection); }).detach();
    }
  }

  Handler handler;
  int listener = -1;
  uint16_t listening_port = 0;
};

inline std::string Answer(int status,
                          const std::string& fields,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Quote(const std::string& text) {
  return '"' + text + '"';
}

// The platform's store. Objects' specs are kept as text.
class Store {
 public:
  Store()
      : server([this](const auto& connection) { this->Serve(connection); }) {}

  std::string address() const { return this->server.address(); }
  uint16_t port() const { return this->server.port(); }

  // Writes an object as the operator or a worker does.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Write(kind, name, spec);
  }
  // A drill: comes back as it was at the call of Backup, in a new era.
  void Backup() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->copy = {this->objects, this->history, this->revision};
  }
  void ReturnToBackup() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->objects = this->copy.objects;
    this->history = this->copy.history;
    this->revision = this->copy.revision;
    ++this->era;
    this->changed.notify_all();
  }
  void Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->objects.find({kind, name});
    if (found != this->objects.end()) {
      found->second.revision = ++this->revision;
      this->Note(kind, name, true);
      this->objects.erase(found);
    }
  }

 private:
  struct Object {
    std::string spec;
    int64_t created = 0;
    int64_t revision = 0;
  };
  struct Change {
    std::string kind;
    int64_t revision = 0;
    std::string event;
  };

  static std::string Query(const std::string& target, const std::string& name) {
    const size_t mark = target.find('?');
    std::istringstream items(
        mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string item;
    while (std::getline(items, item, '&')) {
      if (item.rfind(name + "=", 0) == 0) {
        return item.substr(name.size() + 1);
      }
    }
    return "";
  }
  // Returns the text of a member of a JSON object as the gateway prints them.
  static std::string Member(const std::string& text, const std::string& name) {
    const size_t key = text.find(Quote(name) + ":");
    if (key == std::string::npos) {
      return "";
    }
    const size_t begin = key + name.size() + 3;
    int depth = 0;
    bool quoted = false;
    size_t end = begin;
    for (; end < text.size(); ++end) {
      const char byte = text[end];
      if (quoted) {
        end += byte == '\\' ? 1 : 0;
        quoted = byte != '"';
        continue;
      }
      quoted = byte == '"';
      if (byte == '{' || byte == '[') {
        ++depth;
      } else if (byte == '}' || byte == ']') {
        if (depth == 0) {
          break;
        }
        --depth;
      } else if (byte == ',' && depth == 0) {
        break;
      }
    }
    return text.substr(begin, end - begin);
  }

  std::string Print(const std::string& name, const Object& object) const {
    return "{\"meta\":{\"name\":" + Quote(name) +
           ",\"rev\":" + std::to_string(object.revision) +
           ",\"createRevision\":" + std::to_string(object.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
           ",\"status\":{}}";
  }
  void Note(const std::string& kind, const std::string& name, bool removed) {
    this->history.push_back(
        {kind, this->revision,
         "{\"object\":" + this->Print(name, this->objects[{kind, name}]) +
             ",\"tombstone\":" + (removed ? "true" : "false") + "}"});
    this->changed.notify_all();
  }
  std::string Write(const std::string& kind,
                    const std::string& name,
                    const std::string& spec) {
    Object& object = this->objects[{kind, name}];
    if (object.revision == 0 || object.spec != spec) {
      object.spec = spec;
      object.revision = ++this->revision;
      object.created = object.created == 0 ? this->revision : object.created;
      this->Note(kind, name, false);
    }
    return this->Print(name, object);
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    while (true) {
      Message request;
      if (!connection->ReadRequest(request)) {
        return;
      }
      const auto [status, body] = this->Handle(request);
      const std::string fields =
          "Content-Type: application/json\r\nStore-Era: " +
          std::to_string(this->era) + "\r\n";
      if (!connection->Send(Answer(status, fields, body))) {
        return;
      }
    }
  }
  std::pair<int, std::string> Handle(const Message& request) {
    const std::string& target = request.second;
    const std::string root = "/api/objects/";
    if (target.rfind(root, 0) != 0) {
      return {404, "{}"};
    }
    std::string path = target.substr(root.size());
    path = path.substr(0, path.find('?'));
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock<std::mutex> lock(this->mutex);
    if (request.first == "POST" || request.first == "PUT") {
      return this->OnWrite(request, kind, name);
    }
    if (!name.empty()) {
      const auto found = this->objects.find({kind, name});
      return found == this->objects.end()
                 ? std::pair(404, std::string("{}"))
                 : std::pair(200, this->Print(name, found->second));
    }
    const std::string watch = Query(target, "watch");
    if (watch.empty()) {
      return {200, this->List(kind, Query(target, "after"))};
    }
    const int64_t since = std::atoll(watch.c_str());
    const int64_t began_in = this->era;
    if (since > this->revision) {
      return {410, "{}"};
    }
    const auto until =
        Clock::now() +
        std::chrono::milliseconds(std::atoll(Query(target, "waitMs").c_str()));
    while (true) {
      if (this->era != began_in) {
        return {410, "{}"};
      }
      std::string events;
      for (const Change& change : this->history) {
        if (change.kind == kind && change.revision > since) {
          events += (events.empty() ? "" : ",") + change.event;
        }
      }
      if (!events.empty() ||
          this->changed.wait_until(lock, until) == std::cv_status::timeout) {
        return {200, "{\"events\":[" + events + "],\"currentRev\":" +
                         std::to_string(this->revision) + "}"};
      }
    }
  }
  std::pair<int, std::string> OnWrite(const Message& request,
                                      const std::string& kind,
                                      std::string name) {
    const std::string meta = Member(request.body, "meta");
    const std::string spec = Member(request.body, "spec");
    if (request.first == "POST") {
      name = Member(meta, "name");
      name = name.substr(1, name.size() - 2);
    }
    const auto found = this->objects.find({kind, name});
    if (request.first == "POST" && found != this->objects.end()) {
      return {409, this->Print(name, found->second)};
    }
    if (request.first == "PUT") {
      if (found == this->objects.end()) {
        return {404, "{}"};
      }
      const std::string expected = Member(meta, "rev");
      if (!expected.empty() &&
          std::atoll(expected.c_str()) != found->second.revision) {
        return {409, this->Print(name, found->second)};
      }
    }
    return {request.first == "POST" ? 201 : 200,
            this->Write(kind, name, spec)};
  }
  std::string List(const std::string& kind, const std::string& after) const {
    std::string items;
    for (const auto& [key, object] : this->objects) {
      if (key.first == kind && key.second > after) {
        items += (items.empty() ? "" : ",") + this->Print(key.second, object);
      }
    }
    return "{\"items\":[" + items + "],\"hasMore\":false,\"currentRev\":" +
           std::to_string(this->revision) + "}";
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::pair<std::string, std::string>, Object> objects;
  std::vector<Change> history;
  struct Copy {
    std::map<std::pair<std::string, std::string>, Object> objects;
    std::vector<Change> history;
    int64_t revision = 0;
  };

  int64_t revision = 10;
  Copy copy;
  std::atomic<int64_t> era = 1;
  Server server;
};

// A gateway, started with the command of the deploy file.
class Gateway {
 public:
  Gateway(const std::string& folder,
          const std::string& name,
          const std::string& store,
          const std::string& cloud,
          const std::string& zone = "scot-central-a")
      : folder(folder),
        name(name),
        callers(FreePort()),
        ready(FreePort()),
        metrics(FreePort()),
        peers(FreePort()) {
    const auto at = [](uint16_t port) {
      return Quote("127.0.0.1:" + std::to_string(port));
    };
    // deploy/gateway.json.in, filled in like on a small deployment.
    std::ofstream(this->SettingsPath())
        << "{\"host\":" << Quote(name)
        << ",\"data_centre\":" << Quote(zone) << ",\"listen\":{\"callers\":"
        << at(this->callers) << ",\"readiness\":" << at(this->ready)
        << ",\"metrics\":" << at(this->metrics)
        << ",\"peers\":" << at(this->peers)
        << "},\"store\":{\"address\":" << Quote(store)
        << "},\"duties\":{\"address\":" << Quote(cloud)
        << ",\"usage_window_s\":5,\"usage_late_s\":10,\"lease_ms\":3000},"
           "\"bounds\":{\"key_withdrawal_ms\":5000,\"stop_s\":8,"
           "\"retry_ratio\":0.2,\"retry_slack\":54,\"retry_window_s\":10},"
           "\"memory_mb\":260,\"rule_parts\":[\"base\",\"drain\",\"config\","
           "\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\","
           "\"tenants\",\"leader\",\"platform\"],\"log\":{\"level\":\"info\","
           "\"max_buffered_kb\":256}}";
  }
  ~Gateway() { this->End(SIGKILL); }

  void Start() {
    this->pid = fork();
    if (this->pid == 0) {
      // Ends with the program that started it.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string log = this->folder + "/" + this->name + ".log";
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("CARAWAYVALVE_CONFIG", this->SettingsPath().c_str(), 1);
      execl("target/entry/carawayvalve", "carawayvalve", "gateway", nullptr);
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (this->pid > 0) {
      kill(this->pid, number);
    }
  }
  // Returns whether it has ended by now.
  bool HasEnded() {
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = 0;
    }
    return this->pid == 0;
  }
  void End(int number) {
    if (this->pid > 0) {
      kill(this->pid, SIGCONT);
      kill(this->pid, number);
      waitpid(this->pid, nullptr, 0);
      this->pid = 0;
    }
  }
  // Waits until it says that it is ready.
  bool AwaitReady(double most_seconds) const {
    const double until = Seconds() + most_seconds;
    while (Seconds() < until) {
      if (const auto connection = Connect(this->ready)) {
        Message answer;
        if (connection->Send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
            connection->ReadHead(answer) && answer.second == "200") {
          return true;
        }
      }
      Sleep(0.1);
    }
    return false;
  }
  uint16_t port() const { return this->callers; }

 private:
  std::string SettingsPath() const {
    return this->folder + "/" + this->name + ".json";
  }

  std::string folder;
  std::string name;
  uint16_t callers;
  uint16_t ready;
  uint16_t metrics;
  uint16_t peers;
  pid_t pid = 0;
};

// The platform's API takes every report.
inline void ServeCloud(const std::shared_ptr<Connection>& connection) {
  Message request;
  while (connection->ReadRequest(request) &&
         connection->Send(Answer(200, "", "{}"))) {
    request = {};
  }
}

inline std::string WorkerEntry(const std::string& service,
                               const std::string& address,
                               int slots,
                               const std::string& version = "v1",
                               int64_t born = 1,
                               const std::string& zone = "scot-central-a") {
  return "{\"service\":" + Quote(service) + ",\"addr\":" + Quote(address) +
         ",\"zone\":" + Quote(zone) + ",\"version\":" + Quote(version) +
         ",\"slots\":" + std::to_string(slots) +
         ",\"state\":\"up\",\"coldLeftMs\":0,\"seq\":1,\"born\":" +
         std::to_string(born) + "}";
}

inline bool Trouble() {
  const char* set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

}  // namespace review
