/// \file main.cpp Command line of the operator tool.
#include "ctl/command_func.h"
#include "ctl/table/command_table.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

using namespace cranberry;

namespace {

void printHelp(const boost::program_options::options_description &Flags) {
  std::cout << "cranberryctl COMMAND [flags]\n\n";
  for (const CommandRow &Row : CommandTable)
    std::cout << "  " << Row.Name_ << " " << Row.Usage_ << "\n      "
              << Row.Help_ << "\n";
  std::cout << "\n"
            << Flags
            << "\nExit codes: 0 success, 1 refused, 2 usage, 3 unreachable, 4 "
               "conflict,\n5 outcome unknown, 6 timed out\n";
}

int reportUsageError(const std::string &Text) {
  std::cerr << "cranberryctl: " << Text << " (see --help)\n";
  return static_cast<int>(ExitCode::Usage);
}

/// Finds a command by name; rows with the same name differ in the number of
/// arguments.
const CommandRow *findCommand(const std::string &Name, size_t Arguments) {
  const CommandRow *Found = nullptr;
  for (const CommandRow &Row : CommandTable)
    if (Row.Name_ == Name && (!Found || Row.ArgumentCount_ == Arguments))
      Found = &Row;
  return Found;
}

int run(const boost::program_options::variables_map &Options, Invocation Call) {
  std::vector<std::string> Words =
      Options["words"].as<std::vector<std::string>>();
  const CommandRow *Row = findCommand(Words.front(), Words.size() - 1);
  if (!Row)
    return reportUsageError("unknown command '" + Words.front() + "'");
  Call.Command_ = Row->Command_;
  Call.Arguments_.assign(Words.begin() + 1, Words.end());
  if (Call.Arguments_.size() != Row->ArgumentCount_)
    return reportUsageError(std::string("usage: ") + Row->Name_ + " " +
                            Row->Usage_);
  if (Row->NeedsFile_ && Call.File_.empty())
    return reportUsageError("--file is required");
  std::string Output = Options["output"].as<std::string>();
  if (Output != "table" && Output != "json")
    return reportUsageError("--output must be 'table' or 'json'");
  Call.IsJson_ = Output == "json";
  if (Row->NeedsEndpoint_ && Call.Endpoint_.empty())
    return reportUsageError("--endpoint or CRANBERRY_ENDPOINT is required");
  return static_cast<int>(runCommand(Call));
}

} // namespace

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  Invocation Call;
  const char *Endpoint = std::getenv("CRANBERRY_ENDPOINT");
  po::options_description Flags("Flags");
  // clang-format off
  Flags.add_options()
      ("endpoint", po::value(&Call.Endpoint_)
          ->default_value(Endpoint ? Endpoint : ""), "address:port of an entry VM")
      ("file,f", po::value(&Call.File_), "JSON file with objects, or a log file; - is stdin")
      ("version", po::value(&Call.ExpectedVersion_), "expected version of the object; 0 if it must not exist")
      ("wait", po::value(&Call.WaitSeconds_), "timeout of drain and watch, in seconds")
      ("output,o", po::value<std::string>()->default_value("table"), "table or json")
      ("help", "print this and exit");
  // clang-format on
  po::options_description All;
  All.add(Flags).add_options()("words", po::value<std::vector<std::string>>());
  po::positional_options_description Positions;
  Positions.add("words", -1);
  po::variables_map Options;
  try {
    po::store(po::command_line_parser(Argc, Argv)
                  .options(All)
                  .positional(Positions)
                  .run(),
              Options);
    po::notify(Options);
  } catch (const po::error &Error) {
    return reportUsageError(Error.what());
  }
  if (Options.count("help")) {
    printHelp(Flags);
    return 0;
  }
  if (!Options.count("words"))
    return reportUsageError("a command is required");
  return run(Options, Call);
}
