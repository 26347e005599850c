#include "instance.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace laburnumledge::standin {

namespace {

using nlohmann::json;

constexpr core::Milliseconds kAfterAnswer{20};

core::Milliseconds TimeOf(const http::Request& request) {
  const std::string_view text = http::Find(request.query_, "ms").value_or("5");
  std::int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return core::Milliseconds(ms);
}

http::Reply EchoReply(const std::string& id, const std::string& body) {
  http::Reply reply;
  reply.headers_ = {{"Request-Id", id}, {"Content-Type", "text/plain"}};
  reply.body_ = body;
  return reply;
}

}  // namespace

StandinInstance::StandinInstance(loop::Loop& loop, config::Instance spec)
    : loop_(loop), spec_(std::move(spec)) {}

void StandinInstance::Handle(http::Request request, http::Respond respond) {
  if (request.path_ == "/faults") {
    SetFaults(request, respond);
    return;
  }
  if (request.path_ == "/executions") {
    respond(http::JsonReply(200, CountsText()));
    return;
  }
  const std::string id(http::Find(request.headers_, "Request-Id").value_or(""));
  if (faults_.leaving_) {
    http::Reply reply = EchoReply(id, "");
    reply.status_ = 503;
    reply.headers_.push_back({"Verdict", "not-run"});
    reply.headers_.push_back({"Leaving", "yes"});
    respond(std::move(reply));
    return;
  }
  queue_.push_back({.request_ = std::move(request), .respond_ = std::move(respond)});
  most_waiting_ = std::max(most_waiting_, static_cast<std::uint32_t>(queue_.size()) - 1);
  StartNext();
}

void StandinInstance::StartNext() {
  while (busy_ < spec_.slots_ && !queue_.empty()) {
    Execution execution = std::move(queue_.front());
    queue_.pop_front();
    ++busy_;
    most_busy_ = std::max(most_busy_, busy_);
    const core::TimePoint end = loop_.Now() + TimeOf(execution.request_) + faults_.slow_;
    loop_.CallAt(end, [this, execution = std::move(execution)] {
      --busy_;
      Finish(execution);
      StartNext();
    });
  }
}

void StandinInstance::Finish(const Execution& execution) {
  const std::string id(http::Find(execution.request_.headers_, "Request-Id").value_or(""));
  ++executions_[id];
  if (faults_.silent_) {
    unanswered_.push_back(execution.respond_);
    return;
  }
  http::Reply reply = EchoReply(id, "done " + id + "\n" + execution.request_.body_);
  if (faults_.crossed_ > 0) {
    --faults_.crossed_;
    reply = EchoReply("someone-else", "done someone-else\n");
  } else if (faults_.late_ > 0) {
    --faults_.late_;
    loop_.CallAt(loop_.Now() + faults_.late_by_,
                 [respond = execution.respond_, reply] { respond(reply); });
    return;
  }
  execution.respond_(std::move(reply));
}

void StandinInstance::SetFaults(const http::Request& request, const http::Respond& respond) {
  const json body = json::parse(request.body_, nullptr, false);
  if (!body.is_object()) {
    respond(http::JsonReply(400, "{}"));
    return;
  }
  faults_.slow_ = core::Milliseconds(body.value("slow_ms", faults_.slow_.count()));
  faults_.silent_ = body.value("silent", faults_.silent_);
  faults_.leaving_ = body.value("leaving", faults_.leaving_);
  faults_.crossed_ = body.value("crossed", faults_.crossed_);
  FrontFaults& bytes = front_->Faults();
  bytes.truncated_ = body.value("truncated", bytes.truncated_);
  bytes.garbled_ = body.value("garbled", bytes.garbled_);
  if (body.value("silence_connections", false)) {
    loop_.CallAt(loop_.Now() + kAfterAnswer, [this] { front_->SilenceOpenConnections(); });
  }
  faults_.late_ = body.value("late", faults_.late_);
  faults_.late_by_ = core::Milliseconds(body.value("late_by_ms", faults_.late_by_.count()));
  respond(http::JsonReply(200, "{}"));
}

std::string StandinInstance::CountsText() const {
  return json{{"executions", executions_},
              {"most_busy", most_busy_},
              {"most_waiting", most_waiting_},
              {"most_connections", front_->MostConnections()}}
      .dump();
}

}  // namespace laburnumledge::standin
