// Orders to a runner: load and evict an adapter.
//
// Each order carries the owner's fencing number. The outcome is noted in the
// backend server's state, and its scheduling loop is woken.
#ifndef ROSEMARYHOOK_ORDERS_H_
#define ROSEMARYHOOK_ORDERS_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace rosemaryhook {

struct Host;
struct OwnedBackend;

// Waits for a turn at the weight store, then orders the load.
boost::asio::awaitable<void> OrderLoad(std::shared_ptr<Host> host,
                                       std::shared_ptr<OwnedBackend> owned,
                                       std::string adapter);

boost::asio::awaitable<void> OrderEvict(std::shared_ptr<Host> host,
                                        std::shared_ptr<OwnedBackend> owned,
                                        std::string adapter,
                                        std::string why);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ORDERS_H_
