#ifndef CARAWAYVALVE_TESTS_PLATFORM_STORE_H_
#define CARAWAYVALVE_TESTS_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/net/http_server.h"

namespace carawayvalve::tests {

// Returns the body of the store's answer to a list of objects with these names.
std::string ListOf(const std::vector<std::string>& names, int64_t revision);
// Returns the body of its answer to a watch that brings no change.
std::string NoChanges(int64_t revision);

// Stands in for the platform's store. Implements its published protocol:
// objects with revisions, conditional writes, paged lists and watches.
class Store {
 public:
  explicit Store(net::EventLoop& loop);

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

  // Writes an object unconditionally, as the operator or a backend server does.
  // A name may be any bytes without quotes and backslashes; one that isn't
  // UTF-8 is sent as it is.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  // The same with a value that may be malformed.
  void PutText(const std::string& kind,
               const std::string& name,
               const std::string& spec_text);
  void Remove(const std::string& kind, const std::string& name);
  // Drops the history. Watches from an earlier revision get 410.
  void Compact();
  // Cuts off the pending watches of a kind, or of all kinds if it is empty.
  void CutWatches(const std::string& kind);

  // Returns what a backup holds now.
  struct Copy;
  std::shared_ptr<const Copy> Backup() const;
  // Comes back from that copy: what was written since is gone, revisions are
  // given out again, and the era rises. Pending watches break off.
  void ReturnTo(const Copy& copy);
  // Writes again what the operator and the backend servers have written since.
  void WriteAgain();

  // The number of objects on a page of a list.
  size_t page_size = 50;
  // Answers every call with 503.
  bool refuses = false;
  // Closes connections without an answer.
  bool down = false;
  // Holds all answers back for good, as if the caller were cut off.
  bool silent = false;
  // Number of upcoming writes to apply without answering.
  int lost_writes = 0;
  // Answers requests for further pages of a list with 429.
  bool refuses_further_pages = false;
  // Called before each page of a list, with the name that it begins after.
  std::function<void(const std::string& after)> on_page =
      [](const std::string&) {};
  // Answers every call with this status and no object.
  std::optional<int> status;
  // The era that answers state instead of the true one.
  std::optional<std::string> stated_era;
  // May alter each answer.
  std::function<void(std::string& text)> on_answer = [](std::string&) {};
  // The names after which the pages of lists began, by kind.
  std::map<std::string, std::vector<std::string>> pages;
  // Number of watch requests received, by kind.
  std::map<std::string, int> watches;

 private:
  using Key = std::pair<std::string, std::string>;
  struct Change {
    int64_t revision = 0;
    std::string kind;
    nlohmann::json event;
  };
  struct Watcher {
    std::string kind;
    int64_t since = 0;
    std::shared_ptr<net::Exchange> exchange;
    std::unique_ptr<net::Timer> timer;
  };
  using Answer = std::pair<int, nlohmann::json>;

  // Returns the name, or what stands for one that isn't UTF-8.
  std::string PrintableName(const std::string& name);
  // Puts the malformed values in the places of their stand-ins.
  std::string WithTexts(const std::string& printed) const;
  void Respond(net::Exchange& exchange, int status, const nlohmann::json& body);
  void OnCall(const std::shared_ptr<net::Exchange>& exchange);
  Answer OnRead(const std::string& kind, const std::string& name) const;
  Answer OnList(const std::string& kind, const std::string& after);
  Answer OnWrite(const net::Request& request,
                 const std::string& kind,
                 std::string name);
  nlohmann::json List(const std::string& kind, const std::string& after) const;
  void Watch(const std::string& kind,
             int64_t since,
             int64_t wait_ms,
             const std::shared_ptr<net::Exchange>& exchange);
  nlohmann::json ChangesSince(const std::string& kind, int64_t since) const;
  nlohmann::json& Write(const Key& key, const nlohmann::json& spec);
  void Record(const Key& key, const nlohmann::json& object, bool removed);

  net::EventLoop& loop;
  net::HttpServer server;
  std::map<Key, nlohmann::json> objects;
  std::vector<Change> history;
  int64_t revision = 1;
  int64_t compacted = 0;
  int64_t era = 1;
  std::list<Watcher> watchers;
  // What the operator and the backend servers wrote last; nothing for what they
  // removed.
  std::map<Key, std::optional<nlohmann::json>> written_by_others;
  // Values that may be malformed, by the strings that stand for them.
  std::map<std::string, std::string> texts;
  // Calls that are never answered.
  std::vector<std::shared_ptr<net::Exchange>> held;
};

struct Store::Copy {
  std::map<Key, nlohmann::json> objects;
  std::vector<Change> history;
  int64_t revision = 1;
  int64_t compacted = 0;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_STORE_H_
