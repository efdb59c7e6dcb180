#include "platform/relay_fields.h"

#include <doctest/doctest.h>

#include "wire/passed_request.h"

namespace wisteriayoke {
namespace {

HttpRequest MakeRequest() {
  return {.method = "POST",
          .target = "/lohu/2f",
          .fields = {{"Host", "a.example:80"},
                     {"Attempt-Id", "9c41"},
                     {"Last-Event-Id", "12"},
                     {"Model", "m"},
                     {"Token-Counts", "1460,80"},
                     {"Deadline-Ms", "1500.5"},
                     {"Authorization", "Bearer key1"},
                     {"Tenant", "forged"},
                     {"Expect-Instance", "forged"},
                     {"Hop-Count", "forged"},
                     {"Connection", "keep-alive, X-Private"},
                     {"X-Private", "1"},
                     {"Transfer-Encoding", "chunked"}}};
}

}  // namespace

TEST_CASE("a caller's header fields are decoded") {
  const CallerFields fields = ReadCallerFields(MakeRequest());
  CHECK(fields.host == "a.example");
  CHECK(fields.attempt_id == "9c41");
  CHECK(fields.key == "key1");
  CHECK(fields.deadline == std::chrono::microseconds(1'500'500));
  CHECK(fields.prompt_tokens == 1460);
}

TEST_CASE(
    "invalid numbers and other authorization schemes are treated as absent") {
  HttpRequest request{.fields = {{"Deadline-Ms", "-5"},
                                 {"Token-Counts", "x,1"},
                                 {"Authorization", "Basic key1"}}};
  const CallerFields fields = ReadCallerFields(request);
  CHECK_FALSE(fields.deadline.has_value());
  CHECK(fields.prompt_tokens == 0);
  CHECK(fields.key.empty());
}

TEST_CASE("a key is read whatever the case of its scheme and its field") {
  const auto key_of = [](HttpFields fields) {
    return ReadCallerFields({.fields = std::move(fields)}).key;
  };
  CHECK(key_of({{"authorization", "bearer key1"}}) == "key1");
  CHECK(key_of({{"Authorization", "BEARER   key1"}}) == "key1");
  CHECK(key_of({{"Authorization", "Basic x"},
                {"Authorization", "Bearer key1"}}) == "key1");
  CHECK(key_of({{"Authorization", "Bearer"}}).empty());
  CHECK(key_of({{"Authorization", "Bearer "}}).empty());
  CHECK(key_of({{"Authorization", "Bearerkey1"}}).empty());
}

TEST_CASE("an attempt has the router's fields and not the caller's key") {
  const HttpRequest request = MakeRequest();
  AttemptFields attempt{.upstream = UpstreamName("i-1"),
                        .workspace = WorkspaceName("volta"),
                        .time_left = std::chrono::milliseconds(900),
                        .last_event_id = "40"};
  attempt.chain = {{UpstreamName("i-1"), {"10.1.0.1", 80}, {0, 20}},
                   {UpstreamName("i-2"), {"10.1.0.2", 80}, {20, 80}}};
  const HttpFields fields = BuildAttemptFields(request.fields, attempt);
  const auto value = [&fields](const char* name) {
    return std::string(FindField(fields, name));
  };
  CHECK(value("Host") == "a.example:80");
  CHECK(value("Attempt-Id") == "9c41");
  CHECK(value("Deadline-Ms") == "900");
  CHECK(value("Expect-Instance") == "i-1");
  CHECK(value("Tenant") == "volta");
  CHECK(value("Hop-Count") == "10.1.0.1:80=0-20,10.1.0.2:80=20-80");
  CHECK(value("Last-Event-Id") == "40");
  CHECK(value("Token-Counts") == "1460,80");
  for (const char* absent :
       {"Authorization", "Connection", "X-Private", "Transfer-Encoding"}) {
    CHECK(value(absent).empty());
  }
  std::size_t last_ids = 0;
  for (const auto& field : fields) {
    if (field.name == "Last-Event-Id") ++last_ids;
  }
  CHECK(last_ids == 1);
}

TEST_CASE("an attempt without a last event id keeps the caller's") {
  const HttpFields fields = BuildAttemptFields(MakeRequest().fields, {});
  CHECK(FindField(fields, "Last-Event-Id") == "12");
  CHECK(FindField(fields, "Tenant").empty());
}

TEST_CASE("the mark of a passed-on request never reaches an upstream") {
  HttpRequest request = MakeRequest();
  request.fields.push_back({"Connection", "close"});
  const HttpRequest passed =
      BuildPassedRequest(request, std::chrono::milliseconds(700));
  CHECK(IsPassedOn(passed));
  CHECK(FindField(passed.fields, "Deadline-Ms") == "700");
  CHECK(FindField(passed.fields, "Connection").empty());
  for (const char* name : {"Host", "Attempt-Id", "Authorization"}) {
    CHECK(FindField(passed.fields, name) == FindField(request.fields, name));
  }
  const HttpFields fields = BuildAttemptFields(passed.fields, {});
  CHECK(FindField(fields, kPassedOnField).empty());
}

TEST_CASE("an upstream's answer fields are decoded") {
  const AnswerFields good =
      ReadAnswerFields({200, {{"Attempt-Id", "9c41"}, {"Response-Seal", "s"}}});
  CHECK(good.attempt_id == "9c41");
  CHECK(good.has_receipt);
  CHECK_FALSE(good.not_run);
  const AnswerFields declined = ReadAnswerFields(
      {503, {{"Not-Executed", "1"}, {"At-Server", "10.1.0.2:80"}}});
  CHECK(declined.not_run);
  CHECK(declined.failed_upstream == Endpoint{"10.1.0.2", 80});
  CHECK(ReadAnswerFields({421, {}}).not_run);
  CHECK_FALSE(ReadAnswerFields({503, {}}).not_run);
  CHECK(ReadAnswerFields({200, {{"Content-Encoding", "gzip"}}})
            .has_content_encoding);
}

TEST_CASE("an answer generated by the router has no receipt") {
  const HttpResponse answer = BuildRouterAnswer(503, "9c41", "overloaded",
                                                std::chrono::milliseconds(250));
  CHECK(answer.head.status == 503);
  CHECK(FindField(answer.head.fields, "Attempt-Id") == "9c41");
  CHECK(FindField(answer.head.fields, "Retry-After") == "0.25");
  CHECK(FindField(answer.head.fields, "Response-Seal").empty());
  CHECK(FindField(BuildRouterAnswer(502, "", "x", Duration::zero()).head.fields,
                  "Retry-After")
            .empty());
}

// Guards against a caller that sets its own urgency, and against a changed
// request where the tables rank none.
TEST_CASE("the router's urgency replaces the caller's, if there is one") {
  HttpRequest request = MakeRequest();
  request.fields.push_back({"request-urgency", "0"});
  AttemptFields attempt{.upstream = UpstreamName("i-1")};
  const auto unranked = BuildAttemptFields(request.fields, attempt);
  CHECK(FindField(unranked, "Request-Urgency") == "0");
  attempt.urgency = 2;
  const auto ranked = BuildAttemptFields(request.fields, attempt);
  CHECK(FindField(ranked, "Request-Urgency") == "2");
  CHECK(ranked.size() == unranked.size());
}

}  // namespace wisteriayoke
