/// \file request_log_analyzer.cpp Explains the result of a request from log
/// lines.
#include "ctl/request_log_analyzer_base.h"

#include "core/result_func.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

using nlohmann::json;

namespace cranberry {

namespace {

/// Seconds for which failures of other requests are kept for the explanation.
constexpr double FailureWindowSeconds = 2;

std::string getText(const json &Line, const char *Name) {
  auto Found = Line.find(Name);
  return Found != Line.end() && Found->is_string() ? Found->get<std::string>()
                                                   : "";
}

double getNumber(const json &Line, const char *Name) {
  auto Found = Line.find(Name);
  return Found != Line.end() && Found->is_number() ? Found->get<double>() : 0;
}

std::string formatMs(double Value) { return absl::StrFormat("%.0f ms", Value); }

/// A server that has not reported its load has an age counted from the start of
/// the clock.
std::string formatLoadAge(double Ms) {
  constexpr double NeverReportedMs = 60000;
  return Ms > NeverReportedMs ? "never reported"
                              : "reported " + formatMs(Ms) + " before";
}

/// \return A log line of the request as text.
std::string formatLine(const json &Line) {
  std::string Event = getText(Line, "event");
  if (Event == "attempt-start")
    return absl::StrCat("sent to ", getText(Line, "server"), " (",
                        getText(Line, "where"), "), by configuration ",
                        getNumber(Line, "version"), "; load estimate ",
                        getNumber(Line, "busy"), ", ",
                        formatLoadAge(getNumber(Line, "loadAgeMs")), "; ",
                        getNumber(Line, "queue"), " queued; expected duration ",
                        formatMs(getNumber(Line, "expectedMs")));
  if (Event == "refuse")
    return absl::StrCat(
        "refused (", getText(Line, "cause"), ") after ",
        formatMs(getNumber(Line, "waitedMs")), "; predicted response time ",
        formatMs(getNumber(Line, "predictedMs")), "; ",
        getNumber(Line, "queue"), " queued, ", getNumber(Line, "inFlight"),
        " in flight at ", getNumber(Line, "servers"), " servers");
  if (Event == "attempt")
    return absl::StrCat(
        "attempt at ", getText(Line, "server"),
        " ended: ", getText(Line, "end"), ", status ",
        getNumber(Line, "status"), ", outcome ", getText(Line, "outcome"),
        ", after ", formatMs(getNumber(Line, "ranMs")), ", expected ",
        formatMs(getNumber(Line, "expectedMs")), "; ",
        getNumber(Line, "reused") > 0 ? "reused" : "new", " connection; ",
        getNumber(Line, "budgetLeft"), " retries left in the budget");
  if (Event == "suspect")
    return absl::StrCat("its server ", getText(Line, "server"),
                        " did not respond in the expected time");
  if (Event == "reject")
    return absl::StrCat("not routed: ", getText(Line, "result"), ", host '",
                        getText(Line, "host"), "', configuration ",
                        getNumber(Line, "version"));
  return absl::StrCat(
      "ended: ", getNumber(Line, "code"), " ", getText(Line, "result"),
      " after ", formatMs(getNumber(Line, "takenMs")), ", of which ",
      formatMs(getNumber(Line, "queuedMs")), " queued; latency objective ",
      formatMs(getNumber(Line, "objectiveMs")), "; ",
      getNumber(Line, "servers"), " servers");
}

bool isEndEvent(const std::string &Event) {
  return Event == "request" || Event == "request-failed" || Event == "reject";
}

} // namespace

bool RequestLogAnalyzer::processLine(const std::string &Text) {
  size_t Brace = Text.find('{');
  if (Brace == std::string::npos)
    return false;
  json Line = json::parse(Text.substr(Brace), nullptr, false);
  if (!Line.is_object() || !Line.contains("event") || !Line.contains("vm"))
    return false;
  VmState &Vm = VmStates_[getText(Line, "vm")];
  updateVmState(Vm, Line);
  if (getText(Line, "request") == RequestId_)
    recordRequestLine(Vm, Line);
  return true;
}

void RequestLogAnalyzer::updateVmState(VmState &Vm, const json &Line) {
  std::string Event = getText(Line, "event");
  double At = getNumber(Line, "t");
  Vm.DroppedLines_ += static_cast<uint64_t>(getNumber(Line, "leftOut"));
  if (Event == "server")
    Vm.Servers_[getText(Line, "server")] = Line;
  else if (Event == "config")
    Vm.Config_ = Line;
  else if (Event == "evacuations")
    Vm.EvacuatedZones_ = getText(Line, "zones");
  else if (Event == "store-lost")
    Vm.StoreLostSince_.emplace(getText(Line, "kind"), At);
  else if (Event == "store-regained")
    Vm.StoreLostSince_.erase(getText(Line, "kind"));
  else if (Event == "attempt")
    Vm.Failures_.push_back({At, getText(Line, "server"), getText(Line, "end")});
  while (!Vm.Failures_.empty() &&
         Vm.Failures_.front().FailedAt_ < At - FailureWindowSeconds)
    Vm.Failures_.pop_front();
}

void RequestLogAnalyzer::recordRequestLine(const VmState &Vm,
                                           const json &Line) {
  double At = getNumber(Line, "t");
  std::string Event = getText(Line, "event");
  if (!StartTime_) {
    StartTime_ = At;
    DroppedLines_ = Vm.DroppedLines_;
    Output_.push_back(absl::StrCat("request ", RequestId_, " on ",
                                   getText(Line, "vm"), ", service ",
                                   getText(Line, "service")));
    describeVmState(Vm, Line);
  }
  Output_.push_back(absl::StrFormat("%+8.3f s  ", At - *StartTime_) +
                    formatLine(Line));
  if (Event == "attempt-start") {
    LastStart_ = Line;
    describeServer(Vm, Line);
  } else if (Event == "attempt") {
    LastFailedAttempt_ = Line;
  } else if (Event == "refuse") {
    Refusal_ = Line;
  } else if (isEndEvent(Event)) {
    EndLine_ = Line;
    DroppedLines_ = Vm.DroppedLines_ - DroppedLines_;
  }
}

void RequestLogAnalyzer::describeVmState(const VmState &Vm, const json &Line) {
  double At = getNumber(Line, "t");
  if (Vm.Config_)
    Output_.push_back(absl::StrCat(
        "  configuration ", getNumber(*Vm.Config_, "version"), " since ",
        absl::StrFormat("%.1f s", At - getNumber(*Vm.Config_, "t"))));
  for (const auto &[Kind, Since] : Vm.StoreLostSince_)
    Output_.push_back(absl::StrFormat("  store watch for %s failing for %.1f s",
                                      Kind, At - Since));
  if (!Vm.EvacuatedZones_.empty())
    Output_.push_back("  evacuated zones: " + Vm.EvacuatedZones_);
  std::map<std::string, unsigned> Failed;
  for (const Failure &Each : Vm.Failures_)
    ++Failed[Each.Server_ + " " + Each.End_];
  for (const auto &[What, Count] : Failed)
    Output_.push_back(absl::StrFormat("  in the preceding %.0f s: %u x %s",
                                      FailureWindowSeconds, Count, What));
}

void RequestLogAnalyzer::describeServer(const VmState &Vm, const json &Line) {
  auto Known = Vm.Servers_.find(getText(Line, "server"));
  if (Known == Vm.Servers_.end())
    return;
  const json &Last = Known->second;
  double Age = getNumber(Line, "t") - getNumber(Last, "t");
  Output_.push_back(absl::StrFormat(
      "            the server's registration changed %.1f s before, "
      "revision %.0f:%s%s%s",
      Age, getNumber(Last, "revision"),
      getNumber(Last, "removed") > 0 ? " removed" : "",
      getNumber(Last, "draining") > 0 ? " draining" : "",
      getNumber(Last, "coldMs") > 0
          ? " cold for " + formatMs(getNumber(Last, "coldMs"))
          : ""));
}

std::string RequestLogAnalyzer::explainResult() const {
  if (EndLine_.is_null())
    return "no line reports its end: the request is in progress, or the line "
           "was dropped";
  std::string Result = getText(EndLine_, "result");
  double Taken = getNumber(EndLine_, "takenMs");
  double Objective = getNumber(EndLine_, "objectiveMs");
  double Queued = getNumber(EndLine_, "queuedMs");
  if (Result == "ok" && Taken <= Objective)
    return "answered in time";
  if (Result == "ok" && Queued > Taken / 2)
    return "late, mostly due to queueing on the entry VM: no server had a free "
           "slot";
  if (Result == "ok")
    return absl::StrCat("late at the server: took ", formatMs(Taken - Queued),
                        ", expected ",
                        formatMs(getNumber(LastStart_, "expectedMs")));
  if (!Refusal_.is_null() && getNumber(Refusal_, "servers") == 0)
    return "no server of the service was usable";
  if (!Refusal_.is_null() && getText(Refusal_, "cause") == "no-room")
    return absl::StrCat(
        "rejected before it was sent: predicted response time ",
        formatMs(getNumber(Refusal_, "predictedMs")), ", latency objective ",
        formatMs(Objective),
        "; free slots may exist at servers that are cold, backing off or in "
        "other regions");
  std::optional<ResultCode> Code =
      findResultCode(static_cast<unsigned>(getNumber(EndLine_, "code")));
  std::string Cause = Code ? getSummary(*Code) : Result;
  if (!LastFailedAttempt_.is_null())
    return absl::StrCat(Cause, "; the last attempt, at ",
                        getText(LastFailedAttempt_, "server"), ", ended ",
                        getText(LastFailedAttempt_, "end"));
  return Cause;
}

std::vector<std::string> RequestLogAnalyzer::explain() const {
  std::vector<std::string> Result = Output_;
  Result.push_back("cause: " + explainResult());
  if (DroppedLines_ > 0 && !EndLine_.is_null())
    Result.push_back(absl::StrCat(
        "note: ", DroppedLines_,
        " log lines were dropped during the request, possibly some of its own; "
        "raise logLinesPerSecond"));
  return Result;
}

} // namespace cranberry
