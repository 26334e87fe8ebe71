/// \file http.cpp HTTP messages as the rest of the code sees them.
#include "net/http_type.h"

namespace cranberry {

namespace {

const std::string Nothing;

const std::string &findIn(const std::map<std::string, std::string> &Entries,
                          const std::string &Name) {
  auto Found = Entries.find(Name);
  return Found == Entries.end() ? Nothing : Found->second;
}

} // namespace

const std::string &HttpRequest::getHeader(const std::string &Name) const {
  return findIn(Headers_, Name);
}

const std::string &HttpRequest::getQuery(const std::string &Name) const {
  return findIn(Query_, Name);
}

const std::string &HttpResult::getHeader(const std::string &Name) const {
  for (const auto &[Key, Value] : Headers_)
    if (Key == Name)
      return Value;
  return Nothing;
}

} // namespace cranberry
