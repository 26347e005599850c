#pragma once

namespace laburnumledge::routing {

struct Request;
struct Refusal;
struct Waiting;
struct Dispatch;
struct Target;
struct Flow;
struct Queue;
struct RetryBudget;
struct IdBook;
struct Router;
enum class Ending : unsigned char;

}  // namespace laburnumledge::routing
