#include "laburnumledge/control/where_answer.hpp"

namespace laburnumledge::control {

namespace {

using Json = nlohmann::json;

Json ToJson(const site::Resources& amount) {
  const auto bounded = [](std::int64_t value) {
    return value >= site::kUnlimitedAmount ? Json() : Json(value);
  };
  return {{"cpu_millis", bounded(amount.cpu_millis_)},
          {"memory_mb", bounded(amount.memory_mb_)},
          {"gpus", bounded(amount.gpus_)}};
}

Json TimeFrom(ledger::WallTime start, const std::optional<ledger::WallTime>& time) {
  return time.has_value() ? Json((*time - start).count()) : Json();
}

Json ToJson(const dispatch::GuaranteeWait& wait) {
  return {{"obstacle", ToString(wait.obstacle_)},
          {"tasks", wait.tasks_},
          {"fitting", wait.fitting_},
          {"fitting_rack", wait.rack_},
          {"free_gpus", wait.free_gpus_},
          {"reserved_gpus", wait.reserved_gpus_},
          {"less_urgent_gpus", wait.less_urgent_gpus_},
          {"beyond_guarantees_gpus", wait.beyond_gpus_}};
}

Json ToJson(const dispatch::StepExplanation& step, ledger::WallTime at) {
  Json ruled_out = Json::object();
  for (std::size_t index = 0; index < step.ruled_out_.size(); ++index) {
    if (step.ruled_out_[index] > 0) {
      ruled_out[std::string(ToString(static_cast<dispatch::RuledOut>(index)))] =
          step.ruled_out_[index];
    }
  }
  Json chosen = Json::array();
  for (const dispatch::ChosenWorker& worker : step.chosen_) {
    chosen.push_back({{"worker", worker.worker_},
                      {"tasks", worker.tasks_},
                      {"after_preemption", worker.after_stops_}});
  }
  Json json = {{"prospect", ToString(step.prospect_)},
               {"tasks", step.tasks_},
               {"tasks_starting", step.starting_},
               {"eligible", step.eligible_},
               {"eligible_workers", step.eligible_ids_},
               {"ruled_out", std::move(ruled_out)},
               {"chosen", std::move(chosen)},
               {"queue_place", step.place_},
               {"waiting_ahead", step.waiting_ahead_},
               {"within_guarantee", step.within_guarantee_},
               {"first_start_in_ms", TimeFrom(at, step.first_start_)},
               {"last_start_in_ms", TimeFrom(at, step.last_start_)}};
  if (step.guarantee_wait_.has_value()) {
    json["guarantee_wait"] = ToJson(*step.guarantee_wait_);
  }
  if (!step.never_reason_.empty()) {
    json["reason"] = step.never_reason_;
  }
  return json;
}

}  // namespace

Json ToJson(const dispatch::Explanation& explanation) {
  Json steps = Json::array();
  for (const dispatch::StepExplanation& step : explanation.steps_) {
    steps.push_back(ToJson(step, explanation.at_));
  }
  Json preempted = Json::array();
  for (const dispatch::PreemptedRun& run : explanation.preempted_) {
    preempted.push_back({{"task", ledger::ToString(run.run_.task_)},
                         {"run", run.run_.run_},
                         {"worker", run.worker_},
                         {"gang", run.gang_}});
  }
  Json stalled = Json::array();
  for (const ledger::TaskId& task : explanation.stalled_steps_) {
    stalled.push_back(ledger::ToString(task));
  }
  const dispatch::QuotaExplanation& quota = explanation.quota_;
  return {{"prospect", ToString(explanation.prospect_)},
          {"at_ms", explanation.at_.time_since_epoch().count()},
          {"configuration_version", explanation.configuration_version_},
          {"priority", explanation.priority_},
          {"planning_paused", explanation.planning_paused_},
          {"stalled", std::move(stalled)},
          {"organisation",
           {{"name", quota.organisation_},
            {"used", ToJson(quota.used_)},
            {"limit", ToJson(quota.limit_)},
            {"guaranteed_gpus", quota.guaranteed_gpus_},
            {"urgent_gpus", quota.urgent_gpus_},
            {"weight", quota.weight_},
            {"dominant_share", quota.dominant_share_}}},
          {"steps", std::move(steps)},
          {"preempted", std::move(preempted)},
          {"expected_start_in_ms", TimeFrom(explanation.at_, explanation.expected_start_)},
          {"expected_end_in_ms", TimeFrom(explanation.at_, explanation.expected_end_)}};
}

}  // namespace laburnumledge::control
