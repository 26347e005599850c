#pragma once

namespace laburnumledge::platform {

struct LogEntry;
struct ReadAnswer;
struct AppendAnswer;
struct Log;
struct Reader;
struct Appender;
struct VmList;
enum class Priority : unsigned char;

}  // namespace laburnumledge::platform
