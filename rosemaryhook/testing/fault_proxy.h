// A loopback proxy that harms connections from outside the processes.
//
//   FaultProxy proxy;
//   proxy.AddLink("store 0", "127.0.0.1:27013", "127.0.0.1:27000");
//   proxy.SetFault("store 0", LinkFault::kSilent);
//   proxy.SetFault("store 0", LinkFault::kNone);   // what was held goes on
//
// Bytes held by a fault are delivered once it ends, as on a network that heals,
// unless one end closed the connection meanwhile.
#ifndef ROSEMARYHOOK_TESTING_FAULT_PROXY_H_
#define ROSEMARYHOOK_TESTING_FAULT_PROXY_H_

#include <memory>
#include <string>
#include <string_view>

namespace rosemaryhook::testing {

enum class LinkFault {
  kNone,
  kDelay,     // each piece waits 150 ms
  kReset,     // open connections are reset, new ones too
  kCutThere,  // what is sent to the target is held
  kCutBack,   // what the target sends is held
  kSilent,    // both
};

std::string_view LinkFaultName(LinkFault fault);

class FaultProxy {
 public:
  FaultProxy();
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void AddLink(const std::string& name,
               const std::string& listen,
               const std::string& target);
  void SetFault(const std::string& name, LinkFault fault);
  void HealAll();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_FAULT_PROXY_H_
