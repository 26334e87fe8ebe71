/// \file decoder_fuzz.cpp Feeds texts of others to every decoder.
///
/// Built as a libFuzzer target with -DCRANBERRY_FUZZER=ON (clang), or with a
/// main() that plays the corpus and seeded mutations of it:
///   decoder_fuzz [--seed N] [--seconds N] FILE...
#include "daemon/settings_func.h"
#include "net/receive_budget_base.h"
#include "platform/decode_func.h"
#include "steering/attempt_outcome_func.h"
#include "steering/heartbeat_codec_func.h"
#include "steering/rate_report_codec_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace cranberry;

namespace {

void decodeStoreTexts(const std::string &Text) {
  Reason Why;
  if (std::optional<platform::StorePage> Page =
          platform::decodePage(Text, Why)) {
    platform::StorePage Copy = *Page;
    for (const platform::StoreObject &Each : Copy.Objects_) {
      platform::decodeServer(Each, Why);
      platform::decodeRouting(Each, Why);
      platform::isRenewal(Each.Body_, Page->Objects_.front().Body_);
    }
    // What was read is relayed, and has to be readable again.
    if (!platform::decodePage(platform::encodePage(Copy), Why))
      std::abort();
  }
  if (std::optional<platform::StoreChanges> Changes =
          platform::decodeChanges(Text, Why))
    if (!platform::decodeChanges(platform::encodeChanges(*Changes), Why))
      std::abort();
  if (std::optional<platform::StoreObject> Object =
          platform::decodeObjectBody(Text, Why)) {
    platform::decodeServer(*Object, Why);
    platform::decodeRouting(*Object, Why);
  }
  platform::decodeStoreQuery(Text);
  platform::decodeLookupQuery(Text);
}

void decodePeerTexts(const std::string &Text) {
  if (std::optional<HeartbeatBody> Body = decodeHeartbeat(Text))
    encodeHeartbeat(*Body);
  Time Now{seconds(1000)};
  if (std::optional<RateReport> Report = decodeRateReport(Text, Now))
    encodeRateReport(*Report, Now);
  if (std::optional<RateReply> Reply = decodeRateReply(Text, Now))
    encodeRateReply(*Reply, Now);
}

template <bool IsRequest> void decodeMessage(const std::string &Text) {
  namespace http = boost::beast::http;
  http::parser<IsRequest, http::string_body> Parser;
  Parser.eager(true);
  Parser.body_limit(ReceiveBudget::MaxBytes);
  boost::system::error_code Error;
  size_t Used = 0;
  while (!Parser.is_done() && Used < Text.size()) {
    size_t Count = Parser.put(
        boost::asio::buffer(Text.data() + Used, Text.size() - Used), Error);
    Used += Count;
    // A length that the head states is reserved before the body limit counts.
    if (Error || Count == 0 ||
        (Parser.is_header_done() &&
         Parser.content_length().value_or(0) > Text.size()))
      return;
  }
  if (!Parser.is_done())
    return;
  if constexpr (IsRequest) {
    platform::decodeClientRequest(Parser.release());
  } else {
    AttemptResult Result;
    Result.Status_ = AttemptStatus::Answered;
    Result.Response_ = Parser.release();
    matchResponse(Result.Response_, "1", false);
    classifyAttempt(Result, platform::decodeServerResponse(Result.Response_));
  }
}

} // namespace

// libFuzzer calls this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  std::string Text(reinterpret_cast<const char *>(Data), Size);
  decodeStoreTexts(Text);
  decodePeerTexts(Text);
  decodeMessage<true>(Text);
  decodeMessage<false>(Text);
  std::vector<Reason> Faults;
  parseSettings(Text, Faults);
  return 0;
}
