#pragma once

#include "laburnumledge/core/time.hpp"
#include "support/fake_workers.hpp"

// Checks of what starts take of workers and of quotas.

namespace laburnumledge::support {

/** @brief Breaks LIMIT if a start brings a worker over its capacity. */
void CheckCapacity(FakeWorkers& field, const FakeWorker& worker,
                   const platform::StartCommand& order, core::TimePoint now);

/** @brief Breaks QUOTA if a start brings an organisation above its quota. */
void CheckQuota(FakeWorkers& field, const platform::StartCommand& order, core::TimePoint now);

}  // namespace laburnumledge::support
