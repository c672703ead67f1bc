#include "rosemaryhook/request_memory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace rosemaryhook {
namespace {

constexpr size_t kKilobyte = 1 << 10;
constexpr size_t kMegabyte = 1 << 20;

Time At(double seconds) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(seconds * 1e6));
}

BOOST_AUTO_TEST_SUITE(request_memory)

BOOST_AUTO_TEST_CASE(the_limit_follows_from_the_memory_of_the_host) {
  BOOST_TEST(RequestMemoryLimit(160 * kMegabyte) == 40 * kMegabyte);
  BOOST_TEST(RequestMemoryLimit(512 * kMegabyte) == 128 * kMegabyte);
  BOOST_TEST(RequestMemoryLimit(0) == 64 * kMegabyte);
}

// Guards against a wrong choice of the requests that are refused.
BOOST_AUTO_TEST_CASE(the_most_expensive_request_is_refused) {
  struct Request {
    double begun;
    size_t bytes;
    bool is_complete;
  };
  struct Case {
    std::string what;
    std::vector<Request> requests;  // the last one exceeds the limit at 10 s
    size_t refused;
  };
  constexpr size_t kBytes = 600 * kKilobyte;
  const std::vector<Case> cases{
      {"the slowest of the same size",
       {{9, kBytes, false}, {8, kBytes, false}, {9.5, kBytes, false}},
       1},
      {"the largest that began together",
       {{9, kBytes, false}, {9, 2 * kBytes, false}, {9, kBytes, false}},
       1},
      {"the largest that began now",
       {{10, kBytes, false}, {10, 2 * kBytes, false}, {10, kBytes, false}},
       1},
      {"a slow one before a larger one that is quick",
       {{7, kBytes, false}, {9.9, 3 * kBytes, false}, {10, kBytes, false}},
       0},
      {"none that was read completely",
       {{1, 3 * kBytes, true}, {8, kBytes, false}, {9, kBytes, false}},
       1},
      {"itself, if all others were read",
       {{1, 3 * kBytes, true}, {8, kBytes, true}, {9, kBytes, false}},
       2},
      {"none that is small",
       {{1, kUncountedBytes, false}, {2, 4 * kBytes, true}, {9, kBytes, false}},
       2},
  };
  for (const Case& test : cases) {
    RequestMemory memory;
    memory.limit = kMegabyte * 100;
    std::vector<int64_t> ids;
    std::vector<int64_t> refused;
    size_t total = 0;
    for (const Request& request : test.requests) {
      total += request.bytes - std::min(request.bytes, kUncountedBytes);
    }
    for (size_t i = 0; i < test.requests.size(); ++i) {
      const Request& request = test.requests[i];
      ids.push_back(BeginRequest(At(request.begun), &memory));
      if (i + 1 == test.requests.size()) {
        memory.limit = total - 1;
      }
      refused = HoldBytes(ids.back(), request.bytes, At(10), &memory);
      if (request.is_complete) {
        CompleteRequest(ids.back(), &memory);
      }
    }
    BOOST_REQUIRE_MESSAGE(refused.size() == 1, test.what);
    BOOST_TEST(refused[0] == ids[test.refused], test.what);
    BOOST_TEST(IsRefused(refused[0], memory), test.what);
    BOOST_TEST(memory.held <= memory.limit, test.what);
  }
}

BOOST_AUTO_TEST_CASE(what_is_held_is_given_back) {
  RequestMemory memory;
  memory.limit = 2 * (kMegabyte - kUncountedBytes);
  const int64_t slow = BeginRequest(At(0), &memory);
  HoldBytes(slow, kMegabyte, At(0), &memory);
  HoldBytes(slow, kMegabyte + kKilobyte, At(1), &memory);
  BOOST_TEST(memory.held == kMegabyte + kKilobyte - kUncountedBytes);
  const int64_t other = BeginRequest(At(2), &memory);
  const auto refused = HoldBytes(other, kMegabyte, At(2), &memory);
  BOOST_TEST((refused == std::vector<int64_t>{slow}));
  // More bytes of a refused request, on their way, do not count.
  BOOST_TEST(HoldBytes(slow, 3 * kMegabyte, At(2), &memory).empty());
  BOOST_TEST(memory.held == kMegabyte - kUncountedBytes);
  EndRequest(slow, &memory);
  CompleteRequest(other, &memory);
  EndRequest(other, &memory);
  EndRequest(other, &memory);
  BOOST_TEST(memory.held == 0U);
  BOOST_TEST(memory.requests.empty());
}

// 4,096 callers send bodies of 1 MB at 10 KB/s in pieces, each for 3 s; 100
// others send long bodies within 50 ms, and 1,000 short requests, all
// meanwhile.
BOOST_AUTO_TEST_CASE(slow_callers_take_no_room_from_the_others) {
  constexpr int kSlow = 4096;
  constexpr size_t kSlowPiece = 10 * kKilobyte;
  constexpr double kStep = 0.05;
  RequestMemory memory;
  memory.limit = 40 * kMegabyte;
  std::vector<int64_t> slow(kSlow);
  std::vector<size_t> bytes(kSlow, 0);
  size_t most = 0;
  int honest_refused = 0;
  const auto send_honest = [&](size_t size, double now) {
    const int64_t id = BeginRequest(At(now), &memory);
    for (size_t sent = size / 2; sent <= size; sent += size / 2) {
      HoldBytes(id, sent, At(now + 0.02), &memory);
    }
    honest_refused += IsRefused(id, memory) ? 1 : 0;
    EndRequest(id, &memory);
  };
  for (double now = 0; now < 5; now += kStep) {
    for (int i = 0; i < kSlow; ++i) {
      if (i % 20 != static_cast<int>(now / kStep) % 20) {
        continue;
      }
      if (slow[i] == 0 || IsRefused(slow[i], memory)) {
        EndRequest(slow[i], &memory);
        slow[i] = BeginRequest(At(now), &memory);
        bytes[i] = 0;
      }
      bytes[i] += kSlowPiece;
      HoldBytes(slow[i], bytes[i], At(now), &memory);
      most = std::max(most, memory.held);
    }
    send_honest(kMegabyte, now);
    for (int i = 0; i < 10; ++i) {
      send_honest(500, now);
    }
  }
  BOOST_TEST(most <= memory.limit);
  BOOST_TEST(memory.refused > 0);
  BOOST_TEST(honest_refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
