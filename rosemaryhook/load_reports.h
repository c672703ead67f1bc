// Load reports of the runners that this host owns, and probes after a failure.
#ifndef ROSEMARYHOOK_LOAD_REPORTS_H_
#define ROSEMARYHOOK_LOAD_REPORTS_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace rosemaryhook {

struct Host;
struct OwnedBackend;

// Polls reports until the runner is lost to another owner or the host stops.
boost::asio::awaitable<void> ReportLoop(std::shared_ptr<Host> host,
                                        std::shared_ptr<OwnedBackend> owned);

// Whether the runner at `address` has crashed since `incarnation`: its port
// refuses connections, or another incarnation answers. A silent one has not
// crashed as far as can be told.
boost::asio::awaitable<bool> HasCrashed(std::shared_ptr<Host> host,
                                        std::string address,
                                        std::string incarnation);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_LOAD_REPORTS_H_
