#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "cases.hpp"

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void(review::World&, bool)>> cases = {
      {"fills", review::PlayFills},
      {"lasting", review::PlayLasting},
      {"schedule", review::PlaySchedule},
      {"doubt", review::PlayDoubt},
      {"times", review::PlayTimes},
  };
  if (argc != 4 || !cases.contains(argv[1])) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  review::World world(argv[2], argv[3]);
  cases.at(argv[1])(world, trouble == nullptr || std::string(trouble) != "0");
  return world.Run();
}
