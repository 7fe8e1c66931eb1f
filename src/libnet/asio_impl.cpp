// Compiles Asio's implementation once for the whole workspace.
#include <asio/impl/src.hpp>
