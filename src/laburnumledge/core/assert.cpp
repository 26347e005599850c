#include "laburnumledge/core/assert.hpp"

#include <cstdlib>

#include "laburnumledge/core/log.hpp"

namespace laburnumledge::core {

namespace {

AssertHandler installed_handler = nullptr;

}  // namespace

AssertHandler SetAssertHandler(AssertHandler handler) noexcept {
  AssertHandler previous = installed_handler;
  installed_handler = handler;
  return previous;
}

void FailAssert(const char* condition, const char* message, const char* file, int line) {
  if (installed_handler != nullptr) {
    installed_handler(condition, message, file, line);
    return;
  }
  Error(Part::kNode, "invariant violated: {} ({}) at {}:{}", message, condition, file, line);
  std::abort();
}

}  // namespace laburnumledge::core
