#include "laburnumledge/node/slot_loans.hpp"

#include <utility>

#include "laburnumledge/routing/slots.hpp"

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kLoanLength{1000};
constexpr core::Milliseconds kReplyWithin{200};
constexpr core::Milliseconds kAskAgainAfter{20};
constexpr std::size_t kMaxLoans = 64;

}  // namespace

SlotLoans::SlotLoans(loop::Loop& loop, routing::Router& router, std::string self,
                     core::Milliseconds longest_request, std::function<void()> on_slot)
    : loop_(loop),
      router_(router),
      self_(std::move(self)),
      longest_request_(longest_request),
      on_slot_(std::move(on_slot)) {}

void SlotLoans::Borrow() {
  const core::TimePoint now = loop_.Now();
  const bool may_ask = !asking_ && ask_again_at_ <= now && loans_.size() < kMaxLoans;
  if (!may_ask || router_.nodes_.size() < 2 || routing::QueuedRequests(router_) == 0) {
    return;
  }
  const std::vector<std::string> services = routing::ServicesInNeed(router_, now);
  if (services.empty()) {
    return;
  }
  const std::size_t turn = rotation_++;
  const std::string& peer = router_.nodes_[turn % router_.nodes_.size()];
  if (peer == self_) {
    return;
  }
  asking_ = true;
  proto::PeerMessage message;
  message.mutable_borrow_slot()->set_service(services[turn % services.size()]);
  ports_.call_(peer, std::move(message), now + kReplyWithin,
               [this, peer](const proto::PeerMessage* reply) { OnReply(peer, reply); });
}

void SlotLoans::OnReply(const std::string& lender, const proto::PeerMessage* reply) {
  const core::TimePoint now = loop_.Now();
  asking_ = false;
  const std::string instance = reply == nullptr ? "" : reply->borrow_slot_reply().instance();
  if (instance.empty()) {
    ask_again_at_ = now + kAskAgainAfter;
    return;
  }
  const core::TimePoint until = now + core::Milliseconds(reply->borrow_slot_reply().remaining_ms());
  loans_.push_back({.lender_ = lender, .instance_ = instance, .until_ = until});
  const auto target = router_.targets_.find(instance);
  if (target != router_.targets_.end()) {
    routing::AddBorrowedSlot(target->second, until);
    on_slot_();
  }
}

void SlotLoans::ReturnEnded() {
  const core::TimePoint now = loop_.Now();
  std::erase_if(loans_, [&](const Loan& loan) {
    if (loan.until_ > now) {
      return false;
    }
    const auto target = router_.targets_.find(loan.instance_);
    const bool used = target != router_.targets_.end() &&
                      target->second.outstanding_ > routing::UsableSlots(target->second, now);
    if (used) {
      return false;
    }
    proto::PeerMessage message;
    message.mutable_return_slot()->set_instance(loan.instance_);
    ports_.send_(loan.lender_, std::move(message));
    return true;
  });
}

proto::PeerMessage SlotLoans::OnBorrow(const proto::BorrowSlot& wanted) {
  const core::TimePoint now = loop_.Now();
  const core::TimePoint locked_until = now + 2 * kLoanLength + longest_request_;
  const auto instance = routing::LendSlotOf(router_, wanted.service(), locked_until, now);
  proto::PeerMessage message;
  proto::BorrowSlotReply& reply = *message.mutable_borrow_slot_reply();
  reply.set_instance(instance.value_or(""));
  reply.set_remaining_ms(static_cast<std::uint64_t>(kLoanLength.count()));
  return message;
}

void SlotLoans::OnReturn(const proto::ReturnSlot& returned) {
  const auto target = router_.targets_.find(returned.instance());
  if (target != router_.targets_.end()) {
    routing::TakeBackSlot(target->second);
  }
}

}  // namespace laburnumledge::node
