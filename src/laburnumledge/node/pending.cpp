#include "laburnumledge/node/pending.hpp"

#include <utility>

namespace laburnumledge::node {

namespace {

void Answer(PendingRecords& pending, const std::string& id, const RecordOutcome& outcome) {
  const auto found = pending.records_.find(id);
  if (found == pending.records_.end()) {
    return;
  }
  const PendingRecord record = std::move(found->second);
  pending.records_.erase(found);
  pending.voids_.erase(record.void_id_);
  record.done_(outcome);
}

/** True if the record's caller was answered. */
bool TakeBack(PendingRecords& pending, const std::string& id, PendingRecord& record,
              platform::Appender& appender, const std::function<proto::Record()>& make_record) {
  if (platform::WithdrawRecord(appender, id) == core::Verdict::kNotRun) {
    Answer(pending, id, {.verdict_ = core::Verdict::kNotRun, .result_ = {}});
    return true;
  }
  proto::Record message = make_record();
  message.mutable_void_record()->set_record(id);
  record.void_id_ = message.id();
  pending.voids_[record.void_id_] = id;
  platform::QueueRecord(appender, std::move(message), platform::Priority::kTerm);
  return false;
}

/** Its void was read, and the record not before it, unless in a part that was not read. */
void AnswerVoided(PendingRecords& pending, platform::Appender& appender, const std::string& id,
                  const state::RecordMemory& memory) {
  platform::OnRecordRead(appender, id);
  const std::uint64_t base = pending.records_.at(id).base_offset_;
  const bool may_have_landed = memory.known_.contains(id) || base < memory.floor_;
  Answer(pending, id,
         {.verdict_ = may_have_landed ? core::Verdict::kMayHaveRun : core::Verdict::kNotRun,
          .result_ = {}});
}

/** What became of a record in the part that was not read is not known. */
void SettleLoaded(PendingRecords& pending, platform::Appender& appender,
                  const state::RecordMemory& memory) {
  const auto known = [&](const std::string& id) { return memory.known_.contains(id); };
  for (const std::string& id : platform::OnStateLoaded(appender, known)) {
    Answer(pending, id, {.verdict_ = core::Verdict::kMayHaveRun, .result_ = {}});
  }
}

std::vector<std::string> Ids(const PendingRecords& pending) {
  std::vector<std::string> ids;
  ids.reserve(pending.records_.size());
  for (const auto& [id, record] : pending.records_) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace

void Await(PendingRecords& pending, const proto::Record& record, core::TimePoint withdraw_at,
           core::TimePoint answer_by, RecordDone done) {
  pending.records_[record.id()] = {.base_offset_ = record.base_offset(),
                                   .void_id_ = {},
                                   .withdraw_at_ = withdraw_at,
                                   .answer_by_ = answer_by,
                                   .done_ = std::move(done)};
}

void Settle(PendingRecords& pending, platform::Appender& appender,
            const std::vector<Applied>& applied, const state::RecordMemory& memory,
            std::uint64_t loads) {
  if (std::exchange(pending.loads_, loads) != loads) {
    SettleLoaded(pending, appender, memory);
  }
  for (const Applied& record : applied) {
    platform::OnRecordRead(appender, record.id_);
    const auto voided = pending.voids_.find(record.id_);
    if (voided != pending.voids_.end()) {
      AnswerVoided(pending, appender, std::string(voided->second), memory);
    }
    const state::ApplyCode code = record.result_.code_;
    const bool known = code != state::ApplyCode::kRepeated && code != state::ApplyCode::kExpired;
    Answer(pending, record.id_,
           {.verdict_ = known ? core::Verdict::kRan : core::Verdict::kMayHaveRun,
            .result_ = record.result_});
  }
}

void StepPending(PendingRecords& pending, platform::Appender& appender,
                 const std::function<proto::Record()>& make_record, core::TimePoint now) {
  for (const std::string& id : Ids(pending)) {
    const auto found = pending.records_.find(id);
    if (found == pending.records_.end()) {
      continue;
    }
    const bool due = found->second.void_id_.empty() && now >= found->second.withdraw_at_;
    if (due && TakeBack(pending, id, found->second, appender, make_record)) {
      continue;
    }
    if (now >= found->second.answer_by_) {
      Answer(pending, id, {.verdict_ = core::Verdict::kMayHaveRun, .result_ = {}});
    }
  }
}

}  // namespace laburnumledge::node
