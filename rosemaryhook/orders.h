// Orders to a runner: load and evict an adapter.
//
// Each order carries the owner's fencing number. Its outcome is recorded in the
// backend server's state, and the scheduling loop is woken.
#ifndef ROSEMARYHOOK_ORDERS_H_
#define ROSEMARYHOOK_ORDERS_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace rosemaryhook {

struct Host;
struct OwnedBackend;

// Waits until the weight store's rate limit admits a load, then orders it.
boost::asio::awaitable<void> OrderLoad(std::shared_ptr<Host> host,
                                       std::shared_ptr<OwnedBackend> owned,
                                       std::string adapter);

boost::asio::awaitable<void> OrderEvict(std::shared_ptr<Host> host,
                                        std::shared_ptr<OwnedBackend> owned,
                                        std::string adapter,
                                        std::string why);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ORDERS_H_
