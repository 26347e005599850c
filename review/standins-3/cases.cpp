#include "cases.hpp"

#include <chrono>
#include <string>

namespace review {

namespace {

constexpr Amount kMinion{.cpu_ = 128000, .mem_mb_ = 262144, .gpus_ = 8};
constexpr int kMinions = 20;
constexpr int kNodes = 4;

void Build(World& world) {
  world.AddMinions(kMinions, kMinion);
  for (int node = 0; node < kNodes; ++node) {
    world.StartNode();
  }
}

}  // namespace

void PlayFills(World& world, bool trouble) {
  static const std::string kFiller = "00000000000000f1";
  static const std::string kJob = "00000000000000a1";
  Build(world);
  // A job that fills the processors of all minions but one.
  world.At(Ms(2000), [&world] {
    world.Submit(kFiller, "lasting",
                 Json::array({{{"count", kMinions - 1},
                               {"cpu", 128000},
                               {"mem_mb", 8192},
                               {"anti_affinity", 1},
                               {"estimate_ms", 60000},
                               {"fills", true},
                               {"long_running", true}}}),
                 0);
  });
  world.At(Ms(5000), [&world] {
    world.Submit(kJob, "ms=12000",
                 Json::array({{{"count", 4},
                               {"cpu", 11000},
                               {"mem_mb", 23000},
                               {"gpus", 1},
                               {"estimate_ms", 12000}}}),
                 1);
  });
  world.At(Ms(9000), [&world, trouble] {
    Minion* host = world.HostOf(kJob + ".0.0.0");
    if (host == nullptr) {
      world.GiveUp("the job has not started");
    } else if (trouble) {
      host->Drain(Ms(2000));
    }
  });
  // The traffic ends at 12 s; jobs are judged `finish_s` later.
  for (int ms = 26000; ms < 40000; ms += 50) {
    world.At(Ms(ms), [&world] { world.CheckIdleJob(kJob); });
  }
  world.At(Ms(38000), [&world] { world.Show(kJob, 2); });
  world.At(Ms(40000), [&world] {
    if (!world.IsAccepted(kFiller) || !world.IsAccepted(kJob)) {
      world.GiveUp("a job was not accepted");
    }
    world.Finish();
  });
}

void PlaySchedule(World& world, bool trouble) {
  static const std::string kRepeated = "00000000000000c1";
  static const std::string kJob = "00000000000000c2";
  static int other = 0;  // A node that doesn't lead when the leader is killed.
  Build(world);
  world.CountOnly(kRepeated);
  world.LimitMemory();
  world.At(Ms(2000), [&world] {
    const auto unix_ms = std::chrono::duration_cast<Ms>(
        std::chrono::system_clock::now().time_since_epoch());
    world.Submit(kRepeated, "ms=30",
                 Json::array({{{"count", 250},
                               {"cpu", 500},
                               {"mem_mb", 64},
                               {"estimate_ms", 30},
                               {"gang", true}}}),
                 0,
                 {{"repeats", 1000000}, {"start_at_ms", unix_ms.count()}, {"interval_ms", 50}});
  });
  for (int second = 3; second < 108; ++second) {
    world.At(Ms(second * 1000), [&world] {
      std::string line = std::to_string(world.Starts()) + " starts;";
      for (const auto& node : world.nodes_) {
        line += " " + node->name_ + " " + std::to_string(node->peak_mb_) + " MB";
      }
      world.Note(line);
    });
  }
  world.At(Ms(82000), [&world, trouble] {
    Node* leader = world.Leader();
    if (leader == nullptr || world.Starts() < 300000) {
      world.GiveUp("too few tasks have run");
      return;
    }
    other = leader == world.nodes_.front().get() ? 1 : 0;
    if (trouble) {
      world.BeginImpairment("trouble: the leader's process is killed; it starts again at once");
      world.Kill(*leader);
      world.loop_.CallAt(world.Now() + Ms(500), [&world, leader] {
        world.Restart(*leader);
        world.EndImpairment();
      });
    }
  });
  // An ordinary job, at a node that does not lead.
  world.At(Ms(83000), [&world] {
    world.Submit(kJob, "ms=1000",
                 Json::array({{{"count", 4},
                               {"cpu", 11000},
                               {"mem_mb", 23000},
                               {"gpus", 1},
                               {"estimate_ms", 1000}}}),
                 other);
  });
  // The traffic ends with it; jobs are judged `finish_s` later.
  for (int ms = 97000; ms < 107000; ms += 50) {
    world.At(Ms(ms), [&world] { world.CheckIdleJob(kJob); });
  }
  world.At(Ms(106000), [&world] {
    world.Show(kRepeated, other);
    world.Show(kJob, other);
  });
  world.At(Ms(108000), [&world] {
    if (!world.IsAccepted(kRepeated) || !world.IsAccepted(kJob)) {
      world.GiveUp("a job was not accepted");
    }
    world.Finish();
  });
}

void PlayLasting(World& world, bool trouble) {
  static const std::string kJob = "00000000000000b1";
  Build(world);
  world.At(Ms(2000), [&world] {
    world.Submit(kJob, "lasting",
                 Json::array({{{"count", 4},
                               {"cpu", 15000},
                               {"mem_mb", 31000},
                               {"gpus", 1},
                               {"estimate_ms", 60000},
                               {"long_running", true}}}),
                 0);
  });
  world.At(Ms(8000), [&world, trouble] {
    world.AfterRenewal([&world, trouble] {
      Minion* host = world.HostOf(kJob + ".0.0.0");
      Node* leader = world.Leader();
      if (host == nullptr || leader == nullptr) {
        world.GiveUp("the job has not started");
        return;
      }
      world.BeginImpairment("planned: a minion leaves");
      if (trouble) {
        world.BeginImpairment("trouble: the leader's machine is removed for good");
        world.Kill(*leader);
      }
      host->Drain(Ms(2000));
      const core::TimePoint replaced = world.Now() + Ms(2000);
      world.loop_.CallAt(replaced, [&world, trouble] {
        if (trouble) {
          world.StartNode();
        }
        world.EndImpairment();
      });
    });
  });
  for (int ms = 3000; ms < 30000; ms += 50) {
    world.At(Ms(ms), [&world] { world.CheckLastingTasks(); });
  }
  world.At(Ms(29000), [&world] { world.Show(kJob, 0); });
  world.At(Ms(30000), [&world] {
    if (!world.IsAccepted(kJob)) {
      world.GiveUp("the job was not accepted");
    }
    world.Finish();
  });
}

void PlayDoubt(World& world, bool trouble) {
  static const std::string kJob = "00000000000000d1";
  static const std::string kTask = kJob + ".0.0.0";
  Build(world);
  world.At(Ms(2000), [&world, trouble] {
    if (trouble) {
      world.LeaveUnanswered(kTask);
    }
    world.Submit(kJob, "lasting",
                 Json::array({{{"count", kMinions - 2},
                               {"cpu", 15000},
                               {"mem_mb", 31000},
                               {"gpus", 1},
                               {"anti_affinity", 1},
                               {"estimate_ms", 60000},
                               {"long_running", true}}}),
                 0);
  });
  world.At(Ms(7500), [&world] {
    world.Note("orders to minions in these 5.5 s: " + std::to_string(world.Orders()));
  });
  // Long after, planned work alone.
  world.At(Ms(30000), [&world] {
    Node* leader = world.Leader();
    if (leader == nullptr || world.HostOf(kTask) == nullptr) {
      world.GiveUp("the job has not started");
      return;
    }
    world.BeginImpairment("planned: the leader is stopped");
    world.Terminate(*leader);
  });
  world.At(Ms(31000), [&world] {
    Minion* host = world.HostOf(kTask);
    if (host == nullptr) {
      world.GiveUp("the task has no run");
      return;
    }
    world.BeginImpairment("planned: a minion leaves");
    host->Drain(Ms(2000));
  });
  for (int ms = 3000; ms < 50000; ms += 50) {
    world.At(Ms(ms), [&world] { world.CheckLastingTasks(); });
  }
  world.At(Ms(50000), [&world] {
    if (!world.IsAccepted(kJob)) {
      world.GiveUp("the job was not accepted");
    }
    world.Finish();
  });
}

void PlayTimes(World& world, bool trouble) {
  static const std::string kJob = "00000000000000e1";
  static constexpr int kFewerMinions = 18;  // The last one is alone in its rack.
  static constexpr Ms kInterval{250};
  static core::TimePoint first;
  world.AddMinions(kFewerMinions, kMinion);
  for (int node = 0; node < kNodes; ++node) {
    world.StartNode();
  }
  const std::string rack = world.minions_.back()->rack_;
  world.At(Ms(2000), [&world, rack] {
    const auto unix_ms = std::chrono::duration_cast<Ms>(
        std::chrono::system_clock::now().time_since_epoch());
    first = world.Now();
    world.Submit(kJob, "ms=100",
                 Json::array({{{"count", 1},
                               {"cpu", 11000},
                               {"mem_mb", 23000},
                               {"gpus", 1},
                               {"estimate_ms", 100}},
                              {{"count", 1},
                               {"cpu", 11000},
                               {"mem_mb", 23000},
                               {"gpus", 1},
                               {"estimate_ms", 100},
                               {"constraints", rack},
                               {"after", {0}}}}),
                 0,
                 {{"repeats", 1000},
                  {"start_at_ms", unix_ms.count()},
                  {"interval_ms", kInterval.count()}});
  });
  world.At(Ms(6000), [&world, trouble] {
    if (!world.IsAccepted(kJob)) {
      world.GiveUp("the job was not accepted");
    } else if (trouble) {
      world.minions_.back()->Drain(Ms(2000));
    }
  });
  // The traffic ends at 6 s; jobs are judged `finish_s` later. A time counts as due one interval late.
  for (int ms = 20000; ms < 40000; ms += 50) {
    world.At(Ms(ms), [&world] {
      world.CheckIdleTimes(kJob, static_cast<int>((world.Now() - first) / kInterval));
    });
  }
  world.At(Ms(39000), [&world] { world.Show(kJob, 1); });
  world.At(Ms(40000), [&world] { world.Finish(); });
}

}  // namespace review
