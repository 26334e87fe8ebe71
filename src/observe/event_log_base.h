/// \file event_log_base.h Structured event log in JSON lines.
#ifndef CRANBERRY_OBSERVE_EVENT_LOG_BASE_H
#define CRANBERRY_OBSERVE_EVENT_LOG_BASE_H

#include "core/time_type.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace cranberry {

/// A field of a log line. Numbers are written without quotes.
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
  LogField(const char *Name, Duration Value); ///< Written in milliseconds.

  const char *Name_; ///< Name of the field.
  std::string Json_; ///< Value, encoded as JSON.
};

/// Buffers JSON lines and writes them without blocking.
///
/// Each kind of line has its own rate limit. Suppressed lines are counted, and
/// the kind's next line reports their number. Lines that don't fit into the
/// buffer because the reader is slow are dropped and counted. Not thread-safe.
class EventLog {
public:
  /// \param Descriptor File descriptor for the lines; it is set to
  /// non-blocking. If negative, the lines stay in memory. \param Vm Name of
  /// this entry VM, written in each line.
  EventLog(int Descriptor, std::string Vm);

  /// Writes a line unless its kind is over the rate limit.
  /// \param Now Time of the event.
  void write(Time Now, const char *Kind,
             std::initializer_list<LogField> Fields);

  /// Writes as much of the buffer as the reader accepts without blocking.
  void flush();

  /// \return Lines that haven't been written yet.
  const std::string &getPending() const { return Pending_; }
  /// \return Number of lines dropped because of a slow reader.
  uint64_t getDroppedCount() const { return DroppedCount_; }

  /// \param Lines Maximum number of lines of one kind per second; 0 disables
  /// the log.
  void setMaxLinesPerSecond(unsigned Lines) { MaxLinesPerSecond_ = Lines; }

private:
  struct KindState {
    Time WindowStart_;        ///< Start of the current one-second window.
    unsigned Lines_ = 0;      ///< Lines written in the window.
    uint64_t Suppressed_ = 0; ///< Lines suppressed since the last one written.
  };

  int Descriptor_;                  ///< File descriptor; negative for none.
  std::string Vm_;                  ///< Name of this entry VM.
  std::string Pending_;             ///< Lines that haven't been written yet.
  unsigned MaxLinesPerSecond_ = 40; ///< Maximum lines per kind and second.
  uint64_t DroppedCount_ = 0;       ///< Lines dropped because of a slow reader.
  std::map<std::string_view, KindState> Kinds_; ///< By kind.
};

} // namespace cranberry

#endif
