#include "wire/ledger_codec.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE(
    "a ledger record is unchanged by encoding, with any bytes in its answer") {
  LedgerRecord record{.state = LedgerState::kDone,
                      .claim = ClaimId("c"),
                      .daemon = DaemonName("daemon1"),
                      .request = RequestId("r"),
                      .digest = "d",
                      .send_number = 3,
                      .claimed_at = WallTime(5),
                      .finish_limit = WallTime(6),
                      .answer_kept = true,
                      .answer = std::string("\n\0\xff{}", 5)};
  LastReason reason;
  CHECK(ParseLedgerRecord(EncodeLedgerRecord(record), reason) == record);
  CHECK_FALSE(ParseLedgerRecord("{}\n", reason).has_value());
  CHECK_FALSE(ParseLedgerRecord("", reason).has_value());
}

TEST_CASE(
    "a kept answer has the service's status, end-to-end fields and body") {
  HttpResponse answer{{201, {{"Seat", "12A"}, {"Connection", "close"}}},
                      std::string("a\0b\r\n", 5)};
  LastReason reason;
  const auto kept = ParseKeptAnswer(EncodeKeptAnswer(answer), reason);
  REQUIRE(kept.has_value());
  CHECK(kept->head.status == 201);
  CHECK(FindField(kept->head.fields, "Seat") == "12A");
  CHECK(FindField(kept->head.fields, "Connection").empty());
  CHECK(kept->body == answer.body);
}

TEST_CASE("a kept answer that is none is refused") {
  for (const std::string head :
       {"000 Odd", "103 Early Hints", "200 OK\r\nA: b\r\n Seats: 12"}) {
    CAPTURE(head);
    LastReason reason;
    CHECK_FALSE(ParseKeptAnswer(
        "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n", reason));
    CHECK(reason.code() == ResultCode::kMalformedHttp);
  }
}

}  // namespace wisteriayoke
