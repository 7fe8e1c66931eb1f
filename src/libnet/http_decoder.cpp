#include <laburnumroute/http_decoder.h>

#include <algorithm>

#include <http_parser.h>

namespace laburnum {

struct HttpDecoder::State {
    explicit State(MessageKind k)
        : kind(k)
    {
        clear();
    }

    void clear()
    {
        http_parser_init(&parser, kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        head = HttpHead {};
        body.clear();
        headBytes = 0;
        started = headDone = messageDone = noBody = inTrailer = lastWasValue = false;
    }

    MessageKind kind;
    http_parser parser {};
    HttpHead head;
    std::string body;
    std::size_t headBytes = 0;
    bool started = false;
    bool headDone = false;
    bool messageDone = false;
    bool noBody = false;
    bool inTrailer = false;
    bool lastWasValue = false;
};

namespace {

    constexpr int stopParsing = -1;

    /// Characters that RFC 9110 allows in a field name.
    bool isToken(std::string_view text)
    {
        static constexpr std::string_view tokenMarks = "!#$%&'*+-.^_`|~";
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
            const bool alphanumeric
                = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
            return alphanumeric || tokenMarks.find(c) != std::string_view::npos;
        });
    }

    template <class State> State& stateOf(http_parser* parser)
    {
        return *static_cast<State*>(parser->data);
    }

    template <class State> void addFieldName(State& state, std::string_view bytes)
    {
        if (state.head.fields.empty() || state.lastWasValue)
            state.head.fields.push_back({});
        state.lastWasValue = false;
        state.head.fields.back().name += bytes;
    }

    template <class State> int completeHead(http_parser* parser)
    {
        State& state = stateOf<State>(parser);
        HttpHead& head = state.head;
        const bool namesValid = std::all_of(head.fields.begin(), head.fields.end(),
            [](const HeaderField& field) { return isToken(field.name); });
        if (!namesValid)
            return stopParsing;
        head.versionMinor = parser->http_minor;
        head.chunked = (parser->flags & F_CHUNKED) != 0;
        if ((parser->flags & F_CONTENTLENGTH) != 0)
            head.contentLength = parser->content_length;
        head.keepAlive = http_should_keep_alive(parser) != 0;
        if (state.kind == MessageKind::Request)
            head.method = http_method_str(static_cast<http_method>(parser->method));
        head.status = parser->status_code;
        parser->upgrade = 0;
        state.headDone = true;
        http_parser_pause(parser, 1);
        return state.noBody ? 1 : 0;
    }

    template <class State> http_parser_settings makeSettings()
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = [](http_parser* p) {
            stateOf<State>(p).started = true;
            return 0;
        };
        settings.on_url = [](http_parser* p, const char* at, size_t length) {
            stateOf<State>(p).head.target.append(at, length);
            return 0;
        };
        settings.on_status = [](http_parser* p, const char* at, size_t length) {
            stateOf<State>(p).head.reason.append(at, length);
            return 0;
        };
        settings.on_header_field = [](http_parser* p, const char* at, size_t length) {
            State& state = stateOf<State>(p);
            if (!state.headDone)
                addFieldName(state, { at, length });
            return 0;
        };
        settings.on_header_value = [](http_parser* p, const char* at, size_t length) {
            State& state = stateOf<State>(p);
            if (state.headDone)
                return 0;
            state.lastWasValue = true;
            state.head.fields.back().value.append(at, length);
            return 0;
        };
        settings.on_headers_complete = completeHead<State>;
        settings.on_body = [](http_parser* p, const char* at, size_t length) {
            stateOf<State>(p).body.append(at, length);
            return 0;
        };
        settings.on_message_complete = [](http_parser* p) {
            stateOf<State>(p).messageDone = true;
            http_parser_pause(p, 1);
            return 0;
        };
        return settings;
    }

} // namespace

HttpDecoder::HttpDecoder(MessageKind kind)
    : m_state(std::make_unique<State>(kind))
{
}

HttpDecoder::~HttpDecoder() = default;
HttpDecoder::HttpDecoder(HttpDecoder&&) noexcept = default;
HttpDecoder& HttpDecoder::operator=(HttpDecoder&&) noexcept = default;

Expected<std::size_t> HttpDecoder::feed(std::string_view bytes)
{
    static const http_parser_settings parserSettings = makeSettings<State>();
    State& state = *m_state;
    http_parser_pause(&state.parser, 0);
    const bool headWasDone = state.headDone;
    const std::size_t taken
        = http_parser_execute(&state.parser, &parserSettings, bytes.data(), bytes.size());
    const http_errno code = HTTP_PARSER_ERRNO(&state.parser);
    if (code != HPE_OK && code != HPE_PAUSED)
        return fail(code == HPE_HEADER_OVERFLOW ? ErrorCode::TooLarge : ErrorCode::InvalidArgument,
            std::string("malformed HTTP: ") + http_errno_description(code));
    if (!headWasDone) {
        state.headBytes += taken;
        if (state.headBytes > maxHeadBytes)
            return fail(ErrorCode::TooLarge, "HTTP head is larger than allowed");
    }
    return taken;
}

Expected<void> HttpDecoder::feedEnd()
{
    State& state = *m_state;
    if (!state.started || state.messageDone)
        return {};
    static const http_parser_settings parserSettings = makeSettings<State>();
    http_parser_pause(&state.parser, 0);
    http_parser_execute(&state.parser, &parserSettings, nullptr, 0);
    if (!state.messageDone)
        return fail(ErrorCode::Closed, "the connection was closed within a message");
    return {};
}

void HttpDecoder::expectNoBody() noexcept { m_state->noBody = true; }
bool HttpDecoder::started() const noexcept { return m_state->started; }
bool HttpDecoder::headComplete() const noexcept { return m_state->headDone; }
bool HttpDecoder::messageComplete() const noexcept { return m_state->messageDone; }
const HttpHead& HttpDecoder::head() const noexcept { return m_state->head; }

std::string HttpDecoder::takeBody() { return std::exchange(m_state->body, {}); }

void HttpDecoder::reset() { m_state->clear(); }

} // namespace laburnum
