#include "laburnumledge/core/name.hpp"

#include <doctest/doctest.h>

#include <string>

namespace laburnumledge::core {

TEST_CASE("a name has 1 to 128 letters, digits or any of - _ . :") {
  CHECK(IsName("reykjavik-a"));
  CHECK(IsName("A_b.c:9"));
  CHECK(IsName(std::string(kMaxNameBytes, 'a')));
  CHECK_FALSE(IsName(std::string(kMaxNameBytes + 1, 'a')));
  for (const char* text : {"", " ", "a b", "a/b", "a\n", "reykjav\xc3\xadk", "a\"", "%41"}) {
    CAPTURE(text);
    CHECK_FALSE(IsName(text));
  }
}

}  // namespace laburnumledge::core
