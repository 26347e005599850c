#pragma once

namespace laburnumledge::caller {

struct Incoming;

}  // namespace laburnumledge::caller
