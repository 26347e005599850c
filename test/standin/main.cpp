#include <fmt/core.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>
#include <vector>

#include "audit.hpp"
#include "instance.hpp"
#include "keyed_store.hpp"
#include "laburnumledge/core/hash.hpp"
#include "laburnumledge/core/reason.hpp"
#include "platform.hpp"
#include "proxy.hpp"
#include "task_worker.hpp"
#include "worker.hpp"

namespace laburnumledge::standin {

namespace {

constexpr std::uint64_t kLargestClockOffsetMs = 1000000;

/** @brief Everything that the process stands in for. */
struct World {
  core::TimePoint started_;
  std::vector<Event> events_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::unique_ptr<StandinWorker>> workers_;
  std::vector<std::unique_ptr<StandinInstance>> instances_;
  std::vector<std::unique_ptr<http::Server>> servers_;
  std::vector<std::unique_ptr<Front>> fronts_;
};

template <typename Target>
bool Listen(loop::Loop& loop, World& world, const config::Address& address, unsigned connections,
            Target* target) {
  auto server = http::Server::Start(loop, address, {.max_connections_ = connections},
                                    [target](http::Request request, http::Respond respond) {
                                      target->Handle(std::move(request), std::move(respond));
                                    });
  if (server == nullptr) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return false;
  }
  world.servers_.push_back(std::move(server));
  return true;
}

bool Build(loop::Loop& loop, World& world, const config::Address& platform,
           const config::Configuration& configuration) {
  constexpr unsigned kPlenty = 1024;
  world.started_ = loop.Now();
  world.platform_ = std::make_unique<Platform>(loop);
  world.platform_->audit_ = [&loop, &world](const std::string& job) {
    for (const auto& worker : world.workers_) {
      worker->Advance();
    }
    const auto now = std::chrono::duration_cast<core::Milliseconds>(loop.Now() - world.started_);
    return AuditText(world.events_, job, now);
  };
  world.platform_->ListInstances(configuration);
  if (!Listen(loop, world, platform, kPlenty, world.platform_.get())) {
    return false;
  }
  for (const config::Worker& worker : configuration.inventory_.workers_) {
    const core::Milliseconds offset(core::Hash(worker.name_) % kLargestClockOffsetMs);
    world.workers_.push_back(std::make_unique<StandinWorker>(loop, worker, offset, world.events_));
    if (!Listen(loop, world, worker.address_, kPlenty, world.workers_.back().get())) {
      return false;
    }
  }
  for (const config::Instance& instance : configuration.inventory_.instances_) {
    world.instances_.push_back(std::make_unique<StandinInstance>(loop, instance));
    const config::Address inner{.ip_ = "127.0.0.1", .port_ = 0};
    if (!Listen(loop, world, inner, kPlenty, world.instances_.back().get())) {
      return false;
    }
    const config::Address server{.ip_ = inner.ip_, .port_ = world.servers_.back()->Port()};
    world.fronts_.push_back(std::make_unique<Front>(loop, instance.address_, server));
    world.instances_.back()->SetFront(world.fronts_.back().get());
    if (!world.fronts_.back()->IsOpen()) {
      fmt::print(stderr, "can't listen on {}\n", config::ToString(instance.address_));
      return false;
    }
  }
  return true;
}

int Run(const std::string& platform_text, const std::string& path) {
  const std::optional<config::Address> platform = config::ParseAddress(platform_text);
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const auto configuration = config::ParseConfiguration(text.str(), path);
  if (!platform.has_value() || !configuration.has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  loop::Loop loop;
  World world;
  if (!Build(loop, world, *platform, *configuration)) {
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

/** Plays the platform: a store at an address, and workers on the ports after it. The workers' list
 * gives their ports plus an offset, so that links can be put in between. */
int RunPlatform(const std::string& store_text, int workers, int run_ms, int offset) {
  const std::optional<config::Address> address = config::ParseAddress(store_text);
  if (!address.has_value()) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  loop::Loop loop;
  World world;
  KeyedStore store(loop);
  RunBook book;
  std::vector<std::unique_ptr<TaskWorker>> task_workers;
  constexpr unsigned kPlenty = 1024;
  if (!Listen(loop, world, *address, kPlenty, &store)) {
    return 1;
  }
  for (int number = 1; number <= workers; ++number) {
    const config::Address own{.ip_ = address->ip_,
                              .port_ = static_cast<std::uint16_t>(address->port_ + number)};
    const config::Address listed{.ip_ = own.ip_,
                                 .port_ = static_cast<std::uint16_t>(own.port_ + offset)};
    task_workers.push_back(std::make_unique<TaskWorker>(
        loop, store, book, fmt::format("w-{}", number), config::ToString(listed),
        number % 2 == 0 ? "zone-a" : "zone-b", fmt::format("r-{}", (number + 1) / 2),
        core::Milliseconds(run_ms)));
    if (!Listen(loop, world, own, kPlenty, task_workers.back().get())) {
      return 1;
    }
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

/** Plays a link between two ports; commands come on standard input, one a line. */
int RunProxy(int port, int target) {
  std::signal(SIGPIPE, SIG_IGN);
  loop::Loop loop;
  const auto proxy =
      Proxy::Start(loop, static_cast<std::uint16_t>(port), static_cast<std::uint16_t>(target));
  if (proxy == nullptr) {
    fmt::print(stderr, "{}\n", core::LastReason());
    return 1;
  }
  std::string waiting;
  loop.Watch(STDIN_FILENO, loop::kReadable, [&](int /*events*/) {
    std::array<char, 256> piece{};
    const ssize_t bytes = read(STDIN_FILENO, piece.data(), piece.size());
    if (bytes <= 0) {
      loop.Stop();
      return;
    }
    waiting.append(piece.data(), static_cast<std::size_t>(bytes));
    for (std::size_t end = waiting.find('\n'); end != std::string::npos; end = waiting.find('\n')) {
      if (!proxy->Command(waiting.substr(0, end))) {
        fmt::print(stderr, "no such command: {}\n", waiting.substr(0, end));
      }
      waiting.erase(0, end + 1);
    }
  });
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

/** Prints free loopback ports; all are held until the last one is known, so that none repeats. */
int PrintFreePorts(int first, int count) {
  constexpr int kLastPort = 65535;
  loop::Loop loop;
  std::vector<std::unique_ptr<http::Server>> servers;
  for (int port = first; servers.size() < static_cast<std::size_t>(count); ++port) {
    if (port > kLastPort) {
      return 1;
    }
    const config::Address address{.ip_ = "127.0.0.1", .port_ = static_cast<std::uint16_t>(port)};
    auto server =
        http::Server::Start(loop, address, {}, [](const http::Request&, const http::Respond&) {});
    if (server != nullptr) {
      fmt::print("{}\n", server->Port());
      servers.push_back(std::move(server));
    }
  }
  return 0;
}

}  // namespace

}  // namespace laburnumledge::standin

int main(int argc, char** argv) {
  if (argc == 4 && std::string(argv[1]) == "free-ports") {
    return laburnumledge::standin::PrintFreePorts(std::atoi(argv[2]), std::atoi(argv[3]));
  }
  if ((argc == 5 || argc == 6) && std::string(argv[1]) == "platform") {
    return laburnumledge::standin::RunPlatform(argv[2], std::atoi(argv[3]), std::atoi(argv[4]),
                                               argc == 6 ? std::atoi(argv[5]) : 0);
  }
  if (argc == 4 && std::string(argv[1]) == "proxy") {
    return laburnumledge::standin::RunProxy(std::atoi(argv[2]), std::atoi(argv[3]));
  }
  if (argc != 3) {
    fmt::print(
        stderr,
        "usage: laburnumledge_standin PLATFORM_ADDRESS CONFIGURATION\n"
        "       laburnumledge_standin platform STORE_ADDRESS WORKERS RUN_MS [LISTED_OFFSET]\n"
        "       laburnumledge_standin proxy PORT TARGET_PORT\n"
        "       laburnumledge_standin free-ports FIRST COUNT\n");
    return 2;
  }
  return laburnumledge::standin::Run(argv[1], argv[2]);
}
