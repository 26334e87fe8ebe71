/// \file route_history.cpp Expected running time of each route.
#include "request/route_history_base.h"

#include <algorithm>
#include <cctype>

namespace cranberry {

namespace {

constexpr size_t MaxRoutes = 4096;
constexpr int MeanWeight = 8;    ///< A new value counts for 1 / MeanWeight.
constexpr int MedianWeight = 32; ///< Step of the running median.

} // namespace

void RouteHistory::record(const std::string &Route, Duration Ran) {
  if (Typical_ == Duration::zero())
    Typical_ = Ran;
  Duration Step = std::max(Typical_ / MedianWeight, Duration(1));
  Typical_ += Ran > Typical_ ? Step : -Step;
  auto Found = Means_.find(Route);
  if (Found != Means_.end()) {
    Found->second += (Ran - Found->second) / MeanWeight;
    return;
  }
  if (Means_.size() < MaxRoutes)
    Means_.emplace(Route, Ran);
}

Duration RouteHistory::getEstimate(const std::string &Route) const {
  auto Found = Means_.find(Route);
  return Found == Means_.end() ? Typical_ : Found->second;
}

std::string makeRoute(std::string_view Method, std::string_view Path) {
  std::string Route(Method);
  Route += ' ';
  Path = Path.substr(0, Path.find('?'));
  while (!Path.empty()) {
    size_t End = Path.find('/', 1);
    std::string_view Segment = Path.substr(0, End);
    bool HasDigit =
        std::any_of(Segment.begin(), Segment.end(),
                    [](unsigned char C) { return std::isdigit(C); });
    Route += HasDigit ? "/#" : Segment;
    if (End == std::string_view::npos)
      break;
    Path.remove_prefix(End);
  }
  return Route;
}

} // namespace cranberry
