#include <fmt/core.h>
#include <malloc.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "capacity_roles.hpp"
#include "fit.hpp"
#include "fleet.hpp"
#include "laburnumledge/core/random.hpp"
#include "laburnumledge/policy/decide.hpp"
#include "laburnumledge/state/snapshot.hpp"
#include "laburnumledge/worker/exchange.hpp"
#include "laburnumledge/worker/shard.hpp"
#include "peer.pb.h"

namespace laburnumledge::measure {

namespace {

constexpr int kRuns = 5;
const std::vector<double> kShares = {0.125, 0.25, 0.5, 1.0};

/** @brief One measured quantity against the fleet's share. */
struct Series {
  std::string unit_;
  std::string per_;  ///< What the slope counts: tasks or workers.
  std::vector<Point> points_;
};

using Table = std::map<std::string, Series>;

void Add(Table& table, const std::string& name, const std::string& unit, const std::string& per,
         double size, double value) {
  Series& series = table[name];
  series.unit_ = unit;
  series.per_ = per;
  series.points_.push_back({size, value});
}

double AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void MeasureState(Table& table, const node::Replica& replica, const FleetSize& size) {
  const double tasks = size.tasks_;
  const std::string image = state::MakeImage(replica.jobs_).SerializeAsString();
  Add(table, "snapshot image", "bytes", "task", tasks, static_cast<double>(image.size()));
  Add(table, "snapshot: make and cut", "us", "task", tasks, LeastMicroseconds(kRuns, [&] {
        (void)state::CutSnapshot(replica.jobs_, "snapshot", 256U << 10U);
      }));
  proto::StateImage parsed;
  parsed.ParseFromString(image);
  Add(table, "recovery: restore an image", "us", "task", tasks, LeastMicroseconds(kRuns, [&] {
        if (!state::RestoreImage(parsed, "region-1").has_value()) {
          std::abort();
        }
      }));
}

void MeasureApply(Table& table, node::Replica& replica, const FleetSize& size) {
  constexpr int kRecords = 50;
  cells::WorkerIndex from = 0;
  int next = 0;
  const double per_cycle = LeastMicroseconds(kRuns, [&] {
    for (int i = 0; i < kRecords; ++i) {
      const std::string job = fmt::format("extra-{}", next++);
      MustApply(replica, SubmitRecord(replica, job, 4, 0));
      MustApply(replica, PlaceRecord(replica, job, from));
      proto::Record finish = NextRecord(replica);
      finish.mutable_finish_job()->set_job(job);
      finish.mutable_finish_job()->set_attempt(1);
      MustApply(replica, finish);
    }
  });
  Add(table, "apply: submit, place and finish a job of 4 tasks", "us", "task", size.tasks_,
      per_cycle / kRecords);
}

void MeasureDecide(Table& table, node::Replica& replica, const FleetSize& size) {
  MustApply(replica, SubmitRecord(replica, "urgent", 4, 1));
  const core::StateTime now = replica.jobs_.clock_;
  Add(table, "decide: one job of 4 tasks", "us", "task", size.tasks_,
      LeastMicroseconds(kRuns, [&] { (void)policy::Decide(replica.jobs_, replica.plan_, now); }));
}

void MeasureConfiguration(Table& table, const FleetSize& size) {
  const std::string text = MakeConfigurationText(size);
  Add(table, "configuration text", "bytes", "worker", size.workers_,
      static_cast<double>(text.size()));
  Add(table, "configuration: parse and check", "us", "worker", size.workers_,
      LeastMicroseconds(kRuns, [&] {
        if (!config::ParseConfiguration(text, "fleet").has_value()) {
          std::abort();
        }
      }));
}

worker::ExchangeReply AnswerOf(const node::Replica& replica, const std::string& worker) {
  worker::ExchangeReply reply;
  reply.clock_ = core::WorkerTime(core::Milliseconds(1));
  const auto view = replica.shard_.workers_.find(worker);
  for (const std::string& id : view->second.jobs_) {
    const state::Job& job = replica.jobs_.jobs_.at(id);
    for (const cells::Part& part : job.placement_.parts_) {
      if (replica.jobs_.pool_.workers_[part.worker_].name_ == worker) {
        reply.leases_[{.job_ = id, .attempt_ = job.attempt_, .task_ = part.task_}] = {
            .state_ = worker::LeaseState::kRunning,
            .started_ = true,
            .expires_ = core::WorkerTime(core::Milliseconds(60000))};
      }
    }
  }
  return reply;
}

void MeasureExchange(Table& table, node::Replica& replica, const FleetSize& size) {
  worker::Shard& shard = replica.shard_;
  const core::TimePoint now{std::chrono::seconds(10)};
  worker::Divide(shard, "node-1", {"node-1"}, now);
  double leases = 0;
  for (const std::string& worker : shard.owned_) {
    worker::ExchangeReply reply = AnswerOf(replica, worker);
    leases += static_cast<double>(reply.leases_.size());
    worker::OnReply(shard, worker, std::move(reply), now, now);
  }
  const worker::Freshness freshness{.may_start_ = true, .fresh_until_ = now};
  double bytes = 0;
  const double taken = LeastMicroseconds(kRuns, [&] {
    bytes = 0;
    for (const std::string& worker : shard.owned_) {
      bytes += static_cast<double>(
          worker::EncodeRequest(worker::PlanExchange(shard, replica.jobs_, worker, freshness, now))
              .size());
    }
  });
  Add(table, "exchange: plan and encode for every worker", "us", "task", size.tasks_, taken);
  Add(table, "exchange: request bodies for every worker", "bytes", "task", size.tasks_, bytes);
  Add(table, "exchange: leases", "leases", "task", size.tasks_, leases);
  Add(table, "exchange: reports with nothing to say", "us", "worker", size.workers_,
      LeastMicroseconds(kRuns, [&] { (void)worker::MakeReports(shard, replica.jobs_, now); }));
}

void MeasureAt(Table& table, double share) {
  const FleetSize size = Share(kLetterSize, share);
  const double before = AllocatedBytes();
  node::Replica replica = MakeFleet(size);
  FillFleet(replica, size);
  Add(table, "memory of a replica", "bytes", "task", size.tasks_, AllocatedBytes() - before);
  MeasureConfiguration(table, size);
  MeasureState(table, replica, size);
  MeasureExchange(table, replica, size);
  MeasureApply(table, replica, size);
  MeasureDecide(table, replica, size);
}

void Print(const Table& table) {
  fmt::print("| quantity | unit | 1/8 | 1/4 | 1/2 | 1 | base | slope | per | fit error |\n");
  fmt::print("|---|---|---|---|---|---|---|---|---|---|\n");
  for (const auto& [name, series] : table) {
    const Fit fit = FitLine(series.points_);
    fmt::print("| {} | {} |", name, series.unit_);
    for (const Point& point : series.points_) {
      fmt::print(" {:.0f} |", point.value_);
    }
    fmt::print(" {:.0f} | {:.3g} | {} | {:.1f}% |\n", fit.base_, fit.slope_, series.per_,
               fit.error_ * 100);
  }
}

double JobRecordBytes(const node::Replica& replica) {
  constexpr std::uint32_t kTasks = 11;
  node::Replica copy = replica;
  const proto::Record submit = SubmitRecord(copy, "sized", kTasks, 0);
  MustApply(copy, submit);
  cells::WorkerIndex from = 0;
  const proto::Record place = PlaceRecord(copy, "sized", from);
  MustApply(copy, place);
  proto::Record start = NextRecord(copy);
  start.mutable_start_job()->set_job("sized");
  start.mutable_start_job()->set_attempt(1);
  proto::Record finish = NextRecord(copy);
  finish.mutable_finish_job()->set_job("sized");
  finish.mutable_finish_job()->set_attempt(1);
  finish.mutable_finish_job()->set_result(std::string(kTasks * 8, 'r'));
  return static_cast<double>(submit.ByteSizeLong() + place.ByteSizeLong() + start.ByteSizeLong() +
                             finish.ByteSizeLong());
}

Costs MeasureCosts() {
  const FleetSize size = Share(kLetterSize, 0.125);
  node::Replica replica = MakeFleet(size);
  FillFleet(replica, size);
  worker::ExchangeRequest request{.boot_ = ~0ULL, .seen_ = 1000, .renew_all_ = true};
  request.renewals_.push_back({.key_ = {}, .expires_ = core::WorkerTime(core::Milliseconds(1))});
  const std::string reply = R"({"boot":18446744073709551615,"clock_ms":1000000,"leases":[],)"
                            R"("partial":true,"renewed":true,"sequence":1000})";
  const std::string read = R"({"first":100000,"next":200000,"records":[]})";
  return {.http_ = HttpOverheadBytes(),
          .heartbeat_ = HeartbeatBytes(),
          .request_body_ = static_cast<double>(worker::EncodeRequest(request).size()),
          .reply_body_ = static_cast<double>(reply.size()),
          .read_body_ = static_cast<double>(read.size()),
          .record_bytes_ = JobRecordBytes(replica)};
}

void PrintRoles() {
  const auto text = [](const FleetSize& size) {
    return static_cast<double>(MakeConfigurationText(size).size());
  };
  const FleetSize today{.workers_ = 50,
                        .accelerators_ = 400,
                        .tasks_ = 400,
                        .teams_ = 4,
                        .zones_ = 4,
                        .instances_ = 50};
  const double large = text(kLetterSize);
  const std::vector<Deployment> sites = {
      {"Stofnhugbunadur, 8 nodes", 50, 400, 8, 0, 200, 4, 4, text(today), 20},
      {"Lefka, 8 nodes", 50, 400, 8, 0, 200, 4, 4, text(today), 20},
      {"letter, a region of five, 8 nodes each", 900, 2800, 8, 32, 1020, 4000, 200, large, 40},
      {"letter, every change a publication", 900, 2800, 8, 32, 1020, 0, 4200, large, 40},
      {"letter, all in one region, 8 nodes", 4500, 14000, 8, 0, 5100, 4000, 200, large, 40}};
  PrintNodeBytes(sites, MeasureCosts());
}

}  // namespace

}  // namespace laburnumledge::measure

int main() {
  laburnumledge::measure::Table table;
  for (const double share : laburnumledge::measure::kShares) {
    laburnumledge::measure::MeasureAt(table, share);
  }
  laburnumledge::measure::Print(table);
  fmt::print("\n");
  laburnumledge::measure::PrintRoles();
  return 0;
}
