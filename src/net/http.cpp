/// \file http.cpp HTTP requests, responses and calls.
#include "net/http_type.h"

namespace cranberry {

namespace {

const std::string EmptyValue;

const std::string &
getValueOrEmpty(const std::map<std::string, std::string> &Entries,
                const std::string &Name) {
  auto Found = Entries.find(Name);
  return Found == Entries.end() ? EmptyValue : Found->second;
}

} // namespace

const std::string &HttpRequest::getHeader(const std::string &Name) const {
  return getValueOrEmpty(Headers_, Name);
}

const std::string &HttpRequest::getQuery(const std::string &Name) const {
  return getValueOrEmpty(Query_, Name);
}

const std::string &HttpResult::getHeader(const std::string &Name) const {
  for (const auto &[Key, Value] : Headers_)
    if (Key == Name)
      return Value;
  return EmptyValue;
}

} // namespace cranberry
