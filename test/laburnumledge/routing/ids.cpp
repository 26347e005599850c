#include "laburnumledge/routing/ids.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::routing {

namespace {

using std::chrono::seconds;

const std::vector<NodeInZone> kNodes = {
    {"node-1", "zone-1"}, {"node-2", "zone-1"}, {"node-3", "zone-2"}, {"node-4", "zone-2"}};

}  // namespace

TEST_CASE("An identifier belongs to its first owner until it is forgotten") {
  IdBook book;
  const IdKey key = MakeIdKey("stofn", "r-1");
  const core::TimePoint now{};
  CHECK(Note(book, key, {"node-1", 7}, now + seconds(10), now)->fresh_);
  CHECK(Note(book, key, {"node-1", 7}, now + seconds(10), now)->fresh_);
  const auto repeat = Note(book, key, {"node-2", 8}, now + seconds(10), now);
  CHECK_FALSE(repeat->fresh_);
  CHECK(repeat->owner_.node_ == "node-1");
  Forget(book, key, 8);
  CHECK_FALSE(Note(book, key, {"node-2", 8}, now + seconds(10), now)->fresh_);
  Forget(book, key, 7);
  CHECK(Note(book, key, {"node-2", 8}, now + seconds(10), now)->fresh_);
  CHECK(Note(book, key, {"node-3", 9}, now + seconds(30), now + seconds(10))->fresh_);
}

TEST_CASE("A full book refuses and never drops what it remembers") {
  IdBook book;
  book.max_ids_ = 1;
  const core::TimePoint now{};
  const IdKey first = MakeIdKey("stofn", "r-1");
  const IdKey second = MakeIdKey("lefka", "r-1");
  CHECK(Note(book, first, {"node-1", 1}, now + seconds(10), now).has_value());
  CHECK_FALSE(Note(book, second, {"node-1", 2}, now + seconds(10), now).has_value());
  CHECK_FALSE(Note(book, first, {"node-1", 3}, now + seconds(10), now)->fresh_);
}

TEST_CASE("Noters lie in two zones, and a change of one node leaves one of the first two") {
  for (int i = 0; i < 200; ++i) {
    const IdKey key = MakeIdKey("stofn", std::to_string(i));
    const std::vector<std::string> before = Noters(key, kNodes);
    REQUIRE(before.size() == 3);
    const auto zone = [](const std::string& name) { return name == "node-1" || name == "node-2"; };
    CHECK(zone(before[0]) != zone(before[1]));
    for (const NodeInZone& gone : kNodes) {
      std::vector<NodeInZone> left = kNodes;
      std::erase(left, gone);
      const std::vector<std::string> after = Noters(key, left);
      const bool meet = before[0] == after[0] || before[0] == after[1] || before[1] == after[0] ||
                        before[1] == after[1];
      CHECK(meet);
    }
  }
}

TEST_CASE("A round needs two noters, and the third stands in for a late one") {
  NoteRound round = BeginRound({"a", "b", "c"}, 2);
  CHECK(TakeNotersToAsk(round) == std::vector<std::size_t>{0, 1});
  OnNoteState(round, 0, NoteState::kFresh);
  CHECK(ResultOf(round) == RoundResult::kOpen);
  CHECK(TakeNotersToAsk(round).empty());
  OnNoteState(round, 1, NoteState::kLate);
  CHECK(TakeNotersToAsk(round) == std::vector<std::size_t>{2});
  OnNoteState(round, 2, NoteState::kFresh);
  CHECK(ResultOf(round) == RoundResult::kFresh);
}

TEST_CASE("A round in which two noters are lost has failed: nothing is sent") {
  NoteRound round = BeginRound({"a", "b", "c"}, 2);
  CHECK(TakeNotersToAsk(round).size() == 2);
  OnNoteState(round, 0, NoteState::kLost);
  CHECK(TakeNotersToAsk(round).size() == 1);
  OnNoteState(round, 2, NoteState::kLost);
  CHECK(ResultOf(round) == RoundResult::kFailed);
  CHECK(ResultOf(BeginRound({"a"}, 2)) == RoundResult::kFailed);
}

TEST_CASE("Of two rounds at once the one that the first noter knows wins") {
  NoteRound winner = BeginRound({"a", "b", "c"}, 2);
  NoteRound loser = BeginRound({"a", "b", "c"}, 2);
  CHECK(TakeNotersToAsk(winner).size() == 2);
  CHECK(TakeNotersToAsk(loser).size() == 2);
  OnNoteState(winner, 0, NoteState::kFresh);
  OnNoteState(winner, 1, NoteState::kSeen);
  OnNoteState(loser, 1, NoteState::kFresh);
  OnNoteState(loser, 0, NoteState::kSeen);
  CHECK(ResultOf(loser) == RoundResult::kSeen);
  CHECK(ResultOf(winner) == RoundResult::kOpen);
  CHECK(TakeNotersToAsk(winner).empty());
  CHECK(ContestedNoter(winner) == std::optional<std::size_t>(1));
  OnNoteState(winner, 1, NoteState::kFresh);
  CHECK(ResultOf(winner) == RoundResult::kFresh);
}

TEST_CASE("A note that an old noter keeps is lost only with its memory") {
  NoteRound round = BeginRound({"a", "b", "c"}, 2);
  CHECK(TakeNotersToAsk(round).size() == 2);
  OnNoteState(round, 0, NoteState::kFresh);
  OnNoteState(round, 1, NoteState::kSeen);
  OnNoteState(round, 1, NoteState::kLate);
  OnNoteState(round, 1, NoteState::kLost);
  round.asked_again_ = 5;
  CHECK(ResultOf(round) == RoundResult::kSeen);
}

TEST_CASE("Notes are handed over to the nodes that are new among the first two") {
  IdBook book;
  const core::TimePoint now{};
  for (std::uint64_t i = 0; i < 100; ++i) {
    const IdKey key = MakeIdKey("stofn", std::to_string(i));
    REQUIRE(Note(book, key, {"node-1", i}, now + seconds(60), now).has_value());
  }
  std::vector<NodeInZone> after = kNodes;
  std::erase(after, kNodes[3]);
  std::size_t needed = 0;
  for (const auto& [key, noted] : book.ids_) {
    const auto old_noters = Noters(key, kNodes);
    needed += old_noters[0] == "node-4" || old_noters[1] == "node-4" ? 1 : 0;
  }
  std::size_t handed = 0;
  for (const Handover& handover : NotesToHandOver(book, kNodes, after, "node-9", now)) {
    const auto noters = Noters(handover.key_, after);
    CHECK((handover.node_ == noters[0] || handover.node_ == noters[1]));
    ++handed;
  }
  CHECK(handed >= needed);
  CHECK(NotesToHandOver(book, kNodes, after, "node-9", now + seconds(60)).empty());
}

}  // namespace laburnumledge::routing
