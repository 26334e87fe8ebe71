/// \file event_log.cpp Structured log lines on standard output.
#include "observe/event_log_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace cranberry {

namespace {

/// Lines that wait for a slow reader; beyond that they are dropped.
constexpr size_t MaxPending = 256U << 10;

std::string quote(std::string_view Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  std::string Out = "\"";
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Out += '\\';
    if (static_cast<unsigned char>(C) < FirstPrintable)
      absl::StrAppendFormat(&Out, "\\u%04x", static_cast<unsigned>(C));
    else
      Out += C;
  }
  return Out + "\"";
}

} // namespace

LogField::LogField(const char *Name, std::string_view Text)
    : Name_(Name), Json_(quote(Text)) {}
LogField::LogField(const char *Name, int64_t Number)
    : Name_(Name), Json_(absl::StrCat(Number)) {}
LogField::LogField(const char *Name, uint64_t Number)
    : Name_(Name), Json_(absl::StrCat(Number)) {}
LogField::LogField(const char *Name, double Number)
    : Name_(Name), Json_(absl::StrFormat("%.2f", Number)) {}
LogField::LogField(const char *Name, Duration Value)
    : LogField(Name, std::chrono::duration<double, std::milli>(Value).count()) {
}

EventLog::EventLog(int Descriptor, std::string Vm)
    : Descriptor_(Descriptor), Vm_(std::move(Vm)) {
  if (Descriptor_ < 0)
    return;
  int Flags = fcntl(Descriptor_, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor_, F_SETFL, Flags | O_NONBLOCK);
}

void EventLog::write(Time Now, const char *Kind,
                     std::initializer_list<LogField> Fields) {
  KindState &State = Kinds_[Kind];
  if (Now - State.WindowStart_ >= seconds(1)) {
    State.WindowStart_ = Now;
    State.Lines_ = 0;
  }
  if (State.Lines_ >= MaxLinesPerSecond_) {
    ++State.Suppressed_;
    return;
  }
  ++State.Lines_;
  if (Pending_.size() > MaxPending) {
    ++DroppedCount_;
    return;
  }
  absl::StrAppendFormat(
      &Pending_, R"({"t":%.3f,"vm":%s,"event":"%s")",
      std::chrono::duration<double>(Now.time_since_epoch()).count(), quote(Vm_),
      Kind);
  for (const LogField &Field : Fields)
    absl::StrAppend(&Pending_, ",\"", Field.Name_, "\":", Field.Json_);
  if (State.Suppressed_ > 0)
    absl::StrAppend(&Pending_, ",\"leftOut\":", State.Suppressed_);
  State.Suppressed_ = 0;
  Pending_ += "}\n";
}

void EventLog::flush() {
  if (Descriptor_ < 0)
    return;
  size_t Done = 0;
  while (Done < Pending_.size()) {
    ssize_t Written =
        ::write(Descriptor_, Pending_.data() + Done, Pending_.size() - Done);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      break; // The reader is slow; the rest waits for the next call.
    Done += static_cast<size_t>(Written);
  }
  Pending_.erase(0, Done);
}

} // namespace cranberry
