#pragma once

namespace laburnumledge::routing {

struct Request;
struct Dispatch;
struct Router;
struct Refusal;
enum class Ending : unsigned char;

}  // namespace laburnumledge::routing
