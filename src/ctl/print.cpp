/// \file print.cpp Prints results as tables for terminals.
#include "ctl/print_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>

using nlohmann::json;

namespace cranberry {

namespace {

using Row = std::vector<std::string>;

/// Prints rows with their columns aligned.
void printRows(std::ostream &Out, const std::vector<Row> &Rows) {
  std::vector<size_t> Widths;
  for (const Row &Cells : Rows)
    for (size_t I = 0; I < Cells.size(); ++I) {
      Widths.resize(std::max(Widths.size(), I + 1));
      Widths[I] = std::max(Widths[I], Cells[I].size());
    }
  for (const Row &Cells : Rows) {
    for (size_t I = 0; I + 1 < Cells.size(); ++I)
      Out << std::left << std::setw(static_cast<int>(Widths[I]) + 2)
          << Cells[I];
    Out << Cells.back() << "\n";
  }
}

std::string formatHeadroom(const RegionSummary &Line) {
  if (Line.Usable_ == 0)
    return "none";
  unsigned Free = Line.Usable_ - std::min(Line.Usable_, Line.InUse_);
  return std::to_string(100 * Free / Line.Usable_) + "%";
}

} // namespace

void printError(std::ostream &Out, const json &Error) {
  if (!Error.is_object()) {
    Out << "cranberryctl: the response can't be parsed\n";
    return;
  }
  Out << "cranberryctl: " << Error.value("code", 0) << " "
      << Error.value("name", "") << ": ";
  if (Error.contains("field"))
    Out << Error.value("field", "") << ": ";
  Out << Error.value("reason", "") << "\n";
}

void printObject(std::ostream &Out, const json &Object) {
  Out << Object.value("kind", "") << "/" << Object.value("name", "")
      << " version " << Object["version"] << "\n"
      << Object["spec"].dump(2) << "\n";
}

void printObjects(std::ostream &Out, const json &List) {
  std::vector<Row> Rows{{"NAME", "VERSION", "SPEC"}};
  for (const json &Item : List["items"])
    Rows.push_back(
        {Item.value("name", ""), Item["version"].dump(), Item["spec"].dump()});
  printRows(Out, Rows);
}

void printChange(std::ostream &Out, const json &Change) {
  Out << Change["version"] << " " << Change.value("kind", "") << "/"
      << Change.value("name", "") << " "
      << (Change.contains("deleted") ? "deleted" : Change["spec"].dump())
      << std::endl;
}

void printExplanation(std::ostream &Out, const json &Explanation) {
  Out << "client " << Explanation.value("client", "") << " -> zone "
      << Explanation.value("zone", "") << ": "
      << Explanation.value("zoneWhy", "") << " (version "
      << Explanation["version"] << ")\n\n";
  std::vector<Row> Vms{{"ENTRY VM", "WEIGHT", "WHY"}};
  for (const json &Vm : Explanation["entryVms"])
    Vms.push_back(
        {Vm.value("vm", ""), Vm["weight"].dump(), Vm.value("why", "")});
  printRows(Out, Vms);
  Out << "\n";
  std::vector<Row> Servers{{"BACKEND SERVER", "OWNER"}};
  for (const json &Server : Explanation["servers"])
    Servers.push_back({Server.value("server", ""), Server.value("owner", "")});
  printRows(Out, Servers);
}

void printFleetStatus(std::ostream &Out, const FleetStatus &Fleet) {
  std::vector<Row> Vms{
      {"ENTRY VM", "REGION", "ZONE", "STATE", "VERSION", "OPEN REQUESTS"}};
  for (const VmSummary &Line : Fleet.Vms_)
    Vms.push_back({Line.Vm_, Line.Region_, Line.Zone_, Line.State_,
                   std::to_string(Line.Version_),
                   std::to_string(Line.OpenRequests_)});
  printRows(Out, Vms);
  Out << "\n";
  std::vector<Row> Regions{
      {"REGION", "SERVICE", "IN USE", "SLOTS", "HEADROOM", "QUEUED"}};
  for (const auto &[Key, Line] : Fleet.Regions_)
    Regions.push_back({Key.first, Key.second, std::to_string(Line.InUse_),
                       std::to_string(Line.Usable_), formatHeadroom(Line),
                       std::to_string(Line.Queued_)});
  printRows(Out, Regions);
  for (const std::string &Drain : Fleet.Drains_)
    Out << "\ndrain: " << Drain;
  for (const std::string &Problem : Fleet.Problems_)
    Out << "\nproblem: " << Problem;
  Out << (Fleet.Problems_.empty() ? "\nno problems\n" : "\n");
}

} // namespace cranberry
