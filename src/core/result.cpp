/// \file result.cpp Look-ups in the table of results.
#include "core/result_func.h"

#include "core/not_reached_func.h"
#include "core/table/result_table.h"

#include <algorithm>
#include <iterator>

namespace cranberry {

namespace {

const ResultRow &getRow(ResultCode Code) {
  const auto *Row =
      std::find_if(std::begin(ResultTable), std::end(ResultTable),
                   [=](const ResultRow &R) { return R.Code_ == Code; });
  if (Row == std::end(ResultTable))
    NOT_REACHED();
  return *Row;
}

} // namespace

const char *getName(ResultCode Code) { return getRow(Code).Name_; }

const char *getSummary(ResultCode Code) { return getRow(Code).Summary_; }

Outcome getOutcome(ResultCode Code) { return getRow(Code).Outcome_; }

int getHttpStatus(ResultCode Code) { return getRow(Code).HttpStatus_; }

const char *getName(Outcome Value) {
  return OutcomeNames[static_cast<size_t>(Value)];
}

std::optional<ResultCode> findResultCode(unsigned Number) {
  for (const ResultRow &Row : ResultTable)
    if (static_cast<unsigned>(Row.Code_) == Number)
      return Row.Code_;
  return std::nullopt;
}

std::string formatReason(const Reason &Why) {
  std::string Line = std::to_string(static_cast<unsigned>(Why.Code_));
  Line += " ";
  Line += getName(Why.Code_);
  if (!Why.Field_.empty())
    Line += ": " + Why.Field_;
  Line += ": " + (Why.Message_.empty() ? getSummary(Why.Code_) : Why.Message_);
  return Line;
}

} // namespace cranberry
