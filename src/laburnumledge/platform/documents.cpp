#include "laburnumledge/platform/documents.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/platform/json.hpp"
#include "laburnumledge/platform/sharing.hpp"

namespace laburnumledge::platform {

namespace {

using Json = nlohmann::json;

/** Limits of a submission; kMaxSpecBytes is the platform's own limit. */
constexpr std::size_t kMaxSpecBytes = 4000;
constexpr std::size_t kMaxSteps = 64;
constexpr std::uint64_t kMaxTasksOfStep = 4096;
constexpr std::uint64_t kMaxTasks = 16384;
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40U;

core::Milliseconds Ms(const Json& object, const char* name) {
  return core::Milliseconds(std::max<std::int64_t>(0, Integer(object, name).value_or(0)));
}

core::Milliseconds Seconds(const Json& object, const char* name) {
  constexpr double kMsPerSecond = 1000.0;
  return core::Milliseconds(
      static_cast<std::int64_t>(Number(object, name).value_or(0.0) * kMsPerSecond));
}

std::optional<config::Address> AddressOf(const Json& object, const char* name) {
  const std::optional<std::string> text = Text(object, name);
  if (!text.has_value() || text->empty()) {
    return core::Fail("\"{}\" is missing, empty or not a string", name);
  }
  return config::ParseAddress(*text);
}

site::Resources ResourcesOf(const Json& object) {
  return {.cpu_millis_ = Integer(object, "cpu").value_or(0),
          .memory_mb_ = Integer(object, "mem_mb").value_or(0),
          .gpus_ = Integer(object, "gpus").value_or(0)};
}

bool IsInRange(const site::Resources& amount) noexcept {
  const auto within = [](std::int64_t value) { return value >= 0 && value <= kMaxAmount; };
  return within(amount.cpu_millis_) && within(amount.memory_mb_) && within(amount.gpus_);
}

/** Address for calls between nodes: the first port that the platform leaves to the nodes. */
std::optional<config::Address> PeersAddressOf(const Json& object) {
  const std::optional<std::string> ip = Text(object, "ip");
  const Json* ports = Member(object, "internal_ports");
  if (!ip.has_value() || ports == nullptr || !ports->is_array() || ports->empty() ||
      !ports->front().is_number_unsigned()) {
    return core::Fail("\"ip\" or \"internal_ports\" is missing");
  }
  return config::Address{.ip_ = *ip, .port_ = ports->front().get<std::uint16_t>()};
}

/**
 * Whether appends adapt to the store: as "acceptance" says, else where the platform states the time
 * that a partition takes for an append, and so that it carries appends out one by one.
 */
bool AdaptsAppends(const Json& object, const Json& store, const Json& bounds) {
  if (const std::optional<std::string> acceptance = Text(object, "acceptance")) {
    return *acceptance == "adaptive";
  }
  return Number(store, "append_ms").value_or(0.0) > 0.0 ||
         Number(bounds, "append_ms").value_or(0.0) > 0.0;
}

site::Bounds BoundsOf(const Json& object) {
  constexpr double kNoPenalty = 1.0;
  return {
      .longest_lease_ = Ms(object, "max_hold_ms"),
      .stop_grace_ = Ms(object, "stop_grace_ms"),
      .shutdown_grace_ = Seconds(object, "grace_s"),
      .status_retention_ = Seconds(object, "status_s"),
      .gang_wait_ = Ms(object, "gang_wait_ms"),
      .restore_time_ = Ms(object, "restore_ms"),
      .reclaim_time_ = Ms(object, "reclaim_ms"),
      .configuration_time_ = Ms(object, "config_apply_ms"),
      .command_interval_ = Ms(object, "lease_ms"),
      .harm_time_ = Ms(object, "harm_ms"),
      .remote_penalty_ =
          std::max(kNoPenalty, Number(object, "remote_penalty").value_or(kNoPenalty)),
  };
}

std::optional<site::Route> RouteOf(const Json& object) {
  const std::optional<std::string> name = Text(object, "name");
  const std::optional<std::string> prefix = Text(object, "path_prefix");
  const std::optional<std::string> service = Text(object, "service");
  if (!name.has_value() || !prefix.has_value() || !service.has_value()) {
    return core::Fail("a route lacks \"name\", \"path_prefix\" or \"service\"");
  }
  site::Route route{
      .name_ = *name,
      .host_ = Text(object, "host").value_or(""),
      .path_prefix_ = *prefix,
      .scheduling_ = {.service_ = *service,
                      .priority_ =
                          static_cast<std::uint32_t>(Unsigned(object, "priority").value_or(0)),
                      .max_attempts_ =
                          static_cast<std::uint32_t>(Unsigned(object, "max_attempts").value_or(1)),
                      .stretch_ = Number(object, "stretch").value_or(1.0),
                      .target_latency_ = Ms(object, "target_latency_ms")},
      .public_ = Flag(object, "public"),
      .advice_ = std::nullopt,
  };
  if (const Json* advice = Member(object, "advice")) {
    route.advice_ = {.decision_time_ = Ms(*advice, "decision_ms"),
                     .time_per_worker_ = Ms(*advice, "period_ms"),
                     .ticket_validity_ = Ms(*advice, "valid_ms")};
  }
  return route;
}

/** Limit of an organisation's runs; an amount of 0, or none, is no limit. */
site::Resources QuotaOf(const Json& object) {
  site::Resources quota = ResourcesOf(object);
  for (std::int64_t* amount : {&quota.cpu_millis_, &quota.memory_mb_, &quota.gpus_}) {
    if (*amount <= 0 || *amount > site::kUnlimitedAmount) {
      *amount = site::kUnlimitedAmount;
    }
  }
  return quota;
}

site::Organisation OrganisationOf(const Json& object) {
  constexpr std::uint64_t kMaxWeight = std::numeric_limits<std::uint32_t>::max();
  site::Organisation organisation{.name_ = Text(object, "name").value_or(""),
                                  .weight_ = static_cast<std::uint32_t>(std::min(
                                      kMaxWeight, Unsigned(object, "weight").value_or(0)))};
  if (const Json* quota = Member(object, "max_count")) {
    organisation.quota_ = QuotaOf(*quota);
  }
  if (const Json* keys = Member(object, "api_keys")) {
    for (const Json& key : *keys) {
      // An empty key would admit calls that carry none.
      if (key.is_string() && !key.get_ref<const std::string&>().empty()) {
        organisation.keys_.push_back(key.get<std::string>());
      }
    }
  }
  if (const Json* guaranteed = Member(object, "guaranteed")) {
    organisation.guaranteed_gpus_ = Integer(*guaranteed, "gpus").value_or(0);
  }
  return organisation;
}

/** Reads a label: a string, or a list of one string, which some clients send. */
std::string LabelOf(const Json& object, const char* name) {
  if (const Json* list = Member(object, name)) {
    return list->is_array() && !list->empty() && list->front().is_string()
               ? list->front().get<std::string>()
               : "";
  }
  return Text(object, name).value_or("");
}

std::optional<ledger::Step> StepOf(const Json& object, std::size_t number) {
  const std::optional<std::uint64_t> count = Unsigned(object, "count");
  if (!count.has_value() || *count == 0 || *count > kMaxTasksOfStep) {
    return core::Fail("step {}: \"count\" must be from 1 to {}", number, kMaxTasksOfStep);
  }
  ledger::Step step{
      .count_ = static_cast<std::uint32_t>(*count),
      .estimate_ = Ms(object, "estimate_ms"),
      .after_ = {},
      .constraint_ = LabelOf(object, "constraints"),
      .affinity_rack_ = LabelOf(object, "affinity"),
      .anti_affinity_ = static_cast<std::uint32_t>(Unsigned(object, "anti_affinity").value_or(0)),
      .image_ = Text(object, "image").value_or(""),
      .response_target_ = Ms(object, "target_ms"),
      .max_unavailable_ = static_cast<std::uint32_t>(Unsigned(object, "may_miss").value_or(0)),
      .checkpointing_ = Flag(object, "checkpointing"),
      .gang_ = Flag(object, "gang"),
      .same_rack_ = Flag(object, "same_rack"),
      .speculative_ = Flag(object, "speculative"),
      .long_running_ = Flag(object, "long_running"),
      .uses_idle_cpus_ = Flag(object, "fills"),
  };
  const site::Resources requested = ResourcesOf(object);
  if (!IsInRange(requested)) {
    return core::Fail("step {}: cpu, mem_mb or gpus is out of range", number);
  }
  SetRequestedResources(step, requested);
  if (const Json* after = Member(object, "after")) {
    for (const Json& earlier : *after) {
      if (!earlier.is_number_unsigned() || earlier.get<std::uint64_t>() >= number) {
        return core::Fail("step {}: \"after\" must name earlier steps", number);
      }
      step.after_.push_back(earlier.get<std::uint32_t>());
    }
  }
  return step;
}

/** Whether a member is a whole number from 0 to `max`. */
bool IsAmount(const Json& object, const char* name, std::int64_t max) {
  const auto member = object.find(name);
  const std::optional<std::int64_t> value = Integer(object, name);
  const bool whole = value.has_value() && member->get<double>() == static_cast<double>(*value);
  return whole && *value >= 0 && *value <= max;
}

/** Name of the first field of a worker's entry that is missing or of another type; empty if there
 * is none. An entry without all fields that the platform's workers write is of another writer. */
std::string_view FindBadField(const Json& object) {
  constexpr std::int64_t kMaxTime = std::int64_t{1} << 53U;
  for (const char* name : {"service", "address", "zone", "version", "state"}) {
    if (Text(object, name).value_or("").empty()) {
      return name;
    }
  }
  for (const char* name : {"slots", "seq", "cold_left_ms"}) {
    if (!IsAmount(object, name, kMaxAmount)) {
      return name;
    }
  }
  for (const char* name : {"born", "clock_ms"}) {
    if (!IsAmount(object, name, kMaxTime)) {
      return name;
    }
  }
  if (object.contains("remaining_ms") && !IsAmount(object, "remaining_ms", kMaxAmount)) {
    return "remaining_ms";
  }
  const Json* capacity = Member(object, "capacity");
  if (capacity == nullptr || !capacity->is_object()) {
    return "capacity";
  }
  for (const char* name : {"cpu", "mem_mb", "gpus"}) {
    if (capacity->contains(name) && !IsAmount(*capacity, name, kMaxAmount)) {
      return "capacity";
    }
  }
  const Json* labels = Member(object, "labels");
  const bool strings = labels != nullptr && labels->is_array() &&
                       std::all_of(labels->begin(), labels->end(),
                                   [](const Json& label) { return label.is_string(); });
  return strings ? "" : "labels";
}

}  // namespace

std::optional<site::Deployment> ParseDeployment(std::string_view text) {
  const std::optional<Json> object = ParseObject(text);
  if (!object.has_value()) {
    return std::nullopt;
  }
  const Json* listen = Member(*object, "listen");
  const Json* store = Member(*object, "platform");
  const Json* bounds = Member(*object, "bounds");
  const std::optional<std::string> node = Text(*object, "node_name");
  if (listen == nullptr || store == nullptr || bounds == nullptr || !node.has_value()) {
    return core::Fail("\"node_name\", \"listen\", \"platform\" or \"bounds\" is missing");
  }
  const std::optional<config::Address> clients = AddressOf(*listen, "front");
  const std::optional<config::Address> readiness =
      clients.has_value() ? AddressOf(*listen, "ready") : std::nullopt;
  const std::optional<config::Address> store_address =
      readiness.has_value() ? AddressOf(*store, "address") : std::nullopt;
  if (!store_address.has_value()) {
    return std::nullopt;
  }
  const std::optional<site::InterferenceMode> interference = ParseInterferenceMode(*object);
  if (!interference.has_value()) {
    return std::nullopt;
  }
  site::Deployment deployment{
      .node_ = *node,
      .zone_ = Text(*object, "zone").value_or(""),
      .callers_ = *clients,
      .readiness_ = *readiness,
      .store_ = *store_address,
      .peers_ = PeersAddressOf(*object),
      .advice_ = AddressOf(*object, "advice"),
      .vm_api_ = std::nullopt,
      .heartbeat_interval_ = Ms(*object, "heartbeat_ms"),
      .max_connections_ = 0,
      .store_limits_ = {.max_record_bytes_ = static_cast<std::uint32_t>(
                            Unsigned(*store, "max_record_bytes").value_or(0)),
                        .max_call_bytes_ = static_cast<std::uint32_t>(
                            Unsigned(*store, "max_call_bytes").value_or(0)),
                        .adaptive_appends_ = AdaptsAppends(*object, *store, *bounds)},
      .bounds_ = BoundsOf(*bounds),
      .interference_ = *interference,
  };
  if (const Json* limits = Member(*object, "limits")) {
    deployment.max_connections_ =
        static_cast<std::uint32_t>(Unsigned(*limits, "max_fds").value_or(0));
    deployment.cpu_share_ = Number(*limits, "cpu_share").value_or(1.0);
  }
  if (const Json* cloud = Member(*object, "cloud")) {
    deployment.vm_api_ = AddressOf(*cloud, "address");
  }
  if (deployment.bounds_.longest_lease_.count() == 0) {
    return core::Fail("\"bounds\" lacks \"max_hold_ms\"");
  }
  return deployment;
}

std::optional<site::Configuration> ParseConfiguration(std::string_view text) {
  const std::optional<Json> object = ParseObject(text);
  if (!object.has_value()) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> version = Unsigned(*object, "version");
  const Json* routes = Member(*object, "routes");
  if (!version.has_value() || routes == nullptr) {
    return core::Fail("the configuration lacks \"version\" or \"routes\"");
  }
  site::Configuration configuration{.version_ = *version};
  for (const Json& route : *routes) {
    std::optional<site::Route> parsed = RouteOf(route);
    if (!parsed.has_value()) {
      return std::nullopt;
    }
    configuration.routes_.push_back(*std::move(parsed));
  }
  if (const Json* services = Member(*object, "services")) {
    for (const Json& service : *services) {
      configuration.services_.push_back({.name_ = Text(service, "name").value_or(""),
                                         .enforces_capacity_ = Flag(service, "admission_control"),
                                         .standby_ = Flag(service, "standby")});
    }
  }
  if (const Json* organisations = Member(*object, "tenants")) {
    for (const Json& organisation : *organisations) {
      configuration.organisations_.push_back(OrganisationOf(organisation));
    }
  }
  if (const Json* limits = Member(*object, "limits")) {
    configuration.limits_ = {
        .max_header_bytes_ =
            static_cast<std::uint32_t>(Unsigned(*limits, "max_header_bytes").value_or(0)),
        .max_body_bytes_ =
            static_cast<std::uint32_t>(Unsigned(*limits, "max_body_bytes").value_or(0))};
  }
  return configuration;
}

std::optional<site::WorkerEntry> ParseWorkerEntry(std::string_view id, std::string_view text) {
  const std::optional<Json> object = ParseObject(text);
  if (!object.has_value()) {
    return std::nullopt;
  }
  const std::string_view bad_field = FindBadField(*object);
  if (id.empty() || !bad_field.empty()) {
    return core::Fail("worker \"{}\": \"{}\" is missing or of another type", id, bad_field);
  }
  const std::string state = *Text(*object, "state");
  if (state != "ready" && state != "draining") {
    return core::Fail("worker {}: unknown state \"{}\"", id, state);
  }
  const std::optional<config::Address> address = AddressOf(*object, "address");
  if (!address.has_value()) {
    return std::nullopt;
  }
  if (address->port_ == 0) {
    return core::Fail("worker {}: port 0", id);
  }
  site::WorkerEntry entry{
      .id_ = std::string(id),
      .service_ = *Text(*object, "service"),
      .address_ = *address,
      .zone_ = *Text(*object, "zone"),
      .rack_ = {},
      .labels_ = Member(*object, "labels")->get<std::vector<std::string>>(),
      .capacity_ = ResourcesOf(*Member(*object, "capacity")),
      .incarnation_ = *Integer(*object, "born"),
      .clock_ = core::FromMs<core::WorkerTime>(*Integer(*object, "clock_ms")),
      .draining_ = state == "draining",
      .drain_time_left_ = Ms(*object, "remaining_ms"),
  };
  // The first label is the kind of the VM, the second one its rack.
  if (entry.labels_.size() > 1) {
    entry.rack_ = entry.labels_[1];
  }
  return entry;
}

OperatorKey ParseOperatorKey(std::string_view key) {
  constexpr std::string_view kZonePrefix = "evacuate/";
  constexpr std::string_view kMaintenancePrefix = "wave/";
  if (key == "config") {
    return {.kind_ = OperatorRecord::kConfiguration, .name_ = {}};
  }
  if (key.starts_with(kZonePrefix)) {
    return {.kind_ = OperatorRecord::kZoneOut,
            .name_ = std::string(key.substr(kZonePrefix.size()))};
  }
  if (key.starts_with(kMaintenancePrefix)) {
    return {.kind_ = OperatorRecord::kMaintenance,
            .name_ = std::string(key.substr(kMaintenancePrefix.size()))};
  }
  return {};
}

std::optional<ledger::Submission> ParseSubmission(std::string_view body) {
  const std::optional<Json> object = ParseObject(body);
  if (!object.has_value()) {
    return std::nullopt;
  }
  ledger::Submission submission;
  submission.payload_ = Text(*object, "spec").value_or("");
  const Json* steps = Member(*object, "steps");
  if (steps == nullptr || !steps->is_array() || steps->empty() || steps->size() > kMaxSteps) {
    return core::Fail("\"steps\" must be a list of 1 to {} steps", kMaxSteps);
  }
  if (submission.payload_.size() > kMaxSpecBytes) {
    return core::Fail("\"spec\" is longer than {} bytes", kMaxSpecBytes);
  }
  const bool all_long_running = Flag(*object, "long_running");
  std::uint64_t tasks = 0;
  for (const Json& step : *steps) {
    std::optional<ledger::Step> parsed = StepOf(step, submission.steps_.size());
    if (!parsed.has_value()) {
      return std::nullopt;
    }
    parsed->long_running_ = parsed->long_running_ || all_long_running;
    tasks += parsed->count_;
    submission.steps_.push_back(*std::move(parsed));
  }
  if (tasks > kMaxTasks) {
    return core::Fail("a job may have at most {} tasks", kMaxTasks);
  }
  const std::uint64_t occurrences = Unsigned(*object, "repeats").value_or(0);
  if (occurrences > std::numeric_limits<std::uint32_t>::max() / 2) {
    return core::Fail("\"repeats\" is out of range");
  }
  if (occurrences > 0) {
    submission.schedule_ = {.occurrences_ = static_cast<std::uint32_t>(occurrences),
                            .first_ = ledger::WallTime(Ms(*object, "start_at_ms")),
                            .interval_ = Ms(*object, "interval_ms")};
  }
  return submission;
}

}  // namespace laburnumledge::platform
