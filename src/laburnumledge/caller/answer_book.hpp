#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/http/server.hpp"
#include "laburnumledge/routing/ids.hpp"

namespace laburnumledge::caller {

/** @brief What this node knows of a non-repeatable request that it took itself. */
struct TakenRequest {
  std::uint64_t fingerprint_{};
  std::uint64_t token_{};
  bool under_way_{true};
  bool waits_for_owner_{};  ///< Another node has the request and is asked for the answer.
  std::vector<http::Respond> waiting_;  ///< Callers that repeated it while it was under way.
  std::optional<http::Reply> reply_;    ///< Kept if it is small.
  core::TimePoint forget_at_;
};

/** @brief Bounded memory of non-repeatable requests and of their small answers. */
struct AnswerBook {
  std::map<routing::IdKey, TakenRequest> taken_;
  std::set<std::pair<core::TimePoint, routing::IdKey>> by_end_;
  std::size_t kept_bytes_{};
  std::size_t max_kept_bytes_{16U << 20U};
  std::size_t max_answer_bytes_{16U << 10U};
};

/** @brief Digest of what a caller asks for, to tell a repeat from another use of its identifier. */
[[nodiscard]] std::uint64_t Fingerprint(std::string_view method, std::string_view target,
                                        std::string_view body) noexcept;

/**
 * @brief Answers a repeat from what this node knows.
 *
 * A repeat of a request under way waits for the same answer; of one that ended it gets the kept
 * answer, or is told that it may have run.
 * @return False if this node knows nothing of the identifier; the function is not taken then.
 */
[[nodiscard]] bool AnswerRepeat(AnswerBook& book, const routing::IdKey& key,
                                std::uint64_t fingerprint, const http::Respond& respond,
                                core::TimePoint now);

/** @brief Notes a request that this node takes. @pre Its identifier is not in the book. */
void TakeRequest(AnswerBook& book, const routing::IdKey& key, std::uint64_t fingerprint,
                 std::uint64_t token, core::TimePoint forget_at);

/** @brief Notes that another node has the request and is asked for its answer. */
void WaitForOwner(AnswerBook& book, const routing::IdKey& key);

/** @brief Whether this node itself waits for another one's answer. */
[[nodiscard]] bool WaitsForOwner(const AnswerBook& book, const routing::IdKey& key);

/**
 * @brief Notes how a taken request ended and answers its repeats.
 * @param book The book.
 * @param key Its identifier.
 * @param not_run Whether it truly did not run: then its identifier may be used again.
 * @param reply What its caller gets.
 */
void EndRequest(AnswerBook& book, const routing::IdKey& key, bool not_run,
                const http::Reply& reply);

/** @brief Refusal of a repeat whose first request may have run. */
[[nodiscard]] http::Reply RepeatRefusal(std::string_view reason);

}  // namespace laburnumledge::caller
