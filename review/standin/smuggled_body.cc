// Case: a client names a transfer coding whose last one isn't chunked. The
// bytes of its body are run as further requests. The rule checked is UNASKED.
#include "harness.cc"

using namespace review;

int main(int, char **Arguments) {
  Log = std::make_unique<Record>(Arguments[1]);
  Store Platform;
  Server First("i-0", "counter", "attica-a", 0.02);
  Server Second("i-1", "counter", "attica-a", 0.02);
  Server *Servers[] = {&First, &Second};
  for (Server *Each : Servers)
    Platform.put("servers", Each->id(), Each->entry());
  Platform.put("config", "main",
               makeConfig(1, makeRoute("charge", "/charge/", "counter", false,
                                       800, 300),
                          {"counter"}));
  Vm Entry("vm-0", "attica-a", Platform.addr());
  Entry.start();
  if (!Entry.waitReady(10))
    cannotRun("the entry VM is not ready");

  // The codings differ, the body is the same: it holds the text of a request,
  // as an upload of a log does. Without the disruption it has a length.
  const char *Codings[] = {"gzip", "identity", "chunked, identity",
                           "chunked, chunked"};
  std::set<std::string> SentIds;
  std::map<std::string, std::string> SentBodies;
  int Count = 0;
  for (const char *Coding : Codings)
    for (int I = 0; I < 3; ++I) {
      std::string Id = "client-" + std::to_string(Count);
      std::string Body =
          "PUT /charge/inner HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Cranberrypost-Attempt-Id: body-" +
          std::to_string(Count) + "\r\nContent-Length: 0\r\n\r\n";
      ++Count;
      std::string Fields =
          hasTrouble() ? std::string("Transfer-Encoding: ") + Coding + "\r\n"
                       : "Content-Length: " + std::to_string(Body.size()) +
                             "\r\n";
      SentIds.insert(Id);
      SentBodies[Id] = Body;
      Log->line("client sends id=%s with %s", Id.c_str(),
                Fields.substr(0, Fields.size() - 2).c_str());
      Reply Answer =
          call(Entry, makeRequest("PUT", "/charge/outer", Id, Fields, Body), 2);
      Log->line("client gets id=%s status=%d", Id.c_str(), Answer.Status_);
      sleepFor(0.2);
    }

  int Smuggled = 0, Changed = 0, Runs = 0;
  for (Server *Each : Servers)
    for (const Run &Ran : Each->runs()) {
      ++Runs;
      if (!SentIds.count(Ran.Id_)) {
        ++Smuggled;
        Log->line("server %s ran id=%s %s, which no client sent",
                  Ran.Server_.c_str(), Ran.Id_.c_str(), Ran.Target_.c_str());
      } else if (Ran.Body_ != SentBodies[Ran.Id_]) {
        ++Changed;
        Log->line("server %s ran id=%s with a body of %zu bytes instead of %zu",
                  Ran.Server_.c_str(), Ran.Id_.c_str(), Ran.Body_.size(),
                  SentBodies[Ran.Id_].size());
      }
    }
  Log->line("requests sent %d, runs %d, run though no client sent them %d, run "
            "with another body %d",
            Count, Runs, Smuggled, Changed);
  finish(Smuggled + Changed > 0);
}
