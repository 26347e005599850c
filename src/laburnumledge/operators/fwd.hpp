#pragma once

namespace laburnumledge::operators {

enum class ExitCode : int;
struct CommandHelp;
struct Parsed;
struct NodeCall;

}  // namespace laburnumledge::operators
