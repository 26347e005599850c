#pragma once

namespace laburnumledge::dispatch {

struct Task;
struct StepRun;
struct Occurrence;
struct Job;
struct Board;
struct Occupant;
struct Worker;
struct Fleet;
struct Durations;
struct UrgentReserve;
class Dispatcher;

}  // namespace laburnumledge::dispatch
