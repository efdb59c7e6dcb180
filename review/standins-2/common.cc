#include "scenarios.h"

namespace rig {

std::string SealedAnswer(int status, const std::string& attempt,
                         const std::string& id) {
  return Respond(status, std::string(800, 'x'),
                 {{"Attempt-Id", attempt}, {"Response-Seal", id + ".1"}});
}

Work PlainWork(double work_s) {
  return [work_s](Server& server, ChannelPtr channel, Message request) -> Task {
    const std::string attempt = request.Field("Attempt-Id");
    return [](double work_s, std::string id, ChannelPtr channel,
              std::string attempt) -> Task {
      co_await Sleep(work_s);
      co_await Write(*channel, SealedAnswer(200, attempt, id));
    }(work_s, server.id(), std::move(channel), attempt);
  };
}

Work StreamWork(double read_s, double step_s, int events) {
  return [=](Server& server, ChannelPtr channel, Message request) -> Task {
    return [](double read_s, double step_s, int events, std::string id,
              ChannelPtr channel, Message request) -> Task {
      co_await Sleep(read_s);
      std::string text =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Attempt-Id: " + request.Field("Attempt-Id") +
          "\r\nResponse-Seal: " + id +
          ".1\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
      const std::string last = request.Field("Last-Event-Id");
      const int done = last.empty() ? 0 : std::stoi(last);
      for (int n = done + 1; n <= events; ++n) {
        const std::string event = "id: " + std::to_string(n) +
                                  "\ndata: " + std::string(50, 'x') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        text += size + event + "\r\n";
        co_await Write(*channel, std::exchange(text, {}));
        co_await Sleep(step_s);
      }
      co_await Write(*channel, text + "0\r\n\r\n");
    }(read_s, step_s, events, server.id(), std::move(channel),
           std::move(request));
  };
}

Caller::Fields PlainFields(const std::string& attempt, int deadline_ms,
                           const char* key) {
  return {{"Host", "ficu95.example"},
          {"Attempt-Id", attempt},
          {"Deadline-Ms", std::to_string(deadline_ms)},
          {"Authorization", std::string("Bearer ") + key}};
}

Caller::Fields StreamFields(const std::string& attempt,
                            const std::string& shared, const char* key) {
  Caller::Fields fields = PlainFields(attempt, 20000, key);
  fields.emplace_back("Model", "m0");
  fields.emplace_back("Token-Counts", "760,80");
  fields.emplace_back("Prompt-Prefix", shared + "," + Hex(Random()) + ":250");
  return fields;
}

}  // namespace rig
