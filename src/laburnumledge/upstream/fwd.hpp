#pragma once

namespace laburnumledge::upstream {

struct Forward;
struct Answer;

}  // namespace laburnumledge::upstream
