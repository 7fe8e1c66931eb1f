#include <laburnumroute/web_server.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/steady_timer.hpp>
#include <http_parser.h>

#include "asio_endpoint_pvt.h"
#include "http_status_pvt.h"
#include "http_stream_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum {

using asio::ip::tcp;
using pvt::HttpStream;
using pvt::Watchdog;

namespace {

    /// Longest time that a connection may stay open between two requests.
    constexpr auto idleTimeout = std::chrono::seconds(30);
    /// Longest time from the first byte of a request to its end, and longest time that a closing
    /// connection waits for the client to close.
    constexpr auto requestTimeout = std::chrono::seconds(10);

    std::string render(const WebResponse& response, bool keepAlive)
    {
        HttpHead head;
        head.status = response.status;
        head.reason = http_status_str(static_cast<http_status>(response.status));
        auto fields = response.fields;
        fields.push_back({ "Content-Type", response.contentType });
        fields.push_back({ "Content-Length", std::to_string(response.body.size()) });
        if (!keepAlive)
            fields.push_back({ "Connection", "close" });
        return renderResponseHead(head, fields) + response.body;
    }

    /// One client connection.
    class WebSession {
    public:
        WebSession(tcp::socket socket, const WebServer::Handler& handler)
            : m_stream(std::move(socket), MessageKind::Request)
            , m_watchdog(m_stream.socket().get_executor())
            , m_handler(handler)
        {
        }

        asio::awaitable<void> run()
        {
            bool keepOpen = true;
            while (keepOpen)
                keepOpen = co_await serveNext();
            m_watchdog.watch(Duration(requestTimeout), [this] { m_stream.close(); });
            co_await m_stream.lingeringClose();
        }

    private:
        asio::awaitable<bool> serveNext()
        {
            m_watchdog.watch(Duration(idleTimeout), [this] { m_stream.closeIdle(); });
            const auto started = co_await m_stream.awaitMessage();
            if (!started) {
                m_stream.close();
                co_return false;
            }
            m_watchdog.watch(Duration(requestTimeout), [this] { m_stream.close(); });
            auto head = co_await m_stream.readHead();
            if (!head) {
                co_await sendError(pvt::statusBadRequest);
                co_return false;
            }
            WebRequest request { head->method, head->target, m_stream.takeBufferedBody() };
            while (!m_stream.messageComplete()) {
                if (request.body.size() > WebServer::maxBodyBytes) {
                    co_await sendError(pvt::statusTooLarge);
                    co_return false;
                }
                const auto part = co_await m_stream.readBodyPart();
                if (!part)
                    co_return false;
                request.body += *part;
            }
            m_watchdog.clear();
            const auto response = co_await handle(request);
            const auto sent = co_await m_stream.write(render(response, head->keepAlive));
            co_return sent && head->keepAlive;
        }

        asio::awaitable<void> sendError(unsigned status)
        {
            WebResponse response;
            response.status = status;
            std::string bytes = render(response, false);
            co_await m_stream.write(std::move(bytes));
        }

        asio::awaitable<WebResponse> handle(const WebRequest& request)
        {
            struct PendingReply {
                asio::steady_timer replied;
                std::optional<WebResponse> response;
            };
            auto pending = std::make_shared<PendingReply>(
                PendingReply { asio::steady_timer(m_stream.socket().get_executor(),
                                   std::chrono::steady_clock::time_point::max()),
                    std::nullopt });
            m_handler(request, [pending](WebResponse response) {
                pending->response = std::move(response);
                pending->replied.cancel();
            });
            if (!pending->response)
                co_await pending->replied.async_wait(pvt::useTuple);
            co_return std::move(pending->response).value_or(WebResponse { 503 });
        }

        HttpStream m_stream;
        Watchdog m_watchdog;
        const WebServer::Handler& m_handler;
    };

} // namespace

struct WebServer::Impl : std::enable_shared_from_this<WebServer::Impl> {
    Impl(asio::io_context& context, Handler requestHandler)
        : io(context)
        , acceptor(context)
        , handler(std::move(requestHandler))
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            auto [code, socket] = co_await acceptor.async_accept(pvt::useTuple);
            if (code)
                continue;
            asio::co_spawn(io, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        const auto self = shared_from_this();
        WebSession session(std::move(socket), handler);
        co_await session.run();
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    const Handler handler;
};

WebServer::WebServer(asio::io_context& context, Handler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(handler)))
{
}

WebServer::~WebServer() { close(); }

Expected<void> WebServer::listen(const Endpoint& endpoint)
{
    if (auto listening = pvt::startListening(m_impl->acceptor, endpoint); !listening)
        return listening;
    asio::co_spawn(
        m_impl->io, [impl = m_impl] { return impl->acceptLoop(); }, asio::detached);
    return {};
}

void WebServer::close()
{
    std::error_code ignored;
    m_impl->acceptor.close(ignored);
}

} // namespace laburnum
