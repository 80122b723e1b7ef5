#include <condition_variable>
#include <memory>
#include <mutex>

#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

constexpr size_t kMaxValueBytes = 1'000'000;

struct Object {
  int64_t version = 0;
  std::string value;
  bool deleted = false;

  int64_t present_version() const { return this->deleted ? 0 : this->version; }
};

struct Kind {
  std::map<std::string, Object> objects;
  // Version of the last write to an object of this kind.
  int64_t changed_at = 0;
  std::condition_variable_any changed;
};

json Describe(const std::string& name, const Object& object) {
  json described = {{"name", name}, {"version", object.version}};
  if (object.deleted) {
    described["deleted"] = true;
  } else {
    described["value"] = object.value;
  }
  return described;
}

class ObjectApi {
 public:
  explicit ObjectApi(std::stop_token stop) : stop(std::move(stop)) {}

  Reply Handle(const Request& request) {
    std::unique_lock lock(this->mutex);
    if (request.Is("GET", "watch", 2)) {
      return this->Watch(request, lock);
    }
    if (request.Is("GET", "objects", 2)) {
      return this->Collect(this->kinds[request.path[1]], 0, false);
    }
    if (request.Is("GET", "objects", 3)) {
      return this->Get(request);
    }
    if (request.Is("PUT", "objects", 3)) {
      return this->Put(request);
    }
    if (request.Is("DELETE", "objects", 3)) {
      return this->Delete(request);
    }
    return NotFound();
  }

 private:
  // Returns the object; an absent one as deleted at version 0.
  Object Find(const Request& request) {
    const Kind& kind = this->kinds[request.path[1]];
    const auto found = kind.objects.find(request.path[2]);
    return found == kind.objects.end() ? Object{.value = {}, .deleted = true}
                                       : found->second;
  }

  int64_t Write(const Request& request,
                const std::string& value,
                bool deleted) {
    Kind& kind = this->kinds[request.path[1]];
    this->revision += 1;
    kind.objects[request.path[2]] = {this->revision, value, deleted};
    kind.changed_at = this->revision;
    kind.changed.notify_all();
    return this->revision;
  }

  Reply Get(const Request& request) {
    const Object object = this->Find(request);
    if (object.deleted) {
      return JsonReply(404, {{"error", "no such object"}});
    }
    return JsonReply(200,
                     {{"version", object.version}, {"value", object.value}});
  }

  Reply Put(const Request& request) {
    const json body = request.Json();
    const auto value = body.at("value").get<std::string>();
    if (value.size() > kMaxValueBytes) {
      return JsonReply(413, {{"error", "the value is too large"}});
    }
    const int64_t current = this->Find(request).present_version();
    if (body.at("if_version").get<int64_t>() != current) {
      return JsonReply(409, {{"version", current}});
    }
    return JsonReply(200, {{"version", this->Write(request, value, false)}});
  }

  Reply Delete(const Request& request) {
    const int64_t current = this->Find(request).present_version();
    if (request.Json().at("if_version").get<int64_t>() != current) {
      return JsonReply(409, {{"version", current}});
    }
    if (current != 0) {
      this->Write(request, "", true);
    }
    return JsonReply(200, {{"version", 0}});
  }

  Reply Watch(const Request& request, std::unique_lock<std::mutex>& lock) {
    const int64_t from = request.QueryNumber("from", 0);
    const std::chrono::milliseconds wait(request.QueryNumber("wait_ms", 0));
    Kind& kind = this->kinds[request.path[1]];
    kind.changed.wait_for(lock, this->stop, wait,
                          [&] { return kind.changed_at > from; });
    return this->Collect(kind, from, true);
  }

  Reply Collect(const Kind& kind, int64_t after, bool with_deleted) const {
    json objects = json::array();
    for (const auto& [name, object] : kind.objects) {
      if (object.version > after && (with_deleted || !object.deleted)) {
        objects.push_back(Describe(name, object));
      }
    }
    return JsonReply(200, {{"revision", this->revision}, {"objects", objects}});
  }

  const std::stop_token stop;
  std::mutex mutex;
  int64_t revision = 0;
  std::map<std::string, Kind> kinds;
};

}  // namespace

Handler MakeObjectApi(const Options&, const std::stop_token& stop) {
  const auto object_api = std::make_shared<ObjectApi>(stop);
  return [object_api](const Request& request) {
    return object_api->Handle(request);
  };
}

}  // namespace carawayvalve::fakes
