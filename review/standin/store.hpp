// A stand-in of the platform's store that can be put back to an earlier copy,
// as in the drill of the users' fourth letter.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/net/http_server.h"

namespace review {

namespace net = carawayvalve::net;
namespace base = carawayvalve::base;
using nlohmann::json;

class DrillStore {
 public:
  struct Change {
    int64_t revision = 0;
    std::string kind;
    json event;
  };
  using Key = std::pair<std::string, std::string>;
  // What a backup holds.
  struct Copy {
    std::map<Key, json> objects;
    std::vector<Change> history;
    int64_t revision = 1;
  };

  explicit DrillStore(net::EventLoop& loop)
      : loop(loop),
        server(loop, {"127.0.0.1", 0},
               [this](const auto& exchange) { this->OnCall(exchange); }) {}

  uint16_t port() const { return this->server.port(); }
  int64_t revision() const { return this->data.revision; }
  int64_t era() const { return this->store_era; }
  const Copy& current() const { return this->data; }

  // Writes of the operator and of workers. They are written again after a
  // drill.
  void Put(const std::string& kind, const std::string& name, const json& spec) {
    this->others[{kind, name}] = spec;
    this->Write({kind, name}, spec);
  }
  void Remove(const std::string& kind, const std::string& name) {
    this->others.erase({kind, name});
    const auto found = this->data.objects.find({kind, name});
    if (found == this->data.objects.end()) {
      return;
    }
    json object = found->second;
    this->data.objects.erase(found);
    object["meta"]["rev"] = ++this->data.revision;
    this->Record({kind, name}, object, true);
  }

  // Puts the store back to the copy. The operator and the workers write again
  // what they had written since.
  void Restore(const Copy& copy) {
    this->watchers.clear();
    this->data = copy;
    ++this->store_era;
    for (const auto& [key, spec] : this->others) {
      this->Write(key, spec);
    }
    std::vector<Key> gone;
    for (const auto& [key, object] : this->data.objects) {
      if ((key.first == "servers" || key.first == "config") &&
          !this->others.contains(key)) {
        gone.push_back(key);
      }
    }
    for (const Key& key : gone) {
      this->Remove(key.first, key.second);
    }
  }

  // Called with each successful conditional write or creation by a gateway.
  std::function<void(const std::string& kind, const json& object)> on_write =
      [](const std::string&, const json&) {};
  // Called with each call and the status of its answer; 0 for a waiting watch.
  std::function<void(const net::Request&, int)> on_call =
      [](const net::Request&, int) {};

 private:
  struct Watcher {
    std::string kind;
    int64_t since = 0;
    std::shared_ptr<net::Exchange> exchange;
    std::unique_ptr<net::Timer> timer;
  };

  static std::string QueryValue(const std::string& target,
                                const std::string& name) {
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t next = target.find('&', at + 1);
      const std::string item = target.substr(at + 1, next - at - 1);
      if (item.starts_with(name + "=")) {
        return item.substr(name.size() + 1);
      }
      at = next;
    }
    return "";
  }

  void Respond(net::Exchange& exchange, int status, const json& body) {
    this->on_call(exchange.request(), status);
    exchange.Respond({{status,
                       {{"Content-Type", "application/json"},
                        {"Store-Era", std::to_string(this->store_era)}}},
                      body.dump()});
  }

  json& Write(const Key& key, const json& spec) {
    json& object = this->data.objects[key];
    if (!object.is_null() && object["spec"] == spec) {
      return object;
    }
    ++this->data.revision;
    if (object.is_null()) {
      object = {{"meta",
                 {{"name", key.second},
                  {"createRevision", this->data.revision},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"status", json::object()}};
    }
    object["meta"]["rev"] = this->data.revision;
    object["spec"] = spec;
    this->Record(key, object, false);
    return object;
  }

  void Record(const Key& key, const json& object, bool removed) {
    this->data.history.push_back(
        {this->data.revision,
         key.first,
         {{"object", object}, {"tombstone", removed}}});
    std::list<Watcher> waiting;
    for (auto it = this->watchers.begin(); it != this->watchers.end();) {
      const auto next = std::next(it);
      if (it->kind == key.first) {
        waiting.splice(waiting.end(), this->watchers, it);
      }
      it = next;
    }
    for (Watcher& watcher : waiting) {
      watcher.timer.reset();
      this->Respond(*watcher.exchange, 200,
                    this->ChangesSince(watcher.kind, watcher.since));
    }
  }

  json ChangesSince(const std::string& kind, int64_t since) const {
    json events = json::array();
    for (const Change& change : this->data.history) {
      if (change.kind == kind && change.revision > since) {
        events.push_back(change.event);
      }
    }
    return {{"events", events}, {"currentRev", this->data.revision}};
  }

  void OnCall(const std::shared_ptr<net::Exchange>& exchange) {
    const net::Request& request = exchange->request();
    const std::string prefix = "/api/objects/";
    if (!request.target.starts_with(prefix)) {
      this->Respond(*exchange, 404, json::object());
      return;
    }
    std::string path = request.target.substr(prefix.size());
    path = path.substr(0, path.find('?'));
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.method != "GET") {
      this->OnWrite(*exchange, kind, name);
      return;
    }
    const std::string watch = QueryValue(request.target, "watch");
    if (!watch.empty()) {
      this->Watch(kind, std::stoll(watch),
                  std::stoll(QueryValue(request.target, "waitMs")), exchange);
      return;
    }
    if (!name.empty()) {
      const auto found = this->data.objects.find({kind, name});
      if (found == this->data.objects.end()) {
        this->Respond(*exchange, 404, json::object());
      } else {
        this->Respond(*exchange, 200, found->second);
      }
      return;
    }
    const std::string after = QueryValue(request.target, "after");
    json items = json::array();
    for (const auto& [key, object] : this->data.objects) {
      if (key.first == kind && key.second > after) {
        items.push_back(object);
      }
    }
    this->Respond(*exchange, 200,
                  {{"items", items},
                   {"hasMore", false},
                   {"currentRev", this->data.revision}});
  }

  void OnWrite(net::Exchange& exchange,
               const std::string& kind,
               std::string name) {
    const net::Request& request = exchange.request();
    const json body = json::parse(request.body, nullptr, false);
    const bool creates = request.method == "POST";
    if (creates) {
      name = body["meta"]["name"].get<std::string>();
    }
    const auto found = this->data.objects.find({kind, name});
    const bool exists = found != this->data.objects.end();
    if (creates && exists) {
      this->Respond(exchange, 409, found->second);
      return;
    }
    if (!creates && !exists) {
      this->Respond(exchange, 404, json::object());
      return;
    }
    if (!creates && body["meta"].contains("rev") &&
        body["meta"]["rev"] != found->second["meta"]["rev"]) {
      this->Respond(exchange, 409, found->second);
      return;
    }
    // A copy, as answering watches may write.
    const json written = this->Write({kind, name}, body["spec"]);
    this->on_write(kind, written);
    this->Respond(exchange, creates ? 201 : 200, written);
  }

  void Watch(const std::string& kind,
             int64_t since,
             int64_t wait_ms,
             const std::shared_ptr<net::Exchange>& exchange) {
    // A revision that the store doesn't have.
    if (since > this->data.revision) {
      this->Respond(*exchange, 410, json::object());
      return;
    }
    const json changes = this->ChangesSince(kind, since);
    if (!changes["events"].empty() || wait_ms <= 0) {
      this->Respond(*exchange, 200, changes);
      return;
    }
    this->on_call(exchange->request(), 0);
    this->watchers.push_back(
        {kind, since, exchange, std::make_unique<net::Timer>(this->loop)});
    this->watchers.back().timer->Start(
        base::Milliseconds(wait_ms), [this, exchange] {
          for (auto it = this->watchers.begin(); it != this->watchers.end();
               ++it) {
            if (it->exchange == exchange) {
              // Kept, as it owns the timer that runs this.
              const Watcher ended = std::move(*it);
              this->watchers.erase(it);
              this->Respond(*ended.exchange, 200,
                            {{"events", json::array()},
                             {"currentRev", this->data.revision}});
              return;
            }
          }
        });
  }

  net::EventLoop& loop;
  net::HttpServer server;
  Copy data;
  int64_t store_era = 1;
  std::map<Key, json> others;
  std::list<Watcher> watchers;
};

}  // namespace review
