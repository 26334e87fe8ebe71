/// \file shared_rate_limiter.cpp Limits starts to a share of a server's rate.
#include "request/shared_rate_limiter_base.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Unused share that may be saved up, as arrivals are uneven.
constexpr double BurstSeconds = 0.3;

/// A VM whose share was too small requests this multiple of it.
constexpr double ShortageGrowth = 1.5;

/// Requested in addition to the recent rate, so that a VM with few requests can
/// start one at once.
constexpr double DemandMargin = 0.5;

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

void SharedRateLimiter::setLimit(const NamedRateLimit &Named) {
  if (Named.NamedAt_ < Limit_.NamedAt_)
    return;
  NamedRateLimit Before = Limit_;
  Limit_ = Named;
  if (!Limit_.PerSecond_) {
    IsEndDue_ = IsEndDue_ || Before.PerSecond_;
    return;
  }
  Limit_.PerSecond_ = std::max(*Limit_.PerSecond_, MinLimit);
  if (!Before.PerSecond_) {
    Share_ = 0;
    Tokens_ = 0;
    RefilledAt_ = Named.NamedAt_;
  } else if (*Limit_.PerSecond_ < *Before.PerSecond_) {
    // The share follows a lower limit without waiting for a new assignment.
    Share_ *= *Limit_.PerSecond_ / *Before.PerSecond_;
  }
}

void SharedRateLimiter::setShare(double PerSecond, Time Now) {
  Tokens_ = getTokens(Now);
  RefilledAt_ = Now;
  Share_ = PerSecond;
}

double SharedRateLimiter::getTokens(Time Now) const {
  double Capacity = std::max(1.0, Share_ * BurstSeconds);
  return std::min(Capacity, Tokens_ + toSeconds(Now - RefilledAt_) * Share_);
}

std::optional<Duration> SharedRateLimiter::getWait(unsigned Planned,
                                                   Time Now) const {
  if (!isLimited())
    return Duration(0);
  double Missing = Planned + 1 - getTokens(Now);
  if (Missing <= 0)
    return Duration(0);
  if (Share_ <= 0)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Missing / Share_));
}

void SharedRateLimiter::recordStart(Time Now) {
  Starts_.recordStart(Now);
  if (!isLimited())
    return;
  Tokens_ = getTokens(Now) - 1;
  RefilledAt_ = Now;
}

double SharedRateLimiter::takeDemand(Time Now) {
  double Recent = getRecentStarts(Now) / toSeconds(RecentStarts::Window);
  double Demand = Recent + DemandMargin;
  if (HasShortage_)
    Demand = std::max(Demand, Share_ * ShortageGrowth + DemandMargin);
  HasShortage_ = false;
  return Demand;
}

bool SharedRateLimiter::takeReportDue() {
  bool IsDue = isLimited() || IsEndDue_;
  IsEndDue_ = false;
  return IsDue;
}

void SharedRateLimiter::reset() { *this = SharedRateLimiter(); }

} // namespace cranberry
