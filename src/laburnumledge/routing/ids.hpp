#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"

namespace laburnumledge::routing {

/** @brief Digest of an organisation's Request-Id. */
struct IdKey {
  std::uint64_t high_{};
  std::uint64_t low_{};

  [[nodiscard]] auto operator<=>(const IdKey&) const noexcept = default;
};

/** @brief Hash of a key, for unordered containers. */
struct IdKeyHash {
  [[nodiscard]] std::size_t operator()(const IdKey& key) const noexcept { return key.low_; }
};

/** @brief Digest of a Request-Id; identifiers of two organisations never meet. */
[[nodiscard]] IdKey MakeIdKey(std::string_view organisation, std::string_view id);

/** @brief Who may send the request of an identifier. */
struct IdOwner {
  std::string node_;
  std::uint64_t token_{};  ///< Unique for each admission.
};

/** @brief An identifier that a node remembers for all nodes. */
struct NotedId {
  IdOwner owner_;
  core::TimePoint forget_at_;
};

/** @brief Bounded memory of identifiers that must not be sent again. */
struct IdBook {
  std::unordered_map<IdKey, NotedId, IdKeyHash> ids_;
  std::set<std::pair<core::TimePoint, IdKey>> by_end_;
  std::size_t max_ids_{400000};
};

/** @brief Answer to a note. */
struct NoteAnswer {
  bool fresh_{};   ///< The identifier was not known, or by this very owner.
  IdOwner owner_;  ///< Who has it now.
};

/**
 * @brief Notes an identifier for an owner.
 * @return Empty if the book is full: a remembered identifier is never dropped for a new one.
 */
[[nodiscard]] std::optional<NoteAnswer> Note(IdBook& book, const IdKey& key, const IdOwner& owner,
                                             core::TimePoint forget_at, core::TimePoint now);

/** @brief Forgets an identifier whose request did not run; ignored for another owner's token. */
void Forget(IdBook& book, const IdKey& key, std::uint64_t token);

/** @brief Node with its zone. */
struct NodeInZone {
  std::string name_;
  std::string zone_;

  [[nodiscard]] bool operator==(const NodeInZone&) const noexcept = default;
};

/**
 * @brief Nodes that remember a key, in the order in which they are asked.
 * @return At most three: the home node, the next in order in another zone, and the next after.
 */
[[nodiscard]] std::vector<std::string> Noters(const IdKey& key,
                                              const std::vector<NodeInZone>& nodes);

/** @brief What one noter said. */
enum class NoteState : unsigned char { kNotAsked, kAsked, kLate, kFresh, kSeen, kLost };

/** @brief What a round of notes has come to. */
enum class RoundResult : unsigned char {
  kOpen,    ///< Replies are missing.
  kFresh,   ///< Enough nodes remember it for this owner: it may be sent.
  kSeen,    ///< It may have been sent before.
  kFailed,  ///< Too few nodes can remember it: it must not be sent.
};

/** @brief Notes of one identifier: two of three noters must agree, so that two rounds meet. */
struct NoteRound {
  std::vector<std::string> noters_;
  std::vector<NoteState> states_;
  std::size_t needed_{};
  std::size_t asked_again_{};  ///< Times that a contested noter was asked again.
};

/** @brief Starts a round. With fewer noters than needed it has failed. */
[[nodiscard]] NoteRound BeginRound(std::vector<std::string> noters, std::size_t needed);

/** @brief Noters that must be asked now, each returned once. */
[[nodiscard]] std::vector<std::size_t> TakeNotersToAsk(NoteRound& round);

/** @brief Takes over what a noter said, or that it is late (kLate) or will not reply (kLost). */
void OnNoteState(NoteRound& round, std::size_t noter, NoteState state) noexcept;

/**
 * @brief Noter that knows the identifier for another owner, although one before it in order is
 * fresh: the other owner has lost there and takes its note back, so it is worth asking again.
 */
[[nodiscard]] std::optional<std::size_t> ContestedNoter(const NoteRound& round) noexcept;

/** @brief What the round has come to. The first noter in order decides between two owners. */
[[nodiscard]] RoundResult ResultOf(const NoteRound& round) noexcept;

/** @brief Notes that another node must take over after a change of the nodes. */
struct Handover {
  std::string node_;
  IdKey key_;
  NotedId noted_;
};

/**
 * @brief Notes that this node passes on after a change of the nodes.
 * @param book What this node remembers.
 * @param before Nodes before the change.
 * @param after Nodes after it.
 * @param self This node.
 * @param now Notes that end before are left out.
 */
[[nodiscard]] std::vector<Handover> NotesToHandOver(const IdBook& book,
                                                    const std::vector<NodeInZone>& before,
                                                    const std::vector<NodeInZone>& after,
                                                    const std::string& self, core::TimePoint now);

}  // namespace laburnumledge::routing
