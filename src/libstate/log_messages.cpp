#include "log_messages_pvt.h"

#include <laburnumroute/base64.h>
#include <laburnumroute/json.h>

namespace laburnum::pvt {

namespace {

    /// Writes members of a JSON object.
    class FieldWriter {
    public:
        explicit FieldWriter(const LogHeader& header)
        {
            number("term", header.term.value());
            m_value["sender"] = header.sender.value();
            m_value["target"] = header.target.value();
        }
        void number(const char* name, std::uint64_t value) { m_value[name] = Json::UInt64(value); }
        void flag(const char* name, bool value) { m_value[name] = value; }
        Json::Value& operator[](const char* name) { return m_value[name]; }
        Json::Value take() { return std::move(m_value); }

    private:
        Json::Value m_value { Json::objectValue };
    };

    /// Reads members of a JSON object and records whether any was missing or of the wrong type.
    class FieldReader {
    public:
        explicit FieldReader(const Json::Value& value)
            : m_value(value)
        {
        }
        std::uint64_t number(const char* name)
        {
            const auto value = unsignedMember(m_value, name);
            m_failed = m_failed || !value;
            return value.value_or(0);
        }
        std::string text(const char* name)
        {
            auto value = stringMember(m_value, name);
            m_failed = m_failed || !value;
            return value.value_or("");
        }
        bool flag(const char* name)
        {
            if (m_value.isObject() && m_value[name].isBool())
                return m_value[name].asBool();
            m_failed = true;
            return false;
        }
        std::string bytes(const char* name)
        {
            auto decoded = decodeBase64(text(name));
            m_failed = m_failed || !decoded;
            return decoded.value_or("");
        }
        LogHeader header()
        {
            const Term term(number("term"));
            const MemberId sender(text("sender"));
            return { term, sender, MemberId(text("target")) };
        }
        void failWhen(bool wrong) { m_failed = m_failed || wrong; }
        bool failed() const noexcept { return m_failed; }
        const Json::Value& value() const noexcept { return m_value; }

    private:
        const Json::Value& m_value;
        bool m_failed = false;
    };

    template <class Message>
    std::optional<Message> result(const FieldReader& reader, Message message)
    {
        if (reader.failed())
            return std::nullopt;
        return message;
    }

    std::vector<LogEntry> readEntries(FieldReader& reader)
    {
        std::vector<LogEntry> entries;
        if (reader.failed() || !reader.value()["entries"].isArray()) {
            reader.failWhen(true);
            return entries;
        }
        for (const auto& item : reader.value()["entries"]) {
            FieldReader fields(item);
            LogEntry entry;
            entry.term = Term(fields.number("term"));
            const std::uint64_t kind = fields.number("kind");
            fields.failWhen(kind > static_cast<std::uint64_t>(EntryKind::Membership));
            entry.kind = static_cast<EntryKind>(kind);
            entry.command = fields.bytes("command");
            reader.failWhen(fields.failed());
            entries.push_back(std::move(entry));
        }
        return entries;
    }

} // namespace

Json::Value encode(const VoteRequest& message)
{
    FieldWriter writer(message.header);
    writer.flag("pre", message.preVote);
    writer.number("lastIndex", message.lastIndex.value());
    writer.number("lastTerm", message.lastTerm.value());
    return writer.take();
}

std::optional<VoteRequest> decodeVoteRequest(const Json::Value& value)
{
    FieldReader reader(value);
    VoteRequest message { reader.header() };
    message.preVote = reader.flag("pre");
    message.lastIndex = LogIndex(reader.number("lastIndex"));
    message.lastTerm = Term(reader.number("lastTerm"));
    return result(reader, message);
}

Json::Value encode(const VoteResponse& message)
{
    FieldWriter writer(message.header);
    writer.flag("pre", message.preVote);
    writer.flag("granted", message.granted);
    writer.number("requested", message.requested.value());
    return writer.take();
}

std::optional<VoteResponse> decodeVoteResponse(const Json::Value& value)
{
    FieldReader reader(value);
    VoteResponse message { reader.header() };
    message.preVote = reader.flag("pre");
    message.granted = reader.flag("granted");
    message.requested = Term(reader.number("requested"));
    return result(reader, message);
}

Json::Value encode(const AppendRequest& message)
{
    FieldWriter writer(message.header);
    writer.number("previous", message.previous.value());
    writer.number("previousTerm", message.previousTerm.value());
    writer.number("commit", message.commitIndex.value());
    writer.number("acknowledged", message.acknowledged.value());
    writer.number("sentAt", message.sentAt);
    Json::Value entries(Json::arrayValue);
    for (const LogEntry& entry : message.entries) {
        Json::Value item(Json::objectValue);
        item["term"] = Json::UInt64(entry.term.value());
        item["kind"] = static_cast<Json::UInt>(entry.kind);
        item["command"] = encodeBase64(entry.command);
        entries.append(std::move(item));
    }
    writer["entries"] = std::move(entries);
    return writer.take();
}

std::optional<AppendRequest> decodeAppendRequest(const Json::Value& value)
{
    FieldReader reader(value);
    AppendRequest message { reader.header() };
    message.previous = LogIndex(reader.number("previous"));
    message.previousTerm = Term(reader.number("previousTerm"));
    message.commitIndex = LogIndex(reader.number("commit"));
    message.acknowledged = LogIndex(reader.number("acknowledged"));
    message.sentAt = reader.number("sentAt");
    message.entries = readEntries(reader);
    return result(reader, std::move(message));
}

Json::Value encode(const AppendResponse& message)
{
    FieldWriter writer(message.header);
    writer.flag("matched", message.matched);
    writer.number("index", message.index.value());
    writer.number("sentAt", message.sentAt);
    return writer.take();
}

std::optional<AppendResponse> decodeAppendResponse(const Json::Value& value)
{
    FieldReader reader(value);
    AppendResponse message { reader.header() };
    message.matched = reader.flag("matched");
    message.index = LogIndex(reader.number("index"));
    message.sentAt = reader.number("sentAt");
    return result(reader, message);
}

Json::Value encode(const ChunkRequest& message)
{
    FieldWriter writer(message.header);
    writer.number("index", message.index.value());
    writer.number("lastTerm", message.lastTerm.value());
    writer["membership"] = encodeMembership(message.membership);
    writer.number("offset", message.offset);
    writer.number("total", message.total);
    writer["bytes"] = encodeBase64(message.bytes);
    writer.number("sentAt", message.sentAt);
    return writer.take();
}

std::optional<ChunkRequest> decodeChunkRequest(const Json::Value& value)
{
    FieldReader reader(value);
    ChunkRequest message { reader.header() };
    message.index = LogIndex(reader.number("index"));
    message.lastTerm = Term(reader.number("lastTerm"));
    const auto membership = decodeMembership(reader.text("membership"));
    reader.failWhen(!membership);
    message.membership = membership.value_or(Membership());
    message.offset = reader.number("offset");
    message.total = reader.number("total");
    message.bytes = reader.bytes("bytes");
    message.sentAt = reader.number("sentAt");
    return result(reader, std::move(message));
}

Json::Value encode(const ChunkResponse& message)
{
    FieldWriter writer(message.header);
    writer.number("index", message.index.value());
    writer.number("offset", message.offset);
    writer.number("sentAt", message.sentAt);
    return writer.take();
}

std::optional<ChunkResponse> decodeChunkResponse(const Json::Value& value)
{
    FieldReader reader(value);
    ChunkResponse message { reader.header() };
    message.index = LogIndex(reader.number("index"));
    message.offset = reader.number("offset");
    message.sentAt = reader.number("sentAt");
    return result(reader, message);
}

Json::Value encode(const JoinRequest& message)
{
    Json::Value value(Json::objectValue);
    value["sender"] = message.sender.value();
    value["blank"] = message.hasEmptyLog;
    value["nonce"] = Json::UInt64(message.nonce);
    value["echo"] = Json::UInt64(message.echo);
    value["host"] = message.host.value();
    return value;
}

std::optional<JoinRequest> decodeJoinRequest(const Json::Value& value)
{
    FieldReader reader(value);
    JoinRequest message { MemberId(reader.text("sender")) };
    message.hasEmptyLog = reader.flag("blank");
    message.nonce = reader.number("nonce");
    message.echo = reader.number("echo");
    message.host = HostId(reader.text("host"));
    return result(reader, message);
}

Json::Value encode(const FoundingRequest& message) { return FieldWriter(message.header).take(); }

std::optional<FoundingRequest> decodeFoundingRequest(const Json::Value& value)
{
    FieldReader reader(value);
    const FoundingRequest message { reader.header() };
    return result(reader, message);
}

Json::Value encode(const FoundingVote& message)
{
    FieldWriter writer(message.header);
    writer.flag("granted", message.granted);
    writer.number("requested", message.requested.value());
    return writer.take();
}

std::optional<FoundingVote> decodeFoundingVote(const Json::Value& value)
{
    FieldReader reader(value);
    FoundingVote message { reader.header() };
    message.granted = reader.flag("granted");
    message.requested = Term(reader.number("requested"));
    return result(reader, message);
}

} // namespace laburnum::pvt
