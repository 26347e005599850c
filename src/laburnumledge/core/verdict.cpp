#include "laburnumledge/core/verdict.hpp"

namespace laburnumledge::core {

std::string_view ToString(Verdict verdict) noexcept {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

std::optional<Verdict> ParseVerdict(std::string_view text) noexcept {
  for (Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (text == ToString(verdict)) {
      return verdict;
    }
  }
  return std::nullopt;
}

}  // namespace laburnumledge::core
