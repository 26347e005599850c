#pragma once

namespace laburnumledge::node {

class Node;
struct Decider;
struct Outgoing;

}  // namespace laburnumledge::node
