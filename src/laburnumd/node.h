/// One laburnumd process: composes the libraries according to its settings.
#pragma once

#include <memory>

#include "settings.h"

namespace laburnum {

/// Lock order: the control strand, then the DispatchTable's lock; the latter is a leaf.
class Node {
public:
    explicit Node(Settings settings);
    ~Node();

    /// Opens state, binds all addresses and starts serving.
    Expected<void> start();
    /// Serves until SIGTERM or SIGINT, then stops gracefully.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
