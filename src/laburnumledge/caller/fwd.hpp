#pragma once

namespace laburnumledge::caller {

struct Incoming;
struct TakenRequest;
struct AnswerBook;

}  // namespace laburnumledge::caller
