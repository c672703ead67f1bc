// Takes tokens for a request, gathering them from other hosts if need be.
//
//   Admission admission = co_await AdmitTokens(host, customer, cost, deadline);
//
// See rates.h for the rules; this file sends the messages.
#ifndef ROSEMARYHOOK_ADMISSION_H_
#define ROSEMARYHOOK_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "rosemaryhook/rates.h"
#include "rosemaryhook/time.h"

namespace rosemaryhook {

struct Host;

// Takes `cost` tokens of `customer` or nothing.
boost::asio::awaitable<Admission> AdmitTokens(std::shared_ptr<Host> host,
                                              std::string customer,
                                              double cost);

// Waits for a turn at the weight store until `deadline`.
boost::asio::awaitable<bool> AdmitLoad(std::shared_ptr<Host> host,
                                       Time deadline);

// Answers a peer's question for tokens.
Json AnswerLend(Host* host, const Json& question);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ADMISSION_H_
