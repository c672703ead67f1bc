// Compiles the parts of Boost.Asio and Boost.Beast that are not header-only.
// They must be compiled in exactly one file of the program.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
