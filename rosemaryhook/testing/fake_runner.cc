// Stand-in for a model engine with LoRA adapters.
//
//   fake_runner --listen 127.0.0.1:9001 --model base --adapter-slots 4
//
// The first token of a response contains the adapter that ran and the prompt,
// so that tests detect a wrong adapter or a response to another request.
// GET /v1/cache_events/SINCE returns the prefix cache's events after number
// SINCE, with a delay of kEventDelay. A prompt that contains CRASH ends the
// process. With --bears N, while fewer than N requests are completed, the
// process exits when more than N plus the number completed run at once.
//
// Faults, set with POST /fault: "freeze" suspends all requests; "fail_loads" N
// fails the next N loads; "load_ms" is extra time for each load; "late_ms"
// delays each response; "wrong_adapter" responds as another adapter;
// "cut_after" N truncates a response after N tokens; "silent" N never responds
// to the next N requests, while others get responses; "drop_events" N omits the
// next N cache events, which leaves gaps in their numbers.
#include <CLI/CLI.hpp>
#include <set>

#include "rosemaryhook/table.h"
#include "rosemaryhook/testing/fake_server.h"

namespace rosemaryhook::testing {
namespace {

constexpr Duration kEventDelay = std::chrono::milliseconds(500);
constexpr size_t kMaxEvents = 1000;
constexpr std::string_view kEventsPath = "/v1/cache_events/";

// The prefix of a prompt was added to the cache.
struct CacheEvent {
  int64_t number = 0;
  std::string adapter;
  std::string prefix;
  Time at;
};

struct Runner : FakeServer {
  std::string model;
  std::string platform;  // address of the weight store; if empty, loads skip it
  std::string incarnation = RandomId();
  int adapter_slots = 4;
  // Concurrent requests that it sustains while cold; 0: no limit.
  int cold_capacity = 0;
  bool checks_fencing = false;
  int64_t token_us = 2000;
  Revision fence = 0;
  std::map<std::string, int> adapters;  // resident -> requests running
  int running = 0;
  int most_running = 0;
  int64_t completed = 0;
  int64_t loads = 0;
  int64_t evicted_in_use = 0;
  int64_t newest_event = 0;
  std::deque<CacheEvent> events;
  HttpPool pool;
};

bool IsStale(Runner* runner, Revision fence) {
  if (!runner->checks_fencing) {
    return false;
  }
  if (fence < runner->fence) {
    return true;
  }
  runner->fence = fence;
  return false;
}

awaitable<void> FetchWeights(Runner* runner, std::string adapter) {
  if (const int64_t extra_ms = runner->faults.Number("load_ms")) {
    co_await Sleep(std::chrono::milliseconds(extra_ms));
  }
  if (!runner->platform.empty()) {
    HttpCall call;
    call.address = runner->platform;
    call.method = "GET";
    call.target = "/weights/" + adapter;
    call.deadline = Now() + std::chrono::seconds(60);
    call.fresh_connection = true;
    co_await Fetch(&runner->pool, std::move(call));
  }
}

awaitable<void> HandleLoad(Runner* runner, Json body, HttpReply& reply) {
  const std::string adapter = body.value("lora_name", "");
  if (IsStale(runner, body.value("fence", Revision{0}))) {
    co_await SendJson(reply, 409, Fields("error", "stale fence"));
    co_return;
  }
  const bool fails = runner->faults.ConsumeOne("fail_loads");
  ++runner->loads;
  co_await FetchWeights(runner, adapter);
  const bool is_full =
      !runner->adapters.contains(adapter) &&
      static_cast<int>(runner->adapters.size()) >= runner->adapter_slots;
  if (fails || is_full) {
    co_await SendJson(
        reply, 500, Fields("error", is_full ? "no free slot" : "load failed"));
    co_return;
  }
  runner->adapters.try_emplace(adapter, 0);
  co_await SendJson(reply, 200, Fields("ok", true));
}

awaitable<void> HandleUnload(Runner* runner, Json body, HttpReply& reply) {
  if (IsStale(runner, body.value("fence", Revision{0}))) {
    co_await SendJson(reply, 409, Fields("error", "stale fence"));
    co_return;
  }
  const auto found = runner->adapters.find(body.value("lora_name", ""));
  if (found != runner->adapters.end()) {
    runner->evicted_in_use += found->second > 0 ? 1 : 0;
    runner->adapters.erase(found);
  }
  co_await SendJson(reply, 200, Fields("ok", true));
}

awaitable<void> HandleReport(Runner* runner, HttpReply& reply) {
  Json adapters = Json::array();
  for (const auto& [adapter, running] : runner->adapters) {
    adapters.push_back(adapter);
  }
  co_await SendJson(
      reply, 200,
      Fields("incarnation", runner->incarnation, "running", runner->running,
             "most_running", runner->most_running, "completed",
             runner->completed, "loads", runner->loads, "evicted_in_use",
             runner->evicted_in_use, "fence", runner->fence, "adapters",
             adapters));
}

struct Completion {
  bool chat = false;
  bool stream = false;
  std::string adapter;
  std::string prompt;
  int64_t tokens = 0;
};

void RecordCached(Runner* runner, const Completion& completion) {
  ++runner->newest_event;
  if (runner->faults.ConsumeOne("drop_events")) {
    return;
  }
  runner->events.push_back({runner->newest_event, completion.adapter,
                            completion.prompt.substr(0, 64), Now()});
  if (runner->events.size() > kMaxEvents) {
    runner->events.pop_front();
  }
}

Json EventsSince(const Runner& runner, int64_t since) {
  Json events = Json::array();
  for (const CacheEvent& event : runner.events) {
    if (event.number > since && event.at + kEventDelay <= Now()) {
      events.push_back({{"number", event.number},
                        {"adapter", event.adapter},
                        {"prefix", event.prefix}});
    }
  }
  return events;
}

std::string PromptOf(const Json& body) {
  if (body.contains("messages")) {
    return body.at("messages").back().value("content", "");
  }
  return body.value("prompt", "");
}

std::string Token(const std::string& adapter,
                  const std::string& prompt,
                  int64_t index) {
  return index == 0 ? "[" + adapter + "|" + prompt + "]"
                    : " tok" + std::to_string(index);
}

// Returns one choice in the format of the chat or the completions API.
Json Choice(bool chat, bool stream, const std::string& text) {
  if (!chat) {
    return {{"index", 0}, {"text", text}};
  }
  const Json content = {{"role", "assistant"}, {"content", text}};
  return {{"index", 0}, {stream ? "delta" : "message", content}};
}

Json Document(const Completion& completion, const std::string& text) {
  return {{"id", "cmpl"},
          {"model", completion.adapter},
          {"choices", {Choice(completion.chat, completion.stream, text)}}};
}

Json Usage(const Completion& completion) {
  const auto prompt = static_cast<int64_t>(completion.prompt.size() + 3) / 4;
  return {{"prompt_tokens", prompt},
          {"completion_tokens", completion.tokens},
          {"total_tokens", prompt + completion.tokens}};
}

// Sends the tokens as a stream or in one response. Returns false if the
// response was truncated by a fault or could not be sent.
awaitable<bool> Generate(Runner* runner,
                         Completion completion,
                         HttpReply& reply) {
  const int64_t cut_after = runner->faults.Number("cut_after");
  if (completion.stream) {
    Headers headers{{"content-type", "text/event-stream"}};
    co_await reply.Begin(200, std::move(headers));
  }
  std::string text;
  for (int64_t i = 0; i < completion.tokens; ++i) {
    co_await Sleep(std::chrono::microseconds(runner->token_us));
    while (runner->faults.IsOn("freeze")) {
      co_await Sleep(std::chrono::milliseconds(20));
    }
    if (cut_after > 0 && i >= cut_after) {
      reply.Abort();
      co_return false;
    }
    const std::string token = Token(completion.adapter, completion.prompt, i);
    text += token;
    if (completion.stream &&
        !co_await reply.Chunk("data: " + Document(completion, token).dump() +
                              "\n\n")) {
      co_return false;
    }
  }
  if (completion.stream) {
    Json last = Document(completion, "");
    last["usage"] = Usage(completion);
    co_await reply.Chunk("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
    co_return co_await reply.End();
  }
  Json document = Document(completion, text);
  document["usage"] = Usage(completion);
  co_return co_await SendJson(reply, 200, std::move(document));
}

awaitable<void> HandleCompletion(Runner* runner,
                                 bool chat,
                                 Json body,
                                 HttpReply& reply) {
  Completion completion{chat, body.value("stream", false),
                        body.value("model", ""), PromptOf(body),
                        body.value("max_tokens", int64_t{16})};
  const std::string adapter = completion.adapter;
  if (!runner->adapters.contains(adapter)) {
    co_await SendJson(reply, 404, Fields("error", "adapter is not loaded"));
    co_return;
  }
  if (completion.prompt.find("CRASH") != std::string::npos) {
    std::_Exit(3);
  }
  ++runner->running;
  ++runner->adapters[adapter];
  runner->most_running = std::max(runner->most_running, runner->running);
  if (runner->cold_capacity > 0 && runner->completed < runner->cold_capacity &&
      runner->running > runner->completed + runner->cold_capacity) {
    fmt::print(stderr, "event=overload_exit running={}\n", runner->running);
    std::_Exit(4);
  }
  if (runner->faults.ConsumeOne("silent")) {
    co_await Sleep(std::chrono::hours(1));
  }
  if (const int64_t delay_ms = runner->faults.Number("late_ms")) {
    co_await Sleep(std::chrono::milliseconds(delay_ms));
  }
  if (runner->faults.IsOn("wrong_adapter")) {
    completion.adapter = "another@1";
  }
  const bool is_completed = co_await Generate(runner, completion, reply);
  runner->completed += is_completed ? 1 : 0;
  RecordCached(runner, completion);
  --runner->running;
  const auto found = runner->adapters.find(adapter);
  if (found != runner->adapters.end()) {
    --found->second;
  }
}

awaitable<void> Handle(Runner* runner,
                       const HttpRequest& request,
                       HttpReply& reply) {
  if (co_await HandleControlRequest(runner, request, reply)) {
    co_return;
  }
  if (request.target == "/v1/load") {
    co_await HandleReport(runner, reply);
    co_return;
  }
  if (request.target.starts_with(kEventsPath)) {
    const std::string since = request.target.substr(kEventsPath.size());
    co_await SendJson(reply, 200,
                      EventsSince(*runner, std::atoll(since.c_str())));
    co_return;
  }
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    co_await SendJson(reply, 400, Fields("error", "expected a JSON object"));
  } else if (request.target == "/v1/load_lora_adapter") {
    co_await HandleLoad(runner, std::move(body), reply);
  } else if (request.target == "/v1/unload_lora_adapter") {
    co_await HandleUnload(runner, std::move(body), reply);
  } else if (request.target == "/v1/completions") {
    co_await HandleCompletion(runner, false, std::move(body), reply);
  } else if (request.target == "/v1/chat/completions") {
    co_await HandleCompletion(runner, true, std::move(body), reply);
  } else {
    co_await SendJson(reply, 404, Fields("error", "no such path"));
  }
}

}  // namespace
}  // namespace rosemaryhook::testing

int main(int argc, char** argv) {
  using rosemaryhook::testing::Runner;
  CLI::App app("Stand-in for a model engine");
  std::string listen;
  Runner runner;
  app.add_option("--listen", listen, "IP:PORT")->required();
  app.add_option("--model", runner.model)->required();
  app.add_option("--adapter-slots", runner.adapter_slots);
  app.add_option("--bears", runner.cold_capacity,
                 "concurrent requests sustained while cold");
  app.add_option("--platform", runner.platform, "weight store as IP:PORT");
  app.add_option("--token-us", runner.token_us, "time of a token");
  app.add_flag("--checks-fencing", runner.checks_fencing);
  CLI11_PARSE(app, argc, argv);
  return rosemaryhook::testing::RunFakeServer(
      listen, [&](const auto& request, auto& reply) {
        return rosemaryhook::testing::Handle(&runner, request, reply);
      });
}
