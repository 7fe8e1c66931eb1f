#include <laburnumroute/http_decoder.h>

#include <algorithm>

#include <http_parser.h>

#include "http_status_pvt.h"

namespace laburnum {

namespace {

    /// Rejects bytes in a head that different parsers may interpret differently: control
    /// characters, a bare CR or LF, folded lines, and repeated blanks or tabs in a request line.
    /// http_parser accepts some of them.
    class HeadValidator {
    public:
        explicit HeadValidator(MessageKind kind)
            : m_inRequestLine(kind == MessageKind::Request)
        {
        }

        /// Returns false at the first forbidden byte. Bytes after the head are ignored.
        bool validate(std::string_view bytes)
        {
            for (const char c : bytes) {
                if (m_done)
                    return true;
                if (!validateByte(c))
                    return false;
            }
            return true;
        }

    private:
        bool validateByte(char c)
        {
            if (m_afterCr) {
                m_afterCr = false;
                m_done = m_lineEmpty && m_sawLine;
                m_lineEmpty = true;
                m_inRequestLine = m_inRequestLine && !m_sawLine;
                return c == '\n';
            }
            if (c == '\r') {
                m_afterCr = true;
                return true;
            }
            const bool blank = c == ' ' || c == '\t';
            const bool control = (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
            const bool folded = blank && m_lineEmpty && m_sawLine;
            const bool twoBlanks = m_inRequestLine && blank && (m_afterBlank || c == '\t');
            m_afterBlank = blank;
            m_lineEmpty = false;
            m_sawLine = true;
            return !control && !folded && !twoBlanks;
        }

        bool m_inRequestLine;
        bool m_afterBlank = false;

        bool m_afterCr = false;
        bool m_lineEmpty = true;
        bool m_sawLine = false;
        bool m_done = false;
    };

    /// Checks the status code in the first line of a response as it was sent. http_parser reports
    /// only its value, so that `20` and `0200` would be statuses.
    class StatusCodeValidator {
    public:
        /// Returns false if the code is complete and invalid. Bytes after the code are ignored.
        bool validate(std::string_view bytes)
        {
            for (const char c : bytes) {
                if (m_complete)
                    break;
                readByte(c);
            }
            return !m_complete || (m_digits == statusDigits && isStatusCode(m_value));
        }

    private:
        void readByte(char c)
        {
            if (!m_afterVersion) {
                m_afterVersion = c == ' ';
            } else if (c >= '0' && c <= '9') {
                ++m_digits;
                m_value = m_value * 10 + static_cast<unsigned>(c - '0');
                m_complete = m_digits > statusDigits;
            } else {
                // http_parser skips blanks before the code.
                m_complete = c != ' ' || m_digits > 0;
            }
        }

        static constexpr unsigned statusDigits = 3;

        bool m_afterVersion = false;
        bool m_complete = false;
        unsigned m_digits = 0;
        unsigned m_value = 0;
    };

} // namespace

struct HttpDecoder::State {
    explicit State(MessageKind messageKind)
        : kind(messageKind)
    {
        clear();
    }

    void clear()
    {
        http_parser_init(&parser, kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        head = HttpHead {};
        headValidator = HeadValidator(kind);
        statusValidator = StatusCodeValidator();
        trailers.clear();
        body.clear();
        errorDetail = nullptr;
        headBytes = 0;
        bodyBytes = framingBytes = 0;
        started = headDone = messageDone = lastWasValue = false;
    }

    /// The list that the header callbacks of the parser append to.
    std::vector<HeaderField>& currentFields() { return headDone ? trailers : head.fields; }

    MessageKind kind;
    http_parser parser {};
    HttpHead head;
    HeadValidator headValidator { MessageKind::Request };
    StatusCodeValidator statusValidator;
    std::vector<HeaderField> trailers;
    std::string body;
    /// Error found by the callbacks, or null.
    const char* errorDetail = nullptr;
    std::size_t headBytes = 0;
    std::size_t headLimit = maxHeadBytes;
    std::uint64_t bodyBytes = 0;
    /// Bytes after the head that are not body bytes.
    std::uint64_t framingBytes = 0;
    bool started = false;
    bool headDone = false;
    bool messageDone = false;
    bool noBody = false;
    bool lastWasValue = false;
};

namespace {

    constexpr int abortParsing = -1;

    template <class State> State& stateOf(http_parser* parser)
    {
        return *static_cast<State*>(parser->data);
    }

    bool hasControlCharacter(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), [](char c) {
            return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
        });
    }

    template <class State> void addFieldName(State& state, std::string_view bytes)
    {
        auto& fields = state.currentFields();
        if (fields.empty() || state.lastWasValue)
            fields.push_back({});
        state.lastWasValue = false;
        fields.back().name += bytes;
    }

    /// Removes trailing white space of each value; http_parser removes leading white space only.
    void trimValues(std::vector<HeaderField>& fields)
    {
        for (auto& field : fields) {
            const auto last = field.value.find_last_not_of(" \t");
            field.value.resize(last == std::string::npos ? 0 : last + 1);
        }
    }

    /// Returns the error in a completed head, or null.
    const char* findHeadError(const HttpHead& head)
    {
        const bool namesValid = std::all_of(head.fields.begin(), head.fields.end(),
            [](const HeaderField& field) { return isFieldName(field.name); });
        if (!namesValid)
            return "header field name is not a token";
        std::size_t codings = 0;
        for (const auto& field : head.fields) {
            if (!equalsIgnoreCase(field.name, "transfer-encoding"))
                continue;
            ++codings;
            if (!equalsIgnoreCase(field.value, "chunked"))
                return "transfer coding is not 'chunked'";
        }
        if (codings > 1 || (codings == 1 && head.contentLength))
            return "more than one Transfer-Encoding, or both Transfer-Encoding and Content-Length";
        if (codings == 1 && head.versionMinor == 0)
            return "Transfer-Encoding in an HTTP/1.0 message";
        return nullptr;
    }

    template <class State> int completeHead(http_parser* parser)
    {
        State& state = stateOf<State>(parser);
        HttpHead& head = state.head;
        head.versionMinor = parser->http_minor;
        head.chunked = (parser->flags & F_CHUNKED) != 0;
        if ((parser->flags & F_CONTENTLENGTH) != 0)
            head.contentLength = parser->content_length;
        trimValues(head.fields);
        state.errorDetail = findHeadError(head);
        if (parser->http_major != 1)
            state.errorDetail = "major HTTP version is not 1";
        if (state.errorDetail != nullptr)
            return abortParsing;
        head.keepAlive = http_should_keep_alive(parser) != 0;
        const bool request = state.kind == MessageKind::Request;
        if (request)
            head.method = http_method_str(static_cast<http_method>(parser->method));
        head.status = parser->status_code;
        parser->upgrade = 0;
        state.headDone = true;
        state.lastWasValue = false;
        http_parser_pause(parser, 1);
        return state.noBody || (!request && pvt::isBodiless(head.status)) ? 1 : 0;
    }

    template <class State> int completeMessage(http_parser* parser)
    {
        State& state = stateOf<State>(parser);
        trimValues(state.trailers);
        for (const auto& field : state.trailers) {
            if (!isFieldName(field.name) || hasControlCharacter(field.value)) {
                state.errorDetail = "malformed trailer field";
                return abortParsing;
            }
        }
        state.messageDone = true;
        http_parser_pause(parser, 1);
        return 0;
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
            addFieldName(stateOf<State>(p), { at, length });
            return 0;
        };
        settings.on_header_value = [](http_parser* p, const char* at, size_t length) {
            State& state = stateOf<State>(p);
            state.lastWasValue = true;
            state.currentFields().back().value.append(at, length);
            return 0;
        };
        settings.on_headers_complete = completeHead<State>;
        settings.on_body = [](http_parser* p, const char* at, size_t length) {
            stateOf<State>(p).body.append(at, length);
            return 0;
        };
        settings.on_message_complete = completeMessage<State>;
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
    const std::size_t bodyBefore = state.body.size();
    const std::size_t consumed
        = http_parser_execute(&state.parser, &parserSettings, bytes.data(), bytes.size());
    if (!headWasDone) {
        const std::string_view examined = bytes.substr(0, consumed + 1);
        if (state.kind == MessageKind::Response && !state.statusValidator.validate(examined))
            return fail(ErrorCode::InvalidArgument, "malformed HTTP: invalid status code");
        if (!state.headValidator.validate(examined))
            return fail(ErrorCode::InvalidArgument, "malformed HTTP: forbidden byte in the head");
    }
    const http_errno code = HTTP_PARSER_ERRNO(&state.parser);
    if (code != HPE_OK && code != HPE_PAUSED)
        return fail(code == HPE_HEADER_OVERFLOW ? ErrorCode::TooLarge : ErrorCode::InvalidArgument,
            std::string("malformed HTTP: ")
                + (state.errorDetail != nullptr ? state.errorDetail
                                                : http_errno_description(code)));
    if (headWasDone) {
        const std::size_t part = state.body.size() - bodyBefore;
        state.bodyBytes += part;
        state.framingBytes += consumed - part;
        if (state.framingBytes > maxHeadBytes + maxFramingFactor * state.bodyBytes)
            return fail(
                ErrorCode::TooLarge, "chunk framing of the HTTP body is larger than allowed");
    }
    if (headWasDone && state.body.size() == bodyBefore && !state.trailers.empty()) {
        state.headBytes += consumed;
        if (state.headBytes > state.headLimit)
            return fail(ErrorCode::TooLarge, "HTTP trailers are larger than allowed");
    }
    if (!headWasDone) {
        state.headBytes += consumed;
        if (state.headBytes > state.headLimit)
            return fail(ErrorCode::TooLarge, "HTTP head is larger than allowed");
    }
    return consumed;
}

Expected<void> HttpDecoder::feedEof()
{
    State& state = *m_state;
    if (!state.started || state.messageDone)
        return {};
    static const http_parser_settings parserSettings = makeSettings<State>();
    http_parser_pause(&state.parser, 0);
    http_parser_execute(&state.parser, &parserSettings, nullptr, 0);
    if (!state.messageDone)
        return fail(ErrorCode::Closed, "connection closed before the end of the HTTP message");
    return {};
}

void HttpDecoder::setHeadLimit(std::size_t bytes) noexcept { m_state->headLimit = bytes; }
void HttpDecoder::setExpectNoBody(bool noBody) noexcept { m_state->noBody = noBody; }
bool HttpDecoder::started() const noexcept { return m_state->started; }
bool HttpDecoder::headComplete() const noexcept { return m_state->headDone; }
bool HttpDecoder::messageComplete() const noexcept { return m_state->messageDone; }
const HttpHead& HttpDecoder::head() const noexcept { return m_state->head; }

const std::vector<HeaderField>& HttpDecoder::trailers() const noexcept { return m_state->trailers; }

HttpHead HttpDecoder::takeHead() { return std::exchange(m_state->head, {}); }
std::string HttpDecoder::takeBody() { return std::exchange(m_state->body, {}); }

void HttpDecoder::reset() { m_state->clear(); }

} // namespace laburnum
