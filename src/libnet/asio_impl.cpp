// Compiles Asio's implementation once for all libraries and programs.
#include <asio/impl/src.hpp>
