#include "laburnumledge/routing/ids.hpp"

#include <algorithm>

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::routing {

namespace {

constexpr std::size_t kMaxNoters = 3;
constexpr std::size_t kNotesKept = 2;
constexpr std::size_t kMaxAskedAgain = 5;
constexpr std::uint64_t kSecondSeed = 1;

void ForgetEnded(IdBook& book, core::TimePoint now) {
  while (!book.by_end_.empty() && book.by_end_.begin()->first <= now) {
    book.ids_.erase(book.by_end_.begin()->second);
    book.by_end_.erase(book.by_end_.begin());
  }
}

std::size_t CountOf(const NoteRound& round, NoteState state) noexcept {
  return static_cast<std::size_t>(std::count(round.states_.begin(), round.states_.end(), state));
}

std::optional<std::size_t> FirstIn(const NoteRound& round, NoteState state) noexcept {
  const auto found = std::find(round.states_.begin(), round.states_.end(), state);
  if (found == round.states_.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - round.states_.begin());
}

}  // namespace

IdKey MakeIdKey(std::string_view organisation, std::string_view id) {
  std::string text(organisation);
  text += '\0';
  text += id;
  return {.high_ = core::Hash(text), .low_ = core::Hash(text, kSecondSeed)};
}

std::optional<NoteAnswer> Note(IdBook& book, const IdKey& key, const IdOwner& owner,
                               core::TimePoint forget_at, core::TimePoint now) {
  ForgetEnded(book, now);
  const auto known = book.ids_.find(key);
  if (known != book.ids_.end()) {
    const IdOwner& holder = known->second.owner_;
    return NoteAnswer{.fresh_ = holder.token_ == owner.token_, .owner_ = holder};
  }
  if (book.ids_.size() >= book.max_ids_) {
    return std::nullopt;
  }
  book.ids_.emplace(key, NotedId{.owner_ = owner, .forget_at_ = forget_at});
  book.by_end_.emplace(forget_at, key);
  return NoteAnswer{.fresh_ = true, .owner_ = owner};
}

void Forget(IdBook& book, const IdKey& key, std::uint64_t token) {
  const auto known = book.ids_.find(key);
  if (known != book.ids_.end() && known->second.owner_.token_ == token) {
    book.by_end_.erase({known->second.forget_at_, key});
    book.ids_.erase(known);
  }
}

std::vector<std::string> Noters(const IdKey& key, const std::vector<NodeInZone>& nodes) {
  std::vector<std::pair<std::uint64_t, const NodeInZone*>> order;
  order.reserve(nodes.size());
  for (const NodeInZone& node : nodes) {
    order.emplace_back(core::Hash(node.name_, key.low_), &node);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  if (order.size() > 2) {
    const auto elsewhere = std::find_if(order.begin() + 1, order.end(), [&](const auto& entry) {
      return entry.second->zone_ != order.front().second->zone_;
    });
    if (elsewhere != order.end()) {
      std::rotate(order.begin() + 1, elsewhere, elsewhere + 1);
    }
  }
  std::vector<std::string> noters;
  for (std::size_t i = 0; i < std::min(kMaxNoters, order.size()); ++i) {
    noters.push_back(order[i].second->name_);
  }
  return noters;
}

NoteRound BeginRound(std::vector<std::string> noters, std::size_t needed) {
  const std::size_t count = noters.size();
  return {.noters_ = std::move(noters),
          .states_ = std::vector<NoteState>(count, NoteState::kNotAsked),
          .needed_ = needed};
}

std::vector<std::size_t> TakeNotersToAsk(NoteRound& round) {
  std::size_t hopeful = CountOf(round, NoteState::kAsked) + CountOf(round, NoteState::kFresh) +
                        CountOf(round, NoteState::kSeen);
  std::vector<std::size_t> ask;
  for (std::size_t i = 0; i < round.states_.size() && hopeful < round.needed_; ++i) {
    if (round.states_[i] == NoteState::kNotAsked) {
      round.states_[i] = NoteState::kAsked;
      ask.push_back(i);
      ++hopeful;
    }
  }
  return ask;
}

void OnNoteState(NoteRound& round, std::size_t noter, NoteState state) noexcept {
  NoteState& current = round.states_[noter];
  const bool asked = current == NoteState::kAsked;
  const bool late = current == NoteState::kLate && state != NoteState::kLate;
  const bool taken_back = current == NoteState::kSeen && state == NoteState::kFresh;
  if (asked || late || taken_back) {
    current = state;
  }
}

std::optional<std::size_t> ContestedNoter(const NoteRound& round) noexcept {
  const std::optional<std::size_t> seen = FirstIn(round, NoteState::kSeen);
  const std::optional<std::size_t> fresh = FirstIn(round, NoteState::kFresh);
  return seen.has_value() && fresh.has_value() && *fresh < *seen ? seen : std::nullopt;
}

RoundResult ResultOf(const NoteRound& round) noexcept {
  const std::optional<std::size_t> seen = FirstIn(round, NoteState::kSeen);
  if (seen.has_value()) {
    const bool contested = ContestedNoter(round).has_value();
    const std::optional<std::size_t> asked = FirstIn(round, NoteState::kAsked);
    const bool may_win = contested && round.asked_again_ < kMaxAskedAgain;
    const bool undecided = asked.has_value() && *asked < *seen;
    return may_win || undecided ? RoundResult::kOpen : RoundResult::kSeen;
  }
  if (CountOf(round, NoteState::kFresh) >= round.needed_) {
    return RoundResult::kFresh;
  }
  const std::size_t possible = round.states_.size() - CountOf(round, NoteState::kLost);
  return possible < round.needed_ ? RoundResult::kFailed : RoundResult::kOpen;
}

std::vector<Handover> NotesToHandOver(const IdBook& book, const std::vector<NodeInZone>& before,
                                      const std::vector<NodeInZone>& after, const std::string& self,
                                      core::TimePoint now) {
  std::vector<Handover> handovers;
  for (const auto& [key, noted] : book.ids_) {
    if (noted.forget_at_ <= now) {
      continue;
    }
    const std::vector<std::string> old_noters = Noters(key, before);
    const std::vector<std::string> new_noters = Noters(key, after);
    const std::size_t old_count = std::min(kNotesKept, old_noters.size());
    const auto old_end = old_noters.begin() + static_cast<std::ptrdiff_t>(old_count);
    for (std::size_t i = 0; i < std::min(kNotesKept, new_noters.size()); ++i) {
      const std::string& node = new_noters[i];
      const bool has_it = node == self || std::find(old_noters.begin(), old_end, node) != old_end;
      if (!has_it) {
        handovers.push_back({.node_ = node, .key_ = key, .noted_ = noted});
      }
    }
  }
  return handovers;
}

}  // namespace laburnumledge::routing
