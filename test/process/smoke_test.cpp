/// \file smoke_test.cpp The daemon's command line.
#include "standin/child_process_base.h"

#include <catch2/catch.hpp>

using cranberry::standin::ChildProcess;

TEST_CASE("the daemon says its version and ends") {
  ChildProcess Daemon({PROGRAM_DIR "/cranberryd", "--version"}, "");
  CHECK(Daemon.wait() == 0);
}
