#pragma once

/**
 * Checks an invariant, in release builds too. When the condition is false, the default calls the
 * installed handler; without a handler it logs the message and aborts. Define
 * `LABURNUMLEDGE_ASSERT` before including this header to replace the default.
 */
#ifndef LABURNUMLEDGE_ASSERT
#define LABURNUMLEDGE_ASSERT(condition, message) \
  ((condition) ? static_cast<void>(0)            \
               : ::laburnumledge::core::FailAssert(#condition, (message), __FILE__, __LINE__))
#endif

namespace laburnumledge::core {

/** @brief Signature of the function that is called when an invariant is violated. */
using AssertHandler = void (*)(const char* condition, const char* message, const char* file,
                               int line);

/**
 * @brief Replaces the handler of violated invariants.
 * @param handler New handler, or null for the default, which logs the message and aborts.
 * @return The previously installed handler, or null.
 * @warning Not thread safe. Meant for tests that violate an invariant on purpose.
 */
AssertHandler SetAssertHandler(AssertHandler handler) noexcept;

/**
 * @brief Calls the installed handler for a violated invariant, or logs it and aborts.
 * @param condition Source text of the condition.
 * @param message Description of the invariant.
 * @param file Source file.
 * @param line Source line.
 */
void FailAssert(const char* condition, const char* message, const char* file, int line);

}  // namespace laburnumledge::core
