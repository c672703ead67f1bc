#include "rosemaryhook/dispatch_message.h"

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

enum class FrameType { kHead, kChunk, kEnd, kFailure };

constexpr NameTable<FrameType, 4> kFrameNames{{
    {FrameType::kHead, "head"},
    {FrameType::kChunk, "chunk"},
    {FrameType::kEnd, "end"},
    {FrameType::kFailure, "failure"},
}};

Json BytesToJson(const std::string& bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string BytesFromJson(const Json& json) {
  const auto& bytes = json.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

Json Encode(const AnswerHead& head) {
  return {{"status", head.status}, {"headers", head.headers}};
}

Json Encode(const AnswerChunk& chunk) {
  return {{"data", BytesToJson(chunk.data)}};
}

Json Encode(const AnswerEnd& end) {
  return {{"tokens", end.tokens}};
}

Json Encode(const DispatchFailure& failure) {
  return {{"step", static_cast<int>(failure.error.step)},
          {"peer", failure.error.peer},
          {"message", failure.error.message},
          {"code", failure.code},
          {"run", RunStateName(failure.run)},
          {"crashed", failure.crashed},
          {"head_sent", failure.head_sent}};
}

DispatchFailure DecodeFailure(const Json& json) {
  DispatchFailure failure;
  failure.error.step = static_cast<Step>(json.at("step").get<int>());
  failure.error.peer = json.at("peer").get<std::string>();
  failure.error.message = json.at("message").get<std::string>();
  failure.code = json.at("code").get<std::string>();
  failure.run = RunStateFromName(json.at("run").get<std::string>());
  failure.crashed = json.at("crashed").get<bool>();
  failure.head_sent = json.at("head_sent").get<bool>();
  return failure;
}

DispatchFrame Decode(FrameType type, const Json& json) {
  switch (type) {
    case FrameType::kHead:
      return AnswerHead{json.at("status").get<int>(),
                        json.at("headers").get<Headers>()};
    case FrameType::kChunk:
      return AnswerChunk{BytesFromJson(json.at("data"))};
    case FrameType::kEnd:
      return AnswerEnd{json.at("tokens").get<int64_t>()};
    case FrameType::kFailure:
      return DecodeFailure(json);
  }
  return DispatchFailure{};
}

}  // namespace

Json ToJson(const DispatchRequest& request, Time now) {
  return {{"backend", request.backend},
          {"customer", request.customer},
          {"weight", request.weight},
          {"cost", request.cost},
          {"adapter", request.adapter},
          {"method", request.method},
          {"target", request.target},
          {"headers", request.headers},
          {"body", BytesToJson(request.body)},
          {"fingerprint", request.fingerprint},
          {"repeatable", request.repeatable},
          {"alone", request.alone},
          {"left_us", (request.deadline - now).count()}};
}

Result<DispatchRequest> DispatchRequestFromJson(const Json& json, Time now) {
  try {
    DispatchRequest request;
    json.at("backend").get_to(request.backend);
    json.at("customer").get_to(request.customer);
    json.at("weight").get_to(request.weight);
    json.at("cost").get_to(request.cost);
    json.at("adapter").get_to(request.adapter);
    json.at("method").get_to(request.method);
    json.at("target").get_to(request.target);
    json.at("headers").get_to(request.headers);
    request.body = BytesFromJson(json.at("body"));
    json.at("fingerprint").get_to(request.fingerprint);
    json.at("repeatable").get_to(request.repeatable);
    json.at("alone").get_to(request.alone);
    request.deadline = now + Duration(json.at("left_us").get<int64_t>());
    return request;
  } catch (const Json::exception& e) {
    return Error{Step::kPeer, "", e.what()};
  }
}

Json ToJson(const DispatchFrame& frame) {
  Json json = std::visit([](const auto& part) { return Encode(part); }, frame);
  json["type"] = kFrameNames[frame.index()].second;
  return json;
}

Result<DispatchFrame> DispatchFrameFromJson(const Json& json) {
  try {
    const auto type = ValueOf(kFrameNames, json.at("type").get<std::string>());
    if (!type) {
      return Error{Step::kPeer, "", "unknown dispatch frame type"};
    }
    return Decode(*type, json);
  } catch (const Json::exception& e) {
    return Error{Step::kPeer, "", e.what()};
  }
}

}  // namespace rosemaryhook
