// Polls load reports of the runners that this host owns, and probes runners
// after a failure.
#ifndef ROSEMARYHOOK_LOAD_REPORTS_H_
#define ROSEMARYHOOK_LOAD_REPORTS_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace rosemaryhook {

struct Host;
struct OwnedBackend;

// Polls the runner's reports until another host owns it or this host stops.
boost::asio::awaitable<void> ReportLoop(std::shared_ptr<Host> host,
                                        std::shared_ptr<OwnedBackend> owned);

// Whether the runner at `address` has crashed since `incarnation`: its port
// refuses connections, or another incarnation answers. A runner that does not
// answer in time is not regarded as crashed.
boost::asio::awaitable<bool> HasCrashed(std::shared_ptr<Host> host,
                                        std::string address,
                                        std::string incarnation);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_LOAD_REPORTS_H_
