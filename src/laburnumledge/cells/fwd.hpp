#pragma once

#include <cstdint>

namespace laburnumledge::cells {

struct Shape;
struct Part;
struct Placement;
struct Pool;
struct CellDemand;
struct GuaranteedCells;
struct OrganisationCells;
struct Guarantees;
enum class Tenure : unsigned char;

/** @brief Position of a worker in Pool::workers_. Stable while the pool lives. */
using WorkerIndex = std::uint32_t;

}  // namespace laburnumledge::cells
