// Takes tokens for a request, borrowing them from other hosts if necessary.
//
//   Admission admission = co_await AdmitTokens(host, customer, cost, deadline);
//
// See rates.h for the rules; this file exchanges the messages.
#ifndef ROSEMARYHOOK_ADMISSION_H_
#define ROSEMARYHOOK_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "rosemaryhook/rates.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct Host;

// Takes all `cost` tokens from `customer`'s rate limit, or none.
boost::asio::awaitable<Admission> AdmitTokens(std::shared_ptr<Host> host,
                                              std::string customer,
                                              double cost);

// Waits until the rate limit of the weight store allows a load. Returns false
// if it does not before `deadline`.
boost::asio::awaitable<bool> AdmitLoad(std::shared_ptr<Host> host,
                                       Time deadline);

// Handles a peer's request for tokens (/lend) and returns the answer.
Json HandleLend(Host* host, const Json& request);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ADMISSION_H_
