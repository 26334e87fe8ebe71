/// \file event_log_base.h Structured log lines on standard output.
#ifndef CRANBERRY_OBSERVE_EVENT_LOG_BASE_H
#define CRANBERRY_OBSERVE_EVENT_LOG_BASE_H

#include "core/time_type.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace cranberry {

/// One field of a log line; numbers are written without quotes.
struct LogField {
  LogField(const char *Name, std::string_view Text);
  LogField(const char *Name, const std::string &Text)
      : LogField(Name, std::string_view(Text)) {}
  LogField(const char *Name, const char *Text)
      : LogField(Name, std::string_view(Text)) {}
  LogField(const char *Name, int64_t Number);
  LogField(const char *Name, uint64_t Number);
  LogField(const char *Name, int Number)
      : LogField(Name, static_cast<int64_t>(Number)) {}
  LogField(const char *Name, unsigned Number)
      : LogField(Name, static_cast<uint64_t>(Number)) {}
  LogField(const char *Name, double Number);
  LogField(const char *Name, Duration Value); ///< In milliseconds.

  const char *Name_; ///< Name.
  std::string Json_; ///< Value as JSON.
};

/// Collects JSON lines and writes them without ever blocking.
///
/// Each kind of line has its own rate; what is left out is counted and told
/// with the kind's next line. Lines that the reader does not take in time are
/// dropped and counted as well. Not thread-safe.
class EventLog {
public:
  /// \param Descriptor Where lines go; set to non-blocking. Negative keeps the
  /// lines in memory.
  /// \param Vm Name of this entry VM, on each line.
  EventLog(int Descriptor, std::string Vm);

  /// Writes a line unless its kind is over its rate.
  /// \param Now Time of the decision.
  void write(Time Now, const char *Kind,
             std::initializer_list<LogField> Fields);

  /// Passes on what the reader takes now.
  void flush();

  /// \return Bytes that wait.
  const std::string &getPending() const { return Pending_; }
  uint64_t getDroppedCount() const { return DroppedCount_; }

  /// \param Lines Most lines of one kind in a second; 0 for none.
  void setMaxLinesPerSecond(unsigned Lines) { MaxLinesPerSecond_ = Lines; }

private:
  struct KindState {
    Time WindowStart_;        ///< Start of the current second.
    unsigned Lines_ = 0;      ///< Lines in it.
    uint64_t Suppressed_ = 0; ///< Lines left out since the last one written.
  };

  int Descriptor_;                  ///< See the constructor.
  std::string Vm_;                  ///< See the constructor.
  std::string Pending_;             ///< Not taken by the reader yet.
  unsigned MaxLinesPerSecond_ = 40; ///< See setRate().
  uint64_t DroppedCount_ =
      0; ///< Lines dropped since the reader did not take them.
  std::map<std::string_view, KindState> Kinds_; ///< By kind.
};

} // namespace cranberry

#endif
