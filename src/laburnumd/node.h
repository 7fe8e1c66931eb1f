/// One laburnumd process: composes the libraries according to its settings.
#pragma once

#include <memory>

#include "settings.h"

namespace laburnum {

/// Requests and control work run on io_contexts of their own, so that neither waits for the other's
/// threads. Lock order: a participants' strand, then the SynchronizedDispatcher's lock; the latter
/// is a leaf.
class Node {
public:
    /// PermissionDenied or InvalidArgument when the shared key cannot be used.
    static Expected<Node> create(Settings settings);
    Node(Node&&) noexcept;
    ~Node();

    /// Opens state, binds all addresses and starts serving.
    Expected<void> start();
    /// Serves until SIGTERM or SIGINT, then stops gracefully.
    void run();

private:
    class Impl;
    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
