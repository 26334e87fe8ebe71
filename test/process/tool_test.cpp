/// \file tool_test.cpp Exit codes of the tool and flags of the daemon.
#include "cluster_base.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace cranberry::test;
using cranberry::standin::ChildProcess;

namespace {

int runTool(Cluster &World, std::vector<std::string> Words) {
  Words.insert(Words.begin(), PROGRAM_DIR "/cranberryctl");
  Words.push_back("--endpoint");
  Words.push_back(World.vm(0).getHttp());
  return ChildProcess(Words, "").wait();
}

} // namespace

TEST_CASE("the tool's exit code tells the result of a command") {
  Cluster World({"r-a", "r-b"}, 1, {});
  std::string Server = World.server("r-a", 0).getAddress();
  CHECK(runTool(World, {"status"}) == 0);
  CHECK(runTool(World, {"list", "pool", "-o", "json"}) == 0);
  CHECK(runTool(World, {"get", "service", "pay"}) == 0);
  CHECK(runTool(World, {"get", "service", "none"}) == 1);
  CHECK(runTool(World, {"explain", "pay", "10.0.0.1"}) == 0);
  CHECK(runTool(World, {"drain", "server", Server, "--wait", "10"}) == 0);
  CHECK(runTool(World, {"undrain", "server", Server}) == 0);
  CHECK(runTool(World, {"drain", "rack", "7"}) == 2);
  CHECK(runTool(World, {"delete", "service", "pay"}) == 1);
  CHECK(runTool(World, {"delete", "pool", "pay.r-a", "--version", "1"}) == 4);
  CHECK(runTool(World, {"apply", "--file", "/nowhere"}) == 2);
  CHECK(runTool(World, {"fly"}) == 2);
  CHECK(runTool(World, {"get", "service"}) == 2);
  ChildProcess Away(
      {PROGRAM_DIR "/cranberryctl", "status", "--endpoint", "127.0.0.1:1"}, "");
  CHECK(Away.wait() == 3);
}

TEST_CASE("the daemon checks its flags and settings") {
  auto Run = [](std::vector<std::string> Words) {
    Words.insert(Words.begin(), PROGRAM_DIR "/cranberryd");
    return ChildProcess(Words, "").wait();
  };
  CHECK(Run({"--version"}) == 0);
  CHECK(Run({"--help"}) == 0);
  CHECK(Run({}) == 2);
  CHECK(Run({"--fly"}) == 2);
  CHECK(Run({"--settings", "/nowhere"}) == 2);
  const std::string Shipped =
      PROGRAM_DIR "/../settings/papadakis/vms/attica-a1.json";
  CHECK(Run({"--settings", Shipped, "--check"}) == 0);
}
