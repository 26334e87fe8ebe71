/// \file decision_log.cpp Logs routing and placement decisions.
#include "daemon/decision_log_func.h"

#include <glog/logging.h>

namespace cranberry {

namespace {

/// Quotes a value. Control characters and quotes are replaced, so that one
/// decision stays on one line that can be parsed.
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
