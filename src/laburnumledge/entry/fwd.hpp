#pragma once

namespace laburnumledge::entry {

class JobCalls;
class Peers;
struct EntryContext;
struct EntryCounts;

}  // namespace laburnumledge::entry
