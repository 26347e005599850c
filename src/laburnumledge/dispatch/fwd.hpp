#pragma once

namespace laburnumledge::dispatch {

struct Task;
struct StepState;
struct Occurrence;
struct Job;
struct JobTable;
struct AssignedRun;
struct Worker;
struct Fleet;
struct DurationModel;
struct UrgentHeadroom;
class Dispatcher;

}  // namespace laburnumledge::dispatch
