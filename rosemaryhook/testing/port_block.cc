// The lock of a file, which ends with the process that holds it.
#include "rosemaryhook/testing/port_block.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace rosemaryhook::testing {
namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(20);
constexpr mode_t kAnyUser = 0666;

bool Lock(int file, Time deadline) {
  while (flock(file, LOCK_EX | LOCK_NB) != 0) {
    if (Now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return true;
}

}  // namespace

PortBlock::PortBlock(int first, Duration patience) {
  const std::string path = (std::filesystem::temp_directory_path() /
                            fmt::format("rosemaryhook-ports-{}", first))
                               .string();
  // Not inherited, or processes that outlive the test would hold the ports.
  file_ = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kAnyUser);
  if (file_ < 0) {
    throw std::runtime_error("cannot open " + path);
  }
  const Time begin = Now();
  if (!Lock(file_, begin + patience)) {
    close(file_);
    throw std::runtime_error(
        fmt::format("another process holds the ports from {} on", first));
  }
  if (Now() - begin > kRetryPause) {
    std::cerr << fmt::format("waited {} ms for the ports from {} on\n",
                             Millis(Now() - begin), first);
  }
}

PortBlock::~PortBlock() {
  close(file_);
}

}  // namespace rosemaryhook::testing
