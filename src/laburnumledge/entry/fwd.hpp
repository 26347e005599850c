#pragma once

namespace laburnumledge::entry {

class JobCalls;
struct EntryContext;
struct EntryCounts;

}  // namespace laburnumledge::entry
