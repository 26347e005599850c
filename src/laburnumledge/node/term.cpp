#include "laburnumledge/node/term.hpp"

#include <algorithm>

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kTermSilence{4500};
constexpr core::Milliseconds kKeepInterval{1500};
constexpr core::Milliseconds kClaimFreshness{2000};

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool IsVacant(const TermView& view, core::TimePoint now) {
  const state::Term& term = view.replica_.jobs_.term_;
  const bool own = term.holder_ == view.membership_.self_;
  if (term.holder_.empty() || own) {
    return true;
  }
  return !peer::IsLive(view.membership_, term.holder_, term.incarnation_, now) &&
         now - view.replica_.term_heard_ > kTermSilence;
}

bool IsSettled(const TermView& view, core::TimePoint now) {
  const platform::Reader& reader = view.replica_.jobs_reader_;
  return reader.at_tail_ && reader.failures_ == 0 && now - reader.fresh_at_ < kClaimFreshness &&
         now - view.started_ > view.peer_timeout_;
}

}  // namespace

std::vector<std::string> Candidates(const peer::Membership& membership, const std::string& zone,
                                    bool draining, const std::vector<std::string>& zones_out,
                                    core::TimePoint now) {
  const std::vector<std::string> live = peer::LiveNodes(membership, draining, now);
  std::vector<std::string> candidates;
  for (const std::string& node : live) {
    const auto member = membership.members_.find(node);
    const std::string& in = member == membership.members_.end() ? zone : member->second.zone_;
    if (!Contains(zones_out, in)) {
      candidates.push_back(node);
    }
  }
  return candidates.empty() ? live : candidates;
}

bool ClaimIsDue(const TermView& view, core::TimePoint now) {
  if (!IsSettled(view, now) || !IsVacant(view, now)) {
    return false;
  }
  const std::size_t owner = core::RendezvousOwner(view.replica_.jobs_.region_, view.candidates_);
  return owner != core::kNoOwner && view.candidates_[owner] == view.membership_.self_;
}

bool KeepIsDue(const TermView& view, core::TimePoint now) {
  const auto& members = view.membership_.members_;
  const bool unheard = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
    return !peer::IsLive(view.membership_, entry.first, now);
  });
  return unheard && now - view.replica_.term_heard_ > kKeepInterval;
}

bool ReleaseIsDue(const TermView& view) {
  return !Contains(view.candidates_, view.membership_.self_);
}

proto::Record MakeClaim(const Decider& decider, const state::State& state, core::Random& random,
                        core::TimePoint now) {
  proto::Record record = MakeRecord(decider, state, random, now);
  record.mutable_claim_term()->set_term(state.term_.number_ + 1);
  record.mutable_claim_term()->set_node(decider.self_);
  record.mutable_claim_term()->set_incarnation(decider.incarnation_);
  return record;
}

}  // namespace laburnumledge::node
