// Keeps tests that run at the same time from listening on the same ports, also
// those of other copies of this project on the machine.
//
//   PortBlock ports(25000);  // waits until no other process holds them
#ifndef ROSEMARYHOOK_TESTING_PORT_BLOCK_H_
#define ROSEMARYHOOK_TESTING_PORT_BLOCK_H_

#include "rosemaryhook/time.h"

namespace rosemaryhook::testing {

// The longest test lasts a minute.
constexpr Duration kPortPatience = std::chrono::minutes(4);

class PortBlock {
 public:
  // Takes the 100 ports from `first` on. Throws std::runtime_error if they are
  // not free within `patience`.
  explicit PortBlock(int first, Duration patience = kPortPatience);
  ~PortBlock();
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

 private:
  int file_;
};

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_PORT_BLOCK_H_
