/// \file command.cpp Runs the commands of the command-line tool.
#include "ctl/command_func.h"

#include "core/not_reached_func.h"
#include "ctl/fleet_status_func.h"
#include "ctl/print_func.h"
#include "ctl/request_log_analyzer_base.h"
#include "net/blocking_call_func.h"
#include "net/event_loop_base.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

using nlohmann::json;

namespace cranberry {

namespace {

constexpr Duration DrainPollInterval = milliseconds(200);
constexpr int StatusConflict = 412; ///< HTTP "Precondition Failed".

/// Response of an entry VM.
struct ApiResponse {
  ExitCode Code_ = ExitCode::Ok; ///< Exit code that the response stands for.
  json Body_;                    ///< Parsed body; discarded if it is not JSON.
};

ExitCode getExitCode(const HttpResult &Result) {
  if (Result.Code_ != ResultCode::Ok)
    return ExitCode::Unreachable;
  if (Result.Status_ == StatusConflict)
    return ExitCode::Conflict;
  if (Result.getHeader("x-outcome") == "unknown")
    return ExitCode::Unknown;
  return Result.Status_ == 200 ? ExitCode::Ok : ExitCode::Refused;
}

ApiResponse sendRequest(const Invocation &Call, const std::string &Method,
                        const std::string &Path, const std::string &Body = "",
                        const std::string &Version = "") {
  HttpCall Out;
  Out.Method_ = Method;
  Out.Url_ = "http://" + Call.Endpoint_ + Path;
  Out.Body_ = Body;
  Out.Timeout_ = seconds(40);
  if (Version == "0")
    Out.Headers_.emplace_back("If-None-Match", "*");
  else if (!Version.empty())
    Out.Headers_.emplace_back("If-Match", Version);
  HttpResult Result = callAndWait(std::move(Out));
  ApiResponse Response{getExitCode(Result),
                       json::parse(Result.Body_, nullptr, false)};
  if (Response.Code_ == ExitCode::Unreachable)
    std::cerr << "cranberryctl: " << Call.Endpoint_
              << " does not respond: " << Result.ErrorText_ << "\n";
  else if (Response.Code_ != ExitCode::Ok)
    printError(std::cerr, Response.Body_);
  return Response;
}

std::optional<json> readObjects(const std::string &File) {
  std::stringstream Text;
  if (File == "-") {
    Text << std::cin.rdbuf();
  } else {
    std::ifstream In(File);
    if (!In) {
      std::cerr << "cranberryctl: can't read " << File << "\n";
      return std::nullopt;
    }
    Text << In.rdbuf();
  }
  json Objects = json::parse(Text.str(), nullptr, false);
  if (Objects.is_object())
    Objects = json::array({Objects});
  bool IsList = Objects.is_array();
  for (const json &Item : IsList ? Objects : json::array())
    IsList = IsList && Item.is_object() && Item.contains("kind") &&
             Item.contains("name") && Item.contains("spec") &&
             Item["kind"].is_string() && Item["name"].is_string();
  if (IsList)
    return Objects;
  std::cerr << "cranberryctl: " << File
            << " must contain objects with 'kind', 'name' and 'spec'\n";
  return std::nullopt;
}

std::string getObjectPath(const std::string &Kind, const std::string &Name) {
  return "/v1/objects/" + Kind + "/" + Name;
}

ExitCode apply(const Invocation &Call) {
  std::optional<json> Objects = readObjects(Call.File_);
  if (!Objects)
    return ExitCode::Usage;
  for (const json &Item : *Objects) {
    std::string Kind = Item["kind"];
    std::string Name = Item["name"];
    std::string Version = Call.ExpectedVersion_;
    if (Item.contains("version"))
      Version = Item["version"].dump();
    ApiResponse Response = sendRequest(Call, "PUT", getObjectPath(Kind, Name),
                                       Item["spec"].dump(), Version);
    if (Response.Code_ != ExitCode::Ok) {
      std::cerr << "cranberryctl: stopped at " << Kind << "/" << Name << "\n";
      return Response.Code_;
    }
    std::cout << Kind << "/" << Name << " version " << Response.Body_["version"]
              << "\n";
  }
  return ExitCode::Ok;
}

ExitCode validate(const Invocation &Call) {
  std::optional<json> Objects = readObjects(Call.File_);
  if (!Objects)
    return ExitCode::Usage;
  ExitCode Worst = ExitCode::Ok;
  for (const json &Item : *Objects) {
    std::string Id =
        Item["kind"].get<std::string>() + "/" + Item["name"].get<std::string>();
    ApiResponse Response =
        sendRequest(Call, "POST", "/v1/validate/" + Id, Item["spec"].dump());
    if (Response.Code_ == ExitCode::Ok)
      std::cout << Id << " valid\n";
    else
      Worst = Response.Code_;
  }
  return Worst;
}

ExitCode printResponse(const Invocation &Call, const std::string &Path,
                       void (*PrintTable)(std::ostream &, const json &)) {
  ApiResponse Response = sendRequest(Call, "GET", Path);
  if (Response.Code_ != ExitCode::Ok)
    return Response.Code_;
  if (Call.IsJson_)
    std::cout << Response.Body_.dump(2) << "\n";
  else
    PrintTable(std::cout, Response.Body_);
  return ExitCode::Ok;
}

ExitCode remove(const Invocation &Call, const std::string &Kind,
                const std::string &Name) {
  ApiResponse Response = sendRequest(Call, "DELETE", getObjectPath(Kind, Name),
                                     "", Call.ExpectedVersion_);
  if (Response.Code_ == ExitCode::Ok)
    std::cout << Kind << "/" << Name << " deleted\n";
  return Response.Code_;
}

ExitCode watch(const Invocation &Call) {
  Time End = EventLoop::now() + seconds(Call.WaitSeconds_);
  ApiResponse First = sendRequest(Call, "GET", "/v1/changes?since=0");
  if (First.Code_ != ExitCode::Ok)
    return First.Code_;
  uint64_t Since = First.Body_["revision"];
  while (EventLoop::now() < End) {
    Duration Left = End - EventLoop::now();
    ApiResponse Response =
        sendRequest(Call, "GET",
                    "/v1/changes?since=" + std::to_string(Since) +
                        "&waitMs=" + std::to_string(toMilliseconds(Left)));
    if (Response.Code_ != ExitCode::Ok)
      return Response.Code_;
    Since = Response.Body_["revision"];
    for (const json &Item : Response.Body_["items"])
      if (Call.IsJson_)
        std::cout << Item.dump() << std::endl;
      else
        printChange(std::cout, Item);
  }
  return ExitCode::Ok;
}

ExitCode status(const Invocation &Call) {
  std::optional<FleetStatus> Fleet = fetchFleetStatus(Call.Endpoint_);
  if (!Fleet) {
    std::cerr << "cranberryctl: " << Call.Endpoint_ << " does not respond\n";
    return ExitCode::Unreachable;
  }
  if (Call.IsJson_)
    std::cout << toJson(*Fleet).dump(2) << "\n";
  else
    printFleetStatus(std::cout, *Fleet);
  return ExitCode::Ok;
}

/// \return Name of the drain object. It depends on the target only, so that a
/// repeated drain writes the same object.
std::string getDrainName(const std::string &What, const std::string &Name) {
  return What + "." + Name;
}

bool checkDrainTarget(const std::string &What) {
  if (What == "server" || What == "vm")
    return true;
  std::cerr << "cranberryctl: the target of a drain is 'server' or 'vm', not '"
            << What << "'\n";
  return false;
}

ExitCode waitForDrain(const Invocation &Call, const std::string &What,
                      const std::string &Name) {
  Time Started = EventLoop::now();
  Time End = Started + seconds(Call.WaitSeconds_);
  std::optional<unsigned> Before;
  while (EventLoop::now() < End) {
    std::optional<FleetStatus> Fleet = fetchFleetStatus(Call.Endpoint_);
    if (!Fleet)
      return ExitCode::Unreachable;
    std::optional<unsigned> Left = What == "server"
                                       ? countServerAttempts(*Fleet, Name)
                                       : countVmRequests(*Fleet, Name);
    if (Left != Before && Left)
      std::cout << "requests left: " << *Left << std::endl;
    Before = Left;
    if (Left && *Left == 0) {
      std::cout << "drained in " << toMilliseconds(EventLoop::now() - Started)
                << " ms\n";
      return ExitCode::Ok;
    }
    std::this_thread::sleep_for(DrainPollInterval);
  }
  std::cerr << "cranberryctl: not drained within " << Call.WaitSeconds_
            << " s; the drain continues\n";
  return ExitCode::WaitTimedOut;
}

ExitCode drain(const Invocation &Call) {
  const std::string &What = Call.Arguments_[0];
  const std::string &Name = Call.Arguments_[1];
  if (!checkDrainTarget(What))
    return ExitCode::Usage;
  ApiResponse Response =
      sendRequest(Call, "PUT", getObjectPath("drain", getDrainName(What, Name)),
                  json{{What, Name}}.dump());
  if (Response.Code_ != ExitCode::Ok)
    return Response.Code_;
  std::cout << "drain accepted, version " << Response.Body_["version"] << "\n";
  return waitForDrain(Call, What, Name);
}

ExitCode explainRequest(const Invocation &Call) {
  RequestLogAnalyzer Analyzer(Call.Arguments_[0]);
  std::ifstream File;
  bool IsInput = Call.File_.empty() || Call.File_ == "-";
  if (!IsInput) {
    File.open(Call.File_);
    if (!File) {
      std::cerr << "cranberryctl: can't read " << Call.File_ << "\n";
      return ExitCode::Usage;
    }
  }
  std::istream &In = IsInput ? std::cin : File;
  uint64_t SkippedLines = 0;
  for (std::string Line; std::getline(In, Line);)
    SkippedLines += Analyzer.processLine(Line) ? 0 : 1;
  if (SkippedLines > 0)
    std::cerr << "cranberryctl: " << SkippedLines
              << " lines are not log lines\n";
  if (!Analyzer.hasRequest()) {
    std::cerr << "cranberryctl: no log line mentions " << Call.Arguments_[0]
              << "\n";
    return ExitCode::Refused;
  }
  for (const std::string &Line : Analyzer.explain())
    std::cout << Line << "\n";
  return ExitCode::Ok;
}

} // namespace

ExitCode runCommand(const Invocation &Call) {
  const std::vector<std::string> &Arguments = Call.Arguments_;
  switch (Call.Command_) {
  case Command::Apply:
    return apply(Call);
  case Command::Get:
    return printResponse(Call, getObjectPath(Arguments[0], Arguments[1]),
                         printObject);
  case Command::List:
    return printResponse(Call, "/v1/objects/" + Arguments[0], printObjects);
  case Command::Delete:
    return remove(Call, Arguments[0], Arguments[1]);
  case Command::Watch:
    return watch(Call);
  case Command::Status:
    return status(Call);
  case Command::Drain:
    return drain(Call);
  case Command::Undrain:
    return checkDrainTarget(Arguments[0])
               ? remove(Call, "drain", getDrainName(Arguments[0], Arguments[1]))
               : ExitCode::Usage;
  case Command::Validate:
    return validate(Call);
  case Command::ExplainRequest:
    return explainRequest(Call);
  case Command::Explain:
    return printResponse(
        Call, "/v1/explain?service=" + Arguments[0] + "&client=" + Arguments[1],
        printExplanation);
  }
  NOT_REACHED();
}

} // namespace cranberry
