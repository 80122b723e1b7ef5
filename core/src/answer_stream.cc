#include "carawayvalve/core/answer_stream.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "byte_text.h"
#include "carawayvalve/base/error.h"
#include "stored_json.h"

namespace carawayvalve::core {

namespace {

using nlohmann::json;

// A record consists of its kind (one byte), the length of its payload (four
// bytes, little-endian) and the payload.
constexpr size_t kPrefixBytes = 5;
// More than a line of an engine or a head needs.
constexpr size_t kMaxPayloadBytes = 4 * 1024 * 1024;

constexpr const char* kStep = "read answer";
constexpr const char* kPeer = "agent";

constexpr char kHeadKind = 'H';
constexpr char kChunkKind = 'P';
constexpr char kEndKind = 'E';

std::string Frame(char kind, const std::string& payload) {
  std::string frame(1, kind);
  for (int shift = 0; shift < 32; shift += 8) {
    frame.push_back(static_cast<char>((payload.size() >> shift) & 0xff));
  }
  return frame + payload;
}

size_t PayloadSize(const std::string& bytes, size_t at) {
  size_t size = 0;
  for (size_t i = 0; i < 4; ++i) {
    size |= static_cast<size_t>(static_cast<unsigned char>(bytes[at + 1 + i]))
            << (8 * i);
  }
  return size;
}

// Heads and ends are encoded as JSON text, whose parser doesn't recurse: deeply
// nested invalid input can't exhaust the stack.
struct Encoder {
  std::string operator()(const AnswerHead& head) const {
    json headers = json::array();
    for (const auto& [name, value] : head.headers) {
      headers.push_back({BytesToText(name), BytesToText(value)});
    }
    const json value = {head.status, headers};
    return Frame(kHeadKind, value.dump());
  }
  std::string operator()(const AnswerChunk& chunk) const {
    return Frame(kChunkKind, chunk.bytes);
  }
  std::string operator()(const AnswerEnd& end) const {
    const json value = {BytesToText(end.finish_reason), end.prompt_tokens,
                        end.output_tokens, end.cached_tokens};
    return Frame(kEndKind, value.dump());
  }
};

std::string BytesFrom(const json& text) {
  return TextToBytes(text.get<std::string>());
}

AnswerHead DecodeHead(const std::string& payload) {
  const json value = ParseStoredJson(kStep, kPeer, payload);
  AnswerHead head;
  value.at(0).get_to(head.status);
  for (const json& header : value.at(1)) {
    head.headers.emplace_back(BytesFrom(header.at(0)), BytesFrom(header.at(1)));
  }
  return head;
}

AnswerEnd DecodeEnd(const std::string& payload) {
  const json value = ParseStoredJson(kStep, kPeer, payload);
  return {BytesFrom(value.at(0)), value.at(1), value.at(2), value.at(3)};
}

AnswerRecord Decode(char kind, const std::string& payload) {
  switch (kind) {
    case kHeadKind:
      return DecodeHead(payload);
    case kChunkKind:
      return AnswerChunk{payload};
    case kEndKind:
      return DecodeEnd(payload);
    default:
      throw base::Error(kStep, kPeer, "unknown kind of record");
  }
}

}  // namespace

std::string EncodeRecord(const AnswerRecord& record) {
  return std::visit(Encoder(), record);
}

std::vector<AnswerRecord> AnswerStreamReader::Feed(const std::string& bytes) {
  this->pending += bytes;
  std::vector<AnswerRecord> records;
  size_t at = 0;
  while (this->pending.size() - at >= kPrefixBytes) {
    const size_t size = PayloadSize(this->pending, at);
    if (size > kMaxPayloadBytes) {
      throw base::Error(kStep, kPeer, "a record is too long");
    }
    if (this->pending.size() - at - kPrefixBytes < size) {
      break;
    }
    try {
      records.push_back(Decode(this->pending[at],
                               this->pending.substr(at + kPrefixBytes, size)));
    } catch (const json::exception& error) {
      throw base::Error(kStep, kPeer, error.what());
    } catch (const std::invalid_argument& error) {
      throw base::Error(kStep, kPeer, error.what());
    }
    at += kPrefixBytes + size;
  }
  this->pending.erase(0, at);
  return records;
}

}  // namespace carawayvalve::core
