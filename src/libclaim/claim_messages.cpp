#include "claim_messages_pvt.h"

#include <array>

#include <laburnumroute/base64.h>
#include <laburnumroute/json.h>

namespace laburnum::pvt {

namespace {

    constexpr std::array verdicts { ClaimVerdict::Run, ClaimVerdict::Replay,
        ClaimVerdict::ResponseNotStored, ClaimVerdict::InProgress, ClaimVerdict::Unknown,
        ClaimVerdict::Mismatch, ClaimVerdict::Unavailable };

    struct OutcomeName {
        ClaimOutcome outcome;
        const char* name;
    };
    constexpr std::array outcomeNames { OutcomeName { ClaimOutcome::Answered, "answered" },
        OutcomeName { ClaimOutcome::NotRun, "not-run" },
        OutcomeName { ClaimOutcome::Unknown, "unknown" } };

    /// Reads fields of a message and keeps the first error.
    class FieldReader {
    public:
        explicit FieldReader(const Json::Value& value)
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

    const char* claimOutcomeName(ClaimOutcome outcome)
    {
        for (const auto& entry : outcomeNames) {
            if (entry.outcome == outcome)
                return entry.name;
        }
        return "unknown";
    }

    Expected<ClaimOutcome> parseOutcome(const std::string& name)
    {
        for (const auto& entry : outcomeNames) {
            if (name == entry.name)
                return entry.outcome;
        }
        return fail(ErrorCode::InvalidArgument, "unknown claim outcome '" + name + "'");
    }

    Expected<ClaimVerdict> parseVerdict(const std::string& name)
    {
        for (const ClaimVerdict verdict : verdicts) {
            if (name == claimVerdictName(verdict))
                return verdict;
        }
        return fail(ErrorCode::InvalidArgument, "unknown claim verdict '" + name + "'");
    }

    Json::Value encodeResponse(const StoredResponse& response)
    {
        Json::Value value(Json::objectValue);
        value["status"] = response.status;
        value["fields"] = Json::Value(Json::arrayValue);
        for (const auto& field : response.fields) {
            value["fields"].append(encodeBase64(field.name));
            value["fields"].append(encodeBase64(field.value));
        }
        value["body"] = encodeBase64(response.body);
        return value;
    }

    Expected<StoredResponse> decodeResponse(const Json::Value& value)
    {
        FieldReader reader(value);
        StoredResponse response;
        response.status = static_cast<unsigned>(reader.number("status"));
        response.body = reader.keep(decodeBase64(reader.text("body")));
        const Json::Value& fields = value["fields"];
        for (Json::ArrayIndex i = 0; i + 1 < fields.size(); i += 2) {
            if (!fields[i].isString() || !fields[i + 1].isString())
                return fail(ErrorCode::InvalidArgument,
                    "header fields of a stored response must be strings");
            std::string name = reader.keep(decodeBase64(fields[i].asString()));
            response.fields.push_back(
                { std::move(name), reader.keep(decodeBase64(fields[i + 1].asString())) });
        }
        return reader.finish(std::move(response));
    }

    std::optional<StoredResponse> readOptionalResponse(
        FieldReader& reader, const Json::Value& value)
    {
        if (!value.isObject() || !value["answer"].isObject())
            return std::nullopt;
        return reader.keep(decodeResponse(value["answer"]));
    }

    ClaimKey readKey(FieldReader& reader)
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
    FieldReader reader(value);
    return reader.finish(readKey(reader));
}

std::string positionOf(const ClaimKey& key) { return toJsonText(encodeKey(key)); }

Json::Value encode(const ClaimRequest& message)
{
    Json::Value value = encodeKey(message.spec.key);
    value["claim"] = message.claim.value();
    value["fingerprint"] = message.spec.fingerprint;
    value["deadline_ms"] = Json::UInt64(toMillis(message.spec.deadline));
    value["epoch"] = Json::UInt64(message.epoch);
    return value;
}

Expected<ClaimRequest> decodeRequest(const Json::Value& value)
{
    FieldReader reader(value);
    ClaimRequest message;
    message.spec.key = readKey(reader);
    message.spec.fingerprint = reader.text("fingerprint");
    message.spec.deadline = std::chrono::milliseconds(reader.number("deadline_ms"));
    message.claim = ClaimId(reader.text("claim"));
    message.epoch = reader.number("epoch");
    return reader.finish(std::move(message));
}

Json::Value encode(const ClaimReply& message)
{
    Json::Value value(Json::objectValue);
    value["claim"] = message.claim.value();
    value["verdict"] = claimVerdictName(message.verdict);
    if (message.response)
        value["answer"] = encodeResponse(*message.response);
    return value;
}

Expected<ClaimReply> decodeReply(const Json::Value& value)
{
    FieldReader reader(value);
    ClaimReply message;
    message.claim = ClaimId(reader.text("claim"));
    message.verdict = reader.keep(parseVerdict(reader.text("verdict")));
    message.response = readOptionalResponse(reader, value);
    return reader.finish(std::move(message));
}

Json::Value encode(const ClaimEndNotice& message)
{
    Json::Value value = encodeKey(message.key);
    value["claim"] = message.claim.value();
    value["fingerprint"] = message.fingerprint;
    value["end"] = claimOutcomeName(message.outcome);
    if (message.response)
        value["answer"] = encodeResponse(*message.response);
    return value;
}

Expected<ClaimEndNotice> decodeEnd(const Json::Value& value)
{
    FieldReader reader(value);
    ClaimEndNotice message;
    message.key = readKey(reader);
    message.claim = ClaimId(reader.text("claim"));
    message.fingerprint = reader.text("fingerprint");
    message.outcome = reader.keep(parseOutcome(reader.text("end")));
    message.response = readOptionalResponse(reader, value);
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
    value["life"] = message.nonce;
    return value;
}

Expected<ClaimFetch> decodeFetch(const Json::Value& value)
{
    FieldReader reader(value);
    ClaimFetch message { reader.number("epoch"), reader.text("position"), reader.text("life") };
    return reader.finish(std::move(message));
}

Json::Value encode(const ClaimFetched& message)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::UInt64(message.epoch);
    value["position"] = message.position;
    value["life"] = message.nonce;
    value["witness"] = message.confirmsNewHost;
    value["new"] = message.withoutHistory;
    value["complete"] = message.complete;
    value["entries"] = Json::Value(Json::arrayValue);
    for (const auto& entry : message.entries)
        value["entries"].append(entry);
    return value;
}

Expected<ClaimFetched> decodeFetched(const Json::Value& value)
{
    FieldReader reader(value);
    ClaimFetched message;
    message.epoch = reader.number("epoch");
    message.position = reader.text("position");
    message.nonce = reader.text("life");
    if (!value.isObject() || !value["new"].isBool() || !value["complete"].isBool()
        || !value["witness"].isBool() || !value["entries"].isArray())
        return fail(ErrorCode::InvalidArgument, "malformed reply to a claim fetch");
    message.withoutHistory = value["new"].asBool();
    message.complete = value["complete"].asBool();
    message.confirmsNewHost = value["witness"].asBool();
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
    if (record.outcome)
        value["end"] = claimOutcomeName(*record.outcome);
    if (record.response)
        value["answer"] = encodeResponse(*record.response);
    return value;
}

Expected<std::pair<ClaimKey, ClaimRecord>> decodeRecord(const Json::Value& value, TimePoint now)
{
    FieldReader reader(value);
    const ClaimKey key = readKey(reader);
    ClaimRecord record;
    record.id = ClaimId(reader.text("claim"));
    record.fingerprint = reader.text("fingerprint");
    record.expires = now + std::chrono::milliseconds(reader.number("left_ms"));
    if (value.isObject() && value.isMember("end"))
        record.outcome = reader.keep(parseOutcome(reader.text("end")));
    record.response = readOptionalResponse(reader, value);
    return reader.finish(std::pair(key, std::move(record)));
}

} // namespace laburnum::pvt
