#include "claim_messages_pvt.h"

#include <array>

#include <laburnumroute/base64.h>
#include <laburnumroute/json.h>

namespace laburnum::pvt {

namespace {

    constexpr std::array verdicts { ClaimVerdict::Run, ClaimVerdict::Replay,
        ClaimVerdict::ResponseNotStored, ClaimVerdict::InProgress, ClaimVerdict::Unknown,
        ClaimVerdict::Mismatch, ClaimVerdict::Unavailable };

    struct EndName {
        ClaimOutcome end;
        const char* name;
    };
    constexpr std::array endNames { EndName { ClaimOutcome::Answered, "answered" },
        EndName { ClaimOutcome::NotRun, "not-run" }, EndName { ClaimOutcome::Unknown, "unknown" } };

    /// Keeps the first error of a sequence of reads.
    class ClaimReader {
    public:
        explicit ClaimReader(const Json::Value& value)
            : m_value(value)
        {
        }
        std::string text(const char* name) { return keep(stringMember(m_value, name)); }
        std::uint64_t number(const char* name) { return keep(unsignedMember(m_value, name)); }
        template <class T> T keep(Expected<T> read)
        {
            if (read)
                return std::move(*read);
            if (!m_error)
                m_error = std::move(read.error());
            return T {};
        }
        template <class T> Expected<T> finish(T value)
        {
            if (m_error)
                return tl::unexpected<Error>(*m_error);
            return value;
        }

    private:
        const Json::Value& m_value;
        std::optional<Error> m_error;
    };

    const char* endName(ClaimOutcome end)
    {
        for (const auto& entry : endNames) {
            if (entry.end == end)
                return entry.name;
        }
        return "unknown";
    }

    Expected<ClaimOutcome> endOf(const std::string& name)
    {
        for (const auto& entry : endNames) {
            if (name == entry.name)
                return entry.end;
        }
        return fail(ErrorCode::InvalidArgument, "no claim end '" + name + "'");
    }

    Expected<ClaimVerdict> verdictOf(const std::string& name)
    {
        for (const ClaimVerdict verdict : verdicts) {
            if (name == claimVerdictName(verdict))
                return verdict;
        }
        return fail(ErrorCode::InvalidArgument, "no claim verdict '" + name + "'");
    }

    Json::Value encodeAnswer(const StoredResponse& answer)
    {
        Json::Value value(Json::objectValue);
        value["status"] = answer.status;
        value["fields"] = Json::Value(Json::arrayValue);
        for (const auto& field : answer.fields) {
            value["fields"].append(encodeBase64(field.name));
            value["fields"].append(encodeBase64(field.value));
        }
        value["body"] = encodeBase64(answer.body);
        return value;
    }

    Expected<StoredResponse> decodeAnswer(const Json::Value& value)
    {
        ClaimReader reader(value);
        StoredResponse answer;
        answer.status = static_cast<unsigned>(reader.number("status"));
        answer.body = reader.keep(decodeBase64(reader.text("body")));
        const Json::Value& fields = value["fields"];
        for (Json::ArrayIndex i = 0; i + 1 < fields.size(); i += 2) {
            if (!fields[i].isString() || !fields[i + 1].isString())
                return fail(ErrorCode::InvalidArgument, "a stored field must be a string");
            std::string name = reader.keep(decodeBase64(fields[i].asString()));
            answer.fields.push_back(
                { std::move(name), reader.keep(decodeBase64(fields[i + 1].asString())) });
        }
        return reader.finish(std::move(answer));
    }

    std::optional<StoredResponse> readOptionalAnswer(ClaimReader& reader, const Json::Value& value)
    {
        if (!value.isObject() || !value["answer"].isObject())
            return std::nullopt;
        return reader.keep(decodeAnswer(value["answer"]));
    }

    ClaimKey readKey(ClaimReader& reader)
    {
        return { ServiceId(reader.text("service")), IdempotencyKey(reader.text("key")) };
    }

} // namespace

Json::Value encodeKey(const ClaimKey& key)
{
    Json::Value value(Json::objectValue);
    value["service"] = key.service.value();
    value["key"] = key.key.value();
    return value;
}

Expected<ClaimKey> decodeKey(const Json::Value& value)
{
    ClaimReader reader(value);
    return reader.finish(readKey(reader));
}

std::string positionOf(const ClaimKey& key) { return toJsonText(encodeKey(key)); }

Json::Value encode(const ClaimRequest& message)
{
    Json::Value value = encodeKey(message.demand.key);
    value["claim"] = message.claim.value();
    value["fingerprint"] = message.demand.fingerprint;
    value["deadline_ms"] = Json::UInt64(toMillis(message.demand.deadline));
    value["epoch"] = Json::UInt64(message.epoch);
    return value;
}

Expected<ClaimRequest> decodeRequest(const Json::Value& value)
{
    ClaimReader reader(value);
    ClaimRequest message;
    message.demand.key = readKey(reader);
    message.demand.fingerprint = reader.text("fingerprint");
    message.demand.deadline = std::chrono::milliseconds(reader.number("deadline_ms"));
    message.claim = ClaimId(reader.text("claim"));
    message.epoch = reader.number("epoch");
    return reader.finish(std::move(message));
}

Json::Value encode(const ClaimReply& message)
{
    Json::Value value(Json::objectValue);
    value["claim"] = message.claim.value();
    value["verdict"] = claimVerdictName(message.verdict);
    if (message.answer)
        value["answer"] = encodeAnswer(*message.answer);
    return value;
}

Expected<ClaimReply> decodeReply(const Json::Value& value)
{
    ClaimReader reader(value);
    ClaimReply message;
    message.claim = ClaimId(reader.text("claim"));
    message.verdict = reader.keep(verdictOf(reader.text("verdict")));
    message.answer = readOptionalAnswer(reader, value);
    return reader.finish(std::move(message));
}

Json::Value encode(const ClaimEndNotice& message)
{
    Json::Value value = encodeKey(message.key);
    value["claim"] = message.claim.value();
    value["fingerprint"] = message.fingerprint;
    value["end"] = endName(message.end);
    if (message.answer)
        value["answer"] = encodeAnswer(*message.answer);
    return value;
}

Expected<ClaimEndNotice> decodeEnd(const Json::Value& value)
{
    ClaimReader reader(value);
    ClaimEndNotice message;
    message.key = readKey(reader);
    message.claim = ClaimId(reader.text("claim"));
    message.fingerprint = reader.text("fingerprint");
    message.end = reader.keep(endOf(reader.text("end")));
    message.answer = readOptionalAnswer(reader, value);
    return reader.finish(std::move(message));
}

Json::Value encodeConfirm(const ClaimId& claim)
{
    Json::Value value(Json::objectValue);
    value["claim"] = claim.value();
    return value;
}

Json::Value encode(const ClaimFetch& message)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::UInt64(message.epoch);
    value["position"] = message.position;
    value["life"] = message.life;
    return value;
}

Expected<ClaimFetch> decodeFetch(const Json::Value& value)
{
    ClaimReader reader(value);
    ClaimFetch message { reader.number("epoch"), reader.text("position"), reader.text("life") };
    return reader.finish(std::move(message));
}

Json::Value encode(const ClaimFetched& message)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::UInt64(message.epoch);
    value["position"] = message.position;
    value["life"] = message.life;
    value["witness"] = message.witness;
    value["new"] = message.alsoNew;
    value["complete"] = message.complete;
    value["entries"] = Json::Value(Json::arrayValue);
    for (const auto& entry : message.entries)
        value["entries"].append(entry);
    return value;
}

Expected<ClaimFetched> decodeFetched(const Json::Value& value)
{
    ClaimReader reader(value);
    ClaimFetched message;
    message.epoch = reader.number("epoch");
    message.position = reader.text("position");
    message.life = reader.text("life");
    if (!value.isObject() || !value["new"].isBool() || !value["complete"].isBool()
        || !value["witness"].isBool() || !value["entries"].isArray())
        return fail(ErrorCode::InvalidArgument, "not an answer to a fetch");
    message.alsoNew = value["new"].asBool();
    message.complete = value["complete"].asBool();
    message.witness = value["witness"].asBool();
    for (const auto& entry : value["entries"])
        message.entries.push_back(entry);
    return reader.finish(std::move(message));
}

Json::Value encodeRecord(const ClaimKey& key, const ClaimRecord& record, TimePoint now)
{
    Json::Value value = encodeKey(key);
    value["claim"] = record.id.value();
    value["fingerprint"] = record.fingerprint;
    const Duration left = std::max(record.expires - now, Duration::zero());
    value["left_ms"] = Json::UInt64(toMillis(left));
    if (record.end)
        value["end"] = endName(*record.end);
    if (record.answer)
        value["answer"] = encodeAnswer(*record.answer);
    return value;
}

Expected<std::pair<ClaimKey, ClaimRecord>> decodeRecord(const Json::Value& value, TimePoint now)
{
    ClaimReader reader(value);
    const ClaimKey key = readKey(reader);
    ClaimRecord record;
    record.id = ClaimId(reader.text("claim"));
    record.fingerprint = reader.text("fingerprint");
    record.expires = now + std::chrono::milliseconds(reader.number("left_ms"));
    if (value.isObject() && value.isMember("end"))
        record.end = reader.keep(endOf(reader.text("end")));
    record.answer = readOptionalAnswer(reader, value);
    return reader.finish(std::pair(key, std::move(record)));
}

} // namespace laburnum::pvt
