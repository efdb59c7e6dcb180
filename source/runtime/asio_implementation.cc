// Compiles Asio's implementation once for all libraries.
#include <asio/impl/src.hpp>
