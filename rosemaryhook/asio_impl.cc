// The one place where Asio's and Beast's separately compiled parts are built.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
