#pragma once

namespace laburnumledge::operators {

struct StatusView;

}  // namespace laburnumledge::operators
