#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "laburnumledge/core/time.hpp"
#include "laburnumledge/ledger/job.hpp"

namespace laburnumledge::control {

/** @brief Interval of the holder's heartbeats in the term stream. Source: ours; four may be missed
 * before another node claims the term. */
inline constexpr core::Milliseconds kTermHeartbeatInterval{500};

/** @brief Silence of the holder after which another node claims the term. Source: ours; with the
 * take-over it stays well within what a lease leaves after the holder's last call. */
inline constexpr core::Milliseconds kLeaderTimeout{1800};

/** @brief How long a holder that can't reach the store goes on granting leases. Source: ours;
 * bridges an outage of the store, and its successor waits for it where it reaches no worker. */
inline constexpr core::Milliseconds kMaxUnconfirmedTime{8000};

/** @brief How long a small VM leaves a term that may be claimed to others. Source: ours; a claim
 * takes some ten milliseconds. */
inline constexpr core::Milliseconds kSmallVmClaimDelay{300};

/** @brief Part of a core below which a VM counts as small. Source: the platform's sheets; holding
 * the term takes about a tenth of a core with 350 workers. */
inline constexpr double kSmallVmCoreShare = 0.2;

/** @brief What this node should do about the term now. */
enum class TermStep : unsigned char {
  kNone,
  kClaim,      ///< Append a term of its own.
  kHeartbeat,  ///< Append its term again.
  kRelease,    ///< Append its term as released.
  kStepDown,   ///< Grant nothing more: it may have been superseded without knowing.
};

/**
 * @brief What a node knows of the term. Pure: its owner does the reading and appending.
 *
 * A term is claimed and renewed by an append under the condition that the stream still ends where
 * the node has read to. So of two claims one lands, and a holder that was superseded can't renew.
 */
struct TermState {
  std::string node_;
  std::string incarnation_;             ///< Of this process.
  bool small_vm_{};                     ///< Leaves the term to others if they take it.
  std::optional<ledger::Term> newest_;  ///< Newest term that was read.
  std::uint64_t stream_end_{};          ///< Where the stream ends, as far as it was read.
  core::TimePoint last_record_at_{};    ///< When a record was last read.
  core::TimePoint answering_since_{};   ///< Since when the store answers; zero while it does not.
  bool loaded_{};                       ///< The stream has been read to its end once.
  bool is_leader_{};
  std::uint64_t highest_abandoned_{};  ///< Highest term that this process has given up.
  bool shutting_down_{};               ///< Shuts down: claims nothing.
  bool append_in_flight_{};
  core::TimePoint confirmed_at_{};  ///< When the last append that landed was sent, or earlier.
  core::TimePoint earlier_leases_end_{};  ///< Of terms before the one seen, or claimed.
  std::uint64_t claim_number_{};          ///< Term that was last claimed.
  core::TimePoint claim_sent_at_{};       ///< When it was first claimed.
  core::TimePoint next_append_{};         ///< Not before this time.
};

/** @brief Notes a record that was read from the stream. */
void OnTermRead(TermState& state, const ledger::Term& term, std::uint64_t end, core::TimePoint now);

/**
 * @brief Gives up the term that this process holds.
 *
 * It is not held again, whatever is read later: what was done under it may still land, and a
 * successor under the same number could not tell.
 */
void AbandonTerm(TermState& state) noexcept;

/** @brief Decides what to do. A step is repeated until its append is noted. */
[[nodiscard]] TermStep NextTermStep(const TermState& state, core::TimePoint now) noexcept;

/** @brief When NextTermStep may change its mind without an event. */
[[nodiscard]] core::TimePoint NextTermTime(const TermState& state, core::TimePoint now) noexcept;

/**
 * @brief Makes the term to append for a claim, and works out when the leases of earlier terms end.
 * @param state The state.
 * @param lease_length Longest lease, tolerance of clocks included.
 * @param now When the claim is sent.
 */
[[nodiscard]] ledger::Term BeginClaim(TermState& state, core::Clock::duration lease_length,
                                      core::TimePoint now);

/** @brief The term that is held, as it is appended again. */
[[nodiscard]] ledger::Term MakeHeartbeat(const TermState& state, core::TimePoint now);

/** @brief Whether a term is this process's own. */
[[nodiscard]] bool IsOwnTerm(const TermState& state, const ledger::Term& term) noexcept;

}  // namespace laburnumledge::control
