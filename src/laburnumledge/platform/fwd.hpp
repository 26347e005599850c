#pragma once

namespace laburnumledge::platform {

struct Entry;
struct ReadAnswer;
struct AppendAnswer;
struct Log;
struct Reader;
struct Appender;
struct VmList;
enum class Priority : unsigned char;

}  // namespace laburnumledge::platform
