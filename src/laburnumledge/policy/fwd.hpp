#pragma once

namespace laburnumledge::policy {

struct Plan;
struct Decision;
struct Limits;
enum class Action : unsigned char;

}  // namespace laburnumledge::policy
