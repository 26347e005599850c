#include "laburnumledge/node/id_notes.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace laburnumledge::node {

namespace {

constexpr core::Milliseconds kLateAfter{50};
constexpr core::Milliseconds kReplyWithin{500};
constexpr core::Milliseconds kAskAgainAfter{10};
constexpr std::size_t kNotesNeeded = 2;
constexpr std::size_t kEnoughNodes = 3;
constexpr int kMaxNotesPerMessage = 2000;

std::uint64_t RemainingMs(core::TimePoint until, core::TimePoint now) {
  const auto left = std::chrono::duration_cast<core::Milliseconds>(until - now);
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count()));
}

}  // namespace

struct IdNotes::Round {
  routing::IdKey key_;
  NoteOrder order_;
  routing::NoteRound round_;
  NoteDone done_;
  std::vector<std::string> owners_;  ///< By noter, as far as it knows one.
  bool asking_again_{};
};

IdNotes::IdNotes(loop::Loop& loop, std::string self) : loop_(loop), self_(std::move(self)) {}

void IdNotes::SetNodes(const std::vector<routing::NodeInZone>& nodes, std::size_t listed) {
  listed_ = listed;
  if (nodes == nodes_) {
    return;
  }
  HandOver(nodes);
  nodes_ = nodes;
}

void IdNotes::HandOver(const std::vector<routing::NodeInZone>& after) {
  const core::TimePoint now = loop_.Now();
  std::map<std::string, proto::PeerMessage> messages;
  for (const routing::Handover& handover :
       routing::NotesToHandOver(book_, nodes_, after, self_, now)) {
    proto::PeerMessage& message = messages[handover.node_];
    proto::NotedRequestId* id = message.mutable_noted_request_ids()->add_ids();
    id->set_key_high(handover.key_.high_);
    id->set_key_low(handover.key_.low_);
    id->set_owner(handover.noted_.owner_.node_);
    id->set_token(handover.noted_.owner_.token_);
    id->set_remaining_ms(RemainingMs(handover.noted_.forget_at_, now));
    if (message.noted_request_ids().ids_size() >= kMaxNotesPerMessage) {
      ports_.send_(handover.node_, std::move(message));
      messages.erase(handover.node_);
    }
  }
  for (auto& [node, message] : messages) {
    ports_.send_(node, std::move(message));
  }
}

void IdNotes::NoteId(const NoteOrder& order, NoteDone done) {
  const routing::IdKey key = routing::MakeIdKey(order.organisation_, order.id_);
  const std::size_t needed =
      listed_ >= kEnoughNodes ? kNotesNeeded : std::min(kNotesNeeded, nodes_.size());
  auto round = std::make_shared<Round>();
  round->key_ = key;
  round->order_ = order;
  round->round_ =
      routing::BeginRound(routing::Noters(key, nodes_), std::max<std::size_t>(1, needed));
  round->done_ = std::move(done);
  round->owners_.resize(round->round_.noters_.size());
  OnState(round, 0, routing::NoteState::kNotAsked, "");
}

void IdNotes::Ask(const RoundPointer& round) {
  for (const std::size_t noter : routing::TakeNotersToAsk(round->round_)) {
    if (round->done_) {
      AskOne(round, noter);
    }
  }
}

void IdNotes::AskOne(const RoundPointer& round, std::size_t noter) {
  const core::TimePoint now = loop_.Now();
  const NoteOrder& order = round->order_;
  if (round->round_.noters_[noter] == self_) {
    const auto answer = routing::Note(book_, round->key_, {.node_ = self_, .token_ = order.token_},
                                      order.forget_at_, now);
    const bool fresh = answer.has_value() && answer->fresh_;
    const auto refused = answer.has_value() ? routing::NoteState::kSeen : routing::NoteState::kLost;
    OnState(round, noter, fresh ? routing::NoteState::kFresh : refused,
            answer.has_value() ? answer->owner_.node_ : "");
    return;
  }
  proto::PeerMessage message;
  proto::NoteRequestId& note = *message.mutable_note_request_id();
  note.set_request_id(order.id_);
  note.set_organisation(order.organisation_);
  note.set_token(order.token_);
  note.set_remaining_ms(RemainingMs(order.forget_at_, now));
  loop_.CallAt(now + kLateAfter,
               [this, round, noter] { OnState(round, noter, routing::NoteState::kLate, ""); });
  ports_.call_(round->round_.noters_[noter], std::move(message), now + kReplyWithin,
               [this, round, noter](const proto::PeerMessage* reply) {
                 if (reply == nullptr || reply->note_request_id_reply().full()) {
                   OnState(round, noter, routing::NoteState::kLost, "");
                   return;
                 }
                 const proto::NoteRequestIdReply& body = reply->note_request_id_reply();
                 OnState(round, noter,
                         body.fresh() ? routing::NoteState::kFresh : routing::NoteState::kSeen,
                         body.owner());
               });
}

void IdNotes::OnState(const RoundPointer& round, std::size_t noter, routing::NoteState state,
                      const std::string& owner) {
  if (!round->done_) {
    return;
  }
  if (state != routing::NoteState::kNotAsked) {
    round->owners_[noter] = owner.empty() ? round->owners_[noter] : owner;
    routing::OnNoteState(round->round_, noter, state);
  }
  const routing::RoundResult result = routing::ResultOf(round->round_);
  if (result == routing::RoundResult::kOpen) {
    Ask(round);
    AskContested(round);
    return;
  }
  const NoteDone done = std::move(round->done_);
  round->done_ = nullptr;
  if (result != routing::RoundResult::kFresh) {
    Withdraw(round->order_);
  }
  const auto& states = round->round_.states_;
  const auto seen = std::find(states.begin(), states.end(), routing::NoteState::kSeen);
  const bool has_owner = seen != states.end();
  done(result, has_owner ? round->owners_[static_cast<std::size_t>(seen - states.begin())] : "");
}

void IdNotes::AskContested(const RoundPointer& round) {
  const std::optional<std::size_t> noter = routing::ContestedNoter(round->round_);
  if (!round->done_ || round->asking_again_ || !noter.has_value()) {
    return;
  }
  ++round->round_.asked_again_;
  round->asking_again_ = true;
  loop_.CallAt(loop_.Now() + kAskAgainAfter, [this, round, noter] {
    round->asking_again_ = false;
    AskOne(round, *noter);
  });
}

void IdNotes::Withdraw(const NoteOrder& order) {
  const routing::IdKey key = routing::MakeIdKey(order.organisation_, order.id_);
  for (const std::string& noter : routing::Noters(key, nodes_)) {
    if (noter == self_) {
      routing::Forget(book_, key, order.token_);
      continue;
    }
    proto::PeerMessage message;
    proto::ForgetRequestId& forget = *message.mutable_forget_request_id();
    forget.set_request_id(order.id_);
    forget.set_organisation(order.organisation_);
    forget.set_token(order.token_);
    ports_.send_(noter, std::move(message));
  }
}

proto::PeerMessage IdNotes::OnNote(const std::string& from, const proto::NoteRequestId& note) {
  const core::TimePoint now = loop_.Now();
  const routing::IdKey key = routing::MakeIdKey(note.organisation(), note.request_id());
  const auto answer = routing::Note(book_, key, {.node_ = from, .token_ = note.token()},
                                    now + core::Milliseconds(note.remaining_ms()), now);
  proto::PeerMessage message;
  proto::NoteRequestIdReply& reply = *message.mutable_note_request_id_reply();
  reply.set_full(!answer.has_value());
  reply.set_fresh(answer.has_value() && answer->fresh_);
  reply.set_owner(answer.has_value() ? answer->owner_.node_ : "");
  return message;
}

void IdNotes::OnForget(const proto::ForgetRequestId& forget) {
  routing::Forget(book_, routing::MakeIdKey(forget.organisation(), forget.request_id()),
                  forget.token());
}

void IdNotes::OnHandover(const proto::NotedRequestIds& notes) {
  const core::TimePoint now = loop_.Now();
  for (const proto::NotedRequestId& id : notes.ids()) {
    const routing::IdKey key{.high_ = id.key_high(), .low_ = id.key_low()};
    const routing::IdOwner owner{.node_ = id.owner(), .token_ = id.token()};
    static_cast<void>(
        routing::Note(book_, key, owner, now + core::Milliseconds(id.remaining_ms()), now));
  }
}

}  // namespace laburnumledge::node
