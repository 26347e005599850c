#pragma once

namespace laburnumledge::control {

class Follower;
class StreamWriter;
class Leadership;
class Node;
struct TermState;

}  // namespace laburnumledge::control
