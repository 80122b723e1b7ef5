#include "store.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

// A page that has reached this size ends.
constexpr size_t kPageBytes = size_t{1024} * 1024;
constexpr char kPrefix[] = "/api/objects/";
// How the stand-ins of malformed values begin, as they are printed.
constexpr char kTextMark[] = "\"text ";

// Decodes a part of a target: %41 is A and, in the query, + a blank. A percent
// sign without two digits stands for itself.
std::string Decode(std::string_view text, bool is_query) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned char byte = 0;
    const bool is_escape =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 3], byte, 16).ptr ==
            &text[i + 3];
    if (is_escape) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += is_query && text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t next = target.find('&', at + 1);
    const std::string item = target.substr(at + 1, next - at - 1);
    if (item.starts_with(name + "=")) {
      return Decode(std::string_view(item).substr(name.size() + 1), true);
    }
    at = next;
  }
  return "";
}

}  // namespace

std::string ListOf(const std::vector<std::string>& names, int64_t revision) {
  nlohmann::json items = nlohmann::json::array();
  for (const std::string& name : names) {
    items.push_back({{"meta", {{"name", name}, {"rev", revision}}},
                     {"spec", nlohmann::json::object()}});
  }
  return nlohmann::json{
      {"items", items}, {"hasMore", false}, {"currentRev", revision}}
      .dump();
}

std::string NoChanges(int64_t revision) {
  return nlohmann::json{{"events", nlohmann::json::array()},
                        {"currentRev", revision}}
      .dump();
}

Store::Store(net::EventLoop& loop)
    : loop(loop), server(loop, {"127.0.0.1", 0}, [this](const auto& exchange) {
        this->OnCall(exchange);
      }) {}

std::shared_ptr<const Store::Copy> Store::Backup() const {
  return std::make_shared<const Copy>(
      Copy{this->objects, this->history, this->revision, this->compacted});
}

void Store::ReturnTo(const Copy& copy) {
  this->CutWatches("");
  this->objects = copy.objects;
  this->history = copy.history;
  this->revision = copy.revision;
  this->compacted = copy.compacted;
  ++this->era;
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const json& spec) {
  this->written_by_others[{kind, name}] = spec;
  this->Write({kind, name}, spec);
}

void Store::WriteAgain() {
  const auto written = this->written_by_others;
  for (const auto& [key, spec] : written) {
    if (spec.has_value()) {
      this->Put(key.first, key.second, *spec);
    } else {
      this->Remove(key.first, key.second);
    }
  }
}

void Store::PutText(const std::string& kind,
                    const std::string& name,
                    const std::string& spec_text) {
  const std::string stand_in =
      "text " + std::to_string(this->texts.size()) + " of " + name;
  this->texts[json(stand_in).dump()] = spec_text;
  this->Put(kind, name, stand_in);
}

std::string Store::PrintableName(const std::string& name) {
  if (base::SurvivesJson(name)) {
    return name;
  }
  std::string stand_in =
      "text " + std::to_string(this->texts.size()) + " of a name";
  this->texts[json(stand_in).dump()] = '"' + name + '"';
  return stand_in;
}

std::string Store::WithTexts(const std::string& printed) const {
  if (this->texts.empty()) {
    return printed;
  }
  std::string text;
  size_t at = 0;
  for (size_t next = printed.find(kTextMark); next != std::string::npos;
       next = printed.find(kTextMark, at)) {
    const size_t end = printed.find('"', next + 1) + 1;
    const auto found = this->texts.find(printed.substr(next, end - next));
    text.append(printed, at, next - at);
    text += found == this->texts.end() ? printed.substr(next, end - next)
                                       : found->second;
    at = end;
  }
  return text.append(printed, at);
}

void Store::Respond(net::Exchange& exchange, int status, const json& body) {
  std::string text = this->WithTexts(body.dump());
  this->on_answer(text);
  exchange.Respond(
      {{status,
        {{"Content-Type", "application/json"},
         {"Store-Era", this->stated_era.value_or(std::to_string(this->era))}}},
       text});
}

void Store::Remove(const std::string& kind, const std::string& name) {
  this->written_by_others[{kind, name}] = std::nullopt;
  const auto found = this->objects.find({kind, name});
  if (found == this->objects.end()) {
    return;
  }
  json object = std::move(found->second);
  this->objects.erase(found);
  object["meta"]["rev"] = ++this->revision;
  this->Record({kind, name}, object, true);
}

void Store::Compact() {
  this->history.clear();
  this->compacted = this->revision;
}

void Store::CutWatches(const std::string& kind) {
  for (auto it = this->watchers.begin(); it != this->watchers.end();) {
    if (kind.empty() || it->kind == kind) {
      it->timer.reset();
      it->exchange->Abort();
      it = this->watchers.erase(it);
    } else {
      ++it;
    }
  }
}

json& Store::Write(const Key& key, const json& spec) {
  json& object = this->objects[key];
  if (!object.is_null() && object["spec"] == spec) {
    return object;
  }
  ++this->revision;
  if (object.is_null()) {
    object = {{"meta",
               {{"name", this->PrintableName(key.second)},
                {"createRevision", this->revision}}}};
  }
  object["meta"]["rev"] = this->revision;
  object["spec"] = spec;
  this->Record(key, object, false);
  return object;
}

void Store::Record(const Key& key, const json& object, bool removed) {
  this->history.push_back({this->revision,
                           key.first,
                           {{"object", object}, {"tombstone", removed}}});
  if (this->silent) {
    return;
  }
  // Answering may add new watchers, so those to notify are moved out first.
  std::list<Watcher> to_notify;
  for (auto it = this->watchers.begin(); it != this->watchers.end();) {
    const auto next = std::next(it);
    if (it->kind == key.first) {
      to_notify.splice(to_notify.end(), this->watchers, it);
    }
    it = next;
  }
  for (Watcher& watcher : to_notify) {
    watcher.timer.reset();
    this->Respond(*watcher.exchange, 200,
                  this->ChangesSince(watcher.kind, watcher.since));
  }
}

json Store::ChangesSince(const std::string& kind, int64_t since) const {
  json events = json::array();
  for (const Change& change : this->history) {
    if (change.kind == kind && change.revision > since) {
      events.push_back(change.event);
    }
  }
  return {{"events", events}, {"currentRev", this->revision}};
}

void Store::OnCall(const std::shared_ptr<net::Exchange>& exchange) {
  const net::Request& request = exchange->request();
  if (this->silent) {
    this->held.push_back(exchange);
    return;
  }
  if (this->down) {
    exchange->Abort();
    return;
  }
  if (this->status.has_value()) {
    this->Respond(*exchange, *this->status, json::object());
    return;
  }
  if (request.target.find('#') != std::string::npos) {
    this->Respond(*exchange, 400, json::object());
    return;
  }
  if (this->refuses || !request.target.starts_with(kPrefix)) {
    this->Respond(*exchange, this->refuses ? 503 : 404, json::object());
    return;
  }
  std::string path = request.target.substr(sizeof(kPrefix) - 1);
  path = path.substr(0, path.find('?'));
  const size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : Decode(path.substr(slash + 1), false);
  if (request.method != "GET") {
    const Answer answer = this->OnWrite(request, kind, name);
    if (this->lost_writes > 0) {
      --this->lost_writes;
      exchange->Abort();
      return;
    }
    this->Respond(*exchange, answer.first, answer.second);
    return;
  }
  const std::string watch = QueryValue(request.target, "watch");
  if (!watch.empty()) {
    this->Watch(kind, std::stoll(watch),
                std::stoll(QueryValue(request.target, "waitMs")), exchange);
    return;
  }
  const Answer answer =
      name.empty() ? this->OnList(kind, QueryValue(request.target, "after"))
                   : this->OnRead(kind, name);
  this->Respond(*exchange, answer.first, answer.second);
}

Store::Answer Store::OnList(const std::string& kind, const std::string& after) {
  this->on_page(after);
  this->pages[kind].push_back(after);
  if (!after.empty() && this->refuses_further_pages) {
    return {429, json::object()};
  }
  return {200, this->List(kind, after)};
}

Store::Answer Store::OnRead(const std::string& kind,
                            const std::string& name) const {
  const auto found = this->objects.find({kind, name});
  return found == this->objects.end() ? Answer(404, json::object())
                                      : Answer(200, found->second);
}

json Store::List(const std::string& kind, const std::string& after) const {
  json items = json::array();
  bool more = false;
  size_t bytes = 0;
  for (const auto& [key, object] : this->objects) {
    if (key.first != kind || key.second <= after) {
      continue;
    }
    more = items.size() == this->page_size || bytes >= kPageBytes;
    if (more) {
      break;
    }
    items.push_back(object);
    bytes += this->WithTexts(object.dump()).size();
  }
  return {{"items", items}, {"hasMore", more}, {"currentRev", this->revision}};
}

Store::Answer Store::OnWrite(const net::Request& request,
                             const std::string& kind,
                             std::string name) {
  const json body = json::parse(request.body, nullptr, false);
  const bool creates = request.method == "POST";
  if (creates) {
    name = body["meta"]["name"].get<std::string>();
  }
  const auto found = this->objects.find({kind, name});
  if (creates && found != this->objects.end()) {
    return {409, found->second};
  }
  if (!creates && found == this->objects.end()) {
    return {404, json::object()};
  }
  const bool conditional = !creates && body["meta"].contains("rev");
  if (conditional && body["meta"]["rev"] != found->second["meta"]["rev"]) {
    return {409, found->second};
  }
  return {creates ? 201 : 200, this->Write({kind, name}, body["spec"])};
}

void Store::Watch(const std::string& kind,
                  int64_t since,
                  int64_t wait_ms,
                  const std::shared_ptr<net::Exchange>& exchange) {
  ++this->watches[kind];
  if (since < this->compacted || since > this->revision) {
    this->Respond(*exchange, 410, json::object());
    return;
  }
  json changes = this->ChangesSince(kind, since);
  if (!changes["events"].empty()) {
    this->Respond(*exchange, 200, changes);
    return;
  }
  this->watchers.push_back(
      {kind, since, exchange, std::make_unique<net::Timer>(this->loop)});
  const auto watcher = std::prev(this->watchers.end());
  watcher->timer->Start(base::Milliseconds(wait_ms), [this, exchange] {
    const auto waiting = std::find_if(
        this->watchers.begin(), this->watchers.end(),
        [&](const Watcher& one) { return one.exchange == exchange; });
    if (this->silent || waiting == this->watchers.end()) {
      return;
    }
    const json none = {{"events", json::array()},
                       {"currentRev", this->revision}};
    // Keeps the watcher alive: it owns the timer that runs this callback.
    const Watcher ended = std::move(*waiting);
    this->watchers.erase(waiting);
    this->Respond(*ended.exchange, 200, none);
  });
}

}  // namespace carawayvalve::tests
