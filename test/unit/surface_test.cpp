/// \file surface_test.cpp Result codes, settings and peer replies.
#include "core/result_func.h"
#include "core/table/result_table.h"
#include "daemon/settings_func.h"
#include "daemon/settings_reload_base.h"
#include "daemon/wire_func.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace cranberry;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

const char *const GoodSettings =
    R"("vm":"v","region":"r","zone":"z","http":"127.0.0.1:0",)"
    R"("peer":"127.0.0.1:0","platform":"127.0.0.1:1")";

} // namespace

TEST_CASE("every result code has one row, and docs/ERRORS.md lists it") {
  std::string Page = readFile(SOURCE_DIR "/docs/ERRORS.md");
  std::set<unsigned> Numbers;
  std::set<std::string> Names;
  for (const ResultRow &Row : ResultTable) {
    auto Number = static_cast<unsigned>(Row.Code_);
    CAPTURE(Row.Name_);
    CHECK(Numbers.insert(Number).second);
    CHECK(Names.insert(Row.Name_).second);
    CHECK(findResultCode(Number) == Row.Code_);
    std::string Line = "| " + std::to_string(Number) + " | " + Row.Name_ +
                       " | " + getName(Row.Outcome_) + " | " +
                       std::to_string(Row.HttpStatus_) + " |";
    CHECK(Page.find(Line) != std::string::npos);
  }
  CHECK_FALSE(findResultCode(9999));
}

TEST_CASE("settings are refused with the key, the reason and a code") {
  struct Case {
    std::string Text_;  ///< Text of the settings file.
    ResultCode Code_;   ///< Expected result code.
    const char *Field_; ///< Expected key in the error.
  };
  std::string Good = GoodSettings;
  const Case Cases[] = {
      {"{" + Good + "}", ResultCode::Ok, ""},
      {"", ResultCode::SettingsNotJson, ""},
      {"[1]", ResultCode::SettingsNotJson, ""},
      {"{" + Good, ResultCode::SettingsNotJson, ""},
      {"{" + Good + R"(,"vmm":"x"})", ResultCode::SettingsUnknownKey, "vmm"},
      {"{" + Good + R"(,"httpThreads":"2"})", ResultCode::SettingsWrongType,
       "httpThreads"},
      {"{" + Good + R"(,"httpThreads":0})", ResultCode::SettingsOutOfRange,
       "httpThreads"},
      {"{" + Good + R"(,"lookupTtlMs":1e9})", ResultCode::SettingsWrongType,
       "lookupTtlMs"},
      {"{" + Good + R"(,"peers":"x"})", ResultCode::SettingsWrongType, "peers"},
      {"{" + Good + R"(,"peers":["x"]})", ResultCode::SettingsOutOfRange,
       "peers"},
      {R"({"vm":"v"})", ResultCode::SettingsMissingKey, "region"},
      {R"({"vm":""})", ResultCode::SettingsWrongType, "vm"},
      {R"({"http":"localhost:80"})", ResultCode::SettingsOutOfRange, "http"},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Text_);
    std::vector<Reason> Errors;
    CHECK(parseSettings(C.Text_, Errors).has_value() ==
          (C.Code_ == ResultCode::Ok));
    Reason Why = Errors.empty() ? Reason() : Errors.front();
    CHECK(Why.Code_ == C.Code_);
    CHECK(Why.Field_ == C.Field_);
  }
  std::vector<Reason> Errors;
  CHECK_FALSE(readSettings("/nowhere.json", Errors));
  REQUIRE(Errors.size() == 1);
  CHECK(Errors.front().Code_ == ResultCode::SettingsFileMissing);
}

TEST_CASE("settings with a number out of range are refused") {
  std::vector<Reason> Faults;
  CHECK_FALSE(parseSettings(R"({"vm": 41e999})", Faults));
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].Code_ == ResultCode::SettingsNotJson);
}

TEST_CASE("all errors of the settings are reported together") {
  std::vector<Reason> Errors;
  CHECK_FALSE(parseSettings(R"({"vm":"","zone":"z","colour":1})", Errors));
  std::vector<std::string> Fields;
  Fields.reserve(Errors.size());
  for (const Reason &Why : Errors)
    Fields.push_back(Why.Field_);
  CHECK(Fields == std::vector<std::string>{"colour", "vm", "region", "http",
                                           "peer", "platform"});
}

TEST_CASE("reloadable settings are applied and others reported as needing a "
          "restart") {
  std::string Path = "settings_reload_test.json";
  auto Write = [&Path](const std::string &Text) {
    std::ofstream(Path) << Text;
  };
  std::string Good = GoodSettings;
  Write("{" + Good + "}");
  std::vector<Reason> Errors;
  std::optional<Settings> Current = readSettings(Path, Errors);
  REQUIRE(Current);
  SettingsFile File(Path);
  CHECK(File.applyChanges(*Current).Applied_.empty());
  Write("{" + Good + R"(,"lookupTtlMs":700,"maxConnections":9})");
  SettingsChange Change = File.applyChanges(*Current);
  CHECK(Change.Applied_ == std::vector<std::string>{"lookupTtlMs"});
  CHECK(Change.NeedRestart_ == std::vector<std::string>{"maxConnections"});
  CHECK(Current->LookupTtl_ == milliseconds(700));
  CHECK(Current->MaxConnections_ != 9);
  // An invalid file changes nothing and is reported once.
  Write("{" + Good + R"(,"lookupTtlMs":"soon"})");
  Change = File.applyChanges(*Current);
  REQUIRE(Change.Faults_.size() == 1);
  CHECK(Change.Faults_.front().Field_ == "lookupTtlMs");
  CHECK(File.applyChanges(*Current).Faults_.empty());
  CHECK(Current->LookupTtl_ == milliseconds(700));
  std::remove(Path.c_str());
  CHECK(File.applyChanges(*Current).Faults_.empty());
}

TEST_CASE(
    "a reply of a peer that is truncated or for another request is refused") {
  CallResult Original{ResultCode::Ok,
                      std::make_shared<RecordedResponse>(
                          RecordedResponse{200, {{"a", "b"}}, "body"}),
                      "s:1"};
  wire::ForwardReply Reply = encodeForwardReply(Original, "id1");
  CallResult Decoded = decodeForwardReply(Reply, "id1");
  REQUIRE(Decoded.Code_ == ResultCode::Ok);
  CHECK(Decoded.Response_->Body_ == "body");
  CHECK(Decoded.Response_->Headers_ == Original.Response_->Headers_);
  CHECK(decodeForwardReply(Reply, "id2").Code_ == ResultCode::PeerAnswerLost);
  Reply.set_body("bod");
  CHECK(decodeForwardReply(Reply, "id1").Code_ == ResultCode::PeerAnswerLost);
  Reply.set_body("body");
  Reply.set_result(9999);
  CHECK(decodeForwardReply(Reply, "id1").Code_ == ResultCode::PeerAnswerLost);
}
