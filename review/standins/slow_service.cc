// A plain service that takes a while for each request: slow_service IP PORT ID
// WORK_MS RUNS. Appends the Attempt-Id of each request that it runs to the file
// RUNS when it begins to work on it. A request that names another instance gets
// 421. The service stops nothing early and answers each request whole.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

namespace {

std::string g_id;
int g_work_ms = 0;
std::FILE* g_runs = nullptr;

std::string FieldOf(const std::string& head, const std::string& name) {
  for (std::size_t at = head.find("\r\n"); at != std::string::npos;
       at = head.find("\r\n", at + 2)) {
    const std::size_t end = head.find("\r\n", at + 2);
    if (end == std::string::npos) break;
    const std::string line = head.substr(at + 2, end - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != name.size()) continue;
    const bool same = std::equal(name.begin(), name.end(), line.begin(),
                                 [](unsigned char a, unsigned char b) {
                                   return std::tolower(a) == std::tolower(b);
                                 });
    if (!same) continue;
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    return begin == std::string::npos ? "" : line.substr(begin);
  }
  return "";
}

void Serve(int channel) {
  std::string input;
  char buffer[4096];
  std::size_t head_end = std::string::npos;
  std::size_t wanted = 0;
  while (true) {
    const ssize_t size = read(channel, buffer, sizeof buffer);
    if (size <= 0) break;
    input.append(buffer, static_cast<std::size_t>(size));
    head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos) continue;
    const std::string head = input.substr(0, head_end + 2);
    wanted = head_end + 4 +
             std::strtoul(FieldOf(head, "Content-Length").c_str(), nullptr, 10);
    if (input.size() < wanted) continue;
    const std::string attempt = FieldOf(head, "Attempt-Id");
    const bool mine = FieldOf(head, "Expect-Instance") == g_id;
    std::string body = "not me\n";
    std::string answer = "HTTP/1.1 421 Misdirected Request\r\n";
    if (mine) {
      std::fprintf(g_runs, "%s %s\n", attempt.c_str(),
                   head.substr(0, head.find("\r\n")).c_str());
      std::fflush(g_runs);
      std::this_thread::sleep_for(std::chrono::milliseconds(g_work_ms));
      body = "done " + attempt + "\n";
      answer = "HTTP/1.1 200 OK\r\nResponse-Seal: stand-in\r\n";
    }
    answer += "Attempt-Id: " + attempt +
              "\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\nConnection: close\r\n\r\n" + body;
    (void)!send(channel, answer.data(), answer.size(), MSG_NOSIGNAL);
    break;
  }
  close(channel);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6) return 2;
  g_id = argv[3];
  g_work_ms = std::atoi(argv[4]);
  g_runs = std::fopen(argv[5], "a");
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(argv[2])));
  if (g_runs == nullptr || inet_pton(AF_INET, argv[1], &address.sin_addr) != 1)
    return 2;
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) ||
      listen(listener, 64)) {
    std::perror("listen");
    return 2;
  }
  while (true) {
    const int channel = accept(listener, nullptr, nullptr);
    if (channel >= 0) std::thread(Serve, channel).detach();
  }
}
