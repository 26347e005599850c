#include <algorithm>

#include "laburnumledge/core/assert.hpp"
#include "laburnumledge/core/reason.hpp"
#include "laburnumledge/state/apply.hpp"
#include "laburnumledge/state/internal.hpp"

namespace laburnumledge::state {

using internal::Applied;
using internal::Reject;

namespace {

bool KnownZone(const config::Configuration& configuration, const std::string& zone) {
  const auto& zones = configuration.inventory_.zones_;
  return std::any_of(zones.begin(), zones.end(),
                     [&](const config::Zone& candidate) { return candidate.name_ == zone; });
}

void DropUnknownZones(ConfigurationState& state) {
  std::erase_if(state.zones_out_,
                [&](const std::string& zone) { return !KnownZone(state.configuration_, zone); });
}

ApplyResult Publish(ConfigurationState& state, const proto::PublishConfiguration& body) {
  if (body.replaces() != state.version_) {
    return Reject(ApplyCode::kSuperseded, "superseded by version {}", state.version_);
  }
  auto configuration = config::ParseConfiguration(body.text(), "configuration");
  if (!configuration.has_value()) {
    return Reject(ApplyCode::kMalformed, "{}", core::LastReason());
  }
  state.configuration_ = std::move(*configuration);
  state.text_ = body.text();
  DropUnknownZones(state);
  ++state.version_;
  return Applied(Change::Kind::kConfiguration);
}

ApplyResult SetZone(ConfigurationState& state, const proto::SetZone& body) {
  if (body.replaces() != 0 && body.replaces() != state.version_) {
    return Reject(ApplyCode::kSuperseded, "superseded by version {}", state.version_);
  }
  if (!KnownZone(state.configuration_, body.zone())) {
    return Reject(ApplyCode::kUnknownZone, "availability zone {} is not in the inventory",
                  body.zone());
  }
  auto& zones = state.zones_out_;
  const auto found = std::lower_bound(zones.begin(), zones.end(), body.zone());
  const bool out = found != zones.end() && *found == body.zone();
  if (out == body.out()) {
    return Reject(ApplyCode::kNoChange, "availability zone {} is {} already", body.zone(),
                  out ? "out" : "in");
  }
  if (body.out()) {
    zones.insert(found, body.zone());
  } else {
    zones.erase(found);
  }
  ++state.version_;
  return Applied(Change::Kind::kConfiguration);
}

/** What a snapshot says is known already to whoever applies it in its place in the stream. */
ApplyResult NoteSnapshot(ConfigurationState& state, const proto::ConfigurationSnapshot& body) {
  state.snapshot_offset_ = std::max(state.snapshot_offset_, body.offset());
  return Applied(Change::Kind::kNone);
}

ApplyResult ApplyBody(ConfigurationState& state, const proto::Record& record,
                      std::uint64_t offset) {
  switch (record.body_case()) {
    case proto::Record::kPublishConfiguration:
      return Publish(state, record.publish_configuration());
    case proto::Record::kSetZone:
      return SetZone(state, record.set_zone());
    case proto::Record::kConfigurationSnapshot:
      return NoteSnapshot(state, record.configuration_snapshot());
    case proto::Record::kVoidRecord:
      internal::Remember(state.voided_, record.void_record().record(), offset);
      return Applied(Change::Kind::kNone);
    default:
      return Reject(ApplyCode::kMalformed, "record has no body of the configuration stream");
  }
}

}  // namespace

ApplyResult ApplyConfiguration(ConfigurationState& state, const proto::Record& record,
                               std::uint64_t offset) {
  LABURNUMLEDGE_ASSERT(offset + 1 >= state.next_offset_, "records are applied in offset order");
  ApplyResult envelope = internal::CheckEnvelope(state.records_, state.voided_, record);
  if (envelope.code_ == ApplyCode::kNewerFormat) {
    return envelope;
  }
  state.next_offset_ = offset + 1;
  if (envelope.code_ != ApplyCode::kApplied) {
    return envelope;
  }
  const std::uint64_t before = state.version_;
  ApplyResult result = ApplyBody(state, record, offset);
  internal::Remember(state.records_, record.id(), offset);
  result.version_ = state.version_;
  LABURNUMLEDGE_ASSERT(state.version_ >= before, "a configuration never reverts");
  return result;
}

}  // namespace laburnumledge::state
