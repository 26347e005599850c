#include "laburnumledge/loop/loop.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <vector>

namespace laburnumledge::loop {

TEST_CASE(
    "functions are called in the order of their deadlines, and at once if the deadline has "
    "passed") {
  Loop loop;
  std::vector<int> order;
  const core::TimePoint now = loop.Now();
  loop.CallAt(now + core::Milliseconds(20), [&] {
    order.push_back(2);
    loop.Stop();
  });
  loop.CallAt(now + core::Milliseconds(5), [&] { order.push_back(1); });
  loop.CallAt(now - core::Milliseconds(1000), [&] { order.push_back(0); });
  loop.Run();
  CHECK(order == std::vector<int>{0, 1, 2});
}

TEST_CASE("a periodic function may cancel its own timer and add timers") {
  Loop loop;
  int calls = 0;
  Handle timer = 0;
  timer = loop.CallEvery(core::Milliseconds(1), [&] {
    if (++calls == 3) {
      loop.Cancel(timer);
      loop.CallAt(loop.Now() + core::Milliseconds(10), [&] { loop.Stop(); });
    }
  });
  loop.Run();
  CHECK(calls == 3);
}

TEST_CASE("a cancelled function is not called, and unknown handles are ignored") {
  Loop loop;
  bool called = false;
  const Handle timer = loop.CallAt(loop.Now(), [&] { called = true; });
  loop.Cancel(timer);
  loop.Cancel(timer);
  loop.Cancel(0);
  loop.CallAt(loop.Now() + core::Milliseconds(5), [&] { loop.Stop(); });
  loop.Run();
  CHECK_FALSE(called);
}

TEST_CASE("a descriptor may be unwatched from within its own function") {
  Loop loop;
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  REQUIRE(write(ends[1], "x", 1) == 1);
  int calls = 0;
  Handle watch = 0;
  watch = loop.Watch(ends[0], kReadable, [&](int events) {
    CHECK(events == kReadable);
    ++calls;
    loop.Unwatch(watch);
  });
  loop.CallAt(loop.Now() + core::Milliseconds(10), [&] { loop.Stop(); });
  loop.Run();
  CHECK(calls == 1);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace laburnumledge::loop
