#pragma once

namespace laburnumledge::core {

enum class Verdict : unsigned char;
enum class Part : unsigned char;
struct StateClock;
struct WorkerClock;

}  // namespace laburnumledge::core
