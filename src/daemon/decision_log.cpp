/// \file decision_log.cpp One structured log line for each decision.
#include "daemon/decision_log_func.h"

#include <glog/logging.h>

namespace cranberry {

namespace {

/// Keeps a value on its line and its quotes balanced.
std::string quote(std::string_view Text) {
  std::string Quoted = "\"";
  for (char C : Text)
    Quoted += C < ' ' || C == '"' ? '?' : C;
  return Quoted + "\"";
}

} // namespace

void logDecision(std::string_view Kind, std::string_view Id,
                 std::string_view Service, std::string_view Choice,
                 std::string_view Why, Revision Version) {
  LOG(INFO) << "decision=" << Kind << " id=" << quote(Id)
            << " service=" << quote(Service) << " choice=" << quote(Choice)
            << " reason=" << quote(Why) << " version=" << Version;
}

} // namespace cranberry
