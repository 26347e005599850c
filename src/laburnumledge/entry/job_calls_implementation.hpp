#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "laburnumledge/entry/job_calls.hpp"
#include "laburnumledge/entry/job_writer.hpp"

namespace laburnumledge::entry {

/** @brief Statuses of answers, with the meaning that the platform's API gives them. */
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kMethodNotAllowed = 405;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

/** @brief Call that has not been answered yet. */
struct PendingCall {
  http::Request request_;
  http::Respond respond_;
  platform::CallerCall call_;
  std::string job_;
  std::string key_;  ///< Of the record of a submission or cancellation; empty if not known.
  std::string route_;
  std::string organisation_;
  core::TimePoint started_;
  core::TimePoint deadline_;
  bool forwarded_{};     ///< Came from another node; must not be forwarded again.
  bool urgent_{};        ///< The route has priority 0.
  bool admitted_{};      ///< Its route and key are in a configuration of this node.
  bool may_have_run_{};  ///< An append or a forwarded call for it got no answer.
};

using PendingCallPointer = std::shared_ptr<PendingCall>;

/** @brief Why a call was forwarded, and its record if that may still be written here. */
struct ForwardCause {
  unsigned status_{};
  std::string reason_;
  std::optional<platform::KeyedRecord> record_;
};

/** @brief State and steps of JobCalls: submissions and cancellations are in job_changes.cpp, reads
 * in job_states.cpp, everything else in job_calls.cpp. */
struct JobCalls::Implementation : std::enable_shared_from_this<JobCalls::Implementation> {
  EntryContext context_;
  EntryCounts counts_;
  core::TimePoint store_failed_at_{};    ///< When an append of this node last failed.
  std::uint64_t newest_peer_version_{};  ///< Newest version by which another node answered.

  std::unique_ptr<JobWriter> writer_;  ///< Null unless the deployment's appends adapt.

  explicit Implementation(const EntryContext& context);

  void HandleCall(const PendingCallPointer& pending);
  void SubmitJob(const PendingCallPointer& pending);
  void CancelJob(const PendingCallPointer& pending);
  void ShowJob(const PendingCallPointer& pending);
  void ShowRefreshedState(const PendingCallPointer& pending, bool may_recheck);
  void ShowQueueLength(const PendingCallPointer& pending);
  void AppendRecord(const PendingCallPointer& pending, platform::KeyedRecord record);
  void ChangeJob(const PendingCallPointer& pending, platform::KeyedRecord record);
  bool ForwardToCollector(const PendingCallPointer& pending, const platform::KeyedRecord& record);
  void OnCollectorAnswer(const PendingCallPointer& pending, const platform::KeyedRecord& record,
                         ForwardResult answer);
  void WriteRecord(const PendingCallPointer& pending, const platform::KeyedRecord& record,
                   bool keep);
  void OnWritten(const PendingCallPointer& pending, const platform::KeyedRecord& record,
                 RecordFate fate, WriteEnd end);
  void OnAppended(const PendingCallPointer& pending, const platform::AppendResult& result);
  void ReplySuccess(const PendingCallPointer& pending);
  void ForwardCall(const PendingCallPointer& pending, unsigned status, std::string_view reason,
                   std::optional<platform::KeyedRecord> record = std::nullopt);
  void OnPeerAnswer(const PendingCallPointer& pending, const ForwardCause& cause,
                    ForwardResult answer);
  void LogForwarded(const PendingCall& pending, const PeerReply& answer,
                    std::string_view reason) const;
  [[nodiscard]] std::uint64_t OwnVersion() const noexcept;
  void Refuse(const PendingCallPointer& pending, unsigned status, std::string_view reason,
              core::Milliseconds retry_after = {});
  [[nodiscard]] std::optional<std::size_t> BeyondQuota(const ledger::Submission& submission) const;
  [[nodiscard]] bool StoreIsSuspected() const;
  [[nodiscard]] bool MayHaveRun(const PendingCall& pending) const;
  [[nodiscard]] bool IsKnownStored(const PendingCall& pending) const;
  [[nodiscard]] bool IsUncertain(const PendingCall& pending, unsigned status) const;
  [[nodiscard]] core::Milliseconds RetryAfterFor(const PendingCall& pending) const;
  [[nodiscard]] core::Milliseconds PeerTimeout() const;
};

}  // namespace laburnumledge::entry
