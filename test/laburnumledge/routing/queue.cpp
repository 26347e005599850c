#include "laburnumledge/routing/queue.hpp"

#include <doctest/doctest.h>

namespace laburnumledge::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint kNow{};

config::Rules MakeRules() {
  config::Rules rules;
  rules.organisations_ = {{.name_ = "stofn", .weight_ = 3}, {.name_ = "lefka", .weight_ = 1}};
  config::Service service{.name_ = "booking", .classes_ = {}};
  service.classes_.push_back({.name_ = "counter", .weight_ = 1, .interactive_ = true});
  service.classes_.push_back({.name_ = "batch", .weight_ = 1, .interactive_ = false});
  rules.services_ = {service};
  return rules;
}

Queue MakeQueue() {
  const config::Rules rules = MakeRules();
  Queue queue;
  ConfigureQueue(queue, rules, &rules.services_[0]);
  return queue;
}

Request MakeRequest(const std::string& organisation, const std::string& cls,
                    milliseconds deadline) {
  Request request;
  request.organisation_ = organisation;
  request.class_ = cls;
  request.deadline_ = kNow + deadline;
  return request;
}

void Add(Queue& queue, Ticket ticket, const Request& request) {
  Push(queue, *FindFlow(queue, request), {.ticket_ = ticket, .request_ = request});
}

}  // namespace

TEST_CASE("Within a flow the earliest deadline goes first") {
  Queue queue = MakeQueue();
  Add(queue, 1, MakeRequest("stofn", "counter", seconds(9)));
  Add(queue, 2, MakeRequest("stofn", "counter", seconds(3)));
  Add(queue, 3, MakeRequest("stofn", "counter", seconds(6)));
  CHECK(Pop(queue, true)->ticket_ == 2);
  CHECK(Pop(queue, true)->ticket_ == 3);
  CHECK(Pop(queue, true)->ticket_ == 1);
  CHECK_FALSE(Pop(queue, true).has_value());
}

TEST_CASE("Interactive work goes first and batch work gets a tenth of the slots' time") {
  Queue queue = MakeQueue();
  for (Ticket ticket = 0; ticket < 1000; ++ticket) {
    Add(queue, 2 * ticket, MakeRequest("stofn", "counter", seconds(60)));
    Add(queue, 2 * ticket + 1, MakeRequest("lefka", "batch", seconds(60)));
  }
  CHECK(Pop(queue, true)->interactive_);
  int batch = 0;
  for (int i = 0; i < 500; ++i) {
    batch += Pop(queue, true)->interactive_ ? 0 : 1;
  }
  CHECK(batch >= 48);
  CHECK(batch <= 52);
}

TEST_CASE("Two organisations share a band by their weights, whoever asks for more") {
  Queue queue = MakeQueue();
  for (Ticket ticket = 0; ticket < 400; ++ticket) {
    Add(queue, ticket, MakeRequest("lefka", "counter", seconds(60)));
  }
  for (Ticket ticket = 1000; ticket < 1200; ++ticket) {
    Add(queue, ticket, MakeRequest("stofn", "counter", seconds(60)));
  }
  int stofn = 0;
  for (int i = 0; i < 100; ++i) {
    stofn += Pop(queue, true)->request_.organisation_ == "stofn" ? 1 : 0;
  }
  CHECK(stofn >= 74);
  CHECK(stofn <= 76);
}

TEST_CASE("Batch work that may not go leaves interactive work alone") {
  Queue queue = MakeQueue();
  Add(queue, 1, MakeRequest("lefka", "batch", seconds(60)));
  CHECK_FALSE(Pop(queue, false).has_value());
  Add(queue, 2, MakeRequest("stofn", "counter", seconds(60)));
  CHECK(Pop(queue, false)->ticket_ == 2);
}

TEST_CASE("A request whose deadline can't be met is refused with a time to come back") {
  Queue queue = MakeQueue();
  const Request request = MakeRequest("lefka", "batch", milliseconds(500));
  Flow* flow = FindFlow(queue, request);
  Refusal refusal;
  CHECK(MayEnter(queue, *flow, request, 1, kNow, refusal));
  for (Ticket ticket = 0; ticket < 100; ++ticket) {
    Add(queue, ticket, MakeRequest("lefka", "batch", seconds(60)));
  }
  CHECK_FALSE(MayEnter(queue, *flow, request, 1, kNow, refusal));
  CHECK(refusal.retry_at_ >= kNow + milliseconds(1000));
  CHECK(MayEnter(queue, *flow, MakeRequest("lefka", "batch", seconds(60)), 1, kNow, refusal));
}

TEST_CASE("A flow that fills the queue leaves every other flow its part") {
  Queue queue = MakeQueue();
  queue.max_count_ = 800;
  Refusal refusal;
  Ticket ticket = 0;
  const Request greedy = MakeRequest("lefka", "batch", seconds(1000000));
  while (MayEnter(queue, *FindFlow(queue, greedy), greedy, 1000000, kNow, refusal)) {
    Add(queue, ticket++, greedy);
    REQUIRE(ticket <= 800);
  }
  const Request late = MakeRequest("stofn", "batch", seconds(1000000));
  for (int i = 0; i < 150; ++i) {
    REQUIRE(MayEnter(queue, *FindFlow(queue, late), late, 1000000, kNow, refusal));
    Add(queue, ticket++, late);
  }
}

TEST_CASE("Bytes of waiting requests are bounded") {
  Queue queue = MakeQueue();
  queue.max_bytes_ = 1000;
  Request request = MakeRequest("stofn", "counter", seconds(60));
  request.body_bytes_ = 600;
  Refusal refusal;
  CHECK(MayEnter(queue, *FindFlow(queue, request), request, 10, kNow, refusal));
  Add(queue, 1, request);
  CHECK_FALSE(MayEnter(queue, *FindFlow(queue, request), request, 10, kNow, refusal));
  CHECK(TakeExpired(queue, kNow + seconds(60)).size() == 1);
  CHECK(MayEnter(queue, *FindFlow(queue, request), request, 10, kNow, refusal));
}

TEST_CASE("A lasting crowd of interactive requests is cut to a short wait") {
  Queue queue = MakeQueue();
  const Request request = MakeRequest("stofn", "counter", seconds(60));
  Refusal refusal;
  for (Ticket ticket = 0; ticket < 100; ++ticket) {
    Add(queue, ticket, request);
  }
  const Flow& flow = *FindFlow(queue, request);
  CHECK(MayEnter(queue, flow, request, 4, kNow, refusal));
  CHECK_FALSE(MayEnter(queue, flow, request, 4, kNow + milliseconds(600), refusal));
  CHECK(refusal.retry_at_ > kNow + milliseconds(600));
}

}  // namespace laburnumledge::routing
