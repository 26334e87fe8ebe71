/// \file idempotency_test.cpp Parsing of idempotency keys and their table.
#include "request/idempotency_table_base.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace cranberry;

namespace {

constexpr uint64_t Incarnation = 5;

IdempotencyKey makeKey(uint64_t Epoch, const std::string &Nonce) {
  return {"vm1", Incarnation, Epoch, Nonce};
}

IdempotencyTable makeTable() {
  IdempotencyTable Table("vm1", Incarnation, 1000, 1 << 20);
  Table.setEpoch(10);
  return Table;
}

RecordedResponsePtr makeResponse(const std::string &Body) {
  return std::make_shared<RecordedResponse>(RecordedResponse{200, {}, Body});
}

ResultCode getRefusal(const KeyState &State) {
  return std::holds_alternative<KeyIsRefused>(State)
             ? std::get<KeyIsRefused>(State).Code_
             : ResultCode::Ok;
}

} // namespace

TEST_CASE("idempotency keys are parsed and malformed ones refused") {
  std::optional<IdempotencyKey> Key = parseIdempotencyKey("vm1/5/10/abcd1234");
  REQUIRE(Key);
  CHECK(Key->Vm_ == "vm1");
  CHECK(Key->Incarnation_ == 5);
  CHECK(Key->Epoch_ == 10);
  for (const char *Bad :
       {"", "vm1", "vm1/5/10", "/5/10/abcd1234", "vm1/x/10/abcd1234",
        "vm1/5/-1/abcd1234", "vm1/5/10/short", "vm1/5/10/abcd_1234",
        "vm1/5/10/abcd1234/x", "vm1/99999999999999999999/1/abcd1234"}) {
    CAPTURE(Bad);
    CHECK_FALSE(parseIdempotencyKey(Bad));
  }
}

TEST_CASE("a repeated key waits, then gets the recorded response") {
  IdempotencyTable Table = makeTable();
  IdempotencyKey Key = makeKey(10, "abcd1234");
  CHECK(std::holds_alternative<KeyIsNew>(Table.begin(Key, 1)));
  CHECK(std::holds_alternative<KeyIsRunning>(Table.begin(Key, 1)));
  CHECK(getRefusal(Table.begin(Key, 2)) == ResultCode::KeyReused);
  Table.recordResponse(Key, makeResponse("paid"));
  KeyState State = Table.begin(Key, 1);
  REQUIRE(std::holds_alternative<KeyIsDone>(State));
  CHECK(std::get<KeyIsDone>(State).Response_->Body_ == "paid");
}

TEST_CASE(
    "a key may start again if its request did not run, not if it may have") {
  IdempotencyTable Table = makeTable();
  IdempotencyKey Key = makeKey(10, "abcd1234");
  Table.begin(Key, 1);
  Table.remove(Key);
  CHECK(std::holds_alternative<KeyIsNew>(Table.begin(Key, 1)));
  Table.recordUnknown(Key, ResultCode::ServerAnswerLost);
  CHECK(getRefusal(Table.begin(Key, 1)) == ResultCode::ServerAnswerLost);
}

TEST_CASE("keys of another incarnation, a future epoch or an expired one are "
          "refused") {
  IdempotencyTable Table = makeTable();
  IdempotencyKey Other = makeKey(10, "abcd1234");
  Other.Incarnation_ = 4;
  CHECK(getRefusal(Table.begin(Other, 1)) == ResultCode::KeyIncarnationGone);
  CHECK(getRefusal(Table.begin(makeKey(11, "abcd1234"), 1)) ==
        ResultCode::KeyMalformed);
  CHECK(
      std::holds_alternative<KeyIsNew>(Table.begin(makeKey(8, "abcd1234"), 1)));
  CHECK(getRefusal(Table.begin(makeKey(7, "abcd1234"), 1)) ==
        ResultCode::KeyExpired);
}

TEST_CASE("a full table refuses new keys and keeps the old ones") {
  IdempotencyTable Table("vm1", Incarnation, 2, 1 << 20);
  Table.setEpoch(10);
  Table.begin(makeKey(10, "aaaaaaaa"), 1);
  Table.begin(makeKey(10, "bbbbbbbb"), 1);
  CHECK(getRefusal(Table.begin(makeKey(10, "cccccccc"), 1)) ==
        ResultCode::KeyTableFull);
  CHECK(std::holds_alternative<KeyIsRunning>(
      Table.begin(makeKey(10, "aaaaaaaa"), 1)));
}

TEST_CASE("random repeats over epochs never start a key twice once it may have "
          "run") {
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    IdempotencyTable Table("vm1", Incarnation, 40, 1 << 20);
    uint64_t Epoch = 1;
    Table.setEpoch(Epoch);
    std::vector<IdempotencyKey> Keys;
    std::map<std::string, unsigned> PossibleRuns;
    std::map<std::string, IdempotencyKey> Running;
    for (int Step = 0; Step < 2000; ++Step) {
      switch (Random() % 6) {
      case 0:
        Keys.push_back(makeKey(Epoch, "nonce" + std::to_string(1000 + Step)));
        break;
      case 1:
        if (Random() % 20 == 0)
          Table.setEpoch(++Epoch);
        break;
      case 2:
        if (!Running.empty()) {
          auto [Nonce, Key] = *Running.begin();
          Running.erase(Running.begin());
          if (Random() % 3 == 0) {
            Table.remove(Key);
            --PossibleRuns[Nonce];
          } else if (Random() % 2 == 0) {
            Table.recordResponse(Key, makeResponse(Nonce));
          } else {
            Table.recordUnknown(Key, ResultCode::ServerAnswerLost);
          }
        }
        break;
      default:
        if (Keys.empty())
          break;
        const IdempotencyKey &Key = Keys[Random() % Keys.size()];
        if (std::holds_alternative<KeyIsNew>(Table.begin(Key, 1))) {
          ++PossibleRuns[Key.Nonce_];
          Running[Key.Nonce_] = Key;
        }
      }
      for (const auto &[Nonce, Times] : PossibleRuns)
        REQUIRE(Times <= 1);
    }
  }
}
