#pragma once

namespace laburnumledge::ledger {

struct Step;
struct Submission;
struct JobEntry;
struct Jobs;
struct TaskId;
struct TaskRecord;
struct Term;
enum class JobState : unsigned char;
enum class TaskOutcome : unsigned char;

}  // namespace laburnumledge::ledger
