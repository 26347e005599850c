#pragma once

namespace laburnumledge::operators {

enum class ExitCode : int;
struct CommandHelp;
struct ParsedOptions;
struct NodeCall;

}  // namespace laburnumledge::operators
