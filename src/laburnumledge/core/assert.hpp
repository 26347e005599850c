#pragma once

/**
 * Configuration point for invariants. Define `LABURNUMLEDGE_ASSERT` before this header is included
 * to replace what happens when an invariant does not hold. The default stays on in every build:
 * it calls the installed handler, which logs the message and aborts.
 */
#ifndef LABURNUMLEDGE_ASSERT
#define LABURNUMLEDGE_ASSERT(condition, message) \
  ((condition) ? static_cast<void>(0)            \
               : ::laburnumledge::core::FailAssert(#condition, (message), __FILE__, __LINE__))
#endif

namespace laburnumledge::core {

/** @brief Signature of a function called for an invariant that does not hold. */
using AssertHandler = void (*)(const char* condition, const char* message, const char* file,
                               int line);

/**
 * @brief Replaces the handler of failed invariants.
 * @param handler New handler, or null for the default, which aborts.
 * @return The handler that was installed before.
 * @warning Not thread safe. Meant for tests that prove an invariant can fail.
 */
AssertHandler SetAssertHandler(AssertHandler handler) noexcept;

/**
 * @brief Reports an invariant that does not hold to the installed handler.
 * @param condition Text of the condition.
 * @param message What the invariant says.
 * @param file Source file.
 * @param line Source line.
 */
void FailAssert(const char* condition, const char* message, const char* file, int line);

}  // namespace laburnumledge::core
