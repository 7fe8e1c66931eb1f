#include "config_messages_pvt.h"

#include <laburnumroute/json.h>

namespace laburnum::pvt {

namespace {

    /// Values per row of a digest: host, revision, age in ms.
    constexpr Json::ArrayIndex valuesPerRow = 3;

    Expected<RevisionRow> decodeRow(const Json::Value& rows, Json::ArrayIndex first)
    {
        const Json::Value& host = rows[first];
        const Json::Value& revision = rows[first + 1];
        const Json::Value& age = rows[first + 2];
        if (!host.isString() || !revision.isUInt64() || !age.isUInt())
            return fail(ErrorCode::InvalidArgument, "malformed row in a revision digest");
        return RevisionRow { HostId(host.asString()), Revision(revision.asUInt64()),
            std::chrono::milliseconds(age.asUInt()) };
    }

} // namespace

Json::Value encodeRevision(Revision revision)
{
    Json::Value value(Json::objectValue);
    value["r"] = Json::UInt64(revision.value());
    return value;
}

Expected<Revision> decodeRevision(const Json::Value& value)
{
    const auto revision = unsignedMember(value, "r");
    if (!revision)
        return tl::unexpected<Error>(revision.error());
    return Revision(*revision);
}

Json::Value encodeVersion(const ConfigVersion& version)
{
    Json::Value value = encodeRevision(version.revision);
    value["change"] = version.change.value();
    value["content"] = version.content;
    return value;
}

Expected<ConfigVersion> decodeVersion(const Json::Value& value)
{
    const auto revision = decodeRevision(value);
    const auto change = stringMember(value, "change");
    const auto content = stringMember(value, "content");
    if (!revision || !change || !content)
        return fail(ErrorCode::InvalidArgument, "malformed configuration version");
    return ConfigVersion { *revision, ChangeId(*change), *content };
}

Json::Value encodeDigest(const ConfigDigest& digest)
{
    Json::Value value = encodeRevision(digest.revision);
    Json::Value& rows = value["rows"] = Json::Value(Json::arrayValue);
    for (const auto& row : digest.rows) {
        rows.append(row.host.value());
        rows.append(Json::UInt64(row.revision.value()));
        rows.append(Json::UInt64(toMillis(row.age)));
    }
    if (digest.wantsReply)
        value["ask"] = true;
    return value;
}

Expected<ConfigDigest> decodeDigest(const Json::Value& value)
{
    const auto revision = decodeRevision(value);
    if (!revision || !value["rows"].isArray())
        return fail(ErrorCode::InvalidArgument, "malformed revision digest");
    const Json::Value& rows = value["rows"];
    if (rows.size() % valuesPerRow != 0 || rows.size() > maxDigestRows * valuesPerRow)
        return fail(ErrorCode::InvalidArgument, "invalid number of rows in a revision digest");
    ConfigDigest digest { *revision, {}, value["ask"].isBool() && value["ask"].asBool() };
    for (Json::ArrayIndex i = 0; i < rows.size(); i += valuesPerRow) {
        auto row = decodeRow(rows, i);
        if (!row)
            return tl::unexpected<Error>(row.error());
        digest.rows.push_back(std::move(*row));
    }
    return digest;
}

} // namespace laburnum::pvt
