// Runs one case of the review: `cases NAME RECORD`. Exit code 1: the rule was broken; 0: it held;
// 2: the case could not run. TROUBLE=0 leaves out the disruption.
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "cases.hpp"

namespace review {

namespace {

std::FILE* record = nullptr;
std::mutex record_mutex;

}  // namespace

void Note(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  if (record != nullptr) {
    std::fprintf(record, "%7.3f %s\n", static_cast<double>(NowMs()) / 1000.0, line.c_str());
  }
}

}  // namespace review

int main(int argc, char** argv) {
  using namespace review;
  if (argc != 3 || std::getenv("REVIEW_ROOT") == nullptr) {
    std::cerr << "usage: REVIEW_ROOT=repository cases NAME RECORD\n";
    return kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  NowMs();
  record = std::fopen(argv[2], "w");
  const char* const trouble = std::getenv("TROUBLE");
  const bool disturb = trouble == nullptr || std::string(trouble) != "0";
  char folder[] = "/tmp/review-XXXXXX";
  if (record == nullptr || mkdtemp(folder) == nullptr) {
    return kCannotRun;
  }
  int result = kCannotRun;
  Site site(folder);
  try {
    const auto run = Cases().find(argv[1]);
    result = run == Cases().end() ? kCannotRun : run->second(site, disturb);
  } catch (const std::exception& error) {
    Note(std::string("case: ") + error.what());
  }
  site.EndNodes();
  const char* const kept = std::getenv("REVIEW_KEEP");
  if (kept == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    std::cerr << "logs of the nodes: " << folder << "\n";
  }
  const char* const words[] = {"the rule held", "the rule was broken", "the case could not run"};
  Note(std::string("result: ") + words[result]);
  std::cout << argv[1] << (disturb ? "" : ", without the disruption") << ": " << words[result]
            << "\n";
  std::fclose(record);
  record = nullptr;
  std::cout.flush();
  _exit(result);
}
