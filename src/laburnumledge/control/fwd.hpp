#pragma once

namespace laburnumledge::control {

class Follower;
class StreamWriter;
class Election;
class Duty;
class Node;
struct TermState;

}  // namespace laburnumledge::control
