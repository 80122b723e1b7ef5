#include "carawayvalve/core/answer_stream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

namespace {

// Any record, whatever bytes it is made of.
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

// Feeds the bytes in pieces; the numbers say how long each is.
std::vector<AnswerRecord> FeedInPieces(const std::string& bytes,
                                       const std::vector<uint8_t>& lengths) {
  AnswerStreamReader reader;
  std::vector<AnswerRecord> records;
  const auto feed = [&](const std::string& piece) {
    const auto more = reader.Feed(piece);
    records.insert(records.end(), more.begin(), more.end());
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
      "any cutting into pieces gives the same records",
      [](const std::vector<std::tuple<uint8_t, std::string, int32_t>>& shapes,
         const std::vector<uint8_t>& lengths) {
        std::string bytes;
        std::vector<AnswerRecord> records;
        records.reserve(shapes.size());
        for (const auto& [kind, text, number] : shapes) {
          records.push_back(MakeRecord(kind, text, number));
          bytes += EncodeRecord(records.back());
        }
        RC_ASSERT(FeedInPieces(bytes, lengths) == records);
      }));
  CHECK(rc::check(
      "a part of an answer gives only the records that are whole",
      [](const std::string& text, uint8_t cut) {
        const std::string bytes = EncodeRecord(AnswerChunk{text}) +
                                  EncodeRecord(AnswerEnd{"stop", 1, 2, 3});
        const size_t length = cut % bytes.size();
        const auto records = FeedInPieces(bytes.substr(0, length), {});
        RC_ASSERT(records.size() ==
                  (length >= EncodeRecord(AnswerChunk{text}).size() ? 1U : 0U));
      }));
  CHECK(rc::check("garbage throws base::Error and nothing else",
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
  SUBCASE("nested garbage doesn't exhaust the stack") {
    constexpr size_t kDepth = 1 << 20;
    for (const char kind : {'H', 'E'}) {
      std::string bytes = EncodeRecord(
          AnswerChunk{std::string(kDepth, kind == 'H' ? '\x81' : '[')});
      bytes[0] = kind;
      CHECK_THROWS_AS(AnswerStreamReader().Feed(bytes), base::Error);
    }
  }
  SUBCASE("text that stands for no bytes is refused") {
    std::string bytes = EncodeRecord(AnswerChunk{"[\"\u0100\",1,2,3]"});
    bytes[0] = 'E';
    CHECK_THROWS_AS(AnswerStreamReader().Feed(bytes), base::Error);
  }
  SUBCASE("a record of any length but a sensible one is refused") {
    CHECK_THROWS_AS(AnswerStreamReader().Feed("P\xff\xff\xff\xff"),
                    base::Error);
  }
}

}  // namespace carawayvalve::core
