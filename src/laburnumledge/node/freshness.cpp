#include "laburnumledge/node/freshness.hpp"

#include <algorithm>

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kStartFreshness{2000};
constexpr std::size_t kKeptBeats = 64;

std::uint64_t AgeMs(const platform::Reader& reader, core::TimePoint now) {
  const auto age = std::chrono::ceil<core::Milliseconds>(now - reader.fresh_at_);
  return static_cast<std::uint64_t>(age.count());
}

std::deque<SentBeat>::const_iterator FindBeat(const Beats& beats, std::uint64_t sequence) {
  return std::find_if(beats.sent_.begin(), beats.sent_.end(),
                      [&](const SentBeat& sent) { return sent.sequence_ == sequence; });
}

/** When the peer had certainly read the log to its tail; the clock's epoch if never. */
core::TimePoint FreshThrough(const Replica& replica, const Beats& beats,
                             const proto::Heartbeat& heartbeat) {
  const bool behind = heartbeat.configuration_offset() > replica.configuration_.next_offset_ ||
                      heartbeat.jobs_offset() > replica.jobs_.next_offset_;
  if (behind) {
    return {};
  }
  const auto beat = FindBeat(beats, heartbeat.echo());
  const core::Milliseconds age(std::max(heartbeat.configuration_age_ms(), heartbeat.jobs_age_ms()));
  if (beat == beats.sent_.end() || age > kStartFreshness) {
    return {};
  }
  return beat->sent_ - age;
}

}  // namespace

void NextBeat(Beats& beats, core::TimePoint now) {
  ++beats.sequence_;
  beats.sent_.push_back({.sequence_ = beats.sequence_, .sent_ = now});
  if (beats.sent_.size() > kKeptBeats) {
    beats.sent_.pop_front();
  }
}

void FillHeartbeat(const Beats& beats, const Replica& replica, core::TimePoint now,
                   proto::Heartbeat& heartbeat) {
  heartbeat.set_configuration_version(replica.configuration_.version_);
  heartbeat.set_configuration_offset(replica.configuration_.next_offset_);
  heartbeat.set_configuration_age_ms(AgeMs(replica.configuration_reader_, now));
  heartbeat.set_jobs_offset(replica.jobs_.next_offset_);
  heartbeat.set_jobs_age_ms(AgeMs(replica.jobs_reader_, now));
  heartbeat.set_term(replica.jobs_.term_.number_);
  heartbeat.set_sequence(beats.sequence_);
}

worker::Freshness MakeFreshness(const Replica& replica, const Beats& beats,
                                const peer::Membership& membership, core::Milliseconds peer_timeout,
                                core::TimePoint now) {
  core::TimePoint fresh;
  if (replica.configuration_reader_.at_tail_ && replica.jobs_reader_.at_tail_) {
    fresh = std::min(replica.configuration_reader_.fresh_at_, replica.jobs_reader_.fresh_at_);
  }
  for (const auto& [name, member] : membership.members_) {
    if (member.region_ == membership.region_ && peer::IsLive(membership, name, now)) {
      fresh = std::max(fresh, FreshThrough(replica, beats, member.heartbeat_));
    }
  }
  const core::TimePoint until = fresh + kStartFreshness;
  const bool behind = peer::IsBehind(membership, replica.configuration_.next_offset_);
  const core::TimePoint connected =
      std::max(replica.configuration_reader_.fresh_at_, peer::ConnectedAt(membership, now));
  return {.may_start_ = replica.configuration_.version_ > 0 && until > now && !behind,
          .may_renew_ = now < connected + peer_timeout,
          .fresh_until_ = until,
          .zones_out_ = replica.configuration_.zones_out_};
}

void TakeEcho(const Beats& beats, peer::Membership& membership, const std::string& peer,
              const proto::Heartbeat& heartbeat) {
  const auto beat = FindBeat(beats, heartbeat.echo());
  if (beat != beats.sent_.end()) {
    peer::ConfirmBeat(membership, peer, beat->sent_);
  }
}

bool MayServe(const Replica& replica, const peer::Membership& membership, core::TimePoint heard_all,
              core::TimePoint now) {
  if (replica.configuration_.version_ == 0 || replica.incompatible_) {
    return false;
  }
  if (replica.configuration_reader_.at_tail_) {
    return true;
  }
  const auto& members = membership.members_;
  return now >= heard_all && std::all_of(members.begin(), members.end(), [&](const auto& entry) {
           return !peer::IsLive(membership, entry.first, now) ||
                  entry.second.heartbeat_.configuration_version() <=
                      replica.configuration_.version_;
         });
}

}  // namespace laburnumledge::node
