/// \file caller_base.h Stand-in for callers: load, checks and percentiles.
#ifndef CRANBERRY_STANDIN_CALLER_BASE_H
#define CRANBERRY_STANDIN_CALLER_BASE_H

#include "net/event_loop_base.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cranberry::standin {

/// Load on one service.
struct LoadProfile {
  std::string Service_;            ///< Service.
  double PerSecond_ = 10;          ///< Arrivals a second, at random.
  double KeyedShare_ = 0;          ///< Share that may not be repeated.
  double LongShare_ = 0;           ///< Share on the long route.
  Duration Deadline_ = seconds(5); ///< Deadline of each request.
  std::vector<std::string> Clients_{"10.100.0.1"}; ///< Client addresses.
};

/// What became of the load on one service.
struct LoadReport {
  unsigned Sent_ = 0;     ///< Requests made.
  unsigned Answered_ = 0; ///< Answered whole, with the right answer.
  unsigned NotRun_ = 0;   ///< Refused as not run, retries included.
  unsigned Unknown_ = 0;  ///< Unknown to the end.
  unsigned Wrong_ = 0;    ///< Answers that were not the request's own.
  unsigned Retried_ = 0;  ///< Repeats by the caller.
  std::vector<double> LatenciesMs_;        ///< Of answered requests.
  std::map<std::string, unsigned> Errors_; ///< By result code.

  /// \return The \p Share quantile of latency in ms; zero if there is none.
  double getPercentile(double Share) const;
};

/// Makes requests as callers do: asks which entry VM to use, caches that,
/// repeats a keyed request with the same key, and checks every answer.
class Caller {
public:
  /// \param Bootstrap Entry VMs to ask first.
  Caller(std::vector<std::string> Bootstrap, uint64_t Seed);
  ~Caller();

  /// Makes load until stop(). Safe from any thread.
  void addLoad(const LoadProfile &Profile);

  /// Stops new requests, waits for those that are out.
  void stop();

  /// Makes one request and waits for its end.
  /// \return Outcome header, or "unreachable".
  std::string callOnce(const std::string &Service, const std::string &Method,
                       const std::string &Path);

  std::map<std::string, LoadReport> getReports();

private:
  struct EntryVm {
    std::string Address_;   ///< "address:port".
    std::string KeyPrefix_; ///< First parts of keys made for it.
    unsigned Weight_;       ///< Share.
  };
  struct Cached {
    std::vector<EntryVm> Vms_; ///< In order of preference.
    Time Expiry_;              ///< When it must be asked again.
  };
  struct Shot {
    LoadProfile Profile_;      ///< Load it belongs to.
    std::string Client_;       ///< Client address.
    std::string Method_;       ///< Method.
    std::string Path_;         ///< Path.
    std::string Echo_;         ///< What the answer must repeat.
    std::string Key_;          ///< Idempotency key, if keyed.
    std::vector<EntryVm> Vms_; ///< Candidates.
    size_t Next_ = 0;          ///< Next candidate.
    unsigned Tries_ = 0;       ///< Tries made.
    bool MayHaveRun_ = false;  ///< An earlier try's end is unknown.
    Time Started_;             ///< When it was made.
    std::function<void(const std::string &)> Done_; ///< For callOnce().
  };

  void arrive(LoadProfile Profile);
  void lookup(const std::shared_ptr<Shot> &Shot, unsigned Try);
  void fire(const std::shared_ptr<Shot> &Shot);
  void endTry(const std::shared_ptr<Shot> &Shot, const HttpResult &Result);
  void end(const std::shared_ptr<Shot> &Shot, const std::string &Outcome);
  size_t pickVm(const std::vector<EntryVm> &Vms);
  std::string makeNonce();
  std::shared_ptr<Shot> makeShot(const LoadProfile &Profile);

  std::vector<std::string> Bootstrap_;        ///< Entry VMs to ask first.
  EventLoop Loop_;                            ///< All state is its thread's.
  std::mt19937_64 Random_;                    ///< Arrivals and choices.
  std::map<std::string, Cached> Cache_;       ///< By service and client.
  std::map<std::string, LoadReport> Reports_; ///< By service.
  unsigned Open_ = 0;                         ///< Requests out.
  bool Stopping_ = false;                     ///< No new requests.
  std::thread Thread_;                        ///< Runs the loop.
};

} // namespace cranberry::standin

#endif
