#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::control {

/** @brief Interval of the leader's heartbeats in the term stream. kLeaderTimeout
 * spans three of them and part of a fourth. */
inline constexpr core::Milliseconds kTermHeartbeatInterval{500};

/** @brief Time without a heartbeat of the leader after which another node claims the term. Together
 * with the takeover it stays well below what is left of a lease after the leader's last call. */
inline constexpr core::Milliseconds kLeaderTimeout{1800};

/** @brief How long a leader that can't reach the store goes on granting leases. It bridges an
 * outage of the store; a successor waits this much longer for the runs of workers that it can't
 * reach. */
inline constexpr core::Milliseconds kMaxUnconfirmedTime{8000};

/** @brief How long a node on a small VM lets other nodes claim a vacant term first. A claim takes
 * some ten milliseconds. */
inline constexpr core::Milliseconds kSmallVmClaimDelay{300};

/** @brief Share of a core below which a VM counts as small. Leading takes about a tenth of a core
 * with 350 to 540 workers. */
inline constexpr double kSmallVmCoreShare = 0.2;

/** @brief Next action of a node concerning the term. */
enum class TermStep : unsigned char {
  kNone,
  kClaim,      ///< Append a new term that this node holds.
  kHeartbeat,  ///< Append the held term again, as a heartbeat.
  kRelease,    ///< Append the held term as released.
  kStepDown,   ///< Stop granting leases: another node may have taken over unnoticed.
};

/**
 * @brief State of leader election in one node, without I/O: the owner reads and appends.
 *
 * Claims and heartbeats are conditional appends to the term stream: the store applies an append
 * only if the stream still ends where the node has read to. Of two concurrent claims only one
 * succeeds, and a leader that was superseded can't renew its term.
 */
struct TermState {
  std::string node_;
  std::string incarnation_;             ///< Incarnation of this process.
  bool small_vm_{};                     ///< Lets other nodes claim a vacant term first.
  std::optional<ledger::Term> newest_;  ///< Newest term that was read.
  std::uint64_t stream_end_{};          ///< End of the stream as far as it was read.
  core::TimePoint last_record_at_{};    ///< When a record was last read.
  core::TimePoint
      answering_since_{};  ///< Start of the current run of answered calls; zero while they fail.
  bool loaded_{};          ///< The stream has been read to its end once.
  bool is_leader_{};
  std::uint64_t highest_abandoned_{};  ///< Highest term that this process has abandoned.
  bool shutting_down_{};               ///< The node releases its term and claims none.
  bool append_in_flight_{};
  core::TimePoint confirmed_at_{};  ///< Not after the send time of the last append that succeeded.
  core::TimePoint earlier_leases_end_{};  ///< End of the leases granted in terms before the newest
                                          ///< or claimed one.
  /** Local time at which the terms' clock read zero; not before the true one. */
  core::TimePoint clock_origin_{};
  std::uint64_t claim_number_{};     ///< Number of the term that was last claimed.
  core::TimePoint claim_sent_at_{};  ///< When the first claim of claim_number_ was sent.
  core::TimePoint next_append_{};    ///< Earliest time of the next append.
};

/** @brief Updates the state by a record of the term stream.
 * @param state The state.
 * @param term The record.
 * @param end Offset after the record. Records that are not newer than the last one are ignored.
 * @param now When the record was read. */
void OnTermRead(TermState& state, const ledger::Term& term, std::uint64_t end, core::TimePoint now);

/**
 * @brief Abandons the term that this process holds, if any.
 *
 * The process never holds a term of this number again, whatever is read later: calls made under the
 * term may still take effect, and under the same number they could not be told from later ones.
 */
void AbandonTerm(TermState& state) noexcept;

/** @brief The next action. The same action is returned until the state has been updated by its
 * append. */
[[nodiscard]] TermStep NextTermStep(const TermState& state, core::TimePoint now) noexcept;

/** @brief When to call NextTermStep again if the state does not change before. */
[[nodiscard]] core::TimePoint NextTermTime(const TermState& state, core::TimePoint now) noexcept;

/**
 * @brief Makes the term to append for a claim, and computes when the leases of earlier terms end.
 * @param state The state.
 * @param lease_length Longest lease, including the tolerance for clock drift.
 * @param now When the claim is sent.
 */
[[nodiscard]] ledger::Term BeginClaim(TermState& state, core::Clock::duration lease_length,
                                      core::TimePoint now);

/** @brief Makes a heartbeat for the newest term. Precondition: a term has been read. */
[[nodiscard]] ledger::Term MakeHeartbeat(const TermState& state, core::TimePoint now);

/** @brief Name of the node that leads, as far as this node has read; empty if the newest term was
 * released or abandoned, or if its holder has been silent for kLeaderTimeout. */
[[nodiscard]] std::string CurrentLeader(const TermState& state, core::TimePoint now);

/** @brief Whether a term is held by this incarnation of this node. */
[[nodiscard]] bool IsOwnTerm(const TermState& state, const ledger::Term& term) noexcept;

}  // namespace laburnumledge::control
