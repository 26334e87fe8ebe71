/// \file shared_rate_limiter_base.h Limits starts to a share of a server's
/// rate.
#ifndef CRANBERRY_REQUEST_SHARED_RATE_LIMITER_BASE_H
#define CRANBERRY_REQUEST_SHARED_RATE_LIMITER_BASE_H

#include "core/rate_limit_type.h"
#include "request/recent_starts_base.h"

#include <optional>

namespace cranberry {

/// Token bucket for this VM's share of a server's request rate.
///
/// A limit applies to all entry VMs together, so a VM starts nothing before a
/// share is set. See RateLedger for how shares are assigned.
class SharedRateLimiter {
public:
  /// Rate below which a limit is not enforced. Without any requests the end of
  /// a limit would never be noticed.
  static constexpr double MinLimit = 0.5;

  /// Applies a limit unless a newer one is known.
  void setLimit(const NamedRateLimit &Named);

  /// Sets this VM's share of the limit.
  /// \param PerSecond Starts per second.
  void setShare(double PerSecond, Time Now);

  bool isLimited() const { return Limit_.PerSecond_.has_value(); }
  const NamedRateLimit &getLimit() const { return Limit_; }
  double getShare() const { return Share_; }

  /// \return Time until a start is allowed behind \p Planned others, or nothing
  /// if the share is zero.
  std::optional<Duration> getWait(unsigned Planned, Time Now) const;

  /// Records a start, whether or not it was within the limit.
  void recordStart(Time Now);

  /// Records that a request would have used the server but for the limit.
  void recordShortage() { HasShortage_ = true; }

  /// \return Starts within RecentStarts::Window.
  unsigned getRecentStarts(Time Now) { return Starts_.getCount(Now); }

  /// \return Whether the limit, or its end, has to be reported to the server's
  /// ledger. The end is reported once.
  bool takeReportDue();

  /// \return Whether this VM has recently used the server or needed it.
  bool isInUse(Time Now) { return HasShortage_ || getRecentStarts(Now) > 0; }

  /// \return Rate to request as the next share, in starts per second. Resets
  /// the shortage.
  double takeDemand(Time Now);

  /// Forgets the limit, as a restarted server names its own.
  void reset();

private:
  double getTokens(Time Now) const;

  NamedRateLimit Limit_;     ///< Newest limit.
  double Share_ = 0;         ///< Starts per second by this VM.
  double Tokens_ = 0;        ///< Starts allowed at RefilledAt_.
  Time RefilledAt_;          ///< Time of the last change of Tokens_.
  RecentStarts Starts_;      ///< Starts of this VM.
  bool HasShortage_ = false; ///< Whether the share was too small.
  bool IsEndDue_ = false;    ///< Whether the limit's end must be reported.
};

} // namespace cranberry

#endif
