#pragma once

namespace laburnumledge::policy {

struct Plan;
struct Held;
struct Claim;
struct Reservation;
struct Decision;
struct Estimates;
enum class Action : unsigned char;

}  // namespace laburnumledge::policy
