#pragma once

namespace laburnumledge::dispatch {

struct Task;
struct StepState;
struct Occurrence;
struct Job;
struct JobTable;
struct Occupant;
struct Worker;
struct Fleet;
struct DurationModel;
struct UrgentHeadroom;
class Dispatcher;

}  // namespace laburnumledge::dispatch
