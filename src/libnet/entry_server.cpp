#include <laburnumroute/entry_server.h>

#include <asio/co_spawn.hpp>
#include <asio/connect.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "http_stream_pvt.h"

namespace laburnum {

namespace {

    using asio::ip::tcp;
    using pvt::HttpStream;
    using pvt::useTuple;

    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusHeadTooLarge = 431;
    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusServerError = 500;

    /// Header with which the caller learns what became of its request.
    constexpr const char* outcomeHeader = "Laburnum-Outcome";
    constexpr const char* outcomeAnswered = "answered";
    constexpr const char* outcomeNotRun = "not-run";
    constexpr const char* outcomeUnknown = "unknown";

    Expected<tcp::endpoint> toAsio(const Endpoint& endpoint)
    {
        std::error_code code;
        const auto address = asio::ip::make_address(endpoint.address, code);
        if (code)
            return fail(
                ErrorCode::InvalidArgument, "'" + endpoint.address + "' is not an IP address");
        return tcp::endpoint(address, endpoint.port);
    }

    std::string chunkOf(const std::string& part)
    {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        return size + part + "\r\n";
    }

    constexpr const char* lastChunk = "0\r\n\r\n";

    void addFraming(std::vector<HeaderField>& fields, const HttpHead& head)
    {
        if (head.chunked)
            fields.push_back({ "Transfer-Encoding", "chunked" });
        else if (head.contentLength)
            fields.push_back({ "Content-Length", std::to_string(*head.contentLength) });
    }

    /// Serves one caller's connection, one request at a time.
    class Session {
    public:
        Session(tcp::socket socket, DispatchTable& table)
            : m_caller(std::move(socket), MessageKind::Request)
            , m_table(table)
        {
        }

        asio::awaitable<void> run()
        {
            bool keep = true;
            while (keep) {
                auto head = co_await m_caller.readHead();
                if (!head) {
                    co_await refuseMalformed(head.error());
                    co_return;
                }
                keep = co_await serve(*head);
            }
        }

    private:
        asio::awaitable<void> refuseMalformed(const Error& error)
        {
            if (error.code == ErrorCode::InvalidArgument)
                co_await answer(statusBadRequest, "Bad Request", outcomeNotRun, error.message);
            if (error.code == ErrorCode::TooLarge)
                co_await answer(statusHeadTooLarge, "Request Header Fields Too Large",
                    outcomeNotRun, error.message);
        }

        /// Returns whether the caller's connection can carry another request.
        asio::awaitable<bool> serve(const HttpHead& request)
        {
            const RequestFacts facts { request.method, std::string(request.field("host")),
                request.target };
            const auto assigned = m_table.with([&](Dispatcher& dispatcher, TimePoint now) {
                return dispatcher.begin(facts, {}, now);
            });
            if (!assigned) {
                const bool unrouted = assigned.error() == RefusalReason::NoRoute;
                co_await answer(unrouted ? statusNotFound : statusUnavailable,
                    unrouted ? "Not Found" : "Service Unavailable", outcomeNotRun,
                    refusalName(assigned.error()));
                co_return false;
            }
            const auto result = co_await exchange(request, *assigned);
            m_table.with([&](Dispatcher& dispatcher, TimePoint now) {
                return dispatcher.finish(
                    assigned->attempt, AttemptReport { result, 0, Duration::zero(), 0 }, now);
            });
            co_return m_keep;
        }

        asio::awaitable<AttemptResult> exchange(const HttpHead& request, const Assignment& assigned)
        {
            m_keep = false;
            const auto endpoint = toAsio(assigned.endpoint);
            tcp::socket socket(m_caller.socket().get_executor());
            std::error_code code = asio::error::invalid_argument;
            if (endpoint)
                std::tie(code) = co_await socket.async_connect(*endpoint, useTuple);
            if (code) {
                co_await answer(
                    statusUnavailable, "Service Unavailable", outcomeNotRun, "not-connected");
                co_return AttemptResult::NotConnected;
            }
            HttpStream upstream(std::move(socket), MessageKind::Response);
            if (!co_await sendRequest(request, upstream)) {
                co_await answer(statusBadGateway, "Bad Gateway", outcomeUnknown, "request-cut");
                co_return AttemptResult::Failed;
            }
            if (request.method == "HEAD")
                upstream.expectNoBody();
            const auto response = co_await upstream.readHead();
            if (!response) {
                co_await answer(statusBadGateway, "Bad Gateway", outcomeUnknown, "no-answer");
                co_return AttemptResult::Failed;
            }
            if (!co_await passResponse(request, *response, upstream))
                co_return AttemptResult::Failed;
            m_keep = request.keepAlive;
            co_return response->status < statusServerError ? AttemptResult::Succeeded
                                                           : AttemptResult::Failed;
        }

        asio::awaitable<bool> sendRequest(const HttpHead& request, HttpStream& upstream)
        {
            auto fields = endToEndFields(request);
            addFraming(fields, request);
            const auto sent = co_await upstream.write(renderRequestHead(request, fields));
            if (!sent)
                co_return false;
            co_return co_await passBody(m_caller, upstream, request.chunked);
        }

        asio::awaitable<bool> passResponse(
            const HttpHead& request, const HttpHead& response, HttpStream& upstream)
        {
            auto fields = endToEndFields(response);
            const bool untilClose = !response.chunked && !response.contentLength
                && !upstream.messageComplete() && request.method != "HEAD";
            addFraming(fields, response);
            if (untilClose)
                fields.push_back({ "Transfer-Encoding", "chunked" });
            fields.push_back({ outcomeHeader, outcomeAnswered });
            if (!request.keepAlive)
                fields.push_back({ "Connection", "close" });
            const auto sent = co_await m_caller.write(renderResponseHead(response, fields));
            if (!sent)
                co_return false;
            co_return co_await passBody(upstream, m_caller, response.chunked || untilClose);
        }

        static asio::awaitable<bool> passBody(HttpStream& from, HttpStream& to, bool chunked)
        {
            while (true) {
                auto part = co_await from.readBodyPart();
                if (!part)
                    co_return false;
                const bool last = part->empty();
                std::string bytes = std::move(*part);
                if (chunked)
                    bytes = last ? lastChunk : chunkOf(bytes);
                if (!bytes.empty()) {
                    const auto sent = co_await to.write(std::move(bytes));
                    if (!sent)
                        co_return false;
                }
                if (last)
                    co_return true;
            }
        }

        asio::awaitable<void> answer(
            unsigned status, const char* reason, const char* outcome, const std::string& detail)
        {
            HttpHead head;
            head.status = status;
            head.reason = reason;
            const std::string body = detail + '\n';
            const std::vector<HeaderField> fields { { "Content-Type", "text/plain" },
                { "Content-Length", std::to_string(body.size()) }, { outcomeHeader, outcome },
                { "Connection", "close" } };
            co_await m_caller.write(renderResponseHead(head, fields) + body);
        }

        HttpStream m_caller;
        DispatchTable& m_table;
        bool m_keep = false;
    };

} // namespace

struct EntryServer::Impl : std::enable_shared_from_this<EntryServer::Impl> {
    Impl(asio::io_context& c, DispatchTable& t)
        : context(c)
        , table(t)
        , acceptor(c)
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        while (acceptor.is_open()) {
            auto [code, socket]
                = co_await acceptor.async_accept(asio::make_strand(context), useTuple);
            if (code)
                continue;
            auto executor = socket.get_executor();
            asio::co_spawn(executor, serve(shared_from_this(), std::move(socket)), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        Session session(std::move(socket), self->table);
        ++self->active;
        co_await session.run();
        --self->active;
    }

    asio::io_context& context;
    DispatchTable& table;
    tcp::acceptor acceptor;
    std::atomic<std::size_t> active { 0 };
};

EntryServer::EntryServer(asio::io_context& context, DispatchTable& table)
    : m_impl(std::make_shared<Impl>(context, table))
{
}

EntryServer::~EntryServer() = default;

Expected<void> EntryServer::listen(const Endpoint& endpoint)
{
    const auto address = toAsio(endpoint);
    if (!address)
        return tl::unexpected<Error>(address.error());
    std::error_code code;
    auto& acceptor = m_impl->acceptor;
    acceptor.open(address->protocol(), code);
    acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    acceptor.bind(*address, code);
    if (!code)
        acceptor.listen(tcp::acceptor::max_listen_connections, code);
    if (code)
        return fail(ErrorCode::Io, "listen on " + formatEndpoint(endpoint) + ": " + code.message());
    asio::co_spawn(
        m_impl->context, [impl = m_impl] { return impl->acceptLoop(); }, asio::detached);
    return {};
}

void EntryServer::drain(std::function<void()> done)
{
    asio::post(m_impl->context, [impl = m_impl, done = std::move(done)] {
        std::error_code ignored;
        impl->acceptor.close(ignored);
        done();
    });
}

std::size_t EntryServer::inFlight() const noexcept { return m_impl->active; }

} // namespace laburnum
