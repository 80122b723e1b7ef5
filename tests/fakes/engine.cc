#include <cstdlib>
#include <limits>
#include <memory>

#include "carawayvalve/base/error.h"
#include "engine_model.h"
#include "engine_orders.h"
#include "generated_text.h"
#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

constexpr int kCrashExitCode = 42;

// The body of POST /generate.
struct GenerateBody {
  GenerationRequest request;
  int64_t max_tokens = 0;
  int64_t tokens_so_far = 0;
};

GenerateBody ReadGenerateBody(const Request& request) {
  const json body = request.Json();
  return {.request = {.id = body.value("id", ""),
                      .model = body.at("model"),
                      .prompt = body.at("prompt"),
                      .text_so_far = body.value("text_so_far", ""),
                      .priority = body.value("priority", int64_t{0}),
                      .is_peer_closed = request.is_peer_closed},
          .max_tokens =
              body.value("max_tokens", std::numeric_limits<int64_t>::max()),
          .tokens_so_far = body.value("tokens_so_far", int64_t{0})};
}

// Produces one generation's output lines.
class GenerationRun {
 public:
  GenerationRun(EngineModel& model,
                std::shared_ptr<EngineModel::Job> job,
                const GenerateBody& body,
                bool crashes)
      : model(model),
        job(std::move(job)),
        text(body.request.prompt),
        prompt_tokens(CountTokens(body.request.prompt.size())),
        first(body.tokens_so_far),
        next(this->first),
        max_tokens(body.max_tokens),
        crashes(crashes) {}

  ~GenerationRun() { this->model.Finish(*this->job); }

  GenerationRun(const GenerationRun&) = delete;
  GenerationRun& operator=(const GenerationRun&) = delete;

  // Waits for the next line; returns nothing after the end line.
  std::optional<std::string> NextLine() {
    if (this->ended) {
      return std::nullopt;
    }
    if (!this->prefilled) {
      this->Prefill();
    }
    if (this->next >= std::min(this->max_tokens, this->text.length())) {
      return this->End();
    }
    this->model.PaceToken(*this->job);
    const json line = {{"text", this->text.Token(this->next)}};
    this->next += 1;
    return line.dump() + "\n";
  }

 private:
  void Prefill() {
    this->cached_tokens = this->model.Prefill(*this->job);
    this->prefilled = true;
    if (this->crashes) {
      std::_Exit(kCrashExitCode);
    }
  }

  std::string End() {
    this->ended = true;
    const bool cut = this->max_tokens < this->text.length();
    const json line = {{"end", true},
                       {"finish_reason", cut ? "length" : "stop"},
                       {"prompt_tokens", this->prompt_tokens},
                       {"output_tokens", this->next - this->first},
                       {"cached_tokens", this->cached_tokens}};
    return line.dump() + "\n";
  }

  EngineModel& model;
  const std::shared_ptr<EngineModel::Job> job;
  const GeneratedText text;
  const int64_t prompt_tokens;
  const int64_t first;
  int64_t next;
  const int64_t max_tokens;
  const bool crashes;
  int64_t cached_tokens = 0;
  bool prefilled = false;
  bool ended = false;
};

EngineSettings ReadSettings(const Options& options) {
  const std::string role = options.Text("--role");
  if (role != "mixed" && role != "prefill" && role != "decode") {
    throw base::Error("read options", "--role", "is not a role: " + role);
  }
  return {.models = options.List("--models"),
          .role = role,
          .prefill_tokens_per_second = options.Number("--prefill-tps", 1),
          .decode_tokens_per_second = options.Number("--decode-tps", 1),
          .slots = options.Number("--slots", 1),
          .cache_pieces = options.Number("--cache-pieces"),
          .load_lag = base::Milliseconds(options.Number("--load-lag-ms"))};
}

class Engine {
 public:
  Engine(const Options& options, const std::stop_token& stop)
      : model(ReadSettings(options), stop),
        orders(this->model,
               base::Milliseconds(options.Number("--role-change-ms")),
               options.Number("--checks-fencing") != 0,
               stop),
        crash_on(options.Text("--crash-on")),
        software_version(options.Text("--software-version")) {}

  Reply Handle(const Request& request) {
    if (request.Is("POST", "generate", 1)) {
      return this->Generate(request);
    }
    if (request.Is("POST", "cancel", 1)) {
      this->model.Cancel(request.Json().at("id"));
      return JsonReply(200, json::object());
    }
    if (request.Is("GET", "load", 1)) {
      json load = this->model.Load();
      if (!this->software_version.empty()) {
        load["software_version"] = this->software_version;
      }
      return JsonReply(200, load);
    }
    if (request.Is("GET", "cache-events", 1)) {
      return JsonReply(200,
                       this->model.CacheEvents(request.QueryNumber("from", 0)));
    }
    if (request.Is("POST", "orders", 1)) {
      return this->orders.Execute(request.Json());
    }
    if (request.Is("GET", "orders", 1)) {
      return this->orders.List();
    }
    return this->HandleKv(request);
  }

 private:
  Reply HandleKv(const Request& request) {
    if (!request.Is("POST", "kv", 2)) {
      return NotFound();
    }
    if (request.path[1] == "export") {
      return JsonReply(200, this->model.ExportKv(request.Json().at("prompt")));
    }
    if (request.path[1] == "import") {
      this->model.ImportKv(request.Json().at("kv"));
      return JsonReply(200, json::object());
    }
    return NotFound();
  }

  Reply Generate(const Request& request) {
    const GenerateBody body = ReadGenerateBody(request);
    const bool crashes =
        !this->crash_on.empty() &&
        body.request.prompt.find(this->crash_on) != std::string::npos;
    std::string reason;
    const auto job = this->model.Submit(body.request, reason);
    if (job == nullptr) {
      return JsonReply(503, {{"reason", reason}});
    }
    const auto run =
        std::make_shared<GenerationRun>(this->model, job, body, crashes);
    return {.status = 200,
            .body = {},
            .headers = {{"Content-Type", "application/x-ndjson"}},
            .chunks = [run] { return run->NextLine(); }};
  }

  EngineModel model;
  EngineOrders orders;
  const std::string crash_on;
  const std::string software_version;
};

}  // namespace

Handler MakeEngine(const Options& options, const std::stop_token& stop) {
  const auto engine = std::make_shared<Engine>(options, stop);
  return [engine](const Request& request) { return engine->Handle(request); };
}

}  // namespace carawayvalve::fakes
