#pragma once

namespace laburnumledge::entry {

class JobCalls;
class JobWriter;
class Peers;
struct EntryContext;
struct EntryCounts;
struct JobWriterCounts;

}  // namespace laburnumledge::entry
