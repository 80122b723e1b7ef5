#include "carawayvalve/core/answer_stream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::core {

namespace {

// Returns a record of any kind from arbitrary bytes.
AnswerRecord MakeRecord(uint8_t kind,
                        const std::string& bytes,
                        int32_t number) {
  switch (kind % 3) {
    case 0:
      return AnswerHead{number, {{"name", bytes}, {bytes, "value"}}};
    case 1:
      return AnswerChunk{bytes};
    default:
      return AnswerEnd{bytes, number, -number, 1};
  }
}

// Feeds the bytes in chunks whose sizes are `lengths` modulo 8, then the rest.
std::vector<AnswerRecord> FeedInChunks(const std::string& bytes,
                                       const std::vector<uint8_t>& lengths) {
  AnswerStreamReader reader;
  std::vector<AnswerRecord> records;
  const auto feed = [&](const std::string& chunk) {
    const auto decoded = reader.Feed(chunk);
    records.insert(records.end(), decoded.begin(), decoded.end());
  };
  size_t at = 0;
  for (const uint8_t length : lengths) {
    feed(bytes.substr(at, length % 8));
    at = std::min(bytes.size(), at + length % 8);
  }
  feed(bytes.substr(at));
  return records;
}

}  // namespace

TEST_CASE("AnswerStreamReader") {
  CHECK(rc::check(
      "decoding doesn't depend on how the bytes are split into chunks",
      [](const std::vector<std::tuple<uint8_t, std::string, int32_t>>& shapes,
         const std::vector<uint8_t>& lengths) {
        std::string bytes;
        std::vector<AnswerRecord> records;
        records.reserve(shapes.size());
        for (const auto& [kind, text, number] : shapes) {
          records.push_back(MakeRecord(kind, text, number));
          bytes += EncodeRecord(records.back());
        }
        RC_ASSERT(FeedInChunks(bytes, lengths) == records);
      }));
  CHECK(rc::check(
      "a truncated answer yields only its complete records",
      [](const std::string& text, uint8_t cut) {
        const std::string bytes = EncodeRecord(AnswerChunk{text}) +
                                  EncodeRecord(AnswerEnd{"stop", 1, 2, 3});
        const size_t length = cut % bytes.size();
        const auto records = FeedInChunks(bytes.substr(0, length), {});
        RC_ASSERT(records.size() ==
                  (length >= EncodeRecord(AnswerChunk{text}).size() ? 1U : 0U));
      }));
  CHECK(rc::check("invalid input throws base::Error and no other exception",
                  [](uint8_t kind, const std::string& payload, bool framed) {
                    std::string bytes = payload;
                    if (framed) {
                      bytes = EncodeRecord(AnswerChunk{payload});
                      bytes[0] = "HPE?"[kind % 4];
                    }
                    try {
                      AnswerStreamReader().Feed(bytes);
                    } catch (const base::Error&) {
                      RC_SUCCEED("refused");
                    }
                  }));
  SUBCASE("deeply nested invalid input doesn't exhaust the stack") {
    constexpr size_t kDepth = 1 << 20;
    for (const char kind : {'H', 'E'}) {
      std::string bytes = EncodeRecord(
          AnswerChunk{std::string(kDepth, kind == 'H' ? '\x81' : '[')});
      bytes[0] = kind;
      CHECK_THROWS_AS(AnswerStreamReader().Feed(bytes), base::Error);
    }
  }
  SUBCASE("text with a code point above 0xff is refused") {
    std::string bytes = EncodeRecord(AnswerChunk{"[\"\u0100\",1,2,3]"});
    bytes[0] = 'E';
    CHECK_THROWS_AS(AnswerStreamReader().Feed(bytes), base::Error);
  }
  SUBCASE("a record that exceeds the maximum length is refused") {
    CHECK_THROWS_AS(AnswerStreamReader().Feed("P\xff\xff\xff\xff"),
                    base::Error);
  }
  SUBCASE("a record of 5 MB, which no agent sends, isn't waited for") {
    CHECK_THROWS_AS(AnswerStreamReader().Feed({"P\0\0\x50\0", 5}), base::Error);
  }
  SUBCASE("a line of an engine and a head of the maximum length are read") {
    const std::string line(1024 * 1024, '\x01');
    CHECK(AnswerStreamReader().Feed(EncodeRecord(AnswerChunk{line})).size() ==
          1);
    CHECK(AnswerStreamReader()
              .Feed(EncodeRecord(
                  AnswerHead{200, {{"name", line.substr(0, 65536)}}}))
              .size() == 1);
  }
  SUBCASE("an end of many small values isn't parsed") {
    std::string values = "[\"\",1,2,3";
    for (size_t i = 0; i < base::kMaxForeignValues; ++i) {
      values += ",0";
    }
    std::string bytes = EncodeRecord(AnswerChunk{values + "]"});
    bytes[0] = 'E';
    CHECK_THROWS_AS(AnswerStreamReader().Feed(bytes), base::Error);
  }
}

}  // namespace carawayvalve::core
