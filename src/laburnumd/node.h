/// One laburnumd process of a fleet whose settings list all hosts.
#pragma once

#include <memory>

#include "settings.h"

namespace laburnum {

/// Creates and connects the roles that the settings name. Requests and control work run on separate
/// io_contexts, so that neither waits for the other's threads. Lock order: a ParticipantRunner's
/// strand, then the SynchronizedDispatcher's lock; no lock is taken under the latter.
class Node {
public:
    /// PermissionDenied or InvalidArgument when the shared key is unusable.
    static Expected<Node> create(Settings settings);
    Node(Node&&) noexcept;
    ~Node();

    /// Opens the stored state, binds all addresses and starts the control threads.
    Expected<void> start();
    /// Serves until SIGTERM or SIGINT, then stops gracefully.
    void run();

private:
    class Impl;
    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace laburnum
