#include "laburnumledge/node/recovery.hpp"

#include <fmt/core.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fit.hpp"
#include "fleet.hpp"
#include "laburnumledge/core/log.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/node/decider.hpp"

namespace laburnumledge::measure {

namespace {

constexpr int kRuns = 3;
constexpr int kTail = 1000;
constexpr int kRecords = 200;
constexpr std::size_t kChunkBytes = 128U << 10U;
constexpr double kNanoseconds = 1000;
const std::vector<double> kShares = {0.125, 0.25, 0.5, 1.0};

using Table = std::map<std::string, std::vector<Point>>;

platform::LogEntry EntryOf(std::uint64_t offset, const proto::Record& record) {
  proto::RecordBatch batch;
  *batch.add_records() = record;
  return {.offset_ = offset, .data_ = batch.SerializeAsString()};
}

proto::Record Checkpoint(const node::Replica& replica, int index) {
  proto::Record record = NextRecord(replica);
  record.mutable_checkpoint_job()->set_job(fmt::format("job-{}", index % 100));
  record.mutable_checkpoint_job()->set_attempt(1);
  record.mutable_checkpoint_job()->set_progress_ms(static_cast<std::uint64_t>(index));
  return record;
}

/** What the log keeps: a snapshot and a tail of checkpoints behind it. */
platform::ReadAnswer MakeStream(node::Replica& replica) {
  platform::ReadAnswer answer;
  answer.first_ = replica.jobs_.next_offset_;
  for (proto::SnapshotChunk& chunk : state::CutSnapshot(replica.jobs_, "snapshot", kChunkBytes)) {
    proto::Record record = NextRecord(replica);
    *record.mutable_snapshot_chunk() = std::move(chunk);
    answer.entries_.push_back(EntryOf(replica.jobs_.next_offset_, record));
    MustApply(replica, record);
  }
  for (int i = 0; i < kTail; ++i) {
    const proto::Record record = Checkpoint(replica, i);
    answer.entries_.push_back(EntryOf(replica.jobs_.next_offset_, record));
    MustApply(replica, record);
  }
  answer.next_ = replica.jobs_.next_offset_;
  return answer;
}

void Recover(const platform::ReadAnswer& stream) {
  node::Replica fresh = node::MakeReplica("region-1");
  const core::TimePoint now{std::chrono::hours(1)};
  while (!fresh.jobs_reader_.at_tail_) {
    (void)node::TakeJobsAnswer(fresh, stream, now);
  }
}

void RecoverFromPeer(const node::Replica& source) {
  proto::StateRequest request;
  request.set_region("region-1");
  node::Replica fresh = node::MakeReplica("region-1");
  if (!node::TakeStateReply(fresh, node::MakeStateReply(source, request))) {
    std::abort();
  }
}

/** Nanoseconds to apply one record of a kind. */
double ApplyCost(node::Replica& replica, const std::function<proto::Record(int)>& make) {
  const auto parsed_apply = [&] {
    for (int i = 0; i < kRecords; ++i) {
      const proto::Record record = make(i);
      (void)state::Apply(replica.jobs_, record, replica.jobs_.next_offset_);
      replica.jobs_reader_.next_ = replica.jobs_.next_offset_;
    }
  };
  const auto make_only = [&] {
    for (int i = 0; i < kRecords; ++i) {
      (void)make(i);
    }
  };
  return (LeastMicroseconds(kRuns, parsed_apply) - LeastMicroseconds(kRuns, make_only)) *
         kNanoseconds / kRecords;
}

void MeasureApply(Table& table, node::Replica& replica, double tasks) {
  int next = 0;
  const auto add = [&](const char* name, const std::function<proto::Record(int)>& make) {
    table[name].push_back({tasks, ApplyCost(replica, make)});
  };
  add("apply submit, ns",
      [&](int) { return SubmitRecord(replica, fmt::format("extra-{}", next++), 4, 0); });
  add("apply cancel of a queued job, ns", [&](int) {
    proto::Record record = NextRecord(replica);
    record.mutable_cancel_job()->set_job(fmt::format("extra-{}", --next));
    return record;
  });
  add("apply checkpoint, ns", [&](int i) { return Checkpoint(replica, i); });
  add("apply keep-term, ns", [&](int) {
    proto::Record record = NextRecord(replica);
    record.mutable_keep_term();
    return record;
  });
  add("apply void, ns", [&](int i) {
    proto::Record record = NextRecord(replica);
    record.mutable_void_record()->set_record(fmt::format("voided-{}", i));
    return record;
  });
}

/** One step of the holder with nothing to do, against a search over all jobs. */
void MeasureStep(Table& table, node::Replica& replica, double tasks) {
  node::Decider decider;
  decider.self_ = "node-1";
  decider.incarnation_ = 1;
  decider.snapshot_term_ = 1;
  decider.snapshot_at_ = core::TimePoint::max();
  platform::Appender appender;
  core::Random random = core::MakeRandom(1, "measure");
  const core::TimePoint now{std::chrono::seconds(1)};
  const double step = LeastMicroseconds(kRuns, [&] {
    (void)node::Step(decider, replica.jobs_, replica.configuration_, replica.plan_, replica.index_,
                     replica.jobs_reader_, appender, random, now);
  });
  table["holder's step with nothing to do, us"].push_back({tasks, step});
}

void MeasureAt(Table& table, double share) {
  const FleetSize size = Share(kLetterSize, share);
  node::Replica replica = MakeFleet(size);
  FillFleet(replica, size);
  const double tasks = size.tasks_;
  const proto::StateImage image = state::MakeImage(replica.jobs_);
  table["snapshot, bytes"].push_back({tasks, static_cast<double>(image.ByteSizeLong())});
  double jobs = 0;
  for (const proto::JobImage& job : image.jobs()) {
    jobs += static_cast<double>(job.ByteSizeLong());
  }
  table["snapshot, bytes a job"].push_back(
      {tasks, jobs / static_cast<double>(replica.jobs_.jobs_.size())});
  table["recovery from a peer, us"].push_back(
      {tasks, LeastMicroseconds(kRuns, [&] { RecoverFromPeer(replica); })});
  const platform::ReadAnswer stream = MakeStream(replica);
  table["recovery from the log, tail of 1000, us"].push_back(
      {tasks, LeastMicroseconds(kRuns, [&] { Recover(stream); })});
  MeasureStep(table, replica, tasks);
  MeasureApply(table, replica, tasks);
}

void Print(const Table& table) {
  fmt::print("| quantity | 1/8 | 1/4 | 1/2 | 1 | base | slope a task |\n");
  fmt::print("|---|---|---|---|---|---|---|\n");
  for (const auto& [name, points] : table) {
    const Fit fit = FitLine(points);
    fmt::print("| {} |", name);
    for (const Point& point : points) {
      fmt::print(" {:.0f} |", point.value_);
    }
    fmt::print(" {:.0f} | {:.3g} |\n", fit.base_, fit.slope_);
  }
}

}  // namespace

}  // namespace laburnumledge::measure

int main() {
  laburnumledge::core::SetLevel(laburnumledge::core::Level::kError);
  laburnumledge::measure::Table table;
  for (const double share : laburnumledge::measure::kShares) {
    laburnumledge::measure::MeasureAt(table, share);
  }
  laburnumledge::measure::Print(table);
  return 0;
}
