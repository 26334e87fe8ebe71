/// \file command.cpp Carries out the commands of the command-line tool.
#include "ctl/command_func.h"

#include "core/not_reached_func.h"
#include "ctl/fleet_status_func.h"
#include "ctl/log_explanation_base.h"
#include "ctl/print_func.h"
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

constexpr Duration DrainPoll = milliseconds(200);
constexpr int StatusConflict = 412;

/// An entry VM's answer.
struct Reply {
  ExitCode Code_ = ExitCode::Ok; ///< How it ended.
  json Body_;                    ///< Body, if there was one.
};

ExitCode classify(const HttpResult &Result) {
  if (Result.Code_ != ResultCode::Ok)
    return ExitCode::Unreachable;
  if (Result.Status_ == StatusConflict)
    return ExitCode::Conflict;
  if (Result.getHeader("x-outcome") == "unknown")
    return ExitCode::Unknown;
  return Result.Status_ == 200 ? ExitCode::Ok : ExitCode::Refused;
}

Reply send(const Invocation &Call, const std::string &Method,
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
  Reply Answer{classify(Result), json::parse(Result.Body_, nullptr, false)};
  if (Answer.Code_ == ExitCode::Unreachable)
    std::cerr << "cranberryctl: " << Call.Endpoint_
              << " does not answer: " << Result.ErrorText_ << "\n";
  else if (Answer.Code_ != ExitCode::Ok)
    printError(std::cerr, Answer.Body_);
  return Answer;
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
            << " must hold objects with 'kind', 'name' and 'spec'\n";
  return std::nullopt;
}

std::string getPath(const std::string &Kind, const std::string &Name) {
  return "/v1/objects/" + Kind + "/" + Name;
}

ExitCode apply(const Invocation &Call) {
  std::optional<json> Objects = readObjects(Call.File_);
  if (!Objects)
    return ExitCode::Usage;
  for (const json &Item : *Objects) {
    std::string Kind = Item["kind"];
    std::string Name = Item["name"];
    std::string Version = Call.Version_;
    if (Item.contains("version"))
      Version = Item["version"].dump();
    Reply Answer =
        send(Call, "PUT", getPath(Kind, Name), Item["spec"].dump(), Version);
    if (Answer.Code_ != ExitCode::Ok) {
      std::cerr << "cranberryctl: stopped at " << Kind << "/" << Name << "\n";
      return Answer.Code_;
    }
    std::cout << Kind << "/" << Name << " version " << Answer.Body_["version"]
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
    Reply Answer =
        send(Call, "POST", "/v1/validate/" + Id, Item["spec"].dump());
    if (Answer.Code_ == ExitCode::Ok)
      std::cout << Id << " valid\n";
    else
      Worst = Answer.Code_;
  }
  return Worst;
}

ExitCode print(const Invocation &Call, const std::string &Path,
               void (*PrintTable)(std::ostream &, const json &)) {
  Reply Answer = send(Call, "GET", Path);
  if (Answer.Code_ != ExitCode::Ok)
    return Answer.Code_;
  if (Call.IsJson_)
    std::cout << Answer.Body_.dump(2) << "\n";
  else
    PrintTable(std::cout, Answer.Body_);
  return ExitCode::Ok;
}

ExitCode remove(const Invocation &Call, const std::string &Kind,
                const std::string &Name) {
  Reply Answer = send(Call, "DELETE", getPath(Kind, Name), "", Call.Version_);
  if (Answer.Code_ == ExitCode::Ok)
    std::cout << Kind << "/" << Name << " deleted\n";
  return Answer.Code_;
}

ExitCode watch(const Invocation &Call) {
  Time End = EventLoop::now() + seconds(Call.WaitSeconds_);
  Reply First = send(Call, "GET", "/v1/changes?since=0");
  if (First.Code_ != ExitCode::Ok)
    return First.Code_;
  uint64_t Since = First.Body_["revision"];
  while (EventLoop::now() < End) {
    Duration Left = End - EventLoop::now();
    Reply Answer = send(Call, "GET",
                        "/v1/changes?since=" + std::to_string(Since) +
                            "&waitMs=" + std::to_string(toMilliseconds(Left)));
    if (Answer.Code_ != ExitCode::Ok)
      return Answer.Code_;
    Since = Answer.Body_["revision"];
    for (const json &Item : Answer.Body_["items"])
      if (Call.IsJson_)
        std::cout << Item.dump() << std::endl;
      else
        printChange(std::cout, Item);
  }
  return ExitCode::Ok;
}

ExitCode status(const Invocation &Call) {
  std::optional<FleetStatus> Fleet = readFleetStatus(Call.Endpoint_);
  if (!Fleet) {
    std::cerr << "cranberryctl: " << Call.Endpoint_ << " does not answer\n";
    return ExitCode::Unreachable;
  }
  if (Call.IsJson_)
    std::cout << writeJson(*Fleet).dump(2) << "\n";
  else
    printFleet(std::cout, *Fleet);
  return ExitCode::Ok;
}

/// Names the drain object, so that a second drain of the same thing is the
/// same object.
std::string getDrainName(const std::string &What, const std::string &Name) {
  return What + "." + Name;
}

bool isDrainable(const std::string &What) {
  if (What == "server" || What == "vm")
    return true;
  std::cerr << "cranberryctl: drain takes 'server' or 'vm', not '" << What
            << "'\n";
  return false;
}

ExitCode waitDrained(const Invocation &Call, const std::string &What,
                     const std::string &Name) {
  Time Started = EventLoop::now();
  Time End = Started + seconds(Call.WaitSeconds_);
  std::optional<unsigned> Before;
  while (EventLoop::now() < End) {
    std::optional<FleetStatus> Fleet = readFleetStatus(Call.Endpoint_);
    if (!Fleet)
      return ExitCode::Unreachable;
    std::optional<unsigned> Left = What == "server"
                                       ? countAtServer(*Fleet, Name)
                                       : countAtVm(*Fleet, Name);
    if (Left != Before && Left)
      std::cout << "requests left: " << *Left << std::endl;
    Before = Left;
    if (Left && *Left == 0) {
      std::cout << "drained in " << toMilliseconds(EventLoop::now() - Started)
                << " ms\n";
      return ExitCode::Ok;
    }
    std::this_thread::sleep_for(DrainPoll);
  }
  std::cerr << "cranberryctl: not drained within " << Call.WaitSeconds_
            << " s; the drain goes on\n";
  return ExitCode::NotDone;
}

ExitCode drain(const Invocation &Call) {
  const std::string &What = Call.Arguments_[0];
  const std::string &Name = Call.Arguments_[1];
  if (!isDrainable(What))
    return ExitCode::Usage;
  Reply Answer = send(Call, "PUT", getPath("drain", getDrainName(What, Name)),
                      json{{What, Name}}.dump());
  if (Answer.Code_ != ExitCode::Ok)
    return Answer.Code_;
  std::cout << "drain accepted, version " << Answer.Body_["version"] << "\n";
  return waitDrained(Call, What, Name);
}

ExitCode explainRequest(const Invocation &Call) {
  LogExplanation Told(Call.Arguments_[0]);
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
  uint64_t Others = 0;
  for (std::string Line; std::getline(In, Line);)
    Others += Told.take(Line) ? 0 : 1;
  if (Others > 0)
    std::cerr << "cranberryctl: " << Others << " lines are no log lines\n";
  if (!Told.isFound()) {
    std::cerr << "cranberryctl: no line tells of " << Call.Arguments_[0]
              << "\n";
    return ExitCode::Refused;
  }
  for (const std::string &Line : Told.tell())
    std::cout << Line << "\n";
  return ExitCode::Ok;
}

} // namespace

ExitCode runCommand(const Invocation &Call) {
  const std::vector<std::string> &Words = Call.Arguments_;
  switch (Call.Command_) {
  case Command::Apply:
    return apply(Call);
  case Command::Get:
    return print(Call, getPath(Words[0], Words[1]), printObject);
  case Command::List:
    return print(Call, "/v1/objects/" + Words[0], printObjects);
  case Command::Delete:
    return remove(Call, Words[0], Words[1]);
  case Command::Watch:
    return watch(Call);
  case Command::Status:
    return status(Call);
  case Command::Drain:
    return drain(Call);
  case Command::Undrain:
    return isDrainable(Words[0])
               ? remove(Call, "drain", getDrainName(Words[0], Words[1]))
               : ExitCode::Usage;
  case Command::Validate:
    return validate(Call);
  case Command::ExplainRequest:
    return explainRequest(Call);
  case Command::Explain:
    return print(Call,
                 "/v1/explain?service=" + Words[0] + "&client=" + Words[1],
                 printExplanation);
  }
  NOT_REACHED();
}

} // namespace cranberry
