// A TCP proxy on loopback that injects faults into the connections of
// processes.
//
//   FaultProxy proxy;
//   proxy.AddLink("store 0", "127.0.0.1:27013", "127.0.0.1:27000");
//   proxy.SetFault("store 0", LinkFault::kBlocked);
//   proxy.SetFault("store 0", LinkFault::kNone);   // delivers what was held
//
// Bytes that a fault holds are delivered when it ends, as after a network
// partition, unless one end has closed the connection.
#ifndef ROSEMARYHOOK_TESTING_FAULT_PROXY_H_
#define ROSEMARYHOOK_TESTING_FAULT_PROXY_H_

#include <memory>
#include <string>
#include <string_view>

namespace rosemaryhook::testing {

enum class LinkFault {
  kNone,
  kDelay,              // each read is forwarded 150 ms late
  kReset,              // open and new connections are reset
  kBlockedToTarget,    // bytes to the target are held
  kBlockedFromTarget,  // bytes from the target are held
  kBlocked,            // bytes in both directions are held
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

  // Writes parts of earlier answers of the target before some answers on
  // connections that have delivered one, beside the link's fault.
  void WriteExtraBytes(const std::string& name);

  // Bytes from the target take the time that they need at this rate, which all
  // connections of the link share; 0: no limit. ClearFaults does not end it.
  void SetRate(const std::string& name, int bytes_per_s);

  void ClearFaults();  // also ends WriteExtraBytes

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rosemaryhook::testing

#endif  // ROSEMARYHOOK_TESTING_FAULT_PROXY_H_
